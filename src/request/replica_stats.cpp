#include "replica_stats.h"

#include <cmath>

namespace limpettrestle {

namespace {

    /// A new sample enters the moving average with the weight 1 / `kLatencyWeightDivisor`.
    constexpr int kLatencyWeightDivisor = 5;
    /// Time constant of the decay towards the typical latency.
    constexpr std::chrono::seconds kLatencyDecayTime { 3 };

} // namespace

void ReplicaStatsTable::onAnswered(ReplicaId id, Micros latency, TimePoint now)
{
    ReplicaStats& stats = stats_[id];
    stats.latency = stats.latency.count() == 0 ? latency : stats.latency + (latency - stats.latency) / kLatencyWeightDivisor;
    stats.updatedAt = now;
}

void ReplicaStatsTable::onWaitPredicted(ReplicaId id, PriorityClass priority, Micros wait, TimePoint now)
{
    ReplicaStats& stats = stats_[id];
    stats.predictedWait[static_cast<size_t>(priority)] = wait;
    stats.predictedAt[static_cast<size_t>(priority)] = now;
}

Micros ReplicaStatsTable::predictedWait(ReplicaId id, PriorityClass priority, TimePoint now) const
{
    const auto it = stats_.find(id);
    if (it == stats_.end())
        return Micros(0);
    const auto index = static_cast<size_t>(priority);
    const auto age = std::chrono::duration_cast<Micros>(now - it->second.predictedAt[index]);
    return std::max(Micros(0), it->second.predictedWait[index] - age);
}

void ReplicaStatsTable::onUnanswered(ReplicaId id, Micros age, TimePoint now)
{
    ReplicaStats& stats = stats_[id];
    stats.latency = std::max(stats.latency, age);
    stats.updatedAt = now;
}

Micros ReplicaStatsTable::expectedLatency(ReplicaId id, PriorityClass priority, Micros typicalLatency, TimePoint now) const
{
    const auto it = stats_.find(id);
    if (it == stats_.end() || it->second.latency.count() == 0)
        return typicalLatency;
    const ReplicaStats& stats = it->second;
    const double relativeAge = std::chrono::duration<double>(now - stats.updatedAt) / kLatencyDecayTime;
    const double weight = std::exp(-relativeAge);
    const double observed = static_cast<double>(stats.latency.count());
    const double queueWait = static_cast<double>(predictedWait(id, priority, now).count());
    const double estimate = weight * observed + (1 - weight) * static_cast<double>(typicalLatency.count()) + queueWait;
    return Micros(static_cast<int64_t>(estimate * (1.0 + 0.5 * stats.inFlight)));
}

} // namespace limpettrestle
