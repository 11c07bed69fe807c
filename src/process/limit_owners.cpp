#include "limit_owners.h"

#include <algorithm>
#include <xxhash.h>

namespace limpettrestle {

namespace {

    using Rank = std::pair<uint64_t, std::string_view>;

    /// The same hash as that of the aggregators, so that the owner of a group of shards is one of them.
    Rank rankOf(std::string_view key, const std::string& name)
    {
        return { XXH64(name.data(), name.size(), XXH64(key.data(), key.size(), 0)), name };
    }

    void forgetUnlisted(absl::flat_hash_map<std::string, TimePoint>& names, TimePoint now)
    {
        absl::erase_if(names, [now](const auto& entry) { return now - entry.second > LimitOwners::kMemory; });
    }

} // namespace

void LimitOwners::setInstances(const std::vector<InstanceInfo>& instances, TimePoint now)
{
    if (std::none_of(instances.begin(), instances.end(), [this](const InstanceInfo& instance) { return instance.name == self_; }))
        return;
    if (lastListAt_ == TimePoint {} || now - lastListAt_ > kListTtl)
        inTouchSince_ = now;
    lastListAt_ = now;
    for (const InstanceInfo& instance : instances) {
        zones_[instance.zone] = now;
        if (instance.zone == zone_)
            instances_[instance.name] = now;
    }
    forgetUnlisted(instances_, now);
    forgetUnlisted(zones_, now);
}

bool LimitOwners::isSettled(TimePoint now) const
{
    const bool isInTouch = lastListAt_ != TimePoint {} && now - lastListAt_ <= kListTtl;
    return isInTouch && now - inTouchSince_ >= kSettleTime;
}

const std::string& LimitOwners::servingZone(const std::string& zone) const
{
    if (zone == zone_ || zones_.empty() || zones_.contains(zone))
        return zone;
    const auto lowest = std::min_element(zones_.begin(), zones_.end(), [&zone](const auto& a, const auto& b) { return rankOf(zone, a.first) < rankOf(zone, b.first); });
    return lowest->first;
}

bool LimitOwners::isOwner(std::string_view key, const std::string& zone, TimePoint now) const
{
    if (!isSettled(now) || servingZone(zone) != zone_)
        return false;
    const Rank own = rankOf(key, self_);
    return std::none_of(instances_.begin(), instances_.end(), [&](const auto& entry) { return rankOf(key, entry.first) < own; });
}

} // namespace limpettrestle
