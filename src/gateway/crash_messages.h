#pragma once

/// Messages between instances about requests that crash replicas.

#include "../process/crash_ledger.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace limpettrestle {

/// Notice to other instances: `POST /crashes`. Times travel as ages, because instances do not share a clock.
struct CrashNotice {
    std::string sender;
    /// Zone of the sender. A receiver in another zone passes new reports on to its own zone.
    std::string zone;
    std::vector<CrashReport> reports;
    /// Requests that a replica has answered.
    std::vector<RequestFingerprint> cleared;
};

constexpr std::string_view kCrashesPath = "/crashes";
/// Limit on the reports in a notice, and on the cleared requests.
constexpr size_t kMaxNoticeEntries = 256;
/// Limit on the quarantines in a reply to a follower.
constexpr size_t kMaxQuarantineEntries = 256;

std::string encode(const CrashNotice& notice, TimePoint now);
/// Returns no value when the input is malformed.
std::optional<CrashNotice> decodeCrashNotice(const std::string& text, TimePoint now);

/// Encodes quarantines as part of another message.
nlohmann::json encodeQuarantines(const std::vector<QuarantineEntry>& entries);
/// Throws `nlohmann::json::exception` when the input is malformed.
std::vector<QuarantineEntry> decodeQuarantines(const nlohmann::json& list);

} // namespace limpettrestle
