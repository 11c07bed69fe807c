#pragma once

/// Entry point of the daemon: starts its threads and joins them at shutdown.

#include "shared_state.h"

namespace limpettrestle {

/// Runs the daemon until SIGTERM or SIGINT shuts it down. Returns 1 when a port cannot be bound; exits
/// the process with code 0 after a shutdown.
int runDaemon(const DaemonSettings& settings);

} // namespace limpettrestle
