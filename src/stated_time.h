#pragma once

/// Limit on times that entries, configurations and messages state.

#include "limpettrestle/limpettrestle.h"

namespace limpettrestle {

/// Longer times are not accepted: added to a point in time, they might exceed its range.
constexpr Millis kMaxStatedTime = std::chrono::hours(24 * 365);

} // namespace limpettrestle
