#pragma once

/// Times between readings of the registry, derived from the time in which an instance must react.

#include "limpettrestle/routing.h"

#include <algorithm>

namespace limpettrestle {

struct RegistryPollTiming {
    /// Between two readings of a reader.
    Millis pause { 0 };
    /// For which the registry may hold a reader's call. Every replica reports each second or so, so that
    /// a longer silence means that the reading misses changes.
    Millis registryHold { 0 };
    /// For which a reader may hold a follower's call while nothing changes.
    Millis followerHold { 0 };
    /// Age of knowledge at which an instance reads for itself.
    Millis maxAge { 0 };

    static RegistryPollTiming forReactionTime(Millis reaction)
    {
        const auto share = [reaction](double part) { return std::chrono::duration_cast<Millis>(reaction * part); };
        RegistryPollTiming pace;
        pace.pause = share(kPauseShare);
        pace.registryHold = std::min(kLongestRegistryHold, share(kRegistryHoldShare));
        pace.followerHold = std::min(kLongestFollowerHold, share(kFollowerHoldShare));
        const Millis longest = pace.pause + pace.registryHold + pace.followerHold;
        pace.maxAge = std::min(share(kMaxAgeShare), longest + kAgeSlack);
        return pace;
    }

private:
    /// Shares of the reaction time. A follower's knowledge reaches 0.55 of it as a rule, 0.8 where the
    /// registry is silent, and is renewed then; the rest is for that reading.
    static constexpr double kPauseShare = 0.4;
    static constexpr double kRegistryHoldShare = 0.25;
    static constexpr double kFollowerHoldShare = 0.15;
    static constexpr double kMaxAgeShare = 0.8;
    /// A call without an answer for longer than this is taken as lost soon after.
    static constexpr Millis kLongestRegistryHold { 700 };
    static constexpr Millis kLongestFollowerHold { 600 };
    /// Both ways and the work of a busy instance.
    static constexpr Millis kAgeSlack { 300 };
};

} // namespace limpettrestle
