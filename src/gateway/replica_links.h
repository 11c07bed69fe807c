#pragma once

/// Connection pools to replicas: a few connections per replica, one call at a time per connection.

#include "../net/http_client.h"
#include "../request/dispatcher.h"

#include <absl/container/flat_hash_map.h>
#include <deque>

namespace limpettrestle {

struct ReplicaLinksInit {
    uv_loop_t* loop = nullptr;
    const ClockI* clock = nullptr;
    ReplicaDirectory* directory = nullptr;
    const GatherPlan* plan = nullptr;
};

struct ReplicaLinksStats {
    uint64_t connectionsOpened = 0;
    uint64_t connectFailures = 0;
    /// Replies that belonged to another request.
    uint64_t mismatchedReplies = 0;
    uint64_t malformedReplies = 0;
    /// Replies that exceeded a size limit.
    uint64_t oversizedReplies = 0;
    /// Connections that are open or connecting at present.
    uint64_t openConnections = 0;
};

class ReplicaLinks final : public ReplicaTransportI {
public:
    explicit ReplicaLinks(const ReplicaLinksInit& init);
    ~ReplicaLinks() override;

    /// Sets the dispatcher that receives replies and failures. Must be called before the first call.
    void setDispatcher(Dispatcher& dispatcher) { dispatcher_ = &dispatcher; }
    void startCall(uint64_t call, const ReplicaPtr& replica, const RequestPtr& request, Millis timeLeft, bool needsLiveConnection) override;
    bool isConnected(const ReplicaPtr& replica) const override;
    void cancelCall(uint64_t call) override;

    /// Stops using a replica that no longer accepts work: closes its idle connections and fails its queued calls as not
    /// sent, so that they move to other replicas.
    void retireReplica(const ReplicaPtr& replica);
    /// Closes connections that were idle for too long. Opens a connection to each new replica in advance, and to
    /// unreachable replicas to detect their recovery. Must be called periodically.
    void maintainConnections();
    /// Opens a connection to a replica of the zone, to find out whether the zone is reachable.
    void probeZone(const std::string& zone);
    /// Closes idle connections, for example after a suspension, when the other end may have closed them.
    void closeIdle();
    const ReplicaLinksStats& stats() const { return stats_; }

private:
    class Channel;
    struct Link;
    struct PendingCall;

    /// Returns the link to a replica, creating it on first use.
    Link& getOrCreateLink(const ReplicaPtr& replica);
    /// Limit on connections of a link.
    size_t maxChannels(const Link& link) const;
    /// Sends queued calls on idle connections and opens connections for the rest.
    void sendQueued(Link& link);
    /// Opens connections to new and to unreachable replicas.
    void preconnect(TimePoint now);
    /// Returns true when this instance calls the replica's service directly, without aggregators, and the replica is in
    /// the subset that it uses.
    bool isCalledDirectly(const ReplicaPtr& replica) const;
    void closeIdle(Link& link);
    /// Returns the most recently used idle channel that the call may use; null when there is none.
    Channel* findIdleChannel(Link& link, const PendingCall& call);
    /// Returns true if a second copy of an earlier reply on the channel could pass for the reply to the call.
    static bool mayMistakeReply(const Channel& channel, const PendingCall& call, size_t requestHash);
    void openChannel(Link& link);
    /// Returns false and closes the channel when its connection has failed.
    bool sendOn(Channel& channel, uint64_t call);
    /// Removes a channel from its link.
    std::unique_ptr<Channel> detach(Channel& channel);
    void onChannelClosed(Channel& channel, CloseReason reason);
    ResponseAction onChannelResponse(Channel& channel, HttpResponse response, bool isReusable);
    /// Fails all queued calls of a link as not sent.
    void failQueued(Link& link);
    void closeOldestIdle(Link& link);

    const ReplicaLinksInit init_;
    const ClockI& clock_;
    Dispatcher* dispatcher_ = nullptr;
    absl::flat_hash_map<const Replica*, std::unique_ptr<Link>> links_;
    absl::flat_hash_map<uint64_t, PendingCall> calls_;
    TimePoint nextPreconnectAt_ {};
    /// Number of probes so far; they go to the replicas of a zone in turn.
    size_t probes_ = 0;
    ReplicaLinksStats stats_;
};

} // namespace limpettrestle
