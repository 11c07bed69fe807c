#pragma once

/// HTTP calls of the command-line tool.

#include "../daemon/settings.h"

#include <nlohmann/json.hpp>

namespace limpettrestle::ctl {

/// Answer to a call; `code` is `PeerUnreachable` when there was none.
struct CallResult {
    ResultCode code = ResultCode::Ok;
    int status = 0;
    nlohmann::json body;
    std::string text;
};

CallResult get(const Endpoint& endpoint, const std::string& path);
CallResult post(const Endpoint& endpoint, const std::string& path, const nlohmann::json& body);

} // namespace limpettrestle::ctl
