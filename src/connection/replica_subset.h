#pragma once

/// Deterministic subsetting: where a replica accepts fewer connections than there are instances, an
/// instance uses a few replicas of a service, those of its own zone first.

#include "../process/replica_directory.h"

namespace limpettrestle {

/// Replicas of one service that an instance may use.
struct SubsetRule {
    std::string instance;
    std::string zone;
    /// Instances that share the connections of a replica.
    uint32_t instances = 1;
};

/// Connections that one instance may hold to one replica; at least 1.
size_t connectionShare(uint32_t maxConnections, uint32_t instances);
/// Replicas of `all` that the instance uses; all of them where the connections suffice. Replicas that
/// take no work or are out of reach are replaced by the next in rank.
std::vector<ReplicaPtr> selectReplicaSubset(const std::vector<ReplicaPtr>& all, uint32_t maxConnections, const SubsetRule& rule);

} // namespace limpettrestle
