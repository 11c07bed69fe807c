#include "http_message.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <http_parser.h>

namespace limpettrestle {

namespace {

    constexpr std::array<std::string_view, 10> kHopByHop = { "connection", "keep-alive", "proxy-connection", "proxy-authenticate",
        "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "content-length" };

    constexpr std::string_view kTimeoutParameter = "timeout=";

    constexpr int kNoContent = 204;
    constexpr int kNotModified = 304;

    bool isHopByHop(std::string_view name)
    {
        return std::any_of(kHopByHop.begin(), kHopByHop.end(), [name](std::string_view hop) { return equalsIgnoringCase(hop, name); });
    }

} // namespace

std::vector<std::string_view> splitList(std::string_view text)
{
    constexpr std::string_view kWhitespace = " \t";
    std::vector<std::string_view> items;
    while (true) {
        const size_t comma = text.find(',');
        std::string_view item = text.substr(0, comma);
        item.remove_prefix(std::min(item.find_first_not_of(kWhitespace), item.size()));
        item = item.substr(0, item.find_last_not_of(kWhitespace) + 1);
        items.push_back(item);
        if (comma == std::string_view::npos)
            return items;
        text.remove_prefix(comma + 1);
    }
}

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
        [](unsigned char left, unsigned char right) { return std::tolower(left) == std::tolower(right); });
}

const std::string* findHeader(const std::vector<HeaderField>& headers, std::string_view name)
{
    for (const HeaderField& header : headers) {
        if (equalsIgnoringCase(header.name, name))
            return &header.value;
    }
    return nullptr;
}

void removeHopByHop(std::vector<HeaderField>& headers)
{
    std::vector<std::string> connectionTokens;
    for (const HeaderField& header : headers) {
        if (!equalsIgnoringCase(header.name, "connection"))
            continue;
        for (const std::string_view token : splitList(header.value))
            connectionTokens.emplace_back(token);
    }
    std::erase_if(headers, [&connectionTokens](const HeaderField& header) {
        return isHopByHop(header.name) || std::any_of(connectionTokens.begin(), connectionTokens.end(), [&header](const std::string& name) { return equalsIgnoringCase(name, header.name); });
    });
}

std::string_view reasonPhrase(int status)
{
    return http_status_str(static_cast<http_status>(status));
}

bool allowsBody(int status)
{
    return status >= 200 && status != kNoContent && status != kNotModified;
}

void appendHeader(std::string& out, std::string_view name, std::string_view value)
{
    out.append(name);
    out.append(": ");
    out.append(value);
    out.append("\r\n");
}

std::optional<std::chrono::seconds> keepAliveTimeout(const std::vector<HeaderField>& headers)
{
    const std::string* value = findHeader(headers, "keep-alive");
    if (value == nullptr)
        return std::nullopt;
    for (const std::string_view token : splitList(*value)) {
        int seconds = 0;
        if (token.starts_with(kTimeoutParameter) && parseNumber(token.substr(kTimeoutParameter.size()), seconds) && seconds >= 0)
            return std::chrono::seconds(seconds);
    }
    return std::nullopt;
}

} // namespace limpettrestle
