#pragma once

/// Syntax of HTTP field names and values (RFC 9110, sections 5.5 and 5.6.2).

#include <algorithm>
#include <string_view>

namespace limpettrestle {

/// Returns true for the bytes of a token, such as a field name.
constexpr bool isTokenByte(unsigned char byte)
{
    constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
    const bool isLetter = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
    return isLetter || (byte >= '0' && byte <= '9') || kMarks.find(static_cast<char>(byte)) != std::string_view::npos;
}

/// Returns true for the bytes of a field value or a reason phrase: all but control characters, and tabs.
constexpr bool isTextByte(unsigned char byte)
{
    return byte == '\t' || (byte >= ' ' && byte != 0x7f);
}

inline bool isFieldName(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenByte);
}

inline bool isFieldValue(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), isTextByte);
}

} // namespace limpettrestle
