#include "gather_links.h"

#include "gather_messages.h"

#include <algorithm>
#include <fmt/format.h>

namespace limpettrestle {

namespace {

    /// Timeout for connecting to an instance of the zone. After it, the shards are called directly.
    constexpr Millis kConnectTimeout { 60 };
    /// Limit on connections per instance, and so on the groups in flight to it during a burst.
    constexpr size_t kMaxChannels = 8;
    /// Limit on the reply of an instance: at most a few thousand signatures and some records.
    constexpr size_t kMaxReplyBytes = 1 << 20;
    /// Idle connections are closed after this time, before the other end closes them.
    constexpr Millis kIdleTimeout { 8000 };
    /// Time added to a group's time limit while waiting for its reply.
    constexpr Millis kReplyTimeoutMargin { 200 };
    /// HTTP status of an instance that did not start to gather the group.
    constexpr int kStatusNotStarted = 503;
    /// Time after which an unanswered notice is dropped.
    constexpr Millis kNoticeTimeout { 500 };
    /// Set in the IDs of notices to tell them from groups.
    constexpr uint64_t kNoticeIdBit = 1ULL << 63;

} // namespace

/// A group or notice that is queued or waits for its response.
struct GatherLinks::PendingMessage {
    Link* link = nullptr;
    std::string_view path;
    std::string body;
    TimePoint expiresAt {};
    /// Null while the message is queued.
    Channel* channel = nullptr;
};

/// Connections and queued messages to one instance.
struct GatherLinks::Link {
    InstanceInfo aggregator;
    std::vector<std::unique_ptr<Channel>> channels;
    /// IDs of messages that wait for a connection, oldest first.
    std::deque<uint64_t> queue;
};

/// One connection and the message in flight on it.
class GatherLinks::Channel final : public HttpClientListenerI {
public:
    Channel(GatherLinks& links, Link& owner)
        : link(owner)
        , links_(links)
    {
    }

    void onConnected(HttpClientConnection& /*connection*/) override
    {
        isIdle = true;
        lastUsedAt = links_.clock_.now();
        links_.sendQueued(link);
    }

    ResponseAction onResponse(HttpClientConnection& /*connection*/, HttpResponse response, bool isReusable) override
    {
        links_.onChannelResponse(*this, response, isReusable);
        return ResponseAction::Keep;
    }

    void onClosed(HttpClientConnection& /*connection*/, CloseReason /*reason*/) override { links_.onChannelClosed(*this); }

    Link& link;
    HttpClientConnection* socket = nullptr;
    /// ID of the message that waits for its response; 0 when there is none.
    uint64_t message = 0;
    bool isIdle = false;
    TimePoint lastUsedAt {};

private:
    GatherLinks& links_;
};

GatherLinks::GatherLinks(uv_loop_t* loop, const ClockI& clock)
    : loop_(loop)
    , clock_(clock)
{
}

GatherLinks::~GatherLinks() = default;

void GatherLinks::startGroup(uint64_t group, const InstanceInfo& aggregator, GroupRequest request)
{
    Link& link = getOrCreateLink(aggregator);
    messages_[group] = { &link, kGatherPath, encode(request), clock_.now() + request.timeLeft + kReplyTimeoutMargin, nullptr };
    link.queue.push_back(group);
    sendQueued(link);
}

void GatherLinks::notify(const InstanceInfo& instance, std::string_view path, std::string body)
{
    Link& link = getOrCreateLink(instance);
    const uint64_t notice = kNoticeIdBit | ++lastNoticeId_;
    messages_[notice] = { &link, path, std::move(body), clock_.now() + kNoticeTimeout, nullptr };
    link.queue.push_back(notice);
    sendQueued(link);
}

void GatherLinks::reportFailure(uint64_t message, bool mayHaveRun)
{
    if ((message & kNoticeIdBit) == 0)
        dispatcher_->groupFailed(message, mayHaveRun);
}

void GatherLinks::cancelGroup(uint64_t group)
{
    cancelMessage(group);
}

void GatherLinks::cancelMessage(uint64_t message)
{
    const auto found = messages_.find(message);
    if (found == messages_.end())
        return;
    const PendingMessage pending = std::move(found->second);
    messages_.erase(found);
    if (pending.channel == nullptr) {
        std::erase(pending.link->queue, message);
        return;
    }
    // Closing the connection tells the aggregator to stop working on the group.
    detach(*pending.channel)->socket->close();
    sendQueued(*pending.link);
}

void GatherLinks::checkTimeouts()
{
    const TimePoint now = clock_.now();
    std::vector<uint64_t> overdue;
    for (const auto& [id, pending] : messages_) {
        if (now >= pending.expiresAt)
            overdue.push_back(id);
    }
    for (const uint64_t id : overdue) {
        const auto found = messages_.find(id);
        if (found == messages_.end())
            continue;
        const bool isSent = found->second.channel != nullptr;
        Link& link = *found->second.link;
        cancelMessage(id);
        // An instance that does not respond on one connection may be unreachable on all of them.
        closeIdle(link);
        reportFailure(id, isSent);
    }
    for (const auto& [name, link] : links_) {
        std::vector<Channel*> expired;
        for (const auto& channel : link->channels) {
            if (channel->isIdle && now - channel->lastUsedAt > kIdleTimeout)
                expired.push_back(channel.get());
        }
        for (Channel* channel : expired)
            detach(*channel)->socket->close();
    }
}

void GatherLinks::closeIdle()
{
    for (const auto& [name, link] : links_)
        closeIdle(*link);
}

void GatherLinks::closeIdle(Link& link)
{
    std::vector<Channel*> idle;
    for (const auto& channel : link.channels) {
        if (channel->isIdle)
            idle.push_back(channel.get());
    }
    for (Channel* channel : idle)
        detach(*channel)->socket->close();
}

GatherLinks::Link& GatherLinks::getOrCreateLink(const InstanceInfo& aggregator)
{
    std::unique_ptr<Link>& link = links_[aggregator.name];
    if (!link)
        link = std::make_unique<Link>();
    if (link->aggregator != aggregator)
        closeIdle(*link);
    link->aggregator = aggregator;
    return *link;
}

void GatherLinks::sendQueued(Link& link)
{
    while (!link.queue.empty()) {
        const auto idle = std::find_if(link.channels.begin(), link.channels.end(), [](const auto& channel) { return channel->isIdle; });
        if (idle != link.channels.end()) {
            const uint64_t message = link.queue.front();
            if (sendOn(**idle, message))
                link.queue.pop_front();
            continue;
        }
        const auto connecting = static_cast<size_t>(std::count_if(link.channels.begin(), link.channels.end(), [](const auto& channel) { return channel->message == 0; }));
        if (connecting >= link.queue.size() || link.channels.size() >= kMaxChannels)
            return;
        auto channel = std::make_unique<Channel>(*this, link);
        channel->socket = HttpClientConnection::open(loop_, link.aggregator.host, link.aggregator.port, kConnectTimeout, *channel);
        link.channels.push_back(std::move(channel));
    }
}

bool GatherLinks::sendOn(Channel& channel, uint64_t message)
{
    PendingMessage& pending = messages_.at(message);
    const std::string head = fmt::format("POST {} HTTP/1.1\r\nHost: {}:{}\r\nContent-Length: {}\r\n\r\n", pending.path,
        channel.link.aggregator.host, channel.link.aggregator.port, pending.body.size());
    if (!channel.socket->send(head, pending.body, { false, kMaxReplyBytes })) {
        detach(channel)->socket->close();
        return false;
    }
    channel.isIdle = false;
    channel.message = message;
    pending.channel = &channel;
    pending.body = {};
    return true;
}

std::unique_ptr<GatherLinks::Channel> GatherLinks::detach(Channel& channel)
{
    std::vector<std::unique_ptr<Channel>>& channels = channel.link.channels;
    const auto found = std::find_if(channels.begin(), channels.end(), [&channel](const auto& entry) { return entry.get() == &channel; });
    std::unique_ptr<Channel> detached = std::move(*found);
    channels.erase(found);
    return detached;
}

void GatherLinks::onChannelResponse(Channel& channel, const HttpResponse& response, bool isReusable)
{
    const uint64_t message = channel.message;
    Link& link = channel.link;
    channel.message = 0;
    messages_.erase(message);
    if (isReusable) {
        channel.isIdle = true;
        channel.lastUsedAt = clock_.now();
    } else {
        detach(channel)->socket->close();
    }
    // The channel may have been destroyed by now.
    std::optional<GroupReply> reply = response.status == 200 ? decodeGroupReply(response.body) : std::nullopt;
    if (reply)
        dispatcher_->groupAnswered(message, std::move(*reply));
    else
        reportFailure(message, response.status != kStatusNotStarted);
    sendQueued(link);
}

void GatherLinks::onChannelClosed(Channel& channel)
{
    const std::unique_ptr<Channel> detached = detach(channel);
    Link& link = detached->link;
    if (detached->message != 0) {
        messages_.erase(detached->message);
        reportFailure(detached->message, true);
    } else if (!detached->isIdle) {
        // Connecting failed: the queued messages fail as not sent, and their shards are called directly.
        const std::deque<uint64_t> unsent = std::move(link.queue);
        link.queue.clear();
        for (const uint64_t message : unsent) {
            messages_.erase(message);
            reportFailure(message, false);
        }
    }
    sendQueued(link);
}

} // namespace limpettrestle
