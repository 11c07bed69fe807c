#pragma once

/// Thread that calls the backend servers over HTTP. One event loop runs all calls concurrently.

#include "shared_state.h"

namespace limpettrestle {

/// Runs until `SharedState::isStopping` is set.
void runBackendIo(SharedState& shared);

} // namespace limpettrestle
