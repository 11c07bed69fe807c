#pragma once

/// Assigns owners to replicas by rendezvous hashing over the settled view of the replica's zone.

#include "../version/fleet_config.h"
#include "membership.h"

#include <absl/container/flat_hash_map.h>

namespace limpettrestle {

struct Owners {
    InstanceId owner;
    /// Second in rank; serves when the owner is unreachable.
    InstanceId deputy;
};

class Ownership {
public:
    Ownership(const NodeContext& context, const Membership& membership)
        : context_(context)
        , membership_(membership)
    {
    }

    /// Returns the owners of a replica in the view of this instance; cached per view version.
    Owners find(const ReplicaConfig& replica);

    /// True when a disputed member (see Membership::isDisputed) could own the replica as well: one that ranks
    /// before this instance or directly after it.
    bool isDisputed(const ReplicaConfig& replica) const;

    /// Returns the rank of this instance for a task in its zone; 0 is the first.
    uint32_t rankFor(std::string_view task) const;

private:
    const NodeContext& context_;
    const Membership& membership_;
    /// Owners by zone and owner key.
    absl::flat_hash_map<std::pair<uint64_t, uint64_t>, Owners> cache_;
    uint64_t cachedVersion_ = 0;
};

} // namespace limpettrestle
