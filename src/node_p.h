#pragma once

/// Implementation class of `Node`: its components and the handlers of events and messages.

#include "limpettrestle/limpettrestle.h"

#include "connection/replica_owner.h"
#include "request/coordinator.h"
#include "request/submissions.h"
#include "version/config_chain.h"

#include <deque>

namespace limpettrestle {

class Node::Impl final : public PeerSenderI, public OwnerListenerI {
public:
    explicit Impl(const NodeInit& init);

    void handle(const Event& event, std::vector<Action>& actions);
    TimePoint nextWakeup() const;
    NodeStatus status() const;
    bool isReady() const { return phase_ == Phase::Serving; }
    Phase phase() const { return phase_; }
    const NodeStats& stats() const { return context_.stats; }
    Body configText() const;

    void sendPeer(InstanceId to, PeerBody body) override;
    void onServerDraining(ReplicaId replica, uint64_t serverIncarnation) override;
    void onServerReturned(ReplicaId replica, uint64_t serverIncarnation) override;

private:
    /// Drain record that is being spread by gossip.
    struct DrainBroadcast {
        DrainRecord record;
        /// Number of messages that still carry the record.
        int transmissionsLeft = 0;
    };

    void on(const CallerSearch& event);
    void on(const CallerPermit& event);
    void on(const CallerSubmit& event);
    void on(const PeerReceived& event);
    void on(const PeerFailed& event);
    void on(const BackendReplied& event);
    void on(const BackendFailed& event);
    void on(const PlatformMembersRead& event);
    void on(const PlatformConfigRead& event);
    void on(const PlatformFailed& event);
    void on(const Tick& event);
    void on(const ShutdownRequested& event);

    void onPeer(InstanceId from, const Probe& probe);
    void onPeer(InstanceId from, const ProbeAck& ack);
    void onPeer(InstanceId from, const ProbeRequest& request);
    void onPeer(InstanceId from, const Notice& notice);
    void onPeer(InstanceId from, const ConfigNews& news);
    void onPeer(InstanceId from, const StateRequest& request);
    void onPeer(InstanceId from, const StateReply& reply);
    void onPeer(InstanceId from, const ExecuteBatch& batch);
    void onPeer(InstanceId from, const ExecuteResults& results);
    void onPeer(InstanceId from, const CancelBatch& cancel);
    void onPeer(InstanceId from, const SlotRequest& request);
    void onPeer(InstanceId from, const SlotReply& reply);
    void onPeer(InstanceId from, const SlotRelease& release);
    void onPeer(InstanceId from, const SubmitForward& forward);
    void onPeer(InstanceId from, const SubmitOutcome& outcome);

    void dispatch(const PeerMessage& message);
    void deliverLoopback();
    void finishEvent();
    void detectLateWake();
    void runPeriodicTasks();
    /// True if the message being handled is older than its time budget.
    bool isStale(Micros budget) const;
    /// Refuses a caller's request that cannot be accepted now and returns true; returns false if the
    /// request can be accepted.
    bool refuseIfUnavailable(CallerTag tag, bool mayHaveRun);
    Gossip makeGossip();
    void applyGossip(InstanceId from, const Gossip& gossip);
    void applyDrainRecord(const DrainRecord& record);
    void broadcastDrain(TimelineKind kind, const DrainRecord& record);
    void sendNotices();
    void handleConfigResult(const ConfigChain::ApplyResult& result);
    void applyConfig();
    void announceConfig();
    std::vector<InstanceId> selectNoticePeers();
    void updatePlatformReads();
    void startServingIfReady();
    void stopIfDrained();
    void setPhase(Phase phase);
    void onViewChanged();
    Millis settleTime() const;

    NodeContext context_;
    Membership membership_;
    Ownership ownership_;
    DrainTable drains_;
    ConfigChain chain_;
    ReplicaOwner owner_;
    Coordinator coordinator_;
    Submissions submissions_;
    const Millis balancerLag_;
    const Millis drainLimit_;
    Phase phase_ = Phase::Starting;
    TimePoint lastEventTime_ {};
    TimePoint nextPeriodicRun_ {};
    TimePoint startedAt_ {};
    TimePoint leavingAt_ {};
    TimePoint refusingUntil_ {};
    TimePoint nextStateRequest_ {};
    TimePoint nextFallbackRead_ {};
    HlcTime messageTime_;
    bool hasPeerState_ = false;
    bool hasPlatformAnswer_ = false;
    bool hasMemberList_ = false;
    bool isPlatformReader_ = false;
    bool hasConfigToAnnounce_ = false;
    bool hasNoticeToSend_ = false;
    std::vector<DrainBroadcast> drainBroadcasts_;
    std::deque<PeerMessage> loopback_;
};

} // namespace limpettrestle
