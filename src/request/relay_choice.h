#pragma once

/// Chooses the instance to which a request is relayed when the replicas that it needs are out of reach.

#include "../process/instance_directory.h"
#include "../process/zone_regions.h"

#include <random>
#include <span>

namespace limpettrestle {

/// How a relayed request ended.
enum class RelayEnd : uint8_t {
    Answered,
    /// The instance did not process the request, because it cannot serve it either.
    Declined,
    /// The instance could not be reached, or its connection was lost.
    Failed,
    /// The request was abandoned, which says nothing about the instance.
    Cancelled,
};

class RelayChoice {
public:
    /// `self` and `zone`: name and zone of this instance.
    RelayChoice(std::string self, std::string zone, uint64_t seed);

    /// Sets the instances that may be chosen; this instance is left out.
    void setInstances(std::vector<InstanceInfo> instances);
    /// Sets the bits of `InstanceFeature` that an instance must have to be chosen.
    void requireFeatures(uint32_t features) { requiredFeatures_ = features; }
    /// Returns the instance to use; null if none is left. Instances of the own zone come first, unless one of them has
    /// just declined. Another zone is left out for a while after one of its instances could not be reached, unless others of
    /// it have answered. `tried`: names of instances that may not be chosen; `requiredFeatures`: bits of `InstanceFeature`
    /// that the instance must support; `zones`: zones in which it may be.
    const InstanceInfo* choose(std::span<const std::string> tried, TimePoint now, uint32_t requiredFeatures = 0, const AllowedZones& zones = {});
    void relayStarted(const InstanceInfo& instance);
    void relayEnded(const std::string& instance, RelayEnd end, TimePoint now);

private:
    struct InstanceState {
        uint32_t open = 0;
        TimePoint avoidUntil {};
        TimePoint lastAnswer {};
        std::string zone;
    };

    /// Returns the rank of an instance; lower is better, negative means that it may not be chosen.
    int rankOf(const InstanceInfo& instance, std::span<const std::string> tried, TimePoint now) const;

    const std::string self_;
    const std::string zone_;
    std::mt19937_64 random_;
    std::vector<InstanceInfo> instances_;
    uint32_t requiredFeatures_ = 0;
    /// Instances that have been used, by name.
    absl::flat_hash_map<std::string, InstanceState> states_;
    struct ZoneState {
        TimePoint declinedAt {};
        /// The zone may be unreachable as a whole.
        TimePoint avoidUntil {};
    };
    /// Zones of instances that declined or failed.
    absl::flat_hash_map<std::string, ZoneState> zones_;
};

} // namespace limpettrestle
