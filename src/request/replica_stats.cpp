#include "replica_stats.h"

#include <cmath>

namespace limpettrestle {

namespace {

    constexpr int kLatencyWeight = 5;
    constexpr std::chrono::seconds kFadeTime { 3 };

} // namespace

void ReplicaStatsTable::onAnswered(ReplicaId id, Micros latency, TimePoint now)
{
    ReplicaStats& sight = sights_[id];
    sight.latency = sight.latency.count() == 0 ? latency : sight.latency + (latency - sight.latency) / kLatencyWeight;
    sight.updated = now;
}

void ReplicaStatsTable::onPredicted(ReplicaId id, PriorityClass priority, Micros wait, TimePoint now)
{
    ReplicaStats& sight = sights_[id];
    sight.predictedWait[static_cast<size_t>(priority)] = wait;
    sight.predictedAt[static_cast<size_t>(priority)] = now;
}

Micros ReplicaStatsTable::predictedWait(ReplicaId id, PriorityClass priority, TimePoint now) const
{
    const auto it = sights_.find(id);
    if (it == sights_.end())
        return Micros(0);
    const auto index = static_cast<size_t>(priority);
    const auto age = std::chrono::duration_cast<Micros>(now - it->second.predictedAt[index]);
    return std::max(Micros(0), it->second.predictedWait[index] - age);
}

void ReplicaStatsTable::onSlow(ReplicaId id, Micros age, TimePoint now)
{
    ReplicaStats& sight = sights_[id];
    sight.latency = std::max(sight.latency, age);
    sight.updated = now;
}

Micros ReplicaStatsTable::expected(ReplicaId id, PriorityClass priority, Micros typical, TimePoint now) const
{
    const auto it = sights_.find(id);
    if (it == sights_.end() || it->second.latency.count() == 0)
        return typical;
    const ReplicaStats& sight = it->second;
    const double age = std::chrono::duration<double>(now - sight.updated) / kFadeTime;
    const double weight = std::exp(-age);
    const double seen = static_cast<double>(sight.latency.count());
    const double queue = static_cast<double>(predictedWait(id, priority, now).count());
    const double blended = weight * seen + (1 - weight) * static_cast<double>(typical.count()) + queue;
    return Micros(static_cast<int64_t>(blended * (1.0 + 0.5 * sight.inFlight)));
}

} // namespace limpettrestle
