#pragma once

/// Schedule of a planned stop: until when requests are processed and answered, and when the process ends. Does no I/O.

#include "limpettrestle/routing.h"

#include <algorithm>

namespace limpettrestle {

class StopSchedule {
public:
    /// `requestedAt`: earliest time at which the stop may have been requested. `grace`: time after the request at which the
    /// platform kills the process.
    void begin(TimePoint requestedAt, Millis grace)
    {
        hasBegun_ = true;
        const Millis margin = std::min(kAnswerMargin, grace / kMinAnswerMarginDivisor);
        answerBy_ = requestedAt + grace - margin;
        exitBy_ = requestedAt + grace - margin / kExitMarginDivisor;
        earliestExit_ = std::min(requestedAt + kBalancerLag, answerBy_);
    }

    bool hasBegun() const { return hasBegun_; }
    /// Time at which every open request has been answered. Valid only after `begin()`.
    TimePoint answerBy() const { return answerBy_; }
    /// True once the load balancer sends no new connections, so that the process may end when nothing is open.
    bool mayStopAccepting(TimePoint now) const { return hasBegun_ && now >= earliestExit_; }
    /// True when the process must end, whatever is open.
    bool mustExit(TimePoint now) const { return hasBegun_ && now >= exitBy_; }

private:
    /// The load balancer takes two failed readiness checks, one second apart, to stop sending requests.
    static constexpr Millis kBalancerLag { 2500 };
    /// Time before the end of the grace period at which the last answers are given, so that callers receive them and the
    /// process ends by itself.
    static constexpr Millis kAnswerMargin { 1000 };
    /// The margin is at most the grace period divided by this.
    static constexpr int kMinAnswerMarginDivisor = 4;
    /// Part of the margin that remains when the process ends.
    static constexpr int kExitMarginDivisor = 2;

    bool hasBegun_ = false;
    TimePoint answerBy_ {};
    TimePoint exitBy_ {};
    TimePoint earliestExit_ {};
};

} // namespace limpettrestle
