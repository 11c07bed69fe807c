#pragma once

/// Thread that calls the backend servers over HTTP, many calls at once on one event loop.

#include "hub.h"

namespace limpettrestle {

/// Runs until the hub is told to stop.
void runBackendIo(Hub& hub);

} // namespace limpettrestle
