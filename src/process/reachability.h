#pragma once

/// Tells whether this instance, unlike others perhaps, is cut off from the replicas that its routes need.

#include "../version/route_table.h"
#include "replica_directory.h"

namespace limpettrestle {

class Reachability {
public:
    /// Weighs the routes anew. To be called at a steady pace.
    void update(const RouteTable& table, const ReplicaDirectory& directory, TimePoint now);

    /// True when most searches over shards could be served by the replicas that are registered, but
    /// not by those that this instance reaches, and this has lasted for a while.
    bool isCutOff() const { return isCutOff_; }
    uint32_t routesCut() const { return routesCut_; }

private:
    TimePoint cutSince_ {};
    bool isCut_ = false;
    bool isCutOff_ = false;
    uint32_t routesCut_ = 0;
};

} // namespace limpettrestle
