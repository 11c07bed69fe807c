#pragma once

/// CPU time of the process.

#include "limpettrestle/limpettrestle.h"

#include <ctime>

namespace limpettrestle {

class CpuClockI {
public:
    virtual ~CpuClockI() = default;
    /// CPU time that the process has used since its start.
    virtual Micros used() const = 0;
};

class SystemCpuClock final : public CpuClockI {
public:
    Micros used() const override
    {
        timespec time {};
        clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
        return std::chrono::duration_cast<Micros>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
};

} // namespace limpettrestle
