#pragma once

/// Detects which availability zones this instance cannot reach. When searches are divided among instances, each
/// instance calls only few replicas itself. If none of those in a zone answer, the whole zone counts as
/// unreachable, and the instances of one zone notify each other of such findings.

#include "replica_directory.h"
#include "zone_regions.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

namespace limpettrestle {

class ZoneReach {
public:
    /// Re-evaluates the health of the replicas. Must be called periodically.
    void update(const ReplicaDirectory& directory, TimePoint now);
    /// Records a notice of another instance of the same zone that it cannot reach some zones.
    void recordNotice(const std::string& instance, const std::vector<std::string>& zones, TimePoint now);

    /// True unless this instance itself, or several others of its zone, found the zone unreachable.
    bool isReachable(const std::string& zone) const { return !unreachable_.contains(zone); }
    /// True when no zone with replicas is reachable.
    bool isIsolated() const { return isIsolated_; }
    /// True when connecting to replicas has only failed for a while. Established connections may still work, but they become
    /// fewer and do not suffice for repeats or more load.
    bool isConnectingBlocked() const { return isConnectingBlocked_; }
    /// Returns zones whose reachability is in doubt. Connecting to one of their replicas settles it. These are zones that
    /// other instances cannot reach, which may be cut off alone, and all zones when connecting to several replicas failed.
    std::vector<std::string> zonesToProbe(const ReplicaDirectory& directory, TimePoint now) const;
    /// True when a replica of the service in the zones accepts work and neither it nor its zone is unreachable.
    bool isServiceReachable(const ReplicaDirectory& directory, const std::string& service, const AllowedZones& zones = {}) const;
    /// Returns the unreachable zones, sorted.
    std::vector<std::string> unreachableZones() const;
    /// Returns the zones that this instance found unreachable and must announce to the others, sorted. Zones that
    /// enough other instances announce are left out.
    std::vector<std::string> zonesToAnnounce(TimePoint now) const;

private:
    struct Notice {
        std::string instance;
        TimePoint receivedAt {};
    };

    /// Returns the number of other instances that recently reported the zone as unreachable.
    size_t reporterCount(const std::string& zone, TimePoint now) const;

    /// Updates `isConnectingBlocked()`.
    void updateConnecting(const ReplicaDirectory& directory, TimePoint now);

    bool isIsolated_ = false;
    bool isConnectingBlocked_ = false;
    /// Since when connecting to several replicas has failed and connecting to others has not succeeded; zero if it has.
    TimePoint connectFailingSince_ {};
    absl::flat_hash_set<std::string> detected_;
    absl::flat_hash_set<std::string> unreachable_;
    absl::flat_hash_map<std::string, std::vector<Notice>> notices_;
};

} // namespace limpettrestle
