#pragma once

/// The daemon: starts a thread for each duty and joins them.

#include "hub.h"

namespace limpettrestle {

/// Runs the daemon until it has shut down after SIGTERM or SIGINT. Returns the exit code.
int runDaemon(const DaemonSettings& settings);

} // namespace limpettrestle
