#pragma once

/// Connections to replicas: a few kept open to each, one call at a time on each.

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
    uint64_t opened = 0;
    uint64_t connectFailures = 0;
    uint64_t foreignReplies = 0;
    uint64_t malformedReplies = 0;
    uint64_t connections = 0;
};

class ReplicaLinks final : public ReplicaTransportI {
public:
    explicit ReplicaLinks(const ReplicaLinksInit& init);
    ~ReplicaLinks() override;

    /// Receives the reports; set once before the first call.
    void setDispatcher(Dispatcher& dispatcher) { dispatcher_ = &dispatcher; }
    void startCall(uint64_t call, const ReplicaPtr& replica, const RequestPtr& request, Millis timeLeft, bool needsLiveConnection) override;
    bool isConnected(const ReplicaPtr& replica) const override;
    void cancelCall(uint64_t call) override;

    /// The replica takes no more work: idle connections end, waiting calls go elsewhere.
    void replicaLeft(const ReplicaPtr& replica);
    /// Closes connections that were idle for too long. Opens one to each new replica, and to those that
    /// could not be reached, to see whether they are back.
    void sweep();
    /// Bytes and connections of before a suspension are not to be trusted.
    void closeIdle();
    const ReplicaLinksStats& stats() const { return stats_; }

private:
    class Channel;
    struct Link;
    struct PendingCall;

    Link& linkTo(const ReplicaPtr& replica);
    size_t limitOf(const Link& link) const;
    void pump(Link& link);
    void openAhead(TimePoint now);
    bool isUsed(const ReplicaPtr& replica) const;
    void closeIdle(Link& link);
    Channel* idleChannel(Link& link, bool needsLive);
    void openChannel(Link& link);
    bool sendOn(Channel& channel, uint64_t call);
    std::unique_ptr<Channel> detach(Channel& channel);
    void channelEnded(Channel& channel, CloseReason end);
    AfterResponse channelAnswered(Channel& channel, HttpResponse response, bool isReusable);
    void failQueued(Link& link);
    void dropOldestIdle(Link& link);

    const ReplicaLinksInit init_;
    const ClockI& clock_;
    Dispatcher* dispatcher_ = nullptr;
    absl::flat_hash_map<const Replica*, std::unique_ptr<Link>> links_;
    absl::flat_hash_map<uint64_t, PendingCall> calls_;
    TimePoint nextOpenAheadAt_ {};
    ReplicaLinksStats stats_;
};

} // namespace limpettrestle
