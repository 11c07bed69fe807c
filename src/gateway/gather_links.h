#pragma once

/// Connections to other instances of the zone: groups of shards that they gather for this one, and notices.
/// One message at a time on each.

#include "../net/http_client.h"
#include "../request/dispatcher.h"

#include <deque>

namespace limpettrestle {

class GatherLinks final : public GroupTransportI {
public:
    GatherLinks(uv_loop_t* loop, const ClockI& clock);
    ~GatherLinks() override;

    /// Receives the reports; set once before the first group.
    void setDispatcher(Dispatcher& dispatcher) { dispatcher_ = &dispatcher; }
    void startGroup(uint64_t group, const InstanceInfo& aggregator, GroupRequest request) override;
    void cancelGroup(uint64_t group) override;
    /// Sends a message of which no answer is awaited.
    void notify(const InstanceInfo& instance, std::string_view path, std::string body);

    /// Ends groups whose time is over, and connections that were idle for too long.
    void sweep();
    /// Bytes and connections of before a suspension are not to be trusted.
    void closeIdle();

private:
    class Channel;
    struct Link;
    struct Pending;

    Link& linkTo(const InstanceInfo& aggregator);
    void pump(Link& link);
    bool sendOn(Channel& channel, uint64_t group);
    std::unique_ptr<Channel> detach(Channel& channel);
    void closeIdle(Link& link);
    void channelAnswered(Channel& channel, const HttpResponse& response, bool isReusable);
    void channelEnded(Channel& channel);
    /// Ends a group that has a connection or waits for one, without a report.
    void drop(uint64_t group);
    void reportFailure(uint64_t group, bool mayHaveRun);

    uv_loop_t* loop_;
    const ClockI& clock_;
    Dispatcher* dispatcher_ = nullptr;
    absl::flat_hash_map<std::string, std::unique_ptr<Link>> links_;
    /// Groups by their number, notices by one with `kNoticeBit`.
    absl::flat_hash_map<uint64_t, Pending> groups_;
    uint64_t lastNotice_ = 0;
};

} // namespace limpettrestle
