#pragma once

/// Deterministic subsetting: when a replica accepts fewer connections than there are instances, each
/// instance uses only some replicas of a service and prefers those of its own zone.

#include "../process/replica_directory.h"

namespace limpettrestle {

/// Parameters that determine the subset of an instance.
struct SubsetRule {
    std::string instance;
    std::string zone;
    /// Number of instances that share the connections of a replica.
    uint32_t instances = 1;
};

/// Returns the number of connections that one instance may hold to one replica, at least 1.
size_t connectionShare(uint32_t maxConnections, uint32_t instances);
/// Returns the replicas of `all` that the instance uses: all of them when there are enough connections or no
/// limit (`maxConnections` is 0). Replicas that accept no work or are unreachable are replaced by the next in rank,
/// and so are those that are cold with a limited rate or limit their request rate if others are left.
std::vector<ReplicaPtr> selectReplicaSubset(const std::vector<ReplicaPtr>& all, uint32_t maxConnections, const SubsetRule& rule, TimePoint now);

} // namespace limpettrestle
