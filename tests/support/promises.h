#pragma once

/// Checks whether a run of the test bed kept the promises that the query tier makes to callers and
/// operators.

#include "bed.h"

namespace limpettrestle::tests {

enum class Promise : uint8_t {
    OneSnapshot,
    TrueCoverage,
    OwnAnswer,
    RefusedNotRun,
    AtMostOnce,
    Drain,
    GracefulShutdown,
    ConfigNeverReverts,
};
constexpr int kPromiseCount = 8;
std::string_view name(Promise promise);

/// A promise that was not kept.
struct Violation {
    Promise promise;
    std::string detail;
};

/// Checks every request sent so far, the servers' counts and the configuration versions of the
/// instances.
std::vector<Violation> checkPromises(const TestBed& bed);

} // namespace limpettrestle::tests
