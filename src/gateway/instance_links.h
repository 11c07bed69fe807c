#pragma once

/// Connections to other instances. They carry groups of shards that other instances of the zone gather for this one,
/// requests that are relayed to them, and notices; one message at a time per connection.

#include "../net/http_client.h"
#include "../request/dispatcher.h"

#include <deque>

namespace limpettrestle {

class InstanceLinks final : public GroupTransportI, public RelayTransportI {
public:
    InstanceLinks(uv_loop_t* loop, const ClockI& clock);
    ~InstanceLinks() override;

    /// Sets the dispatcher that receives replies and failures. Must be called before the first group.
    void setDispatcher(Dispatcher& dispatcher) { dispatcher_ = &dispatcher; }
    void startGroup(uint64_t group, const InstanceInfo& aggregator, GroupRequest request) override;
    void cancelGroup(uint64_t group) override { cancelMessage(group); }
    void startRelay(uint64_t relay, const InstanceInfo& instance, RelayRequest request) override;
    void cancelRelay(uint64_t relay) override { cancelMessage(relay); }
    /// Sends a one-way message. Until `validity` has passed, connecting is tried again; failures are not reported.
    void notify(const InstanceInfo& instance, std::string_view path, std::shared_ptr<const std::string> body, Millis validity);
    void notify(const InstanceInfo& instance, std::string_view path, std::string body, Millis validity) { notify(instance, path, std::make_shared<const std::string>(std::move(body)), validity); }

    /// Fails messages whose time limit has passed and closes connections that were idle for too long.
    void checkTimeouts();
    /// Closes idle connections, for example after a suspension, when the other end may have closed them.
    void closeIdle();

private:
    class Channel;
    struct Link;
    struct PendingMessage;

    enum class MessageKind : uint8_t {
        Group,
        Relay,
        Notice,
    };

    /// Returns the link to an instance, creating it on first use.
    Link& getOrCreateLink(const InstanceInfo& instance);
    void queueMessage(uint64_t message, PendingMessage pending);
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
    /// Removes a message and returns its kind; a cancelled one counts as a notice, whose failure is not reported.
    MessageKind take(uint64_t message);
    /// Handles a failed connection attempt: the queued groups and relays fail as not sent, so that their shards are called
    /// directly or another instance is tried. Notices stay queued.
    void failUnsent(Link& link);
    /// Reports a response to the dispatcher.
    void reportResponse(uint64_t message, MessageKind kind, const HttpResponse& response);
    /// Reports a failed group or relay to the dispatcher; failed notices are ignored.
    void reportFailure(uint64_t message, MessageKind kind, bool mayHaveRun);

    uv_loop_t* loop_;
    const ClockI& clock_;
    Dispatcher* dispatcher_ = nullptr;
    absl::flat_hash_map<std::string, std::unique_ptr<Link>> links_;
    /// Groups and relays by the ID that the dispatcher gave them, and notices by an ID that contains `kNoticeIdBit`.
    absl::flat_hash_map<uint64_t, PendingMessage> messages_;
    uint64_t lastNoticeId_ = 0;
};

} // namespace limpettrestle
