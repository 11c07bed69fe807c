#pragma once

/// Converts peer messages between their decision form and their Cap'n Proto form.

#include "../../proto/peer.capnp.h"
#include "limpettrestle/limpettrestle.h"

namespace limpettrestle {

void encodePeerMessage(const PeerMessage& message, wire::Message::Builder out);

/// Reads a received message. Returns `Ok`, `TruncatedMessage` or `ChecksumMismatch`; a message of
/// an unknown kind or with a value outside its enum is `BadValue`.
ResultCode decodePeerMessage(wire::Message::Reader in, PeerMessage& message);

} // namespace limpettrestle
