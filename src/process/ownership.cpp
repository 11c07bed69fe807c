#include "ownership.h"

#include <xxhash.h>

namespace limpettrestle {

namespace {

    uint64_t score(uint64_t item, InstanceId instance)
    {
        const uint64_t words[] = { item, instance.value };
        return XXH3_64bits(words, sizeof(words));
    }

} // namespace

Owners Ownership::find(const ReplicaConfig& replica)
{
    if (cachedVersion_ != membership_.viewVersion()) {
        cache_.clear();
        cachedVersion_ = membership_.viewVersion();
    }
    const auto cached = cache_.find({ replica.zone.value, replica.ownerKey });
    if (cached != cache_.end())
        return cached->second;
    Owners owners;
    uint64_t ownerScore = 0;
    uint64_t deputyScore = 0;
    for (const InstanceId id : membership_.zoneView(replica.zone)) {
        const uint64_t value = score(replica.ownerKey, id);
        if (!owners.owner.isValid() || value > ownerScore) {
            owners.deputy = owners.owner;
            deputyScore = ownerScore;
            owners.owner = id;
            ownerScore = value;
        } else if (!owners.deputy.isValid() || value > deputyScore) {
            owners.deputy = id;
            deputyScore = value;
        }
    }
    cache_.emplace(std::pair(replica.zone.value, replica.ownerKey), owners);
    return owners;
}

bool Ownership::isDisputed(const ReplicaConfig& replica) const
{
    const uint64_t ownScore = score(replica.ownerKey, context_.self);
    uint64_t nextLiveScore = 0;
    for (const InstanceId id : membership_.zoneView(context_.zone)) {
        const uint64_t value = score(replica.ownerKey, id);
        if (value < ownScore && value > nextLiveScore)
            nextLiveScore = value;
    }
    for (const InstanceId id : membership_.disputedZoneMembers()) {
        if (score(replica.ownerKey, id) > nextLiveScore)
            return true;
    }
    return false;
}

uint32_t Ownership::rankFor(std::string_view task) const
{
    const uint64_t item = hashName(task);
    const uint64_t ownScore = score(item, context_.self);
    uint32_t rank = 0;
    for (const InstanceId id : membership_.zoneView(context_.zone)) {
        if (id != context_.self && score(item, id) > ownScore)
            ++rank;
    }
    return rank;
}

} // namespace limpettrestle
