#pragma once

/// Encodes and decodes peer messages as Cap'n Proto.

#include "../../proto/peer.capnp.h"
#include "limpettrestle/limpettrestle.h"

namespace limpettrestle {

void encodePeerMessage(const PeerMessage& message, wire::Message::Builder out);

/// Decodes a received message. Returns `Ok`, `TruncatedMessage` when the message ends early or a
/// pointer leaves it, or `BadValue` when the sender is invalid, the kind unknown or a value outside
/// its enum. An execute result whose body does not match its checksum is decoded with the code
/// `ChecksumMismatch`.
ResultCode decodePeerMessage(wire::Message::Reader in, PeerMessage& message);

} // namespace limpettrestle
