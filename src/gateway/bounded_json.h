#pragma once

/// Decoding of MessagePack from other processes with a limit on nesting.

#include <nlohmann/json.hpp>
#include <string>

namespace limpettrestle {

/// Returns a discarded value when the input is malformed or nested more deeply than any message of the project. The
/// library's own decoder recurses once per level, so that a short message could exhaust the stack.
nlohmann::json decodeMessagePack(const std::string& bytes);

} // namespace limpettrestle
