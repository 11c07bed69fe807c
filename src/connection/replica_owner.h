#pragma once

/// Owner side of the replicas: slots, queues, health and drain of each backend server that this
/// instance calls. Accepts batches from coordinators and answers with results.

#include "../process/drain_table.h"
#include "../process/ownership.h"
#include "../version/fleet_config.h"
#include "slot_queue.h"

namespace limpettrestle {

/// Told by the owner about things that concern the whole node.
class OwnerListenerI {
public:
    virtual ~OwnerListenerI() = default;
    /// A server said that it takes no new work.
    virtual void onServerDraining(ReplicaId replica, uint64_t serverIncarnation) = 0;
    /// A server that was drained takes work again, as a newer incarnation.
    virtual void onServerReturned(ReplicaId replica, uint64_t serverIncarnation) = 0;
};

class ReplicaOwner {
public:
    struct Links {
        NodeContext& context;
        PeerSenderI& sender;
        Membership& membership;
        Ownership& ownership;
        DrainTable& drains;
        OwnerListenerI& listener;
    };

    explicit ReplicaOwner(const Links& links);

    void onConfig(FleetConfigPtr config);
    /// The settled view changed: starts the handover of replicas that came to this instance.
    void onViewChanged();
    void onExecute(InstanceId from, const ExecuteBatch& batch);
    void onCancel(const CancelBatch& cancel);
    void onSlotRequest(InstanceId from, const SlotRequest& request);
    void onSlotRelease(InstanceId from, const SlotRelease& release);
    /// Each returns false when the call is not the owner's.
    bool onBackendReplied(BackendCallId call, const BackendReply& reply);
    bool onBackendFailed(BackendCallId call, ResultCode code, bool sent);
    /// News of a drained server.
    void onDrained(ReplicaId replica);
    /// After a pause: refuses what was queued and trusts no server until it answered again.
    void invalidateAll();

    void tick();
    TimePoint nextWakeup() const;
    /// Sends the results that gathered while an event was handled.
    void flush();

    BackendCallId nextCallId();
    size_t queued() const;
    size_t inFlight() const { return calls_.size(); }
    size_t loans() const;
    size_t ownedReplicas() const;

private:
    struct Replica {
        const ReplicaConfig* config = nullptr;
        SlotQueue queue;
        uint32_t inUse = 0;
        bool isOwn = false;
        /// Smoothed time from send to reply.
        Micros serviceTime { 8000 };
        uint32_t failures = 0;
        TimePoint downUntil {};
        /// Latest call whose reply said that the server takes work.
        TimePoint evidenceAt {};
        bool hasEvidence = false;
        uint64_t serverIncarnation = 0;
        BackendCallId preflight;
        TimePoint preflightSentAt {};
        TimePoint preflightUntil {};
        TimePoint recheckAt {};
        /// Reduced share until then: another owner may still use slots.
        TimePoint reducedUntil {};
        /// One slot until then: the server has just started.
        TimePoint coldUntil {};
        /// Real wait over predicted wait, smoothed, by class: calls that arrive later with a higher
        /// class, and queues that are full of them, show only here.
        std::array<double, kPriorityClassCount> waitFactor { 1, 1, 1 };
        /// Share learned by the adaptive policy.
        double adaptiveLimit = 1.0;
        struct Loan {
            InstanceId borrower;
            RequestId request;
            TimePoint until;
        };
        std::vector<Loan> loans;
    };

    struct Call {
        QueuedCall item;
        TimePoint sentAt {};
        bool cancelled = false;
        /// The coordinator was told that it takes too long; the slot stays taken until it ends.
        bool isReported = false;
    };

    Replica* find(ReplicaId id);
    bool mayServe(const ReplicaConfig& replica, bool deputy, InstanceId& ownerHint);
    void enqueue(Replica& replica, QueuedCall call, bool deputy);
    void pump(Replica& replica);
    bool isTrusted(Replica& replica);
    void send(Replica& replica, QueuedCall call);
    void lend(Replica& replica, const QueuedCall& call);
    void startPreflight(Replica& replica);
    bool onPreflightEnded(BackendCallId call, const BackendReply* reply);
    /// Takes in what a reply to a call of `askedAt` says of the server.
    void noteServer(Replica& replica, const BackendReply& reply, TimePoint askedAt);
    void noteDown(Replica& replica);
    void noteUp(Replica& replica);
    uint32_t allowedSlots(const Replica& replica) const;
    Micros predictedWait(const Replica& replica, PriorityClass priority) const;
    void refuse(const Replica* replica, const QueuedCall& call, ResultCode code, InstanceId ownerHint = {});
    void refuseQueued(Replica& replica, ResultCode code);
    void learnWait(Replica& replica, const QueuedCall& call);
    void report(InstanceId coordinator, RequestId request, ExecuteItemResult result);
    void finishCall(BackendCallId id, ExecuteItemResult result);
    void expireCalls();
    void reportSlowCalls();
    void expireLoans(Replica& replica);

    NodeContext& context_;
    PeerSenderI& sender_;
    Membership& membership_;
    Ownership& ownership_;
    DrainTable& drains_;
    OwnerListenerI& listener_;
    FleetConfigPtr config_;
    absl::btree_map<ReplicaId, std::unique_ptr<Replica>> replicas_;
    absl::btree_map<BackendCallId, Call> calls_;
    absl::btree_map<BackendCallId, ReplicaId> preflights_;
    struct Pending {
        InstanceId coordinator;
        ExecuteResults results;
    };
    std::vector<Pending> outbox_;
    uint64_t lastCall_ = 0;
    const TimePoint startedAt_;
};

} // namespace limpettrestle
