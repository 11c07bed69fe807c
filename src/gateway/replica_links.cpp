#include "replica_links.h"

#include "../../platform/request_codec.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    /// Longest wait for a connection; a call moves to another replica long before.
    constexpr Millis kConnectTimeout { 500 };
    /// Idle time after which a connection is not used, where the replica does not tell its limit.
    constexpr Millis kDefaultIdleLimit { 10000 };
    /// Kept free before the limit that a replica tells: the request must arrive before its end.
    constexpr Millis kIdleMargin { 500 };
    /// A connection used within this time is taken as live.
    constexpr Millis kLiveTime { 400 };
    /// Connections to one replica at most.
    constexpr size_t kMaxChannels = 8;
    /// Connections opened ahead in one sweep, so that a start does not crowd out requests.
    constexpr int kOpenedPerSweep = 16;
    /// Time between two looks for replicas without a connection.
    constexpr Millis kOpenAheadPeriod { 900 };

} // namespace

struct ReplicaLinks::PendingCall {
    ReplicaPtr replica;
    RequestPtr request;
    TimePoint deadlineAt {};
    bool needsLive = false;
    /// Null while it waits for a connection.
    Channel* channel = nullptr;
};

struct ReplicaLinks::Link {
    ReplicaPtr replica;
    std::vector<std::unique_ptr<Channel>> channels;
    /// Calls that wait for a connection, oldest first.
    std::deque<uint64_t> queue;
};

/// One connection and the call on it.
class ReplicaLinks::Channel final : public HttpClientListenerI {
public:
    Channel(ReplicaLinks& links, Link& owner)
        : link(owner)
        , links_(links)
    {
    }

    void onConnected(HttpClientConnection& /*connection*/) override
    {
        isIdle = true;
        lastUsedAt = links_.clock_.now();
        link.replica->health.connected(lastUsedAt);
        links_.pump(link);
    }

    AfterResponse onResponse(HttpClientConnection& /*connection*/, HttpResponse response, bool isReusable) override
    {
        return links_.channelAnswered(*this, std::move(response), isReusable);
    }

    void onEnded(HttpClientConnection& /*connection*/, CloseReason end) override { links_.channelEnded(*this, end); }

    Link& link;
    HttpClientConnection* socket = nullptr;
    /// Call that waits for its reply; 0 when there is none.
    uint64_t call = 0;
    bool isIdle = false;
    /// A reply to another request came on it: it ends after its present call.
    bool isTainted = false;
    TimePoint lastUsedAt {};
    Millis idleLimit = kDefaultIdleLimit;

private:
    ReplicaLinks& links_;
};

ReplicaLinks::ReplicaLinks(const ReplicaLinksInit& init)
    : init_(init)
    , clock_(*init.clock)
{
}

ReplicaLinks::~ReplicaLinks() = default;

void ReplicaLinks::startCall(uint64_t call, const ReplicaPtr& replica, const RequestPtr& request, Millis timeLeft, bool needsLiveConnection)
{
    Link& link = linkTo(replica);
    calls_[call] = { replica, request, clock_.now() + timeLeft, needsLiveConnection, nullptr };
    link.queue.push_back(call);
    ++replica->queued;
    pump(link);
}

bool ReplicaLinks::isConnected(const ReplicaPtr& replica) const
{
    const auto found = links_.find(replica.get());
    if (found == links_.end())
        return false;
    const auto& channels = found->second->channels;
    return std::any_of(channels.begin(), channels.end(), [](const auto& channel) { return channel->isIdle || channel->call != 0; });
}

void ReplicaLinks::cancelCall(uint64_t call)
{
    const auto found = calls_.find(call);
    if (found == calls_.end())
        return;
    const PendingCall pending = std::move(found->second);
    calls_.erase(found);
    if (pending.channel == nullptr) {
        --pending.replica->queued;
        std::erase(linkTo(pending.replica).queue, call);
        return;
    }
    const std::unique_ptr<Channel> channel = detach(*pending.channel);
    channel->socket->close();
    pump(channel->link);
}

void ReplicaLinks::replicaLeft(const ReplicaPtr& replica)
{
    const auto found = links_.find(replica.get());
    if (found == links_.end())
        return;
    Link& link = *found->second;
    std::vector<Channel*> idle;
    for (const auto& channel : link.channels) {
        if (channel->call == 0)
            idle.push_back(channel.get());
    }
    for (Channel* channel : idle)
        detach(*channel)->socket->close();
    failQueued(link);
}

void ReplicaLinks::sweep()
{
    const TimePoint now = clock_.now();
    for (auto at = links_.begin(); at != links_.end();) {
        Link& link = *at->second;
        std::vector<Channel*> expired;
        for (const auto& channel : link.channels) {
            if (channel->isIdle && now - channel->lastUsedAt > channel->idleLimit)
                expired.push_back(channel.get());
        }
        for (Channel* channel : expired)
            detach(*channel)->socket->close();
        const bool isUnused = !link.replica->takesWork() && link.channels.empty() && link.queue.empty();
        if (isUnused)
            links_.erase(at++);
        else
            ++at;
    }
    if (now >= nextOpenAheadAt_)
        openAhead(now);
}

void ReplicaLinks::openAhead(TimePoint now)
{
    const std::shared_ptr<const RouteTable>& table = dispatcher_->table();
    if (!table)
        return;
    nextOpenAheadAt_ = now + kOpenAheadPeriod;
    int left = kOpenedPerSweep;
    for (const auto& [id, replica] : init_.directory->all()) {
        if (left == 0) {
            nextOpenAheadAt_ = now;
            return;
        }
        if (!replica->takesWork() || table->maxConnections(replica->entry.service) == 0)
            continue;
        const bool isRetry = replica->health.isRetryDue(now);
        const bool isNew = !links_.contains(replica.get()) && isUsed(replica);
        if (!isNew && !isRetry)
            continue;
        // What is left of a silent replica's connections may be as dead as those that were given up.
        closeIdle(linkTo(replica));
        if (!linkTo(replica).channels.empty())
            continue;
        openChannel(linkTo(replica));
        --left;
    }
}

bool ReplicaLinks::isUsed(const ReplicaPtr& replica) const
{
    if (!init_.plan->callsDirectly(replica->entry.service))
        return false;
    const std::vector<ReplicaPtr> used = dispatcher_->usedReplicas(replica->entry.service);
    return std::find(used.begin(), used.end(), replica) != used.end();
}

void ReplicaLinks::closeIdle()
{
    for (const auto& [key, link] : links_)
        closeIdle(*link);
}

void ReplicaLinks::closeIdle(Link& link)
{
    std::vector<Channel*> idle;
    for (const auto& channel : link.channels) {
        if (channel->isIdle)
            idle.push_back(channel.get());
    }
    for (Channel* channel : idle)
        detach(*channel)->socket->close();
}

ReplicaLinks::Link& ReplicaLinks::linkTo(const ReplicaPtr& replica)
{
    std::unique_ptr<Link>& link = links_[replica.get()];
    if (!link) {
        link = std::make_unique<Link>();
        link->replica = replica;
    }
    return *link;
}

size_t ReplicaLinks::limitOf(const Link& link) const
{
    return std::min(kMaxChannels, dispatcher_->connectionLimit(link.replica->entry.service));
}

void ReplicaLinks::pump(Link& link)
{
    while (!link.queue.empty()) {
        const uint64_t call = link.queue.front();
        const bool needsLive = calls_.at(call).needsLive;
        Channel* channel = idleChannel(link, needsLive);
        if (channel == nullptr) {
            const auto connecting = static_cast<size_t>(std::count_if(link.channels.begin(), link.channels.end(),
                [](const auto& entry) { return !entry->isIdle && entry->call == 0; }));
            if (connecting >= link.queue.size())
                return;
            if (link.channels.size() >= limitOf(link))
                dropOldestIdle(link);
            if (link.channels.size() < limitOf(link))
                openChannel(link);
            return;
        }
        link.queue.pop_front();
        --link.replica->queued;
        if (!sendOn(*channel, call)) {
            link.queue.push_front(call);
            ++link.replica->queued;
        }
    }
}

ReplicaLinks::Channel* ReplicaLinks::idleChannel(Link& link, bool needsLive)
{
    const TimePoint now = clock_.now();
    Channel* best = nullptr;
    for (const auto& channel : link.channels) {
        const auto idleFor = now - channel->lastUsedAt;
        if (!channel->isIdle || idleFor > channel->idleLimit || (needsLive && idleFor > kLiveTime))
            continue;
        if (best == nullptr || channel->lastUsedAt > best->lastUsedAt)
            best = channel.get();
    }
    return best;
}

void ReplicaLinks::openChannel(Link& link)
{
    auto channel = std::make_unique<Channel>(*this, link);
    const ReplicaEntry& entry = link.replica->entry;
    channel->socket = HttpClientConnection::open(init_.loop, entry.host, entry.port, kConnectTimeout, *channel);
    link.channels.push_back(std::move(channel));
    ++stats_.opened;
    ++stats_.connections;
}

bool ReplicaLinks::sendOn(Channel& channel, uint64_t call)
{
    PendingCall& pending = calls_.at(call);
    const Millis left = std::chrono::duration_cast<Millis>(pending.deadlineAt - clock_.now());
    const std::string head = platform::encodeCallHead(pending.request->commonHead, channel.link.replica->entry.id, std::max(Millis(1), left));
    if (!channel.socket->send(head, pending.request->body, pending.request->method == "HEAD")) {
        detach(channel)->socket->close();
        return false;
    }
    channel.isIdle = false;
    channel.call = call;
    pending.channel = &channel;
    dispatcher_->callSent(call);
    return true;
}

std::unique_ptr<ReplicaLinks::Channel> ReplicaLinks::detach(Channel& channel)
{
    std::vector<std::unique_ptr<Channel>>& channels = channel.link.channels;
    const auto found = std::find_if(channels.begin(), channels.end(), [&channel](const auto& entry) { return entry.get() == &channel; });
    std::unique_ptr<Channel> detached = std::move(*found);
    channels.erase(found);
    --stats_.connections;
    return detached;
}

void ReplicaLinks::channelEnded(Channel& channel, CloseReason end)
{
    const std::unique_ptr<Channel> detached = detach(channel);
    Link& link = detached->link;
    const bool isConnectFailure = end == CloseReason::ConnectFailed || end == CloseReason::ConnectTimeout;
    if (isConnectFailure) {
        ++stats_.connectFailures;
        link.replica->health.connectFailed(clock_.now());
        if (link.channels.empty())
            failQueued(link);
        return;
    }
    if (detached->call != 0) {
        calls_.erase(detached->call);
        dispatcher_->callFailed(detached->call, end == CloseReason::Protocol ? CallFailure::Malformed : CallFailure::Lost);
    }
    pump(link);
}

AfterResponse ReplicaLinks::channelAnswered(Channel& channel, HttpResponse response, bool isReusable)
{
    const auto found = calls_.find(channel.call);
    if (found == calls_.end())
        return AfterResponse::Close;
    const int keepAlive = keepAliveSeconds(response.headers);
    platform::DecodedReply decoded = platform::decodeReply(std::move(response));
    const std::string& requestId = found->second.request->requestId;
    if (decoded.requestId && !requestId.empty() && *decoded.requestId != requestId) {
        ++stats_.foreignReplies;
        channel.isTainted = true;
        return AfterResponse::AwaitNext;
    }
    const uint64_t call = channel.call;
    Link& link = channel.link;
    channel.call = 0;
    calls_.erase(found);
    if (isReusable && !channel.isTainted && !decoded.isEncoded && link.replica->takesWork()) {
        channel.isIdle = true;
        channel.lastUsedAt = clock_.now();
        if (keepAlive >= 0)
            channel.idleLimit = std::max(Millis(0), Millis(keepAlive * 1000) - kIdleMargin);
    } else {
        detach(channel)->socket->close();
    }
    // The channel may be gone from here on.
    if (decoded.isEncoded) {
        ++stats_.malformedReplies;
        dispatcher_->callFailed(call, CallFailure::Malformed);
    } else {
        dispatcher_->callAnswered(call, std::move(decoded.reply));
    }
    pump(link);
    return AfterResponse::Keep;
}

void ReplicaLinks::failQueued(Link& link)
{
    const std::deque<uint64_t> queue = std::move(link.queue);
    link.queue.clear();
    for (const uint64_t call : queue) {
        if (!calls_.contains(call))
            continue;
        --link.replica->queued;
        calls_.erase(call);
        dispatcher_->callFailed(call, CallFailure::NotSent);
    }
}

void ReplicaLinks::dropOldestIdle(Link& link)
{
    Channel* oldest = nullptr;
    for (const auto& channel : link.channels) {
        if (channel->isIdle && (oldest == nullptr || channel->lastUsedAt < oldest->lastUsedAt))
            oldest = channel.get();
    }
    if (oldest != nullptr)
        detach(*oldest)->socket->close();
}

} // namespace limpettrestle
