#include "instance_directory.h"

#include <algorithm>
#include <bit>
#include <fmt/format.h>
#include <xxhash.h>

namespace limpettrestle {

namespace {

    /// A follower sends a request at least every second.
    constexpr Millis kFollowerTtl { 2000 };
    /// Longer than a reader is unreachable in a usual disruption. Calls to instances that have left in the meantime
    /// fail and are retried on other instances.
    constexpr Millis kReportTtl { 30000 };

    /// Instances of each other zone that a follower learns: several may be out of service at the same time.
    constexpr size_t kSelectedPerZone = 4;

    void sortUniqueByName(std::vector<InstanceInfo>& instances)
    {
        // Of several entries, that with the fewest features is kept: earlier builds drop features from the lists that they serve.
        std::sort(instances.begin(), instances.end(), [](const InstanceInfo& a, const InstanceInfo& b) { return a.name != b.name ? a.name < b.name : std::popcount(a.features) < std::popcount(b.features); });
        const auto last = std::unique(instances.begin(), instances.end(), [](const InstanceInfo& a, const InstanceInfo& b) { return a.name == b.name; });
        instances.erase(last, instances.end());
    }

} // namespace

void InstanceDirectory::recordInstance(const InstanceInfo& instance, TimePoint now)
{
    if (!followers_.contains(instance.name) && followers_.size() >= kMaxFollowers)
        absl::erase_if(followers_, [now](const auto& entry) { return now - entry.second.recordedAt > kFollowerTtl; });
    if (followers_.contains(instance.name) || followers_.size() < kMaxFollowers)
        followers_[instance.name] = { instance, now };
}

void InstanceDirectory::recordReport(const std::string& reader, std::vector<InstanceInfo> instances, TimePoint now)
{
    reports_[reader] = { std::move(instances), now };
}

void InstanceDirectory::renewReport(const std::string& reader, TimePoint now)
{
    const auto found = reports_.find(reader);
    if (found != reports_.end())
        found->second.recordedAt = now;
}

bool InstanceDirectory::isReported(std::string_view name, TimePoint now) const
{
    return std::any_of(reports_.begin(), reports_.end(), [name, now](const auto& entry) {
        const std::vector<InstanceInfo>& listed = entry.second.instances;
        const bool isListed = std::any_of(listed.begin(), listed.end(), [name](const InstanceInfo& instance) { return instance.name == name; });
        return isListed && now - entry.second.recordedAt <= kReportTtl;
    });
}

std::vector<InstanceInfo> InstanceDirectory::followers(TimePoint now) const
{
    std::vector<InstanceInfo> instances;
    for (const auto& [name, follower] : followers_) {
        if (now - follower.recordedAt <= kFollowerTtl)
            instances.push_back(follower.instance);
    }
    sortUniqueByName(instances);
    return instances;
}

std::vector<InstanceInfo> InstanceDirectory::inZone(std::string_view zone, TimePoint now) const
{
    std::vector<InstanceInfo> instances = all(now);
    std::erase_if(instances, [zone](const InstanceInfo& instance) { return instance.zone != zone; });
    return instances;
}

std::vector<InstanceInfo> InstanceDirectory::selectionFor(const InstanceInfo& follower, TimePoint now) const
{
    std::vector<InstanceInfo> selection;
    absl::flat_hash_map<std::string, std::vector<std::pair<uint64_t, InstanceInfo>>> otherZones;
    for (InstanceInfo& instance : all(now)) {
        if (instance.zone == follower.zone) {
            selection.push_back(std::move(instance));
            continue;
        }
        const uint64_t rank = XXH64(instance.name.data(), instance.name.size(), XXH64(follower.name.data(), follower.name.size(), 0));
        otherZones[instance.zone].emplace_back(rank, std::move(instance));
    }
    for (auto& [zone, ranked] : otherZones) {
        const size_t kept = std::min(kSelectedPerZone, ranked.size());
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept), ranked.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
        for (size_t i = 0; i < kept; ++i)
            selection.push_back(std::move(ranked[i].second));
    }
    sortUniqueByName(selection);
    return selection;
}

std::vector<InstanceInfo> InstanceDirectory::all(TimePoint now) const
{
    std::vector<InstanceInfo> instances = followers(now);
    for (const auto& [reader, report] : reports_) {
        if (now - report.recordedAt <= kReportTtl)
            instances.insert(instances.end(), report.instances.begin(), report.instances.end());
    }
    sortUniqueByName(instances);
    return instances;
}

uint64_t digestOf(const std::vector<InstanceInfo>& instances)
{
    std::string text;
    for (const InstanceInfo& instance : instances)
        fmt::format_to(std::back_inserter(text), "{} {} {}:{} {}\n", instance.name, instance.zone, instance.host, instance.port, instance.features);
    return XXH64(text.data(), text.size(), 0) | 1;
}

} // namespace limpettrestle
