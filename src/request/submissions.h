#pragma once

/// Requests that may not be repeated. A permit is run only by the incarnation that issued it and
/// once at most; it dies with that incarnation. No instance remembers another one's permits.

#include "../process/drain_table.h"
#include "../process/ownership.h"
#include "../version/fleet_config.h"
#include "one_shot_call.h"

#include <optional>

namespace limpettrestle {

class Submissions {
public:
    struct Links {
        NodeContext& context;
        PeerSenderI& sender;
        Membership& membership;
        Ownership& ownership;
        DrainTable& drains;
    };

    explicit Submissions(const Links& links);

    void onConfig(FleetConfigPtr config);
    /// Issues a permit, or answers why not.
    void onPermitRequest(CallerTag tag, RequestId id, const PermitRequest& request);
    void onSubmit(CallerTag tag, RequestId id, const SubmitRequest& request);
    void onForward(InstanceId from, const SubmitForward& forward);
    void onOutcome(InstanceId from, const SubmitOutcome& outcome);
    void onSlotReply(InstanceId from, const SlotReply& reply);
    /// Each returns false when the call belongs to no submission.
    bool onBackendReplied(BackendCallId call, const BackendReply& reply);
    bool onBackendFailed(BackendCallId call, bool sent);
    void onPeerFailed(InstanceId peer);
    /// After a pause: permits that were not used are dropped, calls that wait for a slot refused.
    void onLateWake();
    void tick();
    size_t openSubmissions() const { return runs_.size() + forwards_.size(); }
    /// Draws the id of a backend call.
    std::function<BackendCallId()> nextCallId;

private:
    enum class PermitState : uint8_t { Issued,
        Running,
        Ended };

    struct PermitRecord {
        Permit permit;
        std::string service;
        std::string key;
        TimePoint expiry {};
        PermitState state = PermitState::Issued;
        Outcome outcome = Outcome::Unknown;
        ResultCode code = ResultCode::Ok;
        std::string body;
    };

    /// Where the outcome goes.
    struct Reply {
        CallerTag tag;
        InstanceId peer;
        RequestId id;
    };

    /// A submission that this instance runs.
    struct Run {
        uint64_t nonce = 0;
        Reply reply;
        SubmitRequest request;
        TimePoint deadline {};
        const ServiceConfig* service = nullptr;
        FleetConfigPtr config;
        uint32_t shard = 0;
        size_t nextReplica = 0;
        uint32_t empty = 0;
        TimePoint retryAt {};
        ReplicaId replica;
        InstanceId lender;
        std::optional<UnsentCall> unsent;
        std::optional<SentCall> sent;
        BackendCallId call;
        ResultCode lastRefusal = ResultCode::NoReplicaReachable;
        Micros predictedWait { 0 };
    };

    /// A submission that was handed to the permit's issuer.
    struct Forward {
        CallerTag tag;
        InstanceId issuer;
        TimePoint deadline {};
    };

    const ServiceConfig* check(const std::string& service, const std::string& key, ResultCode& code) const;
    PermitRecord* issue(const std::string& service, const std::string& key);
    void submitHere(const Reply& reply, const SubmitRequest& request);
    void startRun(const Reply& reply, const SubmitRequest& request, PermitRecord& record);
    void requestSlot(Run& run);
    void pauseRun(Run& run);
    void sendRun(Run& run);
    void endRun(uint64_t sequence, SubmissionResult verdict);
    void releaseSlot(Run& run);
    void refuseRun(uint64_t sequence, ResultCode code);
    void answer(const Reply& reply, Outcome outcome, ResultCode code, std::string body, Millis retryAfter);
    Run* findRun(BackendCallId call, uint64_t& sequence);
    void expirePermits();

    NodeContext& context_;
    PeerSenderI& sender_;
    Membership& membership_;
    Ownership& ownership_;
    DrainTable& drains_;
    FleetConfigPtr config_;
    /// By the permit's first nonce.
    absl::btree_map<uint64_t, PermitRecord> permits_;
    absl::btree_map<uint64_t, Run> runs_;
    absl::btree_map<uint64_t, Forward> forwards_;
};

} // namespace limpettrestle
