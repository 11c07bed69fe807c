#pragma once

/// What replies and silences tell of one replica.

#include "limpettrestle/routing.h"

#include <vector>

namespace limpettrestle {

/// How a call ended without an answer that counts.
enum class CallEnd : uint8_t {
    /// Not wanted any more; says nothing about the replica.
    Cancelled,
    /// The replica did not take it, or its reply was lost or spoilt.
    Failed,
    /// Given up after an unusually long silence.
    TimedOut,
};

class ReplicaHealth {
public:
    /// A call was handed to the replica; `expected` is the usual time of such a call.
    void callSent(uint64_t call, TimePoint now, Micros expected);
    /// The call was answered. `expected` is the usual time of such a call.
    void callAnswered(uint64_t call, TimePoint now);
    void callEnded(uint64_t call, TimePoint now, CallEnd end);
    /// A connection could not be made, or not in time.
    void connectFailed(TimePoint now);
    /// A connection was made.
    void connected(TimePoint now);
    /// Load as told by the replica.
    void recordLoad(int running, int waiting, TimePoint now);

    /// True while a call waits unusually long and nothing was heard from the replica since.
    bool isUnresponsive(TimePoint now) const;
    /// True while faults in a row keep new calls away.
    bool isAvoided(TimePoint now) const { return now < avoidUntil_ || isUnreachable(); }
    /// Nothing was heard lately, more than once, on old connections or new; cleared by a connection.
    bool isUnreachable() const { return lacksConnection_ && !isDoubtful(); }
    /// True when a connection should be tried to see whether the replica is back.
    bool isRetryDue(TimePoint now) const { return isUnreachable() && now >= avoidUntil_; }
    /// True when no more than one fault stands since the last answer.
    bool isDoubtful() const { return faultsInRow_ <= 1; }
    /// Time of a call as a multiple of the usual one; 1 where nothing is known.
    double latencyRatio(TimePoint now) const;
    /// Share of recent calls that ended without a usable answer, fading with time.
    double lossRate(TimePoint now) const;
    /// Requests expected to run before a new one.
    double backlog(TimePoint now) const;
    size_t inFlight() const { return calls_.size(); }
    TimePoint lastAnswer() const { return lastAnswer_; }
    /// Time of the first of the faults in a row.
    TimePoint failingSince() const { return failingSince_; }

private:
    struct OpenCall {
        uint64_t id;
        TimePoint sentAt;
        Micros expected;
    };

    void recordFault(TimePoint now);
    void recordEnd(bool isLoss, TimePoint now);
    void recordDuration(TimePoint sentAt, Micros expected, TimePoint now);

    std::vector<OpenCall> calls_;
    double slowness_ = 1.0;
    TimePoint slownessAt_ {};
    double lossRate_ = 0;
    TimePoint lossAt_ {};
    TimePoint lastAnswer_ {};
    TimePoint lastFault_ {};
    TimePoint failingSince_ {};
    TimePoint avoidUntil_ {};
    /// Calls that ended unanswered since the last answer.
    uint32_t faultsInRow_ = 0;
    bool lacksConnection_ = false;
    int waiting_ = 0;
    TimePoint loadAt_ {};
};

} // namespace limpettrestle
