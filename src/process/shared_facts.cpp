#include "shared_facts.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <xxhash.h>

namespace limpettrestle {

namespace {

    /// Ages change in transit, so that ends within this time of each other count as equal.
    constexpr Millis kEndTolerance { 250 };

    struct KindName {
        FactKind kind;
        std::string_view name;
    };
    constexpr std::array kKindNames = {
        KindName { FactKind::ZoneEvacuated, "zone_evacuated" },
        KindName { FactKind::ReplicaCold, "replica_cold" },
    };

    /// Returns the later of two ends, or `current` if they are about equal.
    bool endsLater(TimePoint current, TimePoint other)
    {
        return other == TimePoint::max() ? current != TimePoint::max() : current != TimePoint::max() && other > current + kEndTolerance;
    }

} // namespace

std::string_view name(FactKind value)
{
    const auto* found = std::find_if(kKindNames.begin(), kKindNames.end(), [value](const KindName& entry) { return entry.kind == value; });
    return found == kKindNames.end() ? "unknown" : found->name;
}

std::optional<FactKind> factKindOf(std::string_view name)
{
    const auto* found = std::find_if(kKindNames.begin(), kKindNames.end(), [name](const KindName& entry) { return entry.name == name; });
    return found == kKindNames.end() ? std::nullopt : std::optional(found->kind);
}

bool SharedFacts::merge(const SharedFact& fact, TimePoint now)
{
    if (fact.endsAt <= now)
        return false;
    const auto found = facts_.find(Key(fact.kind, fact.subject));
    if (found == facts_.end()) {
        if (facts_.size() >= kMaxFacts)
            return false;
        facts_[Key(fact.kind, fact.subject)] = fact;
        updateDigest();
        return true;
    }
    SharedFact& known = found->second;
    const bool isNewer = fact.version > known.version;
    const bool isProlonged = fact.version == known.version && fact.holds == known.holds && endsLater(known.endsAt, fact.endsAt);
    if (!isNewer && !isProlonged)
        return false;
    known = fact;
    updateDigest();
    return true;
}

const SharedFact* SharedFacts::find(FactKind kind, const std::string& subject) const
{
    const auto found = facts_.find(Key(kind, subject));
    return found == facts_.end() ? nullptr : &found->second;
}

bool SharedFacts::holds(FactKind kind, const std::string& subject, TimePoint now) const
{
    const SharedFact* fact = find(kind, subject);
    return fact != nullptr && fact->holds && now < fact->endsAt;
}

std::vector<SharedFact> SharedFacts::ofKind(FactKind kind) const
{
    std::vector<SharedFact> facts = all();
    std::erase_if(facts, [kind](const SharedFact& fact) { return fact.kind != kind; });
    return facts;
}

std::vector<SharedFact> SharedFacts::all() const
{
    std::vector<SharedFact> facts;
    facts.reserve(facts_.size());
    for (const auto& [key, fact] : facts_)
        facts.push_back(fact);
    std::sort(facts.begin(), facts.end(), [](const SharedFact& a, const SharedFact& b) { return std::tie(a.kind, a.subject) < std::tie(b.kind, b.subject); });
    return facts;
}

void SharedFacts::expire(TimePoint now)
{
    if (absl::erase_if(facts_, [now](const auto& entry) { return entry.second.endsAt <= now; }) > 0)
        updateDigest();
}

void SharedFacts::updateDigest()
{
    std::string text;
    // Ends are left out: they are times of this process.
    for (const SharedFact& fact : all())
        fmt::format_to(std::back_inserter(text), "{} {} {} {} {}\n", name(fact.kind), fact.subject, fact.holds, fact.version.era, fact.version.number);
    digest_ = text.empty() ? 0 : XXH64(text.data(), text.size(), 0) | 1;
}

} // namespace limpettrestle
