#pragma once

/// Decoding of JSON and MessagePack from other processes with a limit on nesting, and of their integers with a check of
/// the range.

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

namespace limpettrestle {

/// Returns a discarded value when the input is malformed or nested too deeply. Each level of nesting takes far more
/// memory than its bytes in the input.
nlohmann::json parseBoundedJson(const std::string& text);
/// Returns a discarded value when the input is malformed or nested too deeply. The library's own decoder recurses once
/// per level, so that a short message could exhaust the stack.
nlohmann::json decodeMessagePack(const std::string& bytes);

/// Returns an integer; no value when it is none or out of the range of the type, for which the library's own conversion
/// returns another number.
template <typename Number>
std::optional<Number> integerOf(const nlohmann::json& value)
{
    if (value.is_number_unsigned()) {
        const auto number = value.get<uint64_t>();
        return std::in_range<Number>(number) ? std::optional<Number>(static_cast<Number>(number)) : std::nullopt;
    }
    if (!value.is_number_integer())
        return std::nullopt;
    const auto number = value.get<int64_t>();
    return std::in_range<Number>(number) ? std::optional<Number>(static_cast<Number>(number)) : std::nullopt;
}

/// Throws `nlohmann::json::exception`, as the accessors of the library do.
[[noreturn]] void throwOutOfRange(const nlohmann::json& value);

/// Returns an integer; throws `nlohmann::json::exception` when it is none or out of the range of the type.
template <typename Number>
Number requireInteger(const nlohmann::json& value)
{
    const std::optional<Number> number = integerOf<Number>(value);
    if (!number)
        throwOutOfRange(value);
    return *number;
}

} // namespace limpettrestle
