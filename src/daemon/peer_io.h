#pragma once

/// Thread that exchanges messages with other instances over Cap'n Proto RPC.

#include "shared_state.h"

namespace limpettrestle {

/// Accepts connections on `listen` and sends the messages of `SharedState::peerMessages` until
/// `SharedState::isStopping` is set. Sets `isListening` once the socket is bound. Returns `Internal`
/// when it cannot be bound.
ResultCode runPeerIo(SharedState& shared, const Endpoint& listen, std::atomic<bool>& isListening);

} // namespace limpettrestle
