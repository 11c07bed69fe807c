#pragma once

/// HTTP calls of the command-line tool.

#include "../daemon/settings.h"

#include <nlohmann/json.hpp>

namespace limpettrestle::ctl {

/// Response to a call. `code` is `PeerUnreachable` when there was none, or none whose status is final; otherwise it is `Ok`,
/// regardless of the HTTP status.
struct CallResult {
    ResultCode code = ResultCode::Ok;
    int status = 0;
    /// Body parsed as JSON; discarded when it is not JSON.
    nlohmann::json body;
    /// Body as received.
    std::string text;
};

CallResult get(const Endpoint& endpoint, const std::string& path);
CallResult post(const Endpoint& endpoint, const std::string& path, const nlohmann::json& body);

} // namespace limpettrestle::ctl
