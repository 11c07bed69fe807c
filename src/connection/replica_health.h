#pragma once

/// Health of one replica as observed from its replies, timeouts and connections.

#include "limpettrestle/routing.h"

#include <vector>

namespace limpettrestle {

/// Why a call ended without a usable answer.
enum class CallEnd : uint8_t {
    /// The caller no longer needs the call; says nothing about the replica.
    Cancelled,
    /// The replica did not accept the call, or its reply was lost or malformed.
    Failed,
    /// The call was abandoned while the replica was unresponsive.
    TimedOut,
};

class ReplicaHealth {
public:
    /// Records that a call was sent; `expected` is the usual duration of such a call.
    void callSent(uint64_t call, TimePoint now, Micros expected);
    /// Records that the call was answered.
    void callAnswered(uint64_t call, TimePoint now);
    /// Records that the call ended without a usable answer.
    void callEnded(uint64_t call, TimePoint now, CallEnd end);
    /// Records that connecting failed or timed out.
    void connectFailed(TimePoint now);
    /// Records that a connection was established.
    void connected(TimePoint now);
    /// Records that the replica asked this instance to send nothing for `time`. Returns false when an earlier request
    /// lasts longer.
    bool recordBackOff(Millis time, TimePoint now);
    /// Records the load that the replica reported; a negative `running` means that it reported none.
    void recordLoad(int running, int waiting, TimePoint now);

    /// True while a call takes unusually long and the replica has answered nothing since it was sent.
    bool isUnresponsive(TimePoint now) const;
    /// True while the replica wants nothing from this instance.
    bool isBackingOff(TimePoint now) const { return now < backOffUntil_; }
    TimePoint backOffUntil() const { return backOffUntil_; }
    /// True during the backoff after faults, and while the replica is unreachable.
    bool isAvoided(TimePoint now) const { return now < avoidUntil_ || isUnreachable(); }
    /// True after at least two consecutive faults that include a failed connection or a timed-out call; cleared by
    /// an established connection or an answer.
    bool isUnreachable() const { return isConnectionSuspect_ && !hasAtMostOneFault(); }
    /// True when a connection attempt to an unreachable replica is due.
    bool isRetryDue(TimePoint now) const { return isUnreachable() && now >= avoidUntil_; }
    /// True when at most one fault has been counted since the last answer; a new connection reduces the count to one.
    bool hasAtMostOneFault() const { return consecutiveFaults_ <= 1; }
    /// Smoothed duration of calls as a multiple of the usual duration; decays to 1 without samples.
    double latencyRatio(TimePoint now) const;
    /// Share of recent calls that ended without a usable answer, decaying with time.
    double lossRate(TimePoint now) const;
    /// Number of requests expected to be served before a new one.
    double backlog(TimePoint now) const;
    size_t inFlight() const { return calls_.size(); }
    TimePoint lastAnswer() const { return lastAnswer_; }
    /// Time at which a connection was last established.
    TimePoint lastConnected() const { return lastConnected_; }
    /// Time at which connecting last failed or timed out.
    TimePoint lastConnectFailure() const { return lastConnectFailure_; }
    /// Time of the first of the consecutive faults.
    TimePoint failingSince() const { return failingSince_; }

private:
    struct PendingCall {
        uint64_t id;
        TimePoint sentAt;
        Micros expected;
    };

    void recordFault(TimePoint now);
    void recordOutcome(bool isLoss, TimePoint now);
    void recordDuration(TimePoint sentAt, Micros expected, TimePoint now);

    std::vector<PendingCall> calls_;
    double latencyRatio_ = 1.0;
    TimePoint latencyRatioAt_ {};
    double lossRate_ = 0;
    TimePoint lossAt_ {};
    TimePoint lastAnswer_ {};
    TimePoint lastConnected_ {};
    TimePoint lastConnectFailure_ {};
    TimePoint lastFault_ {};
    TimePoint failingSince_ {};
    TimePoint avoidUntil_ {};
    /// End of the time for which the replica wants nothing from this instance.
    TimePoint backOffUntil_ {};
    /// Faults since the last answer; a new connection reduces them to one at most.
    uint32_t consecutiveFaults_ = 0;
    bool isConnectionSuspect_ = false;
    int waiting_ = 0;
    TimePoint loadAt_ {};
};

} // namespace limpettrestle
