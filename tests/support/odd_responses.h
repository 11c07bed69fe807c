#pragma once

/// Responses that are no valid HTTP.

#include <string>
#include <vector>

namespace limpettrestle {

struct OddResponse {
    std::string what;
    std::string bytes;
};

/// Body that they announce.
inline const std::string kOddBody = "mine";

inline std::string oddHead(const std::string& statusLine, const std::string& fields = "")
{
    return statusLine + "\r\n" + fields + "Content-Length: 4\r\n\r\n";
}

/// Responses whose status is not one.
inline std::vector<OddResponse> responsesWithBadStatus()
{
    std::vector<OddResponse> responses;
    for (const char* status : { "000", "001", "099", "600", "999", "0", "20", "99", "1000", "2x0", "-20", "" })
        responses.push_back({ "status " + std::string(status), oddHead("HTTP/1.1 " + std::string(status) + " OK") + kOddBody });
    return responses;
}

} // namespace limpettrestle
