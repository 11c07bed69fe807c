#include "gather_plan.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace limpettrestle {

namespace {

    /// CPU time of one call to a replica including its reply, in seconds, as measured in docs/CAPACITY.md.
    constexpr double kCallCpuSeconds = 50e-6;
    /// A search is divided if its calls need more CPU time than this fraction of its latency target.
    constexpr double kMaxUndividedShare = 0.2;
    /// CPU time of a group at its sender, in units of calls.
    constexpr double kGroupCostInCalls = 2;
    /// Aggregator candidates per group and zone: one may be down and another one busy.
    constexpr size_t kAggregatorCandidates = 3;
    /// Minimum number of other instances in the zone; with fewer, dividing a search does not pay off.
    constexpr size_t kMinOtherInstances = 4;
    /// Time for which a failed aggregator gets no groups: about the time of a restart.
    constexpr Millis kAvoidDuration { 1500 };
    /// Assumed duration of a group until one has been measured.
    constexpr Micros kInitialGroupDuration { 20000 };
    /// Weight of a new sample in the mean duration of an aggregator's groups.
    constexpr double kDurationWeight = 0.2;
    /// Allows for connections of other instances, which call replicas directly after an aggregator has failed.
    constexpr uint32_t kConnectionSharerFactor = 2;

    uint64_t rendezvousHash(std::string_view key, const std::string& instance)
    {
        return XXH64(instance.data(), instance.size(), XXH64(key.data(), key.size(), 0));
    }

} // namespace

GatherPlan::GatherPlan(GatherPlanInit init)
    : init_(std::move(init))
{
}

bool GatherPlan::setInstances(std::vector<InstanceInfo> instances)
{
    if (instances == instances_)
        return false;
    instances_ = std::move(instances);
    updateOwnShards();
    return true;
}

void GatherPlan::setTable(const RouteTable& table)
{
    routes_.clear();
    for (const std::vector<const RouteSpec*>& group : table.groups()) {
        if (!group.front()->shards.empty())
            routes_.push_back(*group.front());
    }
    updateOwnShards();
}

bool GatherPlan::shouldDivide(const RouteSpec& route) const
{
    const auto others = static_cast<size_t>(std::count_if(instances_.begin(), instances_.end(), [this](const InstanceInfo& instance) { return instance.name != init_.self; }));
    if (others < kMinOtherInstances)
        return false;
    const double seconds = static_cast<double>(route.shards.size()) * kCallCpuSeconds / init_.processorShare;
    return seconds > std::chrono::duration<double>(route.latencyTarget).count() * kMaxUndividedShare;
}

size_t GatherPlan::groupCountFor(size_t shards) const
{
    // Balances the CPU time of the sender and of each aggregator.
    const auto balanced = static_cast<size_t>(std::lround(std::sqrt(static_cast<double>(shards) / kGroupCostInCalls)));
    return std::clamp<size_t>(balanced, 1, std::max<size_t>(1, instances_.size()));
}

std::vector<GatherGroup> GatherPlan::splitShards(size_t shards) const
{
    const size_t count = groupCountFor(shards);
    std::vector<GatherGroup> groups(count);
    for (size_t i = 0; i < count; ++i) {
        groups[i].firstShard = i * shards / count;
        groups[i].shardCount = (i + 1) * shards / count - groups[i].firstShard;
    }
    return groups;
}

std::vector<const InstanceInfo*> GatherPlan::aggregatorCandidates(std::string_view key) const
{
    std::vector<std::pair<uint64_t, const InstanceInfo*>> ranked;
    ranked.reserve(instances_.size());
    for (const InstanceInfo& instance : instances_)
        ranked.emplace_back(rendezvousHash(key, instance.name), &instance);
    const size_t kept = std::min(kAggregatorCandidates, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept), ranked.end());
    std::vector<const InstanceInfo*> candidates;
    for (size_t i = 0; i < kept; ++i)
        candidates.push_back(ranked[i].second);
    return candidates;
}

const InstanceInfo* GatherPlan::chooseAggregator(std::string_view key, uint32_t requiredFeatures, const AllowedZones& zones, TimePoint now) const
{
    const InstanceInfo* best = nullptr;
    double bestExpectedTime = 0;
    for (const InstanceInfo* candidate : aggregatorCandidates(key)) {
        if (candidate->name == init_.self || !candidate->supportsAll(requiredFeatures | requiredFeatures_) || !zones.contains(candidate->zone))
            continue;
        const auto found = aggregatorStates_.find(candidate->name);
        const AggregatorState state = found == aggregatorStates_.end() ? AggregatorState {} : found->second;
        if (now < state.avoidUntil)
            continue;
        const Micros meanDuration = state.meanDuration == Micros::zero() ? kInitialGroupDuration : state.meanDuration;
        const double expectedTime = (1.0 + state.openGroups) * static_cast<double>(meanDuration.count());
        if (best == nullptr || expectedTime < bestExpectedTime) {
            best = candidate;
            bestExpectedTime = expectedTime;
        }
    }
    return best;
}

std::vector<GatherGroup> GatherPlan::divide(const RouteSpec& route, TimePoint now, uint32_t requiredFeatures, const AllowedZones& zones)
{
    std::vector<GatherGroup> groups;
    // The decision depends on the shard's service, so that routes with the same shards share connections.
    if (!dividedShards_.contains(route.shards.front()))
        return groups;
    for (GatherGroup& group : splitShards(route.shards.size())) {
        const InstanceInfo* aggregator = chooseAggregator(route.shards[group.firstShard], requiredFeatures, zones, now);
        // The shards of a group without an available aggregator are called directly.
        if (aggregator == nullptr)
            continue;
        group.aggregator = *aggregator;
        groups.push_back(std::move(group));
    }
    return groups;
}

void GatherPlan::groupStarted(const std::string& aggregator)
{
    ++aggregatorStates_[aggregator].openGroups;
}

void GatherPlan::groupAnswered(const std::string& aggregator, Micros duration)
{
    AggregatorState& state = aggregatorStates_[aggregator];
    state.openGroups -= std::min<uint32_t>(state.openGroups, 1);
    state.avoidUntil = {};
    const Micros previous = state.meanDuration == Micros::zero() ? kInitialGroupDuration : state.meanDuration;
    state.meanDuration = previous + std::chrono::duration_cast<Micros>((duration - previous) * kDurationWeight);
}

void GatherPlan::groupFailed(const std::string& aggregator, TimePoint now)
{
    AggregatorState& state = aggregatorStates_[aggregator];
    state.openGroups -= std::min<uint32_t>(state.openGroups, 1);
    state.avoidUntil = now + kAvoidDuration;
}

void GatherPlan::avoidAggregator(const std::string& aggregator, TimePoint now)
{
    aggregatorStates_[aggregator].avoidUntil = now + kAvoidDuration;
}

void GatherPlan::groupCancelled(const std::string& aggregator)
{
    AggregatorState& state = aggregatorStates_[aggregator];
    state.openGroups -= std::min<uint32_t>(state.openGroups, 1);
}

void GatherPlan::updateOwnShards()
{
    dividedShards_.clear();
    ownShards_.clear();
    excludedZones_.clear();
    groupKeys_.clear();
    for (const RouteSpec& route : routes_) {
        updateExcludedZones(route);
        if (shouldDivide(route))
            dividedShards_.insert(route.shards.begin(), route.shards.end());
        for (const GatherGroup& group : splitShards(route.shards.size())) {
            for (size_t i = group.firstShard; i < group.firstShard + group.shardCount; ++i)
                groupKeys_.try_emplace(route.shards[i], route.shards[group.firstShard]);
            const std::vector<const InstanceInfo*> candidates = aggregatorCandidates(route.shards[group.firstShard]);
            const bool isOwn = std::any_of(candidates.begin(), candidates.end(), [this](const InstanceInfo* candidate) { return candidate->name == init_.self; });
            if (isOwn)
                ownShards_.insert(route.shards.begin() + static_cast<std::ptrdiff_t>(group.firstShard), route.shards.begin() + static_cast<std::ptrdiff_t>(group.firstShard + group.shardCount));
        }
    }
}

void GatherPlan::updateExcludedZones(const RouteSpec& route)
{
    const size_t zones = init_.regions != nullptr ? init_.regions->excludedZones(route.homeRegions) : 0;
    if (zones == 0)
        return;
    for (const std::string& shard : route.shards)
        excludedZones_[shard] = std::max(excludedZones_[shard], static_cast<uint32_t>(zones));
}

bool GatherPlan::callsDirectly(const std::string& service) const
{
    return !dividedShards_.contains(service) || ownShards_.contains(service);
}

std::string_view GatherPlan::groupKeyOf(const std::string& service) const
{
    if (!dividedShards_.contains(service))
        return {};
    const auto found = groupKeys_.find(service);
    return found == groupKeys_.end() ? std::string_view() : found->second;
}

uint32_t GatherPlan::aggregatorCount(const std::string& service) const
{
    if (!dividedShards_.contains(service) || instances_.empty())
        return 0;
    // All zones are assumed to have the same number of instances.
    const auto zoneInstances = static_cast<uint32_t>(instances_.size());
    const uint32_t zones = std::max<uint32_t>(1, (fleetSize_ + zoneInstances - 1) / zoneInstances);
    return static_cast<uint32_t>(kAggregatorCandidates) * zones;
}

uint32_t GatherPlan::connectionSharerCount(const std::string& service) const
{
    const uint32_t aggregators = aggregatorCount(service);
    const auto excluded = excludedZones_.find(service);
    if (aggregators == 0 || excluded == excludedZones_.end())
        return aggregators * kConnectionSharerFactor;
    return aggregators * kConnectionSharerFactor + excluded->second * static_cast<uint32_t>(instances_.size());
}

} // namespace limpettrestle
