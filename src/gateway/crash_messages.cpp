#include "crash_messages.h"

#include "../bounded_json.h"
#include "../process/instance_directory.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    using nlohmann::json;

    /// Limit on ages, above the time for which evidence is kept.
    constexpr Micros kMaxAge = std::chrono::hours(48);

    int64_t encodeAge(TimePoint time, TimePoint now)
    {
        return std::chrono::duration_cast<Micros>(now - time).count();
    }

    Micros decodeAge(const json& value)
    {
        return std::clamp<Micros>(Micros(requireInteger<int64_t>(value)), Micros(0), kMaxAge);
    }

} // namespace

std::string encode(const CrashNotice& notice, TimePoint now)
{
    json reports = json::array();
    for (const CrashReport& report : notice.reports)
        reports.push_back(json::array({ report.replica.id, report.replica.startedAt, report.request.value, encodeAge(report.sentAt, now), encodeAge(report.endedAt, now) }));
    json cleared = json::array();
    for (const RequestFingerprint request : notice.cleared)
        cleared.push_back(request.value);
    const json root = { { "sender", notice.sender }, { "zone", notice.zone }, { "crashes", reports }, { "cleared", cleared } };
    return root.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<CrashNotice> decodeCrashNotice(const std::string& text, TimePoint now)
{
    // nlohmann::json throws when a field is missing or has the wrong type.
    try {
        const json root = parseBoundedJson(text);
        CrashNotice notice { root.at("sender").get<std::string>(), root.at("zone").get<std::string>(), {}, {} };
        const json& reports = root.at("crashes");
        const json& cleared = root.at("cleared");
        if (reports.size() > kMaxNoticeEntries || cleared.size() > kMaxNoticeEntries || notice.sender.size() > kMaxNameBytes || notice.zone.size() > kMaxNameBytes)
            return std::nullopt;
        for (const json& report : reports)
            notice.reports.push_back({ { report.at(0).get<std::string>(), requireInteger<int64_t>(report.at(1)) }, { requireInteger<uint64_t>(report.at(2)) }, now - decodeAge(report.at(3)), now - decodeAge(report.at(4)) });
        if (std::any_of(notice.reports.begin(), notice.reports.end(), [](const CrashReport& report) { return report.replica.id.size() > kMaxNameBytes; }))
            return std::nullopt;
        for (const json& request : cleared)
            notice.cleared.push_back({ requireInteger<uint64_t>(request) });
        return notice;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

json encodeQuarantines(const std::vector<QuarantineEntry>& entries)
{
    json list = json::array();
    for (const QuarantineEntry& entry : entries)
        list.push_back(json::array({ entry.request.value, entry.age.count(), entry.term }));
    return list;
}

std::vector<QuarantineEntry> decodeQuarantines(const json& list)
{
    std::vector<QuarantineEntry> entries;
    for (const json& entry : list) {
        if (entries.size() == kMaxQuarantineEntries)
            break;
        entries.push_back({ { requireInteger<uint64_t>(entry.at(0)) }, decodeAge(entry.at(1)), requireInteger<uint32_t>(entry.at(2)) });
    }
    return entries;
}

} // namespace limpettrestle
