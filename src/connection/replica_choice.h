#pragma once

/// Chooses the replica for a call: the responsive replica with the least expected response time.

#include "../process/replica_directory.h"

#include <span>

namespace limpettrestle {

/// Restricts which replicas may be chosen.
enum class ChoiceScope : uint8_t {
    /// First call: prefers responsive replicas and falls back to an unresponsive one.
    First,
    /// Retry or hedge: only responsive replicas. Those that limit their request rate are left to first calls, unless
    /// the service has a replica without a limit.
    Repeat,
};

struct ChoiceQuery {
    std::span<const ReplicaPtr> candidates;
    /// Zone of this instance, whose replicas are preferred.
    std::string_view zone;
    ChoiceScope scope = ChoiceScope::First;
    /// Usual duration of such a call.
    Micros expected { 0 };
    /// Cost of a lost call, as a multiple of the usual duration.
    double lossCost = 0;
    /// Replicas that may not be chosen.
    std::span<const ReplicaPtr> excluded;
    /// A call for the same part has been sent before.
    bool isRepeat = false;
};

/// Returns null when no replica qualifies. A cold replica with a limited rate is chosen only where no warm one can take the
/// call, and never for a repeat that a warm one may get later.
ReplicaPtr chooseReplica(const ChoiceQuery& query, TimePoint now);

} // namespace limpettrestle
