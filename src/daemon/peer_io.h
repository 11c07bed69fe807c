#pragma once

/// Thread that carries messages between instances over Cap'n Proto RPC.

#include "hub.h"

namespace limpettrestle {

/// Listens on the endpoint and sends what the decisions hand over, until the hub is told to stop.
/// Returns a code other than `Ok` when the endpoint cannot be listened on.
ResultCode runPeerIo(Hub& hub, const Endpoint& listen, std::atomic<bool>& isListening);

} // namespace limpettrestle
