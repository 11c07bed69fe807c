#pragma once

/// JSON encoding of answers, status and timeline, as served over HTTP.

#include "limpettrestle/limpettrestle.h"

#include <nlohmann/json.hpp>

namespace limpettrestle {

nlohmann::json toJson(const Answer& answer);
nlohmann::json toJson(const NodeStatus& status);
nlohmann::json toJson(const TimelineEvent& event, const std::string& instance);
nlohmann::json toJson(const NodeStats& stats);

/// Body of an error response that carries no request id.
nlohmann::json errorJson(ResultCode code, const std::string& detail);

/// Name, metric help text and member of one counter or gauge in `NodeStats`.
struct StatField {
    const char* name;
    const char* help;
    uint64_t NodeStats::*member;
    bool isGauge;
};
/// All fields of `NodeStats`, in the order in which status and metrics list them.
const std::vector<StatField>& statFields();

} // namespace limpettrestle
