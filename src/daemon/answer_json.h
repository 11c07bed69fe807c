#pragma once

/// JSON forms of answers, status and time line, as served over HTTP.

#include "limpettrestle/limpettrestle.h"

#include <nlohmann/json.hpp>

namespace limpettrestle {

nlohmann::json toJson(const Answer& answer);
nlohmann::json toJson(const NodeStatus& status);
nlohmann::json toJson(const TimelineEvent& event, const std::string& instance);
nlohmann::json toJson(const NodeStats& stats);

/// Body of an error that is not tied to a request.
nlohmann::json errorJson(ResultCode code, const std::string& detail);

/// One counter or gauge of the node's statistics.
struct StatField {
    const char* name;
    const char* help;
    uint64_t NodeStats::*member;
    bool isGauge;
};
const std::vector<StatField>& statFields();

} // namespace limpettrestle
