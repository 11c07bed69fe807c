#include "replica_choice.h"

#include <algorithm>
#include <cmath>

namespace limpettrestle {

namespace {

    /// A replica in another zone must be faster by this factor to be preferred, because cross-zone traffic is billed.
    constexpr double kCrossZonePenalty = 1.25;
    /// Assumed slowdown of a replica during its warm-up.
    constexpr double kWarmupPenalty = 1.5;
    /// Replicas with a higher latency ratio than this are not chosen for a repeated call.
    constexpr double kMaxRepeatLatencyRatio = 3.0;

    /// Half-life of a replica's service time without answers, so that a slow one that has recovered is tried again.
    constexpr double kServiceTimeHalfLifeSeconds = 3.0;

    bool isExcluded(const ReplicaPtr& replica, std::span<const ReplicaPtr> excluded)
    {
        return std::find(excluded.begin(), excluded.end(), replica) != excluded.end();
    }

    bool hasUnlimitedReplica(std::span<const ReplicaPtr> candidates)
    {
        return std::any_of(candidates.begin(), candidates.end(), [](const ReplicaPtr& replica) { return replica->acceptsWork() && !replica->rate.isLimited(); });
    }

    /// True if a replica that is not restricted can take the call, or may get a repeat later.
    bool hasWarmReplica(const ChoiceQuery& query, TimePoint now)
    {
        return std::any_of(query.candidates.begin(), query.candidates.end(), [&](const ReplicaPtr& replica) {
            if (replica->rate.isRestricted(now) || !replica->acceptsWork() || replica->health.isBackingOff(now) || !replica->rate.mayCall(now))
                return false;
            return query.isRepeat || (!replica->health.isAvoided(now) && !replica->health.isUnresponsive(now));
        });
    }

    double expectedTime(const Replica& replica, const ChoiceQuery& query, TimePoint now)
    {
        const double slots = std::max<uint32_t>(replica.entry.slots, 1);
        const double waitRatio = std::max(0.0, replica.health.backlog(now) + replica.queued + 1 - slots) / slots;
        const double relativeTime = replica.health.latencyRatio(now) * (1.0 + waitRatio) + replica.health.lossRate(now) * query.lossCost;
        double time = relativeTime * static_cast<double>(query.expected.count());
        if (replica.warmup.isCold(now))
            time *= kWarmupPenalty;
        if (replica.entry.zone != query.zone)
            time *= kCrossZonePenalty;
        return time;
    }

    Micros serviceTime(const Replica& replica, TimePoint now)
    {
        const double age = std::chrono::duration<double>(now - replica.health.lastAnswer()).count();
        return std::chrono::duration_cast<Micros>(replica.load.serviceTime() * std::exp2(-age / kServiceTimeHalfLifeSeconds));
    }

    Micros waitFor(const Replica& replica, TimePoint now)
    {
        return replica.load.wait(replica.entry.slots, replica.queued, replica.health.inFlight(), now);
    }

    /// True if calls wait at the fastest replica for half a service time. The durations of calls then say more about
    /// the queues than about the replicas.
    bool isLoaded(std::span<const ReplicaPtr> candidates, TimePoint now)
    {
        const Replica* fastest = nullptr;
        for (const ReplicaPtr& replica : candidates) {
            if (!replica->acceptsWork() || replica->health.isBackingOff(now) || replica->health.isAvoided(now))
                continue;
            if (fastest == nullptr || serviceTime(*replica, now) < serviceTime(*fastest, now))
                fastest = replica.get();
        }
        return fastest != nullptr && waitFor(*fastest, now) > serviceTime(*fastest, now) / 2;
    }

} // namespace

ReplicaPtr chooseReplica(const ChoiceQuery& query, TimePoint now)
{
    const bool mayUseRestricted = query.scope == ChoiceScope::First && !hasWarmReplica(query, now);
    ReplicaPtr best;
    // Fallback when no other replica qualifies: one that is unresponsive, or that failed once a moment ago.
    ReplicaPtr fallback;
    double bestTime = 0;
    const bool hasQueues = isLoaded(query.candidates, now);
    const bool mayUseLimited = query.scope == ChoiceScope::First || hasUnlimitedReplica(query.candidates);
    for (const ReplicaPtr& replica : query.candidates) {
        if (!replica->acceptsWork() || replica->health.isBackingOff(now) || isExcluded(replica, query.excluded))
            continue;
        if (replica->rate.isLimited() && (!mayUseLimited || !replica->rate.mayCall(now)))
            continue;
        if (replica->rate.isRestricted(now) && (!mayUseRestricted || !replica->rate.mayCall(now)))
            continue;
        const bool isAvoided = replica->health.isAvoided(now);
        if (isAvoided || replica->health.isUnresponsive(now)) {
            const bool isUsable = !isAvoided || replica->health.hasAtMostOneFault();
            if (isUsable && (!fallback || replica->health.inFlight() < fallback->health.inFlight()))
                fallback = replica;
            continue;
        }
        if (query.scope == ChoiceScope::Repeat && replica->health.latencyRatio(now) > kMaxRepeatLatencyRatio)
            continue;
        const double time = hasQueues ? std::chrono::duration<double, std::micro>(serviceTime(*replica, now) + waitFor(*replica, now)).count() : expectedTime(*replica, query, now);
        if (!best || time < bestTime) {
            best = replica;
            bestTime = time;
        }
    }
    if (!best && query.scope == ChoiceScope::First)
        return fallback;
    return best;
}

} // namespace limpettrestle
