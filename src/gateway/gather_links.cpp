#include "gather_links.h"

#include "gather_messages.h"

#include <algorithm>
#include <fmt/format.h>

namespace limpettrestle {

namespace {

    /// Longest wait for a connection within a zone; the shards are called directly afterwards.
    constexpr Millis kConnectTimeout { 60 };
    /// Connections to one instance at most: groups that are out at the same time in a burst.
    constexpr size_t kMaxChannels = 8;
    /// Idle time after which a connection is closed, before its other end does.
    constexpr Millis kIdleLimit { 8000 };
    /// Wait for an answer beyond the time that was given for it.
    constexpr Millis kLimitSlack { 200 };
    constexpr int kNotStarted = 503;
    /// Time after which a notice is given up.
    constexpr Millis kNoticeLimit { 500 };
    constexpr uint64_t kNoticeBit = 1ULL << 63;

} // namespace

struct GatherLinks::Pending {
    Link* link = nullptr;
    std::string_view path;
    std::string body;
    TimePoint limit {};
    /// Null while it waits for a connection.
    Channel* channel = nullptr;
};

struct GatherLinks::Link {
    InstanceInfo aggregator;
    std::vector<std::unique_ptr<Channel>> channels;
    std::deque<uint64_t> queue;
};

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
        links_.pump(link);
    }

    AfterResponse onResponse(HttpClientConnection& /*connection*/, HttpResponse response, bool isReusable) override
    {
        links_.channelAnswered(*this, response, isReusable);
        return AfterResponse::Keep;
    }

    void onEnded(HttpClientConnection& /*connection*/, CloseReason /*end*/) override { links_.channelEnded(*this); }

    Link& link;
    HttpClientConnection* socket = nullptr;
    /// Group that waits for its answer; 0 when there is none.
    uint64_t group = 0;
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
    Link& link = linkTo(aggregator);
    groups_[group] = { &link, kGatherPath, encode(request), clock_.now() + request.timeLeft + kLimitSlack, nullptr };
    link.queue.push_back(group);
    pump(link);
}

void GatherLinks::notify(const InstanceInfo& instance, std::string_view path, std::string body)
{
    Link& link = linkTo(instance);
    const uint64_t notice = kNoticeBit | ++lastNotice_;
    groups_[notice] = { &link, path, std::move(body), clock_.now() + kNoticeLimit, nullptr };
    link.queue.push_back(notice);
    pump(link);
}

void GatherLinks::reportFailure(uint64_t group, bool mayHaveRun)
{
    if ((group & kNoticeBit) == 0)
        dispatcher_->groupFailed(group, mayHaveRun);
}

void GatherLinks::cancelGroup(uint64_t group)
{
    drop(group);
}

void GatherLinks::drop(uint64_t group)
{
    const auto found = groups_.find(group);
    if (found == groups_.end())
        return;
    const Pending pending = std::move(found->second);
    groups_.erase(found);
    if (pending.channel == nullptr) {
        std::erase(pending.link->queue, group);
        return;
    }
    // The other end sees that nobody waits any more.
    detach(*pending.channel)->socket->close();
    pump(*pending.link);
}

void GatherLinks::sweep()
{
    const TimePoint now = clock_.now();
    std::vector<uint64_t> overdue;
    for (const auto& [id, pending] : groups_) {
        if (now >= pending.limit)
            overdue.push_back(id);
    }
    for (const uint64_t id : overdue) {
        const auto found = groups_.find(id);
        if (found == groups_.end())
            continue;
        const bool isSent = found->second.channel != nullptr;
        Link& link = *found->second.link;
        drop(id);
        // What is silent on one connection may be so on all.
        closeIdle(link);
        reportFailure(id, isSent);
    }
    for (const auto& [name, link] : links_) {
        std::vector<Channel*> expired;
        for (const auto& channel : link->channels) {
            if (channel->isIdle && now - channel->lastUsedAt > kIdleLimit)
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

GatherLinks::Link& GatherLinks::linkTo(const InstanceInfo& aggregator)
{
    std::unique_ptr<Link>& link = links_[aggregator.name];
    if (!link)
        link = std::make_unique<Link>();
    if (link->aggregator != aggregator)
        closeIdle(*link);
    link->aggregator = aggregator;
    return *link;
}

void GatherLinks::pump(Link& link)
{
    while (!link.queue.empty()) {
        const auto idle = std::find_if(link.channels.begin(), link.channels.end(), [](const auto& channel) { return channel->isIdle; });
        if (idle != link.channels.end()) {
            const uint64_t group = link.queue.front();
            if (sendOn(**idle, group))
                link.queue.pop_front();
            continue;
        }
        const auto connecting = static_cast<size_t>(std::count_if(link.channels.begin(), link.channels.end(), [](const auto& channel) { return channel->group == 0; }));
        if (connecting >= link.queue.size() || link.channels.size() >= kMaxChannels)
            return;
        auto channel = std::make_unique<Channel>(*this, link);
        channel->socket = HttpClientConnection::open(loop_, link.aggregator.host, link.aggregator.port, kConnectTimeout, *channel);
        link.channels.push_back(std::move(channel));
    }
}

bool GatherLinks::sendOn(Channel& channel, uint64_t group)
{
    Pending& pending = groups_.at(group);
    const std::string head = fmt::format("POST {} HTTP/1.1\r\nHost: {}:{}\r\nContent-Length: {}\r\n\r\n", pending.path,
        channel.link.aggregator.host, channel.link.aggregator.port, pending.body.size());
    if (!channel.socket->send(head, pending.body)) {
        detach(channel)->socket->close();
        return false;
    }
    channel.isIdle = false;
    channel.group = group;
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

void GatherLinks::channelAnswered(Channel& channel, const HttpResponse& response, bool isReusable)
{
    const uint64_t group = channel.group;
    Link& link = channel.link;
    channel.group = 0;
    groups_.erase(group);
    if (isReusable) {
        channel.isIdle = true;
        channel.lastUsedAt = clock_.now();
    } else {
        detach(channel)->socket->close();
    }
    // The channel may be gone from here on.
    std::optional<GroupReply> reply = response.status == 200 ? decodeGroupReply(response.body) : std::nullopt;
    if (reply)
        dispatcher_->groupAnswered(group, std::move(*reply));
    else
        reportFailure(group, response.status != kNotStarted);
    pump(link);
}

void GatherLinks::channelEnded(Channel& channel)
{
    const std::unique_ptr<Channel> detached = detach(channel);
    Link& link = detached->link;
    if (detached->group != 0) {
        groups_.erase(detached->group);
        reportFailure(detached->group, true);
    } else if (!detached->isIdle) {
        // No connection came about: those that wait for one go on without this instance.
        const std::deque<uint64_t> waiting = std::move(link.queue);
        link.queue.clear();
        for (const uint64_t group : waiting) {
            groups_.erase(group);
            reportFailure(group, false);
        }
    }
    pump(link);
}

} // namespace limpettrestle
