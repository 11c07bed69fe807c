#pragma once

/// Requests that must not be repeated. A permit is used at most once, and only by the incarnation that
/// issued it; it becomes invalid when that incarnation ends. No instance stores the permits of another.

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
    /// Answers with a new permit or with the reason for a refusal.
    void onPermitRequest(CallerTag tag, RequestId id, const PermitRequest& request);
    void onSubmit(CallerTag tag, RequestId id, const SubmitRequest& request);
    void onForward(InstanceId from, const SubmitForward& forward);
    void onOutcome(InstanceId from, const SubmitOutcome& outcome);
    void onSlotReply(InstanceId from, const SlotReply& reply);
    /// Both return false if the call belongs to no submission.
    bool onBackendReplied(BackendCallId call, const BackendReply& reply);
    bool onBackendFailed(BackendCallId call, bool sent);
    void onPeerFailed(InstanceId peer);
    /// Called when the process has resumed after a suspension: expires unused permits and refuses
    /// submissions that wait for a slot.
    void onLateWake();
    void tick();
    /// Number of submissions that run here or were forwarded to the issuer of their permit.
    size_t openSubmissions() const { return runs_.size() + forwards_.size(); }
    /// Returns a new id for a backend call; must be set before the first submission.
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

    /// Destination of the outcome: a caller of this instance, or a peer that forwarded the submission.
    struct ReplyTarget {
        CallerTag tag;
        InstanceId peer;
        RequestId id;
    };

    /// Submission that this instance executes.
    struct Run {
        uint64_t nonce = 0;
        ReplyTarget reply;
        SubmitRequest request;
        TimePoint deadline {};
        const ServiceConfig* service = nullptr;
        FleetConfigPtr config;
        uint32_t shard = 0;
        size_t nextReplica = 0;
        /// Number of rounds in which no owner granted a slot.
        uint32_t failedRounds = 0;
        TimePoint retryAt {};
        ReplicaId replica;
        /// Instance that was asked for a slot or has granted one.
        InstanceId slotOwner;
        std::optional<UnsentCall> unsent;
        std::optional<SentCall> sent;
        BackendCallId call;
        ResultCode lastRefusal = ResultCode::NoReplicaReachable;
        Micros predictedWait { 0 };
    };

    /// Submission that was forwarded to the issuer of its permit.
    struct ForwardedSubmission {
        CallerTag tag;
        InstanceId issuer;
        TimePoint deadline {};
    };

    /// Returns the configured service; null with `code` set if the request is invalid.
    const ServiceConfig* validate(const std::string& service, const std::string& key, ResultCode& code) const;
    /// Returns a new permit; null if the maximum number of permits is reached.
    PermitRecord* issuePermit(const std::string& service, const std::string& key);
    void submitLocally(const ReplyTarget& reply, const SubmitRequest& request);
    void startRun(const ReplyTarget& reply, const SubmitRequest& request, PermitRecord& record);
    /// Asks the owner of the next replica for a slot, or schedules another round.
    void requestSlot(Run& run);
    void scheduleSlotRetry(Run& run);
    void sendRun(Run& run);
    void endRun(uint64_t sequence, SubmissionResult result);
    void releaseSlot(Run& run);
    void refuseRun(uint64_t sequence, ResultCode code);
    void answer(const ReplyTarget& reply, Outcome outcome, ResultCode code, std::string body, Millis retryAfter);
    Run* findRun(BackendCallId call, uint64_t& sequence);
    void expirePermits();

    NodeContext& context_;
    PeerSenderI& sender_;
    Membership& membership_;
    Ownership& ownership_;
    DrainTable& drains_;
    FleetConfigPtr config_;
    /// Permits by `nonceHigh`.
    absl::btree_map<uint64_t, PermitRecord> permits_;
    absl::btree_map<uint64_t, Run> runs_;
    absl::btree_map<uint64_t, ForwardedSubmission> forwards_;
};

} // namespace limpettrestle
