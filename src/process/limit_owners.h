#pragma once

/// Selects the one instance that may call a replica whose request rate is limited for all instances together. Does no I/O.

#include "instance_directory.h"

namespace limpettrestle {

/// Every instance applies the same rule to its own list of instances: the owner is the instance of the replica's zone
/// with the lowest hash of its name and a key. If every instance that has been in touch for `kSettleTime` is in the lists
/// of all others, at most one of them is the owner, and two different owners are separated by at least the difference of
/// `kMemory` and the delay of the lists.
class LimitOwners {
public:
    /// An instance that was listed this long ago still counts, so that its successor does not start while it may call.
    static constexpr Millis kMemory { 5000 };
    /// An instance owns nothing until it has been in touch for this time: the others must have listed it before.
    static constexpr Millis kSettleTime { 5000 };
    /// Without a new list for this time, the instance is no longer in touch.
    static constexpr Millis kListTtl { 1500 };

    LimitOwners(std::string self, std::string zone)
        : self_(std::move(self))
        , zone_(std::move(zone))
    {
    }

    /// Records the instances that are listed now. Must be called repeatedly, but only with current lists. A list without
    /// this instance is ignored: it is older than this instance, and others with such a list would be owners as well.
    void setInstances(const std::vector<InstanceInfo>& instances, TimePoint now);
    /// True if this instance is the owner for a key and a replica in `zone`. A zone without instances is served by one
    /// of the others.
    bool isOwner(std::string_view key, const std::string& zone, TimePoint now) const;

private:
    bool isSettled(TimePoint now) const;
    const std::string& servingZone(const std::string& zone) const;

    const std::string self_;
    const std::string zone_;
    /// Instances of the own zone and all zones with instances, by name, with the time at which they were listed last.
    absl::flat_hash_map<std::string, TimePoint> instances_;
    absl::flat_hash_map<std::string, TimePoint> zones_;
    TimePoint inTouchSince_ {};
    TimePoint lastListAt_ {};
};

} // namespace limpettrestle
