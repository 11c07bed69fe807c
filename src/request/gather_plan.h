#pragma once

/// Two-level scatter-gather: a search over many shards is divided into groups of shards, each of
/// which another instance of the same zone, the aggregator, gathers. This spreads the CPU time
/// of a search over several instances, and each instance needs connections to few replicas.

#include "../process/instance_directory.h"
#include "../process/zone_regions.h"
#include "../version/route_table.h"

#include <absl/container/flat_hash_set.h>

namespace limpettrestle {

/// Consecutive shards of a route that one aggregator gathers.
struct GatherGroup {
    size_t firstShard = 0;
    size_t shardCount = 0;
    InstanceInfo aggregator;
};

struct GatherPlanInit {
    /// Name of this instance.
    std::string self;
    /// CPU time available to an instance, in seconds per second.
    double processorShare = 1;
    /// Regions of the zones; null if there is only one region.
    const ZoneRegions* regions = nullptr;
};

class GatherPlan {
public:
    explicit GatherPlan(GatherPlanInit init);

    /// Sets the instances of the own zone, sorted by name. Returns true if they have changed.
    bool setInstances(std::vector<InstanceInfo> instances);
    /// Sets the number of instances in all zones.
    void setFleetSize(uint32_t instances) { fleetSize_ = instances; }
    /// Sets the bits of `InstanceFeature` that an instance must have to get groups.
    void requireFeatures(uint32_t features) { requiredFeatures_ = features; }
    /// Applies the routes of a new configuration.
    void setTable(const RouteTable& table);

    /// Divides the route's shards into groups and selects an aggregator for each of them. Shards that
    /// are in no group have to be called directly; the result is empty if that applies to all. `requiredFeatures`: bits of
    /// `InstanceFeature` that an aggregator must support; `zones`: zones in which it may be.
    std::vector<GatherGroup> divide(const RouteSpec& route, TimePoint now, uint32_t requiredFeatures = 0, const AllowedZones& zones = {});

    /// Record that a group was sent to an aggregator and how it ended. `duration` is the time from
    /// sending to the reply.
    void groupStarted(const std::string& aggregator);
    void groupAnswered(const std::string& aggregator, Micros duration);
    void groupFailed(const std::string& aggregator, TimePoint now);
    /// Excludes a late aggregator from selection for a while.
    void avoidAggregator(const std::string& aggregator, TimePoint now);
    /// Records that a group was cancelled, which says nothing about the aggregator.
    void groupCancelled(const std::string& aggregator);

    /// True if this instance normally calls the service's replicas itself, either as an aggregator of
    /// its group or because the service is not divided.
    bool callsDirectly(const std::string& service) const;
    /// True if the service is divided and this instance is one of its aggregators.
    bool isAggregatorOf(const std::string& service) const { return dividedShards_.contains(service) && ownShards_.contains(service); }
    /// First shard of the group to which a service belongs, whose rendezvous hash selects the aggregators; empty if the
    /// service is not divided.
    std::string_view groupKeyOf(const std::string& service) const;
    /// Estimated number of the service's aggregators in all zones; 0 if the service is not divided.
    uint32_t aggregatorCount(const std::string& service) const;
    /// Number of instances that share the connections to the service's replicas; 0 if all instances do.
    uint32_t connectionSharerCount(const std::string& service) const;

private:
    struct AggregatorState {
        uint32_t openGroups = 0;
        /// Moving average of the time from sending a group to its reply; zero until measured.
        Micros meanDuration { 0 };
        TimePoint avoidUntil {};
    };

    /// True if the calls of a search would take too large a part of the latency target and the zone has
    /// enough instances.
    bool shouldDivide(const RouteSpec& route) const;
    size_t groupCountFor(size_t shards) const;
    /// Splits `shards` shards into groups of nearly equal size, without aggregators.
    std::vector<GatherGroup> splitShards(size_t shards) const;
    /// Instances of the zone with the lowest rendezvous hashes for `key`, the first shard of a group.
    std::vector<const InstanceInfo*> aggregatorCandidates(std::string_view key) const;
    /// Returns the candidate in the zones with the required features and the shortest expected time; null if none is available.
    const InstanceInfo* chooseAggregator(std::string_view key, uint32_t requiredFeatures, const AllowedZones& zones, TimePoint now) const;
    void updateOwnShards();
    void updateExcludedZones(const RouteSpec& route);

    const GatherPlanInit init_;
    std::vector<InstanceInfo> instances_;
    uint32_t fleetSize_ = 0;
    uint32_t requiredFeatures_ = 0;
    /// First route of each group of routes with shards in the active configuration.
    std::vector<RouteSpec> routes_;
    absl::flat_hash_map<std::string, AggregatorState> aggregatorStates_;
    /// Shards of routes that are worth dividing.
    absl::flat_hash_set<std::string> dividedShards_;
    /// Shards of the groups for which this instance is an aggregator candidate.
    absl::flat_hash_set<std::string> ownShards_;
    /// Number of zones whose instances call a shard directly, because they may not gather it for a route with home regions.
    absl::flat_hash_map<std::string, uint32_t> excludedZones_;
    /// First shard of the group of each shard; for a shard of several routes, that of the first route.
    absl::flat_hash_map<std::string, std::string> groupKeys_;
};

} // namespace limpettrestle
