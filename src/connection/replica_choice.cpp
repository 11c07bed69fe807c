#include "replica_choice.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    /// A replica in another zone must be this much quicker to be preferred: its bytes are paid for.
    constexpr double kOtherZoneFactor = 1.25;
    /// Expected slow-down of a replica that has just started, until replies tell.
    constexpr double kColdFactor = 1.5;
    /// Replicas slower than this many times the usual are no target for a repeat.
    constexpr double kTooSlowToRepeat = 3.0;

    bool isExcluded(const ReplicaPtr& replica, std::span<const ReplicaPtr> excluded)
    {
        return std::find(excluded.begin(), excluded.end(), replica) != excluded.end();
    }

    double expectedTime(const Replica& replica, const ChoiceQuery& query, TimePoint now)
    {
        const double slots = std::max<uint32_t>(replica.entry.slots, 1);
        const double waiting = std::max(0.0, replica.health.backlog(now) + replica.queued + 1 - slots) / slots;
        const double usual = replica.health.latencyRatio(now) * (1.0 + waiting) + replica.health.lossRate(now) * query.lossCost;
        double time = usual * static_cast<double>(query.expected.count());
        if (now < replica.warmUntil)
            time *= kColdFactor;
        if (replica.entry.zone != query.zone)
            time *= kOtherZoneFactor;
        return time;
    }

} // namespace

ReplicaPtr chooseReplica(const ChoiceQuery& query, TimePoint now)
{
    ReplicaPtr best;
    // Used when nothing better is left: one that is silent at present, or failed once just now.
    ReplicaPtr lastResort;
    double bestTime = 0;
    for (const ReplicaPtr& replica : query.candidates) {
        if (!replica->acceptsWork() || isExcluded(replica, query.excluded))
            continue;
        const bool isAvoided = replica->health.isAvoided(now);
        if (isAvoided || replica->health.isUnresponsive(now)) {
            const bool mayServe = !isAvoided || replica->health.isDoubtful();
            if (mayServe && (!lastResort || replica->health.inFlight() < lastResort->health.inFlight()))
                lastResort = replica;
            continue;
        }
        if (query.scope == ChoiceScope::Repeat && replica->health.latencyRatio(now) > kTooSlowToRepeat)
            continue;
        const double time = expectedTime(*replica, query, now);
        if (!best || time < bestTime) {
            best = replica;
            bestTime = time;
        }
    }
    if (!best && query.scope == ChoiceScope::First)
        return lastResort;
    return best;
}

} // namespace limpettrestle
