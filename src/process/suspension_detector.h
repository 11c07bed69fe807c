#pragma once

/// Distinguishes a suspension of the process from a delay that it caused itself by computing. Does no I/O.

#include "limpettrestle/routing.h"

#include <algorithm>
#include <optional>

namespace limpettrestle {

/// A periodic run that came late.
struct LateRun {
    /// Time by which the run was late.
    Millis delay { 0 };
    /// CPU time that the process used since the run before.
    Millis cpuTime { 0 };
    bool isSuspension = false;
};

class SuspensionDetector {
public:
    /// `processorShare`: CPU time that the process gets at most, in seconds a second.
    explicit SuspensionDetector(double processorShare)
        : processorShare_(processorShare)
    {
    }

    void start(TimePoint now, Micros cpuTime)
    {
        lastRunAt_ = now;
        lastCpuTime_ = cpuTime;
    }

    /// Records a run, due `period` after the one before. `cpuTime`: CPU time of the process since its start. Returns a value
    /// when the run is late.
    std::optional<LateRun> recordRun(TimePoint now, Micros cpuTime, Millis period)
    {
        const TimePoint::duration delay = now - lastRunAt_ - period;
        const Micros usedCpuTime = cpuTime - lastCpuTime_;
        start(now, cpuTime);
        if (delay < kThreshold)
            return std::nullopt;
        // What was computed within the period delayed nothing.
        const auto busyTime = std::chrono::duration_cast<Micros>(usedCpuTime / processorShare_);
        const auto explained = std::max(Micros(0), busyTime - period);
        return LateRun { std::chrono::duration_cast<Millis>(delay), std::chrono::duration_cast<Millis>(usedCpuTime), delay - explained >= kThreshold };
    }

    TimePoint lastRunAt() const { return lastRunAt_; }

private:
    /// A delay beyond this that the process has not computed means that it was suspended or got no CPU time.
    static constexpr Millis kThreshold { 1000 };

    const double processorShare_;
    TimePoint lastRunAt_ {};
    Micros lastCpuTime_ { 0 };
};

} // namespace limpettrestle
