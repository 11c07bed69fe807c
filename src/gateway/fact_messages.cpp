#include "fact_messages.h"

#include "../bounded_json.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    using nlohmann::json;

    /// Limit on ages and remaining times, far above those that occur.
    constexpr Millis kMaxTime = std::chrono::hours(24 * 365);
    /// Time left of a fact that does not end by itself.
    constexpr int64_t kNoEnd = -1;
    /// Number of fields of an entry; later builds may append more.
    constexpr size_t kEntryFields = 8;

    Millis clampTime(int64_t millis)
    {
        return std::clamp<Millis>(Millis(millis), Millis(0), kMaxTime);
    }

} // namespace

FactEntry toEntry(const SharedFact& fact, TimePoint now)
{
    FactEntry entry { fact.kind, fact.subject, fact.holds, fact.version, fact.source };
    entry.age = std::chrono::duration_cast<Millis>(now - fact.learnedAt);
    if (fact.endsAt != TimePoint::max())
        entry.timeLeft = std::chrono::ceil<Millis>(fact.endsAt - now);
    return entry;
}

SharedFact toFact(const FactEntry& entry, TimePoint now)
{
    SharedFact fact { entry.kind, entry.subject, entry.holds, entry.version, entry.source, now - entry.age };
    if (entry.timeLeft)
        fact.endsAt = now + *entry.timeLeft;
    return fact;
}

json encodeFacts(const std::vector<FactEntry>& entries)
{
    json list = json::array();
    for (const FactEntry& entry : entries) {
        const int64_t timeLeft = entry.timeLeft ? entry.timeLeft->count() : kNoEnd;
        list.push_back(json::array({ name(entry.kind), entry.subject, entry.holds, entry.version.era, entry.version.number, entry.source, entry.age.count(), timeLeft }));
    }
    return list;
}

std::vector<FactEntry> decodeFacts(const json& list)
{
    std::vector<FactEntry> entries;
    for (const json& value : list) {
        const std::optional<FactKind> kind = factKindOf(value.at(0).get<std::string>());
        if (!kind || value.size() < kEntryFields || entries.size() == SharedFacts::kMaxFacts)
            continue;
        FactEntry& entry = entries.emplace_back(FactEntry { *kind, value.at(1).get<std::string>(), value.at(2).get<bool>() });
        entry.version = { requireInteger<uint64_t>(value.at(3)), requireInteger<uint64_t>(value.at(4)) };
        entry.source = value.at(5).get<std::string>();
        entry.age = clampTime(requireInteger<int64_t>(value.at(6)));
        const int64_t timeLeft = requireInteger<int64_t>(value.at(7));
        if (timeLeft != kNoEnd)
            entry.timeLeft = clampTime(timeLeft);
    }
    return entries;
}

} // namespace limpettrestle
