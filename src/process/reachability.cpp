#include "reachability.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    /// Minimum duration of a cut. Shorter ones end before a load balancer has switched to other instances.
    constexpr Millis kMinCutDuration { 500 };
    /// Number of requests after which the counts are halved, about ten seconds of the traffic of an instance.
    constexpr double kMaxRequestCount = 200;
    /// Minimum weight of a route, so that an instance that has just started without traffic can detect a cut too.
    constexpr double kMinWeight = 0.01;

    struct ShardCount {
        uint32_t registered = 0;
        uint32_t reached = 0;
    };

    ShardCount countShards(const RouteSpec& route, const ReplicaDirectory& directory, const ZoneReach& reach, const AllowedZones& zones)
    {
        ShardCount count;
        for (const std::string& shard : route.shards) {
            const auto& replicas = directory.replicasOf(shard);
            const bool isRegistered = std::any_of(replicas.begin(), replicas.end(), [&zones](const ReplicaPtr& replica) { return zones.contains(replica->entry.zone) && replica->acceptsWork(); });
            count.registered += isRegistered ? 1 : 0;
            count.reached += reach.isServiceReachable(directory, shard, zones) ? 1 : 0;
        }
        return count;
    }

    bool isCoverageMet(uint32_t shards, const RouteSpec& route)
    {
        return shards > 0 && static_cast<double>(shards) >= route.minCoverage * static_cast<double>(route.shards.size());
    }

} // namespace

void Reachability::countRequest(const std::string& route)
{
    requests_[route] += 1;
    requestCount_ += 1;
    if (requestCount_ < kMaxRequestCount)
        return;
    requestCount_ /= 2;
    for (auto& [name, count] : requests_)
        count /= 2;
}

double Reachability::weightOf(const std::string& route) const
{
    const auto found = requests_.find(route);
    return kMinWeight + (found == requests_.end() ? 0 : found->second);
}

void Reachability::update(const RouteTable& table, const ReplicaDirectory& directory, const ZoneReach& reach, TimePoint now)
{
    double totalWeight = 0;
    double cutWeight = 0;
    cutOffRoutes_ = 0;
    for (const std::vector<const RouteSpec*>& group : table.groups()) {
        const RouteSpec& first = *group.front();
        if (first.shards.empty())
            continue;
        const ShardCount count = countShards(first, directory, reach, AllowedZones(regions_, first.homeRegions));
        for (const RouteSpec* route : group) {
            totalWeight += weightOf(route->name);
            if (!isCoverageMet(count.registered, *route) || isCoverageMet(count.reached, *route))
                continue;
            cutWeight += weightOf(route->name);
            ++cutOffRoutes_;
        }
    }
    const bool isCut = cutWeight > 0 && cutWeight * 2 >= totalWeight;
    if (isCut && !isCut_)
        cutSince_ = hasUpdated_ ? now : now - kMinCutDuration;
    hasUpdated_ = true;
    isCut_ = isCut;
    isCutOff_ = isCut && now - cutSince_ >= kMinCutDuration;
}

} // namespace limpettrestle
