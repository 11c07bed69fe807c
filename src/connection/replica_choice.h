#pragma once

/// Choice of the replica for a call: least expected time among those that give signs of life.

#include "../process/replica_directory.h"

#include <span>

namespace limpettrestle {

/// Which replicas may be chosen.
enum class ChoiceScope : uint8_t {
    /// First call: prefers live ones, takes a silent one when nothing else is left.
    First,
    /// Repeated call: only ones that give signs of life.
    Repeat,
};

struct ChoiceQuery {
    std::span<const ReplicaPtr> candidates;
    /// Zone of this instance; its replicas win ties.
    std::string_view zone;
    ChoiceScope scope = ChoiceScope::First;
    /// Usual time of such a call.
    Micros expected { 0 };
    /// Time that a lost call costs, as a multiple of the usual one.
    double lossCost = 0;
    /// Replicas that may not be chosen.
    std::span<const ReplicaPtr> excluded;
};

/// Null when no replica qualifies.
ReplicaPtr chooseReplica(const ChoiceQuery& query, TimePoint now);

} // namespace limpettrestle
