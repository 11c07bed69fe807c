#pragma once

/// Limits on the calls of this instance to cold replicas. Does no I/O.

#include "../process/limit_owners.h"
#include "../process/replica_directory.h"
#include "gather_plan.h"

namespace limpettrestle {

struct ColdLimitsInit {
    /// Name and zone of this instance.
    std::string self;
    std::string zone;
    /// See `GatewaySettings::coldExcess` and `GatewaySettings::coldSlack`.
    double excess = 1;
    double slack = 1;
    /// Division of searches among instances; null if there is none.
    const GatherPlan* plan = nullptr;
};

/// One instance, the owner, calls a cold replica, at regular intervals. For a shard of a divided search the owner is one of
/// the aggregators that call the shard's replicas anyway.
class ColdLimits {
public:
    explicit ColdLimits(const ColdLimitsInit& init);

    /// Applies the cold rates of a new configuration.
    void setTable(const RouteTable& table, TimePoint now);
    /// Records the instances that are listed now; see `LimitOwners::setInstances()`.
    void setInstances(const std::vector<InstanceInfo>& instances, TimePoint now) { owners_.setInstances(instances, now); }
    /// Must be called after changes of the instances or the configuration, and repeatedly.
    void update(TimePoint now);

    bool hasLimits() const { return !services_.empty(); }
    /// True if the cold replicas of a service accept a limited rate.
    bool isLimited(const std::string& service) const { return services_.contains(service); }
    /// Returns the time between two calls of this instance to a cold replica; unset if it may not call the replica.
    std::optional<Micros> intervalFor(const ReplicaEntry& replica, TimePoint now) const;

private:
    struct ServiceState {
        double perSecond = 0;
        /// First shard of the group to which the service belongs; empty if it is not divided.
        std::string groupKey;
        TimePoint groupKeySince {};
    };

    double usableRate(double coldRate) const;

    const ColdLimitsInit init_;
    LimitOwners owners_;
    /// Services with a cold rate.
    absl::flat_hash_map<std::string, ServiceState> services_;
};

} // namespace limpettrestle
