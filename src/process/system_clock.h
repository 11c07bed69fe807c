#pragma once

/// The system's clocks.

#include "limpettrestle/limpettrestle.h"

#include <ctime>

namespace limpettrestle {

class SystemClock final : public ClockI {
public:
    /// Counts the time of a suspension, unlike the steady clock: leases and evidence age through it.
    static constexpr clockid_t kMonotonicSource = CLOCK_BOOTTIME;

    TimePoint now() const override
    {
        timespec time {};
        clock_gettime(kMonotonicSource, &time);
        return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
    WallTime wallNow() const override { return std::chrono::system_clock::now(); }
};

} // namespace limpettrestle
