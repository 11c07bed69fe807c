#pragma once

/// Connections to other instances of the zone. They carry groups of shards that the other instances gather for this
/// one, and notices; one message at a time per connection.

#include "../net/http_client.h"
#include "../request/dispatcher.h"

#include <deque>

namespace limpettrestle {

class GatherLinks final : public GroupTransportI {
public:
    GatherLinks(uv_loop_t* loop, const ClockI& clock);
    ~GatherLinks() override;

    /// Sets the dispatcher that receives replies and failures. Must be called before the first group.
    void setDispatcher(Dispatcher& dispatcher) { dispatcher_ = &dispatcher; }
    void startGroup(uint64_t group, const InstanceInfo& aggregator, GroupRequest request) override;
    void cancelGroup(uint64_t group) override;
    /// Sends a one-way message. Failures are not reported.
    void notify(const InstanceInfo& instance, std::string_view path, std::string body);

    /// Fails messages whose time limit has passed and closes connections that were idle for too long.
    void checkTimeouts();
    /// Closes idle connections, for example after a suspension, when the other end may have closed them.
    void closeIdle();

private:
    class Channel;
    struct Link;
    struct PendingMessage;

    /// Returns the link to an instance, creating it on first use.
    Link& getOrCreateLink(const InstanceInfo& aggregator);
    /// Sends queued messages on idle connections and opens connections for the rest.
    void sendQueued(Link& link);
    /// Returns false and closes the channel when its connection has failed.
    bool sendOn(Channel& channel, uint64_t message);
    /// Removes a channel from its link.
    std::unique_ptr<Channel> detach(Channel& channel);
    void closeIdle(Link& link);
    void onChannelResponse(Channel& channel, const HttpResponse& response, bool isReusable);
    void onChannelClosed(Channel& channel);
    /// Removes a queued message, or closes the connection of one in flight, without a report.
    void cancelMessage(uint64_t message);
    /// Reports a failed group to the dispatcher; failed notices are ignored.
    void reportFailure(uint64_t message, bool mayHaveRun);

    uv_loop_t* loop_;
    const ClockI& clock_;
    Dispatcher* dispatcher_ = nullptr;
    absl::flat_hash_map<std::string, std::unique_ptr<Link>> links_;
    /// Groups by their ID and notices by an ID that contains `kNoticeIdBit`.
    absl::flat_hash_map<uint64_t, PendingMessage> messages_;
    uint64_t lastNoticeId_ = 0;
};

} // namespace limpettrestle
