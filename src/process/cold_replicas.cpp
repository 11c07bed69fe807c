#include "cold_replicas.h"

namespace limpettrestle {

namespace {

    /// Source of facts that an instance has learned itself.
    constexpr std::string_view kOwnSource = "replica";

    bool concerns(const SharedFact& fact, const Replica& replica)
    {
        return fact.version.number == static_cast<uint64_t>(replica.entry.startedAt);
    }

} // namespace

std::vector<SharedFact> coldReplicaFacts(const ReplicaDirectory& directory, TimePoint now)
{
    std::vector<SharedFact> facts;
    for (const auto& [id, replica] : directory.all()) {
        const TimePoint end = replica->warmup.observedUntil();
        if (end <= now)
            continue;
        const FactVersion version { 0, static_cast<uint64_t>(replica->entry.startedAt) };
        facts.push_back({ FactKind::ReplicaCold, id, true, version, std::string(kOwnSource), now, end });
    }
    return facts;
}

void applyColdReplicaFacts(const std::vector<SharedFact>& facts, ReplicaDirectory& directory, TimePoint now)
{
    for (const SharedFact& fact : facts) {
        if (fact.kind != FactKind::ReplicaCold || !fact.holds)
            continue;
        const ReplicaPtr replica = directory.find(fact.subject);
        if (replica && concerns(fact, *replica))
            directory.noteObservedWarmup(replica, fact.endsAt, now);
    }
}

ColdReplicaMonitor::Changes ColdReplicaMonitor::update(const ReplicaDirectory& directory, TimePoint now)
{
    Changes changes;
    absl::flat_hash_map<std::string, ReplicaPtr> cold;
    for (const auto& [id, replica] : directory.all()) {
        if (!replica->warmup.isCold(now))
            continue;
        cold[id] = replica;
        const auto before = cold_.find(id);
        if (before == cold_.end() || before->second != replica)
            changes.begun.push_back(replica);
    }
    for (const auto& [id, replica] : cold_) {
        if (!cold.contains(id) && replica->isListed)
            changes.ended.push_back(replica);
    }
    cold_ = std::move(cold);
    return changes;
}

} // namespace limpettrestle
