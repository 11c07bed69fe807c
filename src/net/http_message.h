#pragma once

/// HTTP/1.1 messages and helpers shared by clients and servers.

#include "limpettrestle/routing.h"

#include <charconv>
#include <chrono>
#include <memory>
#include <optional>

namespace limpettrestle {

struct HttpRequest {
    std::string method;
    std::string target;
    std::string host;
    std::vector<HeaderField> headers;
    std::string body;
    /// Transit time of the request and its response together, estimated from the connection's round-trip time.
    Micros transitTime { 0 };
    /// Counts the memory of the request until all copies are destroyed; null if the request is small.
    std::shared_ptr<const void> memory;
};

struct HttpResponse {
    int status = 0;
    std::vector<HeaderField> headers;
    std::string body;
    /// The sender closes the connection after this message.
    bool isLast = false;
};

/// Splits a comma-separated list and trims spaces and tabs around the items.
std::vector<std::string_view> splitList(std::string_view text);
bool equalsIgnoringCase(std::string_view a, std::string_view b);
/// Parses a decimal number. Returns false unless the whole text is a number in the range of the type.
template <typename Number>
bool parseNumber(std::string_view text, Number& out)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    return error == std::errc() && end == text.data() + text.size();
}

/// Returns the value of the first header with this name, ignoring case; null when there is none.
const std::string* findHeader(const std::vector<HeaderField>& headers, std::string_view name);
/// Removes hop-by-hop headers, including those listed in `Connection`.
void removeHopByHop(std::vector<HeaderField>& headers);
std::string_view reasonPhrase(int status);
/// Returns false if a response with this status ends with its head, whatever its headers announce (RFC 9112, section 6.3).
bool allowsBody(int status);
/// Appends "name: value" and CRLF.
void appendHeader(std::string& out, std::string_view name, std::string_view value);
/// Returns the time of `Keep-Alive: timeout=SECONDS`; no value when it is absent.
std::optional<std::chrono::seconds> keepAliveTimeout(const std::vector<HeaderField>& headers);

} // namespace limpettrestle
