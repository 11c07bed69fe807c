#pragma once

/// HTTP/1.1 messages and helpers shared by clients and servers.

#include "limpettrestle/routing.h"

#include <charconv>

namespace limpettrestle {

struct HttpRequest {
    std::string method;
    std::string target;
    std::string host;
    std::vector<HeaderField> headers;
    std::string body;
    /// Time that the request and its answer spend on the way, as the connection has shown.
    Micros transitTime { 0 };
};

struct HttpResponse {
    int status = 0;
    std::vector<HeaderField> headers;
    std::string body;
    /// The sender ends the connection after this message.
    bool isLast = false;
};

/// Items of a comma-separated list without the blanks around them.
std::vector<std::string_view> splitList(std::string_view text);
bool equalsIgnoringCase(std::string_view a, std::string_view b);
/// False unless the whole text is a decimal number of the type.
template <typename Number>
bool parseNumber(std::string_view text, Number& out)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    return error == std::errc() && end == text.data() + text.size();
}

/// Value of the first header of that name (any case); null when absent.
const std::string* findHeader(const std::vector<HeaderField>& headers, std::string_view name);
/// Removes headers that concern one connection only, and those that `Connection` names.
void removeHopByHop(std::vector<HeaderField>& headers);
std::string_view reasonPhrase(int status);
/// Appends "name: value" and a line end.
void appendHeader(std::string& out, std::string_view name, std::string_view value);
/// Seconds of `Keep-Alive: timeout=N`; negative when absent.
int keepAliveSeconds(const std::vector<HeaderField>& headers);

} // namespace limpettrestle
