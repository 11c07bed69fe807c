#include "replica_subset.h"

#include <algorithm>
#include <xxhash.h>

namespace limpettrestle {

namespace {

    /// Replicas that an instance uses at least, so that a repeat finds another one.
    constexpr size_t kLeastReplicas = 2;

    uint64_t rankOf(const Replica& replica, const SubsetRule& rule)
    {
        return XXH64(replica.entry.id.data(), replica.entry.id.size(), XXH64(rule.instance.data(), rule.instance.size(), 0));
    }

} // namespace

size_t connectionShare(uint32_t maxConnections, uint32_t instances)
{
    return std::max<size_t>(1, maxConnections / std::max<uint32_t>(instances, 1));
}

std::vector<ReplicaPtr> selectReplicaSubset(const std::vector<ReplicaPtr>& all, uint32_t maxConnections, const SubsetRule& rule)
{
    if (maxConnections == 0 || maxConnections >= rule.instances)
        return all;
    const size_t fair = all.size() * maxConnections / rule.instances;
    const size_t wanted = std::max(kLeastReplicas, fair);
    if (wanted >= all.size())
        return all;
    std::vector<ReplicaPtr> used;
    for (const ReplicaPtr& replica : all) {
        if (replica->acceptsWork() && !replica->health.isUnreachable())
            used.push_back(replica);
    }
    std::sort(used.begin(), used.end(), [&rule](const ReplicaPtr& a, const ReplicaPtr& b) {
        const bool isOwnA = a->entry.zone == rule.zone;
        const bool isOwnB = b->entry.zone == rule.zone;
        return isOwnA != isOwnB ? isOwnA : rankOf(*a, rule) < rankOf(*b, rule);
    });
    used.resize(std::min(used.size(), wanted));
    return used;
}

} // namespace limpettrestle
