#pragma once

/// Tells which availability zones this instance cannot reach. Where searches are divided, an instance calls
/// few replicas itself; a zone none of whose replicas answers it stands for the others there, and
/// instances of one zone tell each other what they have found.

#include "replica_directory.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

namespace limpettrestle {

class ZoneReach {
public:
    /// Weighs the replicas' health anew. To be called at a steady pace.
    void update(const ReplicaDirectory& directory, TimePoint now);
    /// Another instance of the own zone has found that it cannot reach some zones.
    void recordNotice(const std::string& instance, const std::vector<std::string>& zones, TimePoint now);

    /// True unless the zone is out of reach, by what this instance found itself or was told by several others.
    bool isReachable(const std::string& zone) const { return !out_.contains(zone); }
    /// True when some replica of the service takes work and is not out of reach.
    bool isServiceReachable(const ReplicaDirectory& directory, const std::string& service) const;
    /// Zones out of reach, sorted.
    std::vector<std::string> unreachableZones() const;
    /// What the others are to be told: zones found by this instance, sorted; empty where enough others tell
    /// the same.
    std::vector<std::string> zonesToAnnounce(TimePoint now) const;

private:
    struct Notice {
        std::string instance;
        TimePoint at {};
    };

    /// Instances other than this one that told so lately.
    size_t tellersOf(const std::string& zone, TimePoint now) const;

    absl::flat_hash_set<std::string> found_;
    absl::flat_hash_set<std::string> out_;
    absl::flat_hash_map<std::string, std::vector<Notice>> notices_;
};

} // namespace limpettrestle
