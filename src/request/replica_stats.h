#pragma once

/// What a coordinator has seen of each replica, from replies only: reported loads mislead.

#include "../config.h"

#include <absl/container/flat_hash_map.h>
#include <array>

namespace limpettrestle {

struct ReplicaStats {
    /// Smoothed latency of answered attempts.
    Micros latency { 0 };
    /// Owner's last prediction of the wait, by class, and when it was made.
    std::array<Micros, kPriorityClassCount> predictedWait {};
    std::array<TimePoint, kPriorityClassCount> predictedAt {};
    TimePoint updated {};
    /// Attempts of this instance in flight.
    uint32_t inFlight = 0;
    /// Not tried before then.
    TimePoint avoidUntil {};
};

class ReplicaStatsTable {
public:
    ReplicaStats& at(ReplicaId id) { return sights_[id]; }

    void onAnswered(ReplicaId id, Micros latency, TimePoint now);
    void onPredicted(ReplicaId id, PriorityClass priority, Micros wait, TimePoint now);
    /// An attempt went unanswered for `age`; counts as a latency of at least that.
    void onSlow(ReplicaId id, Micros age, TimePoint now);

    /// Expected time of a new attempt; falls back towards the typical one as it gets old, so that
    /// a replica that was slow is tried again.
    Micros expected(ReplicaId id, PriorityClass priority, Micros typical, TimePoint now) const;
    /// What is left of the last predicted wait; zero when it was made too long ago.
    Micros predictedWait(ReplicaId id, PriorityClass priority, TimePoint now) const;

private:
    absl::flat_hash_map<ReplicaId, ReplicaStats> sights_;
};

} // namespace limpettrestle
