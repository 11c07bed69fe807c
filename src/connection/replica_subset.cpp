#include "replica_subset.h"

#include <algorithm>
#include <xxhash.h>

namespace limpettrestle {

namespace {

    /// Minimum number of replicas that an instance uses, so that a repeated call can go to another replica.
    constexpr size_t kMinReplicas = 2;

    uint64_t rankOf(const Replica& replica, const SubsetRule& rule)
    {
        return XXH64(replica.entry.id.data(), replica.entry.id.size(), XXH64(rule.instance.data(), rule.instance.size(), 0));
    }

} // namespace

size_t connectionShare(uint32_t maxConnections, uint32_t instances)
{
    return std::max<size_t>(1, maxConnections / std::max<uint32_t>(instances, 1));
}

std::vector<ReplicaPtr> selectReplicaSubset(const std::vector<ReplicaPtr>& all, uint32_t maxConnections, const SubsetRule& rule, TimePoint now)
{
    if (maxConnections == 0 || maxConnections >= rule.instances)
        return all;
    const size_t proportional = all.size() * maxConnections / rule.instances;
    const size_t subsetSize = std::max(kMinReplicas, proportional);
    if (subsetSize >= all.size())
        return all;
    std::vector<ReplicaPtr> used;
    for (const ReplicaPtr& replica : all) {
        if (replica->acceptsWork() && !replica->health.isUnreachable() && !replica->health.isBackingOff(now))
            used.push_back(replica);
    }
    std::sort(used.begin(), used.end(), [&rule, now](const ReplicaPtr& a, const ReplicaPtr& b) {
        if (a->rate.isRestricted(now) != b->rate.isRestricted(now))
            return b->rate.isRestricted(now);
        if (a->rate.isLimited() != b->rate.isLimited())
            return b->rate.isLimited();
        const bool isLocalA = a->entry.zone == rule.zone;
        const bool isLocalB = b->entry.zone == rule.zone;
        return isLocalA != isLocalB ? isLocalA : rankOf(*a, rule) < rankOf(*b, rule);
    });
    used.resize(std::min(used.size(), subsetSize));
    return used;
}

} // namespace limpettrestle
