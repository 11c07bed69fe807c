#pragma once

/// Aggregation tree: a search over many shards is divided among instances of the own zone, each of
/// which gathers a group of shards, so that the work of one search is shared by their processors and
/// each instance keeps connections to a few replicas only.

#include "../process/instance_directory.h"
#include "../version/route_table.h"

#include <absl/container/flat_hash_set.h>

namespace limpettrestle {

/// Neighbouring shards of a route, gathered by one instance.
struct GatherGroup {
    size_t first = 0;
    size_t count = 0;
    InstanceInfo aggregator;
};

struct GatherPlanInit {
    /// Name of this instance.
    std::string self;
    /// Processor time an instance has in a second, in seconds.
    double processorShare = 1;
};

class GatherPlan {
public:
    explicit GatherPlan(GatherPlanInit init);

    /// Instances of the own zone, by name. Returns true when they have changed.
    bool setInstances(std::vector<InstanceInfo> instances);
    /// Instances of all zones together.
    void setFleetSize(uint32_t instances) { fleetSize_ = instances; }
    /// Learns the shards of a new configuration.
    void setTable(const RouteTable& table);

    /// Groups of the route's shards; empty when this instance is to gather them by itself.
    std::vector<GatherGroup> divide(const RouteSpec& route, TimePoint now);

    /// A group was handed to an instance, and what became of it.
    void started(const std::string& aggregator);
    void answered(const std::string& aggregator, Micros taken);
    void failed(const std::string& aggregator, TimePoint now);
    /// It is late: it gets no groups for a while.
    void avoid(const std::string& aggregator, TimePoint now);
    /// Ended without telling anything of the instance.
    void dropped(const std::string& aggregator);

    /// True when this instance calls the service's replicas itself as a rule: as the aggregator of its group,
    /// or because the service is not divided.
    bool callsDirectly(const std::string& service) const;
    /// True when this instance is one of the few that call the service's replicas for all others.
    bool aggregates(const std::string& service) const { return divided_.contains(service) && own_.contains(service); }
    /// Number of those instances in all zones; 0 when the service is not divided.
    uint32_t aggregatorsOf(const std::string& service) const;
    /// Instances that share the connections of the service's replicas; 0 when all of them do.
    uint32_t sharersOf(const std::string& service) const;

private:
    struct Health {
        uint32_t open = 0;
        Micros usual { 0 };
        TimePoint avoidUntil {};
    };

    bool isWorthDividing(const RouteSpec& route) const;
    size_t groupsOf(size_t shards) const;
    /// Groups of so many shards, without their aggregators.
    std::vector<GatherGroup> boundsOf(size_t shards) const;
    std::vector<const InstanceInfo*> candidatesOf(std::string_view key) const;
    const InstanceInfo* choose(std::string_view key, TimePoint now) const;
    void findOwnShards();

    const GatherPlanInit init_;
    std::vector<InstanceInfo> instances_;
    uint32_t fleetSize_ = 0;
    /// Routes over shards of the configuration in force.
    std::vector<RouteSpec> routes_;
    absl::flat_hash_map<std::string, Health> health_;
    /// Services that are shards of divided routes only, and those of them that this instance gathers.
    absl::flat_hash_set<std::string> divided_;
    absl::flat_hash_set<std::string> own_;
};

} // namespace limpettrestle
