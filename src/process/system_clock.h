#pragma once

/// Clock based on the clocks of the operating system.

#include "limpettrestle/limpettrestle.h"

#include <ctime>

namespace limpettrestle {

class SystemClock final : public ClockI {
public:
    /// Unlike CLOCK_MONOTONIC, it advances while the system is suspended, so that leases and evidence expire then.
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
