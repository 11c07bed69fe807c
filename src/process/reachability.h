#pragma once

/// Tells whether this instance, unlike others perhaps, is cut off from the replicas that its routes need.

#include "../version/route_table.h"
#include "replica_directory.h"
#include "zone_reach.h"

namespace limpettrestle {

class Reachability {
public:
    /// Counts a request of a route.
    void countRequest(const std::string& route);
    /// Weighs the routes anew. To be called at a steady pace.
    void update(const RouteTable& table, const ReplicaDirectory& directory, const ZoneReach& reach, TimePoint now);

    /// True when half of the searches over shards could be served by the replicas that are
    /// registered, but not by those that this instance reaches, and this has lasted for a while or since
    /// the start.
    bool isCutOff() const { return isCutOff_; }
    uint32_t cutOffRoutes() const { return routesCut_; }

private:
    double weightOf(const std::string& route) const;

    /// Recent requests by route; halved now and then, so that old ones fade with new ones.
    absl::flat_hash_map<std::string, double> requests_;
    double total_ = 0;
    TimePoint cutSince_ {};
    bool isCut_ = false;
    bool wasWeighed_ = false;
    bool isCutOff_ = false;
    uint32_t routesCut_ = 0;
};

} // namespace limpettrestle
