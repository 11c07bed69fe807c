#include "cold_limits.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    /// Numbers of owners of one replica for which the limit holds: two instances may take each other's place for a time when
    /// their lists of instances differ.
    constexpr double kReservedOwners = 2;
    /// Calls of one owner within a second beyond its rate: intervals that begin and end within the second.
    constexpr double kBoundaryCalls = 1;
    /// A lower rate counts as none: the replica is warm before a second call.
    constexpr double kMinRate = 0.1;

} // namespace

ColdLimits::ColdLimits(const ColdLimitsInit& init)
    : init_(init)
    , owners_(init.self, init.zone)
{
}

/// Returns the rate at which one owner may call a cold replica: `kReservedOwners` owners together stay within the limit.
double ColdLimits::usableRate(double coldRate) const
{
    const double limit = coldRate * init_.excess + init_.slack;
    return std::min(coldRate, limit / kReservedOwners - kBoundaryCalls);
}

void ColdLimits::setTable(const RouteTable& table, TimePoint now)
{
    absl::flat_hash_map<std::string, ServiceState> services;
    for (const ServiceSpec& service : table.services()) {
        if (service.coldRate <= 0)
            continue;
        const auto before = services_.find(service.name);
        ServiceState& state = services[service.name];
        if (before != services_.end())
            state = before->second;
        state.perSecond = usableRate(service.coldRate);
    }
    services_ = std::move(services);
    update(now);
}

void ColdLimits::update(TimePoint now)
{
    if (init_.plan == nullptr)
        return;
    for (auto& [name, state] : services_) {
        const std::string key(init_.plan->groupKeyOf(name));
        if (key == state.groupKey)
            continue;
        state.groupKey = key;
        state.groupKeySince = now;
    }
}

std::optional<Micros> ColdLimits::intervalFor(const ReplicaEntry& replica, TimePoint now) const
{
    const auto found = services_.find(replica.service);
    if (found == services_.end() || found->second.perSecond < kMinRate)
        return std::nullopt;
    const ServiceState& state = found->second;
    // Other instances may still follow the previous division of the shards.
    if (now - state.groupKeySince < LimitOwners::kMemory)
        return std::nullopt;
    if (!owners_.isOwner(state.groupKey.empty() ? replica.id : state.groupKey, replica.zone, now))
        return std::nullopt;
    return std::chrono::ceil<Micros>(std::chrono::duration<double>(1 / state.perSecond));
}

} // namespace limpettrestle
