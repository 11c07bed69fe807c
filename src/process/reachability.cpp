#include "reachability.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    /// Time a cut must last: shorter ones are over before the balancer has looked elsewhere.
    constexpr Millis kCutTime { 500 };

    struct ShardCount {
        uint32_t registered = 0;
        uint32_t reached = 0;
    };

    ShardCount countShards(const RouteSpec& route, const ReplicaDirectory& directory)
    {
        ShardCount count;
        for (const std::string& shard : route.shards) {
            bool isRegistered = false;
            bool isReached = false;
            for (const ReplicaPtr& replica : directory.of(shard)) {
                isRegistered |= replica->takesWork();
                isReached |= replica->takesWork() && !replica->health.isUnreachable();
            }
            count.registered += isRegistered ? 1 : 0;
            count.reached += isReached ? 1 : 0;
        }
        return count;
    }

    bool suffices(uint32_t shards, const RouteSpec& route)
    {
        return shards > 0 && static_cast<double>(shards) >= route.minCoverage * static_cast<double>(route.shards.size());
    }

} // namespace

void Reachability::update(const RouteTable& table, const ReplicaDirectory& directory, TimePoint now)
{
    uint32_t searches = 0;
    routesCut_ = 0;
    for (const RouteSpec& route : table.routes()) {
        if (route.shards.empty())
            continue;
        ++searches;
        const ShardCount count = countShards(route, directory);
        if (suffices(count.registered, route) && !suffices(count.reached, route))
            ++routesCut_;
    }
    const bool isCut = routesCut_ * 2 > searches;
    if (isCut && !isCut_)
        cutSince_ = now;
    isCut_ = isCut;
    isCutOff_ = isCut && now - cutSince_ >= kCutTime;
}

} // namespace limpettrestle
