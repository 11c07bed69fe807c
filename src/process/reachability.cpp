#include "reachability.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    /// Time a cut must last: shorter ones are over before the balancer has looked elsewhere.
    constexpr Millis kCutTime { 500 };
    /// Requests after which the counts are halved: some ten seconds of an instance's traffic.
    constexpr double kHalveAfter = 200;
    /// Weight of a route without requests, so that an instance that has just started knows too.
    constexpr double kLeastWeight = 0.01;

    struct ShardCount {
        uint32_t registered = 0;
        uint32_t reached = 0;
    };

    ShardCount countShards(const RouteSpec& route, const ReplicaDirectory& directory, const ZoneReach& reach)
    {
        ShardCount count;
        for (const std::string& shard : route.shards) {
            const auto& replicas = directory.replicasOf(shard);
            const bool isRegistered = std::any_of(replicas.begin(), replicas.end(), [](const ReplicaPtr& replica) { return replica->acceptsWork(); });
            count.registered += isRegistered ? 1 : 0;
            count.reached += reach.isServiceReachable(directory, shard) ? 1 : 0;
        }
        return count;
    }

    bool suffices(uint32_t shards, const RouteSpec& route)
    {
        return shards > 0 && static_cast<double>(shards) >= route.minCoverage * static_cast<double>(route.shards.size());
    }

} // namespace

void Reachability::countRequest(const std::string& route)
{
    requests_[route] += 1;
    total_ += 1;
    if (total_ < kHalveAfter)
        return;
    total_ /= 2;
    for (auto& [name, count] : requests_)
        count /= 2;
}

double Reachability::weightOf(const std::string& route) const
{
    const auto found = requests_.find(route);
    return kLeastWeight + (found == requests_.end() ? 0 : found->second);
}

void Reachability::update(const RouteTable& table, const ReplicaDirectory& directory, const ZoneReach& reach, TimePoint now)
{
    double searches = 0;
    double cut = 0;
    routesCut_ = 0;
    for (const RouteSpec& route : table.routes()) {
        if (route.shards.empty())
            continue;
        searches += weightOf(route.name);
        const ShardCount count = countShards(route, directory, reach);
        if (!suffices(count.registered, route) || suffices(count.reached, route))
            continue;
        cut += weightOf(route.name);
        ++routesCut_;
    }
    const bool isCut = cut > 0 && cut * 2 >= searches;
    if (isCut && !isCut_)
        cutSince_ = wasWeighed_ ? now : now - kCutTime;
    wasWeighed_ = true;
    isCut_ = isCut;
    isCutOff_ = isCut && now - cutSince_ >= kCutTime;
}

} // namespace limpettrestle
