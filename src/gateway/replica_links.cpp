#include "replica_links.h"

#include "../../platform/request_codec.h"
#include "../connection/answered_requests.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    /// Timeout for connecting to a replica. Calls move to another replica long before it.
    constexpr Millis kConnectTimeout { 500 };
    /// Idle time after which a connection is no longer used, when the replica does not announce its own limit.
    constexpr Millis kDefaultIdleTimeout { 10000 };
    /// Subtracted from the limit that a replica announces, because a request must arrive before the limit ends.
    constexpr Millis kIdleTimeoutMargin { 500 };
    /// A connection that was used within this time is assumed to be alive.
    constexpr Millis kRecentUseTime { 400 };
    /// Limit on connections per replica.
    constexpr size_t kMaxChannels = 8;
    /// Limit on connections opened in advance per pass, so that a startup does not delay requests.
    constexpr int kMaxPreconnectsPerPass = 16;
    /// Time between two passes over the replicas to open connections in advance.
    constexpr Millis kPreconnectInterval { 900 };

    /// Returns 0 for a request without an ID, which cannot be told from others.
    size_t hashOfId(const ForwardedRequest& request) { return request.requestId.empty() ? 0 : std::hash<std::string> {}(request.requestId); }

    bool isSuccess(int status) { return status / 100 == 2; }

} // namespace

/// A call that is queued or waits for its reply.
struct ReplicaLinks::PendingCall {
    ReplicaPtr replica;
    RequestPtr request;
    TimePoint deadlineAt {};
    /// The request may run at most once, so the call may only use a connection that was used recently.
    bool needsLive = false;
    /// Null while the call is queued.
    Channel* channel = nullptr;
};

/// Connections and queued calls to one replica.
struct ReplicaLinks::Link {
    ReplicaPtr replica;
    std::vector<std::unique_ptr<Channel>> channels;
    /// IDs of calls that wait for a connection, oldest first.
    std::deque<uint64_t> queue;
    /// A call was lost, and no connection has been established since.
    bool hasLostCall = false;
    /// The replica has sent a request ID in a reply, so that a reply without one does not belong to a call.
    bool sendsRequestIds = false;
};

/// One connection and the call in flight on it.
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
        link.hasLostCall = false;
        link.replica->health.connected(lastUsedAt);
        links_.sendQueued(link);
    }

    ResponseAction onResponse(HttpClientConnection& /*connection*/, HttpResponse response, bool isReusable) override
    {
        return links_.onChannelResponse(*this, std::move(response), isReusable);
    }

    void onClosed(HttpClientConnection& /*connection*/, CloseReason reason) override { links_.onChannelClosed(*this, reason); }

    Link& link;
    HttpClientConnection* socket = nullptr;
    /// ID of the call that waits for its reply; 0 when there is none.
    uint64_t call = 0;
    bool isIdle = false;
    /// Hash of the ID of the last request that was sent; 0 when it had none. The request is not sent again on this connection.
    size_t lastRequestHash = 0;
    /// Requests that got a reply other than a success on this connection, and are not sent again on it.
    AnsweredRequests unserved;
    /// A reply arrived on this connection.
    bool hasReplied = false;
    /// A reply to another request arrived on this connection, so it is closed after its current call.
    bool isClosingAfterCall = false;
    TimePoint lastUsedAt {};
    Millis idleTimeout = kDefaultIdleTimeout;

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
    Link& link = getOrCreateLink(replica);
    calls_[call] = { replica, request, clock_.now() + timeLeft, needsLiveConnection, nullptr };
    link.queue.push_back(call);
    ++replica->queued;
    sendQueued(link);
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
        std::erase(getOrCreateLink(pending.replica).queue, call);
        return;
    }
    const std::unique_ptr<Channel> channel = detach(*pending.channel);
    channel->socket->close();
    sendQueued(channel->link);
}

void ReplicaLinks::retireReplica(const ReplicaPtr& replica)
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

void ReplicaLinks::maintainConnections()
{
    const TimePoint now = clock_.now();
    for (auto it = links_.begin(); it != links_.end();) {
        Link& link = *it->second;
        std::vector<Channel*> expired;
        for (const auto& channel : link.channels) {
            if (channel->isIdle && now - channel->lastUsedAt > channel->idleTimeout)
                expired.push_back(channel.get());
        }
        for (Channel* channel : expired)
            detach(*channel)->socket->close();
        const bool isUnused = !link.replica->acceptsWork() && link.channels.empty() && link.queue.empty();
        if (isUnused)
            links_.erase(it++);
        else
            ++it;
    }
    if (now >= nextPreconnectAt_)
        preconnect(now);
}

void ReplicaLinks::preconnect(TimePoint now)
{
    const std::shared_ptr<const RouteTable>& table = dispatcher_->table();
    if (!table)
        return;
    nextPreconnectAt_ = now + kPreconnectInterval;
    int remaining = kMaxPreconnectsPerPass;
    for (const auto& [id, replica] : init_.directory->all()) {
        if (remaining == 0) {
            nextPreconnectAt_ = now;
            return;
        }
        if (!replica->acceptsWork() || replica->health.isBackingOff(now) || table->maxConnections(replica->entry.service) == 0)
            continue;
        const bool isRetry = replica->health.isRetryDue(now);
        const bool isNew = !links_.contains(replica.get()) && isCalledDirectly(replica);
        if (!isNew && !isRetry)
            continue;
        // The idle connections of a replica that stopped responding may be broken like those that failed.
        closeIdle(getOrCreateLink(replica));
        if (!getOrCreateLink(replica).channels.empty())
            continue;
        openChannel(getOrCreateLink(replica));
        --remaining;
    }
}

void ReplicaLinks::probeZone(const std::string& zone)
{
    std::vector<ReplicaPtr> replicas;
    for (const auto& [id, replica] : init_.directory->all()) {
        const auto found = links_.find(replica.get());
        const bool hasRoom = found == links_.end() || found->second->channels.size() < maxChannels(*found->second);
        if (replica->entry.zone == zone && replica->acceptsWork() && !replica->health.isBackingOff(clock_.now()) && hasRoom)
            replicas.push_back(replica);
    }
    if (!replicas.empty())
        openChannel(getOrCreateLink(replicas[++probes_ % replicas.size()]));
}

bool ReplicaLinks::isCalledDirectly(const ReplicaPtr& replica) const
{
    if (!init_.plan->callsDirectly(replica->entry.service))
        return false;
    const std::vector<ReplicaPtr> subset = dispatcher_->usedReplicas(replica->entry.service);
    return std::find(subset.begin(), subset.end(), replica) != subset.end();
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

ReplicaLinks::Link& ReplicaLinks::getOrCreateLink(const ReplicaPtr& replica)
{
    std::unique_ptr<Link>& link = links_[replica.get()];
    if (!link) {
        link = std::make_unique<Link>();
        link->replica = replica;
    }
    return *link;
}

size_t ReplicaLinks::maxChannels(const Link& link) const
{
    return std::min(kMaxChannels, dispatcher_->connectionLimit(link.replica->entry.service));
}

void ReplicaLinks::sendQueued(Link& link)
{
    while (!link.queue.empty()) {
        const uint64_t call = link.queue.front();
        Channel* channel = findIdleChannel(link, calls_.at(call));
        if (channel == nullptr) {
            const auto connecting = static_cast<size_t>(std::count_if(link.channels.begin(), link.channels.end(),
                [](const auto& entry) { return !entry->isIdle && entry->call == 0; }));
            if (connecting >= link.queue.size())
                return;
            if (link.channels.size() >= maxChannels(link))
                closeOldestIdle(link);
            if (link.channels.size() < maxChannels(link))
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

ReplicaLinks::Channel* ReplicaLinks::findIdleChannel(Link& link, const PendingCall& call)
{
    const TimePoint now = clock_.now();
    const size_t requestHash = hashOfId(*call.request);
    Channel* mostRecent = nullptr;
    for (const auto& channel : link.channels) {
        const auto idleTime = now - channel->lastUsedAt;
        if (!channel->isIdle || idleTime > channel->idleTimeout || (call.needsLive && idleTime > kRecentUseTime) || mayMistakeReply(*channel, call, requestHash))
            continue;
        if (mostRecent == nullptr || channel->lastUsedAt > mostRecent->lastUsedAt)
            mostRecent = channel.get();
    }
    return mostRecent;
}

bool ReplicaLinks::mayMistakeReply(const Channel& channel, const PendingCall& call, size_t requestHash)
{
    // Replicas do not run requests without an ID.
    if (requestHash == 0)
        return false;
    // A copy of a reply without an ID could belong to any earlier request of the connection.
    if (call.needsLive && !channel.link.sendsRequestIds && channel.hasReplied)
        return true;
    return channel.lastRequestHash == requestHash || channel.unserved.contains(requestHash);
}

void ReplicaLinks::openChannel(Link& link)
{
    auto channel = std::make_unique<Channel>(*this, link);
    const ReplicaEntry& entry = link.replica->entry;
    channel->socket = HttpClientConnection::open(init_.loop, entry.host, entry.port, kConnectTimeout, *channel);
    link.channels.push_back(std::move(channel));
    ++stats_.connectionsOpened;
    ++stats_.openConnections;
}

bool ReplicaLinks::sendOn(Channel& channel, uint64_t call)
{
    PendingCall& pending = calls_.at(call);
    const Millis remainingTime = std::chrono::duration_cast<Millis>(pending.deadlineAt - clock_.now());
    const std::string head = platform::encodeCallHead(pending.request->commonHead, channel.link.replica->entry.id, std::max(Millis(1), remainingTime));
    if (!channel.socket->send(head, pending.request->body, { pending.request->method == "HEAD", pending.request->maxReplyBytes, pending.request })) {
        detach(channel)->socket->close();
        return false;
    }
    channel.isIdle = false;
    channel.call = call;
    channel.lastRequestHash = hashOfId(*pending.request);
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
    --stats_.openConnections;
    return detached;
}

void ReplicaLinks::onChannelClosed(Channel& channel, CloseReason reason)
{
    const std::unique_ptr<Channel> detached = detach(channel);
    Link& link = detached->link;
    const bool isRefused = reason == CloseReason::ConnectRefused;
    const bool isConnectFailure = isRefused || reason == CloseReason::ConnectFailed || reason == CloseReason::ConnectTimeout;
    if (isConnectFailure) {
        ++stats_.connectFailures;
        link.replica->health.connectFailed(clock_.now());
        if (isRefused && link.channels.empty())
            dispatcher_->replicaRefusedConnection(link.replica);
        if (link.channels.empty())
            failQueued(link);
        return;
    }
    stats_.oversizedReplies += reason == CloseReason::TooLarge ? 1 : 0;
    if (detached->call != 0) {
        calls_.erase(detached->call);
        link.hasLostCall = true;
        dispatcher_->callFailed(detached->call, reason == CloseReason::Protocol || reason == CloseReason::TooLarge ? CallFailure::Malformed : CallFailure::Lost);
    }
    sendQueued(link);
    // The replica may have ended. Whether it accepts a connection tells.
    if (link.hasLostCall && link.channels.empty() && link.replica->acceptsWork())
        openChannel(link);
}

ResponseAction ReplicaLinks::onChannelResponse(Channel& channel, HttpResponse response, bool isReusable)
{
    const auto found = calls_.find(channel.call);
    if (found == calls_.end())
        return ResponseAction::Close;
    const std::optional<std::chrono::seconds> keepAlive = keepAliveTimeout(response.headers);
    platform::DecodedReply decoded = platform::decodeReply(std::move(response));
    const std::string& requestId = found->second.request->requestId;
    channel.link.sendsRequestIds |= decoded.requestId.has_value();
    const bool isForeign = decoded.requestId ? *decoded.requestId != requestId : channel.link.sendsRequestIds;
    if (isForeign && !requestId.empty()) {
        ++stats_.mismatchedReplies;
        channel.isClosingAfterCall = true;
        if (decoded.reply.isLeaving)
            dispatcher_->replicaLeaving(channel.link.replica);
        return ResponseAction::AwaitNext;
    }
    const uint64_t call = channel.call;
    Link& link = channel.link;
    channel.hasReplied = true;
    if (!isSuccess(decoded.reply.status))
        channel.unserved.add(hashOfId(*found->second.request));
    channel.call = 0;
    calls_.erase(found);
    if (isReusable && !channel.isClosingAfterCall && !channel.unserved.isFull() && !decoded.isEncoded && link.replica->acceptsWork()) {
        channel.isIdle = true;
        channel.lastUsedAt = clock_.now();
        if (keepAlive)
            channel.idleTimeout = std::max<Millis>(Millis(0), *keepAlive - kIdleTimeoutMargin);
    } else {
        detach(channel)->socket->close();
    }
    // The channel may have been destroyed by now.
    if (decoded.isEncoded) {
        ++stats_.malformedReplies;
        if (decoded.reply.isLeaving)
            dispatcher_->replicaLeaving(link.replica);
        dispatcher_->callFailed(call, CallFailure::Malformed);
    } else {
        dispatcher_->callAnswered(call, std::move(decoded.reply));
    }
    sendQueued(link);
    return ResponseAction::Keep;
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

void ReplicaLinks::closeOldestIdle(Link& link)
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
