#pragma once

/// Other instances of the fleet, learned from requests of followers and from reports of registry readers.

#include "limpettrestle/routing.h"

#include <absl/container/flat_hash_map.h>

namespace limpettrestle {

/// What the build of an instance understands, as bits. Instances of different builds run side by side during an upgrade.
enum class InstanceFeature : uint32_t {
    /// Applies shared facts; see `SharedFacts`.
    SharedFacts = 1U << 0,
    /// Keeps requests within the home regions of their route.
    HomeRegions = 1U << 1,
    /// Reads configurations in which routes share fields; see `ConfigForm::Shared`.
    SharedRouteFields = 1U << 2,
};

/// Features of this build.
constexpr uint32_t kOwnFeatures = static_cast<uint32_t>(InstanceFeature::SharedFacts) | static_cast<uint32_t>(InstanceFeature::HomeRegions)
    | static_cast<uint32_t>(InstanceFeature::SharedRouteFields);

/// Limit on the names of instances and zones and on the IDs of replicas in messages of other instances, well above those of any platform.
constexpr size_t kMaxNameBytes = 256;

/// Identity of an instance and the address at which it serves other instances.
struct InstanceInfo {
    std::string name;
    std::string zone;
    std::string host;
    int port = 0;
    /// Bits of `InstanceFeature`; 0 for builds that do not report them.
    uint32_t features = 0;

    bool supports(InstanceFeature feature) const { return (features & static_cast<uint32_t>(feature)) != 0; }
    /// True when the build understands all of `required`, bits of `InstanceFeature`.
    bool supportsAll(uint32_t required) const { return (features & required) == required; }

    bool operator==(const InstanceInfo&) const = default;
};

class InstanceDirectory {
public:
    /// Limit on followers, several times the size of the largest fleet. Further ones are ignored.
    static constexpr size_t kMaxFollowers = 4096;

    /// Records a request of the instance to this one.
    void recordInstance(const InstanceInfo& instance, TimePoint now);
    /// Records all instances that a reader knows; replaces its previous report.
    void recordReport(const std::string& reader, std::vector<InstanceInfo> instances, TimePoint now);
    /// Extends the validity of the reader's last report.
    void renewReport(const std::string& reader, TimePoint now);

    /// True if the valid report of a reader lists the instance.
    bool isReported(std::string_view name, TimePoint now) const;
    /// Returns the instances recorded with `recordInstance()` recently, sorted by name.
    std::vector<InstanceInfo> followers(TimePoint now) const;
    /// Returns all known instances of a zone, sorted by name.
    std::vector<InstanceInfo> inZone(std::string_view zone, TimePoint now) const;
    /// Returns all known instances, sorted by name.
    std::vector<InstanceInfo> all(TimePoint now) const;
    /// Returns all known instances of the zone of `follower`, and a few of each other zone, sorted by name. Which ones
    /// depends on the follower, so that the instances of a zone do not all turn to the same ones.
    std::vector<InstanceInfo> selectionFor(const InstanceInfo& follower, TimePoint now) const;

private:
    struct FollowerRecord {
        InstanceInfo instance;
        TimePoint recordedAt {};
    };
    struct ReaderReport {
        std::vector<InstanceInfo> instances;
        TimePoint recordedAt {};
    };

    absl::flat_hash_map<std::string, FollowerRecord> followers_;
    absl::flat_hash_map<std::string, ReaderReport> reports_;
};

/// Returns a digest of a list, which an instance sends to show that it already has the list; never 0.
uint64_t digestOf(const std::vector<InstanceInfo>& instances);

} // namespace limpettrestle
