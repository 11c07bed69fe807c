#include "instance_directory.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace limpettrestle {

namespace {

    /// A follower asks every second at least.
    constexpr Millis kSeenLife { 2000 };
    /// Longer than a reader is out of reach in a usual disruption; calls to instances that have gone meanwhile
    /// fail and are made elsewhere.
    constexpr Millis kToldLife { 30000 };

    void sortByName(std::vector<InstanceInfo>& instances)
    {
        std::sort(instances.begin(), instances.end(), [](const InstanceInfo& a, const InstanceInfo& b) { return a.name < b.name; });
        const auto last = std::unique(instances.begin(), instances.end(), [](const InstanceInfo& a, const InstanceInfo& b) { return a.name == b.name; });
        instances.erase(last, instances.end());
    }

} // namespace

void InstanceDirectory::recordInstance(const InstanceInfo& instance, TimePoint now)
{
    seen_[instance.name] = { instance, now };
}

void InstanceDirectory::recordReport(const std::string& reader, std::vector<InstanceInfo> instances, TimePoint now)
{
    told_[reader] = { std::move(instances), now };
}

void InstanceDirectory::renewReport(const std::string& reader, TimePoint now)
{
    const auto found = told_.find(reader);
    if (found != told_.end())
        found->second.at = now;
}

std::vector<InstanceInfo> InstanceDirectory::followers(TimePoint now) const
{
    std::vector<InstanceInfo> instances;
    for (const auto& [name, seen] : seen_) {
        if (now - seen.at <= kSeenLife)
            instances.push_back(seen.instance);
    }
    sortByName(instances);
    return instances;
}

std::vector<InstanceInfo> InstanceDirectory::inZone(std::string_view zone, TimePoint now) const
{
    std::vector<InstanceInfo> instances = followers(now);
    for (const auto& [reader, told] : told_) {
        if (now - told.at <= kToldLife)
            instances.insert(instances.end(), told.instances.begin(), told.instances.end());
    }
    std::erase_if(instances, [zone](const InstanceInfo& instance) { return instance.zone != zone; });
    sortByName(instances);
    return instances;
}

uint64_t digestOf(const std::vector<InstanceInfo>& instances)
{
    std::string text;
    for (const InstanceInfo& instance : instances)
        fmt::format_to(std::back_inserter(text), "{} {} {}:{}\n", instance.name, instance.zone, instance.host, instance.port);
    return XXH64(text.data(), text.size(), 0) | 1;
}

} // namespace limpettrestle
