#include "ownership.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace limpettrestle {

namespace {

    /// Most replicas of an instance, as a multiple of the zone's mean.
    constexpr double kLoadBound = 1.25;

    uint64_t score(uint64_t item, InstanceId instance)
    {
        const uint64_t words[] = { item, instance.value };
        return XXH3_64bits(words, sizeof(words));
    }

} // namespace

void Ownership::onConfig(const FleetConfig& config)
{
    groups_.clear();
    assignments_.clear();
    disputed_.clear();
    absl::flat_hash_map<std::pair<uint64_t, uint64_t>, uint32_t> sizes;
    for (const auto& [id, replica] : config.replicaIndex)
        ++sizes[{ replica->zone.value, replica->ownerKey }];
    for (const auto& [key, replicas] : sizes)
        groups_[ZoneId { key.first }].push_back({ key.second, replicas });
    // The order of the assignment must be the same on every instance.
    for (auto& [zone, groups] : groups_)
        std::sort(groups.begin(), groups.end(), [](const Group& a, const Group& b) { return a.key < b.key; });
}

Owners Ownership::find(const ReplicaConfig& replica)
{
    refresh();
    auto it = assignments_.find(replica.zone);
    if (it == assignments_.end())
        it = assignments_.emplace(replica.zone, assign(replica.zone, membership_.zoneView(replica.zone))).first;
    const auto owners = it->second.find(replica.ownerKey);
    return owners == it->second.end() ? Owners {} : owners->second;
}

bool Ownership::isDisputed(const ReplicaConfig& replica)
{
    const std::vector<InstanceId> disputed = membership_.disputedZoneMembers();
    if (disputed.empty())
        return false;
    refresh();
    if (disputed != disputed_) {
        disputed_ = disputed;
        std::vector<InstanceId> view = membership_.zoneView(context_.zone);
        view.insert(view.end(), disputed.begin(), disputed.end());
        disputedAssignment_ = assign(context_.zone, view);
    }
    const auto owners = disputedAssignment_.find(replica.ownerKey);
    if (owners == disputedAssignment_.end())
        return false;
    const auto isIn = [&](InstanceId id) { return std::find(disputed.begin(), disputed.end(), id) != disputed.end(); };
    return isIn(owners->second.owner) || isIn(owners->second.deputy);
}

uint32_t Ownership::rankFor(std::string_view duty) const
{
    const uint64_t item = hashName(duty);
    const uint64_t own = score(item, context_.self);
    uint32_t rank = 0;
    for (const InstanceId id : membership_.zoneView(context_.zone)) {
        if (id != context_.self && score(item, id) > own)
            ++rank;
    }
    return rank;
}

Ownership::Assignment Ownership::assign(ZoneId zone, const std::vector<InstanceId>& view) const
{
    Assignment assignment;
    const auto groups = groups_.find(zone);
    if (groups == groups_.end() || view.empty())
        return assignment;
    uint32_t total = 0;
    for (const Group& group : groups->second)
        total += group.replicas;
    const auto bound = static_cast<uint32_t>(std::ceil(kLoadBound * total / static_cast<double>(view.size())));
    absl::flat_hash_map<InstanceId, uint32_t> load;
    std::vector<std::pair<uint64_t, InstanceId>> ranked;
    for (const Group& group : groups->second) {
        ranked.clear();
        for (const InstanceId id : view)
            ranked.emplace_back(score(group.key, id), id);
        std::sort(ranked.rbegin(), ranked.rend());
        size_t owner = 0;
        while (owner + 1 < ranked.size() && load[ranked[owner].second] + group.replicas > bound)
            ++owner;
        Owners owners;
        owners.owner = ranked[owner].second;
        if (ranked.size() > 1)
            owners.deputy = ranked[owner == 0 ? 1 : 0].second;
        load[owners.owner] += group.replicas;
        assignment.emplace(group.key, owners);
    }
    return assignment;
}

void Ownership::refresh()
{
    if (viewVersion_ == membership_.viewVersion())
        return;
    viewVersion_ = membership_.viewVersion();
    assignments_.clear();
    disputed_.clear();
}

} // namespace limpettrestle
