#pragma once

/// Other instances of the fleet, as readers of the registry know them from their followers.

#include "limpettrestle/routing.h"

#include <absl/container/flat_hash_map.h>

namespace limpettrestle {

/// Address at which an instance answers others.
struct InstanceInfo {
    std::string name;
    std::string zone;
    std::string host;
    int port = 0;

    bool operator==(const InstanceInfo&) const = default;
};

class InstanceDirectory {
public:
    /// The instance has asked this one.
    void recordInstance(const InstanceInfo& instance, TimePoint now);
    /// A reader told all instances that it knows; replaces what it told before.
    void recordReport(const std::string& reader, std::vector<InstanceInfo> instances, TimePoint now);
    /// What the reader told still holds.
    void renewReport(const std::string& reader, TimePoint now);

    /// Instances that asked this one lately, and itself once it was seen, by name.
    std::vector<InstanceInfo> followers(TimePoint now) const;
    /// All known instances of a zone, by name.
    std::vector<InstanceInfo> inZone(std::string_view zone, TimePoint now) const;

private:
    struct Seen {
        InstanceInfo instance;
        TimePoint at {};
    };
    struct Told {
        std::vector<InstanceInfo> instances;
        TimePoint at {};
    };

    absl::flat_hash_map<std::string, Seen> seen_;
    absl::flat_hash_map<std::string, Told> told_;
};

/// Digest of a list, by which a receiver shows that it knows it; never 0.
uint64_t digestOf(const std::vector<InstanceInfo>& instances);

} // namespace limpettrestle
