#pragma once

/// The fault matrix: every fault at every step, driven by one table.

#include "promises.h"

namespace limpettrestle::tests {

/// Where a fault strikes.
struct FaultContext {
    /// Instance at which the step was seen; empty for a step of the platform.
    std::string host;
    /// Peer or server that the step concerns; may be empty.
    std::string other;
};

/// One column of the matrix.
struct FaultRow {
    std::string_view name;
    void (*apply)(Bed& bed, const FaultContext& context);
};

const std::vector<FaultRow>& faultRows();

/// One schedule: up to two faults, each at its step.
struct Schedule {
    uint64_t seed = 1;
    struct Strike {
        Step step = Step::Accept;
        size_t fault = 0;
    };
    std::vector<Strike> strikes;
};

struct ScheduleResult {
    /// Strikes that took place.
    size_t fired = 0;
    std::vector<Violation> violations;
};

/// Runs a schedule and checks all promises.
ScheduleResult runSchedule(const Schedule& schedule);

/// Text that names a schedule, for failure messages and replay: "seed:step/fault[,step/fault]".
std::string toString(const Schedule& schedule);
/// Parses that text; no strikes on malformed input.
Schedule parseSchedule(const std::string& text);

} // namespace limpettrestle::tests
