#pragma once

/// Detects whether this instance is cut off from the replicas that its routes need.

#include "../version/route_table.h"
#include "replica_directory.h"
#include "zone_reach.h"

namespace limpettrestle {

class Reachability {
public:
    /// Counts a request of a route.
    void countRequest(const std::string& route);
    /// `regions`: regions of the zones; null if there is only one region.
    explicit Reachability(const ZoneRegions* regions = nullptr)
        : regions_(regions)
    {
    }

    /// Re-evaluates the routes. Must be called periodically.
    void update(const RouteTable& table, const ReplicaDirectory& directory, const ZoneReach& reach, TimePoint now);

    /// True when at least half of the searches over shards could be served by the registered replicas but not by
    /// those that this instance reaches, and this has lasted for 500 ms or since the start.
    bool isCutOff() const { return isCutOff_; }
    /// Number of routes that cannot be served by the reachable replicas.
    uint32_t cutOffRoutes() const { return cutOffRoutes_; }

private:
    double weightOf(const std::string& route) const;

    const ZoneRegions* regions_;

    /// Number of recent requests by route. The counts are halved regularly, so that old requests lose weight.
    absl::flat_hash_map<std::string, double> requests_;
    double requestCount_ = 0;
    TimePoint cutSince_ {};
    bool isCut_ = false;
    bool hasUpdated_ = false;
    bool isCutOff_ = false;
    uint32_t cutOffRoutes_ = 0;
};

} // namespace limpettrestle
