#pragma once

/// Intervals and long-poll timeouts for reading the registry, derived from the required reaction time.

#include "limpettrestle/routing.h"

#include <algorithm>

namespace limpettrestle {

struct RegistryPollTiming {
    /// Pause of a reader between two reads of the registry.
    Millis pause { 0 };
    /// Long-poll timeout of a reader's call to the registry. Every replica reports about once per second, so a call
    /// without changes for longer than that means that the reader misses changes.
    Millis registryHold { 0 };
    /// Long-poll timeout of a follower's call to a reader.
    Millis followerHold { 0 };
    /// Age of the cluster state at which an instance reads the registry itself.
    Millis maxAge { 0 };

    static RegistryPollTiming forReactionTime(Millis reaction)
    {
        const auto fractionOf = [reaction](double fraction) { return std::chrono::duration_cast<Millis>(reaction * fraction); };
        RegistryPollTiming timing;
        timing.pause = fractionOf(kPauseFraction);
        timing.registryHold = std::min(kMaxRegistryHold, fractionOf(kRegistryHoldFraction));
        timing.followerHold = std::min(kMaxFollowerHold, fractionOf(kFollowerHoldFraction));
        const Millis cycle = timing.pause + timing.registryHold + timing.followerHold;
        timing.maxAge = std::min(fractionOf(kMaxAgeFraction), cycle + kAgeSlack);
        return timing;
    }

private:
    /// Fractions of the reaction time. The age of a follower's cluster state usually reaches 0.55 of it (pause and
    /// follower hold), and 0.8 when the registry also holds the call. At that age the follower reads the registry
    /// itself, for which the remaining time is reserved.
    static constexpr double kPauseFraction = 0.4;
    static constexpr double kRegistryHoldFraction = 0.25;
    static constexpr double kFollowerHoldFraction = 0.15;
    static constexpr double kMaxAgeFraction = 0.8;
    /// A call that is unanswered for longer than this counts as lost soon after.
    static constexpr Millis kMaxRegistryHold { 700 };
    static constexpr Millis kMaxFollowerHold { 600 };
    /// Allowance for the network round trip and the processing time of a busy instance.
    static constexpr Millis kAgeSlack { 300 };
};

} // namespace limpettrestle
