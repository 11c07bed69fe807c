#pragma once

/// Who owns a replica: rendezvous hashing over the settled view of the replica's zone.

#include "../version/fleet_config.h"
#include "membership.h"

#include <absl/container/flat_hash_map.h>

namespace limpettrestle {

struct Owners {
    InstanceId owner;
    /// Next in rank; acts when the owner cannot be reached.
    InstanceId deputy;
};

class Ownership {
public:
    Ownership(const NodeContext& context, const Membership& membership)
        : context_(context)
        , membership_(membership)
    {
    }

    /// Owners of a replica in this instance's view; cached per view version.
    Owners find(const ReplicaConfig& replica);

    /// True when a member that may be alive behind a cut could own the replica too: one that ranks
    /// before this instance, or that comes next after it.
    bool isDisputed(const ReplicaConfig& replica) const;

    /// Rank of this instance for a duty of its zone, 0 being first.
    uint32_t rankFor(std::string_view duty) const;

private:
    const NodeContext& context_;
    const Membership& membership_;
    /// By zone and owner key.
    absl::flat_hash_map<std::pair<uint64_t, uint64_t>, Owners> cache_;
    uint64_t cachedVersion_ = 0;
};

} // namespace limpettrestle
