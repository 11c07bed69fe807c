#pragma once

/// Who owns a replica: rendezvous hashing over the settled view of the replica's zone, with the
/// load of each instance bounded. Replicas with one owner key are assigned together.

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

    void onConfig(const FleetConfig& config);

    /// Owners of a replica in this instance's view.
    Owners find(const ReplicaConfig& replica);

    /// True when a member that may be alive behind a cut could own the replica too, or act as its
    /// deputy, in its own view.
    bool isDisputed(const ReplicaConfig& replica);

    /// Rank of this instance for a duty of its zone, 0 being first.
    uint32_t rankFor(std::string_view duty) const;

private:
    /// Replicas that are assigned together.
    struct Group {
        uint64_t key = 0;
        uint32_t replicas = 0;
    };
    using Assignment = absl::flat_hash_map<uint64_t, Owners>;

    Assignment assign(ZoneId zone, const std::vector<InstanceId>& view) const;
    void refresh();

    const NodeContext& context_;
    const Membership& membership_;
    absl::flat_hash_map<ZoneId, std::vector<Group>> groups_;
    absl::flat_hash_map<ZoneId, Assignment> assignments_;
    uint64_t viewVersion_ = 0;
    /// Assignment of this zone if the disputed members were part of it.
    Assignment disputedAssignment_;
    std::vector<InstanceId> disputed_;
};

} // namespace limpettrestle
