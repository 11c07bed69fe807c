#pragma once

/// Messages that relay whole requests between instances: `POST /relay` with a MessagePack array.

#include "limpettrestle/routing.h"

#include <optional>

namespace limpettrestle {

constexpr std::string_view kRelayPath = "/relay";

std::string encode(const RelayRequest& request);
/// Returns no value when the input is malformed.
std::optional<RelayRequest> decodeRelayRequest(const std::string& bytes);
std::string encode(const RelayReply& reply);
/// Returns no value when the input is malformed.
std::optional<RelayReply> decodeRelayReply(const std::string& bytes);

} // namespace limpettrestle
