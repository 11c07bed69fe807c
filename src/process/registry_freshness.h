#pragma once

/// Decides whether the end of an outage of the registry has just been seen, and until when removals wait after it. Does
/// no I/O.

#include "limpettrestle/routing.h"

#include <optional>

namespace limpettrestle {

class RegistryFreshness {
public:
    /// `maxCallGap`: maximum time from a failed call to the end of the next one while the registry is being read.
    explicit RegistryFreshness(Millis maxCallGap)
        : maxCallGap_(maxCallGap)
    {
    }

    /// Records the end of a call to the registry.
    void recordFailure(TimePoint now);
    void recordSuccess(TimePoint now);
    /// Records that reading has stopped because other instances have a recent state: the registry serves them.
    void recordStop() { lastFailureAt_.reset(); }

    /// True when the last call was the first success after failures.
    bool hasRecovered() const { return recoveredAt_.has_value(); }
    /// Returns the time until which removals wait after the last call; unset when they don't wait. `previousRead`: time of
    /// the newest read of the registry before that call, by this instance or by another one that has told of it.
    std::optional<TimePoint> removalsWaitUntil(TimePoint previousRead) const;
    /// Returns the time until which removals wait from `now` on while replicas may have to register again.
    static TimePoint registeredAgainAt(TimePoint now);

private:
    const Millis maxCallGap_;
    std::optional<TimePoint> lastFailureAt_;
    /// Time of the last call, if it was the first success after failures.
    std::optional<TimePoint> recoveredAt_;
};

} // namespace limpettrestle
