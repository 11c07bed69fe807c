#pragma once

/// Statistics of a coordinator about each replica. They are derived from results only, since reported
/// loads are misleading.

#include "../config.h"

#include <absl/container/flat_hash_map.h>
#include <array>

namespace limpettrestle {

struct ReplicaStats {
    /// Moving average of the latency of answered attempts; zero until measured.
    Micros latency { 0 };
    /// Last wait that the owner predicted, by priority class, and the time of the prediction.
    std::array<Micros, kPriorityClassCount> predictedWait {};
    std::array<TimePoint, kPriorityClassCount> predictedAt {};
    TimePoint updatedAt {};
    /// Pending attempts of this instance.
    uint32_t inFlight = 0;
    /// The replica is not tried before this time.
    TimePoint avoidUntil {};
};

class ReplicaStatsTable {
public:
    ReplicaStats& at(ReplicaId id) { return stats_[id]; }

    void onAnswered(ReplicaId id, Micros latency, TimePoint now);
    void onWaitPredicted(ReplicaId id, PriorityClass priority, Micros wait, TimePoint now);
    /// Records that an attempt has been unanswered for `age`, which raises the latency to at least that.
    void onUnanswered(ReplicaId id, Micros age, TimePoint now);

    /// Expected latency of a new attempt. Old measurements decay towards `typicalLatency`, so that a
    /// replica that was slow is tried again.
    Micros expectedLatency(ReplicaId id, PriorityClass priority, Micros typicalLatency, TimePoint now) const;
    /// Remainder of the last predicted wait; zero once that time has elapsed.
    Micros predictedWait(ReplicaId id, PriorityClass priority, TimePoint now) const;

private:
    absl::flat_hash_map<ReplicaId, ReplicaStats> stats_;
};

} // namespace limpettrestle
