#include "instance_links.h"

#include "gather_messages.h"
#include "relay_messages.h"

#include <algorithm>
#include <fmt/format.h>

namespace limpettrestle {

namespace {

    /// Timeout for connecting to an instance. After it, the shards of a group are called directly, and a request is relayed
    /// to another instance.
    constexpr Millis kConnectTimeout { 60 };
    /// Limit on connections per instance, and so on the groups in flight to it during a burst.
    constexpr size_t kMaxChannels = 8;
    /// Limit on the reply of an instance: at most a few thousand signatures and some records.
    constexpr size_t kMaxReplyBytes = 1 << 20;
    /// Idle connections are closed after this time, before the other end closes them.
    constexpr Millis kIdleTimeout { 8000 };
    /// Space for everything in a relayed reply except the body.
    constexpr size_t kReplyHeadBytes = 64 << 10;
    /// Time added to the time limit of a group or relay while waiting for its reply.
    constexpr Millis kReplyTimeoutMargin { 200 };
    /// HTTP status of an instance that did not start to process the message.
    constexpr int kStatusNotStarted = 503;
    /// Set in the IDs of notices to tell them from groups.
    constexpr uint64_t kNoticeIdBit = 1ULL << 63;

} // namespace

/// A message that is queued or waits for its response.
struct InstanceLinks::PendingMessage {
    MessageKind kind = MessageKind::Notice;
    Link* link = nullptr;
    std::string_view path;
    /// Shared by all receivers of a notice.
    std::shared_ptr<const std::string> body;
    TimePoint expiresAt {};
    /// Limit on the body of the response.
    size_t maxReplyBytes = kMaxReplyBytes;
    /// Null while the message is queued.
    Channel* channel = nullptr;
};

/// Connections and queued messages to one instance.
struct InstanceLinks::Link {
    InstanceInfo instance;
    std::vector<std::unique_ptr<Channel>> channels;
    /// IDs of messages that wait for a connection, oldest first.
    std::deque<uint64_t> queue;
};

/// One connection and the message in flight on it.
class InstanceLinks::Channel final : public HttpClientListenerI {
public:
    Channel(InstanceLinks& links, Link& owner)
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
    InstanceLinks& links_;
};

InstanceLinks::InstanceLinks(uv_loop_t* loop, const ClockI& clock)
    : loop_(loop)
    , clock_(clock)
{
}

InstanceLinks::~InstanceLinks() = default;

void InstanceLinks::startGroup(uint64_t group, const InstanceInfo& aggregator, GroupRequest request)
{
    queueMessage(group, { MessageKind::Group, &getOrCreateLink(aggregator), kGatherPath, std::make_shared<const std::string>(encode(request)), clock_.now() + request.timeLeft + kReplyTimeoutMargin });
}

void InstanceLinks::startRelay(uint64_t relay, const InstanceInfo& instance, RelayRequest request)
{
    const size_t maxReplyBytes = request.forwarded.maxReplyBytes + kReplyHeadBytes;
    const TimePoint expiresAt = clock_.now() + request.forwarded.callerTimeout + kReplyTimeoutMargin;
    queueMessage(relay, { MessageKind::Relay, &getOrCreateLink(instance), kRelayPath, std::make_shared<const std::string>(encode(request)), expiresAt, maxReplyBytes });
}

void InstanceLinks::notify(const InstanceInfo& instance, std::string_view path, std::shared_ptr<const std::string> body, Millis validity)
{
    queueMessage(kNoticeIdBit | ++lastNoticeId_, { MessageKind::Notice, &getOrCreateLink(instance), path, std::move(body), clock_.now() + validity });
}

void InstanceLinks::queueMessage(uint64_t message, PendingMessage pending)
{
    Link& link = *pending.link;
    messages_[message] = std::move(pending);
    link.queue.push_back(message);
    sendQueued(link);
}

InstanceLinks::MessageKind InstanceLinks::take(uint64_t message)
{
    const auto found = messages_.find(message);
    // A queued message may have been cancelled while the failure of an earlier one was reported.
    if (found == messages_.end())
        return MessageKind::Notice;
    const MessageKind kind = found->second.kind;
    messages_.erase(found);
    return kind;
}

void InstanceLinks::reportResponse(uint64_t message, MessageKind kind, const HttpResponse& response)
{
    if (kind == MessageKind::Group && response.status == 200) {
        if (std::optional<GroupReply> reply = decodeGroupReply(response.body)) {
            dispatcher_->groupAnswered(message, std::move(*reply));
            return;
        }
    }
    if (kind == MessageKind::Relay && response.status == 200) {
        if (std::optional<RelayReply> reply = decodeRelayReply(response.body)) {
            dispatcher_->relayAnswered(message, std::move(*reply));
            return;
        }
    }
    reportFailure(message, kind, response.status != kStatusNotStarted);
}

void InstanceLinks::reportFailure(uint64_t message, MessageKind kind, bool mayHaveRun)
{
    if (kind == MessageKind::Group)
        dispatcher_->groupFailed(message, mayHaveRun);
    else if (kind == MessageKind::Relay)
        dispatcher_->relayFailed(message, mayHaveRun);
}

void InstanceLinks::cancelMessage(uint64_t message)
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

void InstanceLinks::checkTimeouts()
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
        const MessageKind kind = found->second.kind;
        cancelMessage(id);
        // An instance that does not respond on one connection may be unreachable on all of them.
        closeIdle(link);
        reportFailure(id, kind, isSent);
    }
    for (const auto& [name, link] : links_) {
        // Connects again for notices whose instance did not accept a connection.
        sendQueued(*link);
        std::vector<Channel*> expired;
        for (const auto& channel : link->channels) {
            if (channel->isIdle && now - channel->lastUsedAt > kIdleTimeout)
                expired.push_back(channel.get());
        }
        for (Channel* channel : expired)
            detach(*channel)->socket->close();
    }
    absl::erase_if(links_, [](const auto& entry) { return entry.second->channels.empty() && entry.second->queue.empty(); });
}

void InstanceLinks::closeIdle()
{
    for (const auto& [name, link] : links_)
        closeIdle(*link);
}

void InstanceLinks::closeIdle(Link& link)
{
    std::vector<Channel*> idle;
    for (const auto& channel : link.channels) {
        if (channel->isIdle)
            idle.push_back(channel.get());
    }
    for (Channel* channel : idle)
        detach(*channel)->socket->close();
}

InstanceLinks::Link& InstanceLinks::getOrCreateLink(const InstanceInfo& instance)
{
    std::unique_ptr<Link>& link = links_[instance.name];
    if (!link)
        link = std::make_unique<Link>();
    if (link->instance != instance)
        closeIdle(*link);
    link->instance = instance;
    return *link;
}

void InstanceLinks::sendQueued(Link& link)
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
        channel->socket = HttpClientConnection::open(loop_, link.instance.host, link.instance.port, kConnectTimeout, *channel);
        link.channels.push_back(std::move(channel));
    }
}

bool InstanceLinks::sendOn(Channel& channel, uint64_t message)
{
    PendingMessage& pending = messages_.at(message);
    const std::string head = fmt::format("POST {} HTTP/1.1\r\nHost: {}:{}\r\nContent-Length: {}\r\n\r\n", pending.path,
        channel.link.instance.host, channel.link.instance.port, pending.body->size());
    if (!channel.socket->send(head, *pending.body, { false, pending.maxReplyBytes, pending.body })) {
        detach(channel)->socket->close();
        return false;
    }
    channel.isIdle = false;
    channel.message = message;
    pending.channel = &channel;
    pending.body = nullptr;
    return true;
}

std::unique_ptr<InstanceLinks::Channel> InstanceLinks::detach(Channel& channel)
{
    std::vector<std::unique_ptr<Channel>>& channels = channel.link.channels;
    const auto found = std::find_if(channels.begin(), channels.end(), [&channel](const auto& entry) { return entry.get() == &channel; });
    std::unique_ptr<Channel> detached = std::move(*found);
    channels.erase(found);
    return detached;
}

void InstanceLinks::onChannelResponse(Channel& channel, const HttpResponse& response, bool isReusable)
{
    const uint64_t message = channel.message;
    Link& link = channel.link;
    const MessageKind kind = take(message);
    channel.message = 0;
    if (isReusable) {
        channel.isIdle = true;
        channel.lastUsedAt = clock_.now();
    } else {
        detach(channel)->socket->close();
    }
    // The channel may have been destroyed by now.
    reportResponse(message, kind, response);
    sendQueued(link);
}

void InstanceLinks::onChannelClosed(Channel& channel)
{
    const std::unique_ptr<Channel> detached = detach(channel);
    Link& link = detached->link;
    if (detached->message != 0) {
        reportFailure(detached->message, take(detached->message), true);
    } else if (!detached->isIdle) {
        failUnsent(link);
        return;
    }
    sendQueued(link);
}

void InstanceLinks::failUnsent(Link& link)
{
    const std::deque<uint64_t> unsent = std::move(link.queue);
    link.queue.clear();
    for (const uint64_t message : unsent) {
        const auto found = messages_.find(message);
        if (found != messages_.end() && found->second.kind == MessageKind::Notice)
            link.queue.push_back(message);
        else
            reportFailure(message, take(message), false);
    }
}

} // namespace limpettrestle
