#pragma once

/// The owner's side of replicas: manages the slots, queue, health and drain state of each backend server
/// that this instance calls. Accepts batches of calls from coordinators and sends them the results.

#include "../process/drain_table.h"
#include "../process/ownership.h"
#include "../version/fleet_config.h"
#include "slot_queue.h"

namespace limpettrestle {

/// Receives events from the owner that concern the whole node.
class OwnerListenerI {
public:
    virtual ~OwnerListenerI() = default;
    /// A server reported that it accepts no new work.
    virtual void onServerDraining(ReplicaId replica, uint64_t serverIncarnation) = 0;
    /// A drained server accepts work again, as a newer incarnation.
    virtual void onServerReturned(ReplicaId replica, uint64_t serverIncarnation) = 0;
};

class ReplicaOwner {
public:
    struct Dependencies {
        NodeContext& context;
        PeerSenderI& sender;
        Membership& membership;
        Ownership& ownership;
        DrainTable& drains;
        OwnerListenerI& listener;
    };

    explicit ReplicaOwner(const Dependencies& dependencies);

    void onConfig(FleetConfigPtr config);
    /// Handles a change of the settled view: starts the handover of replicas that this instance now owns.
    void onViewChanged();
    void onExecute(InstanceId from, const ExecuteBatch& batch);
    void onCancel(const CancelBatch& cancel);
    void onSlotRequest(InstanceId from, const SlotRequest& request);
    void onSlotRelease(InstanceId from, const SlotRelease& release);
    /// Handle the end of a backend call. They return false when the owner did not make this call.
    bool onBackendReplied(BackendCallId call, const BackendReply& reply);
    bool onBackendFailed(BackendCallId call, ResultCode code, bool sent);
    /// Refuses the calls that are queued for a server that has been drained.
    void onDrained(ReplicaId replica);
    /// Handles a suspension of this process: refuses all queued calls, drops loans, and requires new evidence from
    /// each server before it gets calls.
    void invalidateAll();

    void tick();
    TimePoint nextWakeup() const;
    /// Sends the results collected while an event was handled.
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
        /// Smoothed time from sending a call to its reply.
        Micros serviceTime { 8000 };
        uint32_t failures = 0;
        TimePoint downUntil {};
        /// Time of the latest call whose reply showed that the server accepts work.
        TimePoint evidenceAt {};
        bool hasEvidence = false;
        uint64_t serverIncarnation = 0;
        BackendCallId preflight;
        TimePoint preflightSentAt {};
        TimePoint preflightUntil {};
        TimePoint nextPreflightAt {};
        /// Until this time only half of the slots are used, because the previous owner may still use some.
        TimePoint reducedUntil {};
        /// Until this time only one slot is used, because the server has just restarted.
        TimePoint slowStartUntil {};
        /// Smoothed ratio of actual to predicted wait, by class. It accounts for calls of a higher class that
        /// arrive later, and for queues full of such calls, which the prediction does not see.
        std::array<double, kPriorityClassCount> waitFactor { 1, 1, 1 };
        /// Number of slots that the adaptive routing policy currently allows.
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
        /// The coordinator has been sent a timeout for this call; its slot stays in use until the call ends.
        bool isTimeoutReported = false;
    };

    /// Returns null when the configuration has no such replica.
    Replica* findOrCreate(ReplicaId id);
    /// True when this instance may call the server. Sets `ownerHint` to the owner of a replica in its zone.
    bool mayServe(const ReplicaConfig& replica, bool deputy, InstanceId& ownerHint);
    void enqueue(Replica& replica, QueuedCall call, bool deputy);
    /// Sends queued calls while slots are free.
    void sendQueued(Replica& replica);
    /// Returns true when recent evidence shows that the server accepts work; starts a preflight otherwise.
    bool ensureEvidence(Replica& replica);
    void send(Replica& replica, QueuedCall call);
    void lendSlot(Replica& replica, const QueuedCall& call);
    void startPreflight(Replica& replica);
    bool onPreflightEnded(BackendCallId call, const BackendReply* reply);
    /// Updates the state of the server from a reply to a call that was sent at `sentAt`.
    void updateFromReply(Replica& replica, const BackendReply& reply, TimePoint sentAt);
    void markDown(Replica& replica);
    void markUp(Replica& replica);
    uint32_t allowedSlots(const Replica& replica) const;
    Micros predictedWait(const Replica& replica, PriorityClass priority) const;
    void refuse(const Replica* replica, const QueuedCall& call, ResultCode code, InstanceId ownerHint = {});
    void refuseQueued(Replica& replica, ResultCode code);
    /// Updates the wait factor from a call that leaves the queue.
    void updateWaitFactor(Replica& replica, const QueuedCall& call);
    /// Adds a result to those that `flush()` sends.
    void queueResult(InstanceId coordinator, RequestId request, ExecuteItemResult result);
    void finishCall(BackendCallId id, ExecuteItemResult result);
    void expireCalls();
    /// Reports a timeout for calls that take unusually long, before their deadline.
    void timeOutSlowCalls();
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
    struct PendingResults {
        InstanceId coordinator;
        ExecuteResults results;
    };
    std::vector<PendingResults> outbox_;
    uint64_t lastCall_ = 0;
    const TimePoint startedAt_;
};

} // namespace limpettrestle
