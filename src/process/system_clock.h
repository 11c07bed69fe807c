#pragma once

/// The system's clocks.

#include "limpettrestle/limpettrestle.h"

namespace limpettrestle {

class SystemClock final : public ClockI {
public:
    TimePoint now() const override { return std::chrono::steady_clock::now(); }
    WallTime wallNow() const override { return std::chrono::system_clock::now(); }
};

} // namespace limpettrestle
