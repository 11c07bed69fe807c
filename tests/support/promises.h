#pragma once

/// Checks of the promises on what the test bed saw.

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

/// A promise that did not hold.
struct Violation {
    Promise promise;
    std::string detail;
};

/// Checks every request that has been sent so far, and the servers' counts.
std::vector<Violation> checkPromises(const Bed& bed);

} // namespace limpettrestle::tests
