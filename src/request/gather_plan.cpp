#include "gather_plan.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace limpettrestle {

namespace {

    /// Processor time of one call to a replica with its reply, seconds; docs/CAPACITY.md has the measurement.
    constexpr double kCallCost = 50e-6;
    /// A search whose calls take more of its objective than this is divided.
    constexpr double kMaxOwnShare = 0.2;
    /// A group costs its sender about as much as this many calls.
    constexpr double kGroupCost = 2;
    /// Instances of a zone among which a group is handed around: enough for one to be lost and one to be busy.
    constexpr size_t kCandidates = 3;
    /// Instances of the zone, beside this one, from which on dividing pays off.
    constexpr size_t kLeastInstances = 4;
    /// An instance that failed gets no group for so long: about the time of a restart.
    constexpr Millis kAvoidTime { 1500 };
    /// Time of a group until one has been measured.
    constexpr Micros kFirstUsual { 20000 };
    /// Weight of a sample in an instance's usual time.
    constexpr double kUsualWeight = 0.2;
    /// Direct calls of other instances, where an aggregator has failed, need connections too.
    constexpr uint32_t kSharersReserve = 2;

    uint64_t rankOf(std::string_view key, const std::string& instance)
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
    findOwnShards();
    return true;
}

void GatherPlan::setTable(const RouteTable& table)
{
    routes_.clear();
    for (const RouteSpec& route : table.routes()) {
        if (!route.shards.empty())
            routes_.push_back(route);
    }
    findOwnShards();
}

bool GatherPlan::isWorthDividing(const RouteSpec& route) const
{
    const auto others = static_cast<size_t>(std::count_if(instances_.begin(), instances_.end(), [this](const InstanceInfo& instance) { return instance.name != init_.self; }));
    if (others < kLeastInstances)
        return false;
    const double seconds = static_cast<double>(route.shards.size()) * kCallCost / init_.processorShare;
    return seconds > std::chrono::duration<double>(route.latencyTarget).count() * kMaxOwnShare;
}

size_t GatherPlan::groupsOf(size_t shards) const
{
    // Sender and aggregators are busy for equally long.
    const auto balanced = static_cast<size_t>(std::lround(std::sqrt(static_cast<double>(shards) / kGroupCost)));
    return std::clamp<size_t>(balanced, 1, std::max<size_t>(1, instances_.size()));
}

std::vector<GatherGroup> GatherPlan::boundsOf(size_t shards) const
{
    const size_t count = groupsOf(shards);
    std::vector<GatherGroup> groups(count);
    for (size_t i = 0; i < count; ++i) {
        groups[i].first = i * shards / count;
        groups[i].count = (i + 1) * shards / count - groups[i].first;
    }
    return groups;
}

std::vector<const InstanceInfo*> GatherPlan::candidatesOf(std::string_view key) const
{
    std::vector<std::pair<uint64_t, const InstanceInfo*>> ranked;
    ranked.reserve(instances_.size());
    for (const InstanceInfo& instance : instances_)
        ranked.emplace_back(rankOf(key, instance.name), &instance);
    const size_t kept = std::min(kCandidates, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept), ranked.end());
    std::vector<const InstanceInfo*> candidates;
    for (size_t i = 0; i < kept; ++i)
        candidates.push_back(ranked[i].second);
    return candidates;
}

const InstanceInfo* GatherPlan::choose(std::string_view key, TimePoint now) const
{
    const InstanceInfo* best = nullptr;
    double bestTime = 0;
    for (const InstanceInfo* candidate : candidatesOf(key)) {
        if (candidate->name == init_.self)
            continue;
        const auto found = health_.find(candidate->name);
        const Health health = found == health_.end() ? Health {} : found->second;
        if (now < health.avoidUntil)
            continue;
        const Micros usual = health.usual == Micros::zero() ? kFirstUsual : health.usual;
        const double time = (1.0 + health.open) * static_cast<double>(usual.count());
        if (best == nullptr || time < bestTime) {
            best = candidate;
            bestTime = time;
        }
    }
    return best;
}

std::vector<GatherGroup> GatherPlan::divide(const RouteSpec& route, TimePoint now)
{
    std::vector<GatherGroup> groups;
    // Decided by service, so that routes over the same shards share connections.
    if (!divided_.contains(route.shards.front()))
        return groups;
    for (GatherGroup& group : boundsOf(route.shards.size())) {
        const InstanceInfo* aggregator = choose(route.shards[group.first], now);
        // The shards of a group without an aggregator are called directly.
        if (aggregator == nullptr)
            continue;
        group.aggregator = *aggregator;
        groups.push_back(std::move(group));
    }
    return groups;
}

void GatherPlan::started(const std::string& aggregator)
{
    ++health_[aggregator].open;
}

void GatherPlan::answered(const std::string& aggregator, Micros taken)
{
    Health& health = health_[aggregator];
    health.open -= std::min<uint32_t>(health.open, 1);
    health.avoidUntil = {};
    const Micros before = health.usual == Micros::zero() ? kFirstUsual : health.usual;
    health.usual = before + std::chrono::duration_cast<Micros>((taken - before) * kUsualWeight);
}

void GatherPlan::failed(const std::string& aggregator, TimePoint now)
{
    Health& health = health_[aggregator];
    health.open -= std::min<uint32_t>(health.open, 1);
    health.avoidUntil = now + kAvoidTime;
}

void GatherPlan::avoid(const std::string& aggregator, TimePoint now)
{
    health_[aggregator].avoidUntil = now + kAvoidTime;
}

void GatherPlan::dropped(const std::string& aggregator)
{
    Health& health = health_[aggregator];
    health.open -= std::min<uint32_t>(health.open, 1);
}

void GatherPlan::findOwnShards()
{
    divided_.clear();
    own_.clear();
    for (const RouteSpec& route : routes_) {
        if (isWorthDividing(route))
            divided_.insert(route.shards.begin(), route.shards.end());
        for (const GatherGroup& group : boundsOf(route.shards.size())) {
            const std::vector<const InstanceInfo*> candidates = candidatesOf(route.shards[group.first]);
            const bool isOwn = std::any_of(candidates.begin(), candidates.end(), [this](const InstanceInfo* candidate) { return candidate->name == init_.self; });
            if (isOwn)
                own_.insert(route.shards.begin() + static_cast<std::ptrdiff_t>(group.first), route.shards.begin() + static_cast<std::ptrdiff_t>(group.first + group.count));
        }
    }
}

bool GatherPlan::callsDirectly(const std::string& service) const
{
    return !divided_.contains(service) || own_.contains(service);
}

uint32_t GatherPlan::aggregatorsOf(const std::string& service) const
{
    if (!divided_.contains(service) || instances_.empty())
        return 0;
    // Zones are taken as equally large.
    const auto inZone = static_cast<uint32_t>(instances_.size());
    const uint32_t zones = std::max<uint32_t>(1, (fleetSize_ + inZone - 1) / inZone);
    return static_cast<uint32_t>(kCandidates) * zones;
}

uint32_t GatherPlan::sharersOf(const std::string& service) const
{
    return aggregatorsOf(service) * kSharersReserve;
}

} // namespace limpettrestle
