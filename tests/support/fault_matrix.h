#pragma once

/// Fault matrix: injects every type of fault at every step. One table lists the types.

#include "promises.h"

namespace limpettrestle::tests {

/// The place at which a fault is injected.
struct FaultContext {
    /// Instance at which the step occurred; empty for a step of the platform.
    std::string instance;
    /// Peer or server involved in the step; may be empty.
    std::string other;
};

/// A type of fault, which is one row of the matrix.
struct FaultType {
    std::string_view name;
    void (*apply)(TestBed& bed, const FaultContext& context);
};

const std::vector<FaultType>& faultTypes();

/// One run of the matrix: up to two faults, each injected at its step.
struct Schedule {
    uint64_t seed = 1;
    struct Injection {
        Step step = Step::Accept;
        /// Index into `faultTypes()`.
        size_t fault = 0;
    };
    std::vector<Injection> injections;
};

struct ScheduleResult {
    /// Number of injections whose step occurred.
    size_t injectedCount = 0;
    std::vector<Violation> violations;
};

/// Runs a schedule, ends its faults, and checks all promises and the recovery.
ScheduleResult runSchedule(const Schedule& schedule);

/// Formats a schedule as "seed:step/fault[,step/fault]", for failure messages and replay.
std::string toString(const Schedule& schedule);
/// Parses the format of `toString()`; returns a schedule without injections on malformed input.
Schedule parseSchedule(const std::string& text);

} // namespace limpettrestle::tests
