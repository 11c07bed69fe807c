#include "zone_reach.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    /// Replicas of a zone that must be out of reach: a single one may have crashed.
    constexpr uint32_t kLeastWitnesses = 2;
    /// An answer within this time shows that the zone is there.
    constexpr Millis kHeardTime { 500 };
    /// Life of what another instance told; it is told again every house-keeping round.
    constexpr Millis kNoticeLife { 1000 };
    /// Instances that must tell so before one that has found nothing itself takes it over: a single one may be
    /// cut off alone.
    constexpr size_t kLeastTellers = 2;

    struct ZoneCount {
        uint32_t unreachable = 0;
        bool isHeard = false;
    };

} // namespace

void ZoneReach::update(const ReplicaDirectory& directory, TimePoint now)
{
    absl::flat_hash_map<std::string, ZoneCount> zones;
    for (const auto& [id, replica] : directory.all()) {
        if (!replica->takesWork())
            continue;
        ZoneCount& count = zones[replica->entry.zone];
        count.unreachable += replica->health.isUnreachable() ? 1 : 0;
        count.isHeard |= now - replica->health.lastAnswer() <= kHeardTime;
    }
    found_.clear();
    out_.clear();
    for (const auto& [zone, count] : zones) {
        if (count.isHeard)
            continue;
        if (count.unreachable >= kLeastWitnesses)
            found_.insert(zone);
        if (found_.contains(zone) || tellersOf(zone, now) >= kLeastTellers)
            out_.insert(zone);
    }
}

void ZoneReach::told(const std::string& instance, const std::vector<std::string>& zones, TimePoint now)
{
    for (const std::string& zone : zones) {
        std::vector<Notice>& notices = notices_[zone];
        std::erase_if(notices, [&](const Notice& notice) { return notice.instance == instance || now - notice.at > kNoticeLife; });
        notices.push_back({ instance, now });
    }
}

size_t ZoneReach::tellersOf(const std::string& zone, TimePoint now) const
{
    const auto found = notices_.find(zone);
    if (found == notices_.end())
        return 0;
    return static_cast<size_t>(std::count_if(found->second.begin(), found->second.end(), [now](const Notice& notice) { return now - notice.at <= kNoticeLife; }));
}

bool ZoneReach::reachesService(const ReplicaDirectory& directory, const std::string& service) const
{
    const auto& replicas = directory.of(service);
    return std::any_of(replicas.begin(), replicas.end(), [this](const ReplicaPtr& replica) {
        return replica->takesWork() && !replica->health.isUnreachable() && reaches(replica->entry.zone);
    });
}

std::vector<std::string> ZoneReach::zonesOut() const
{
    std::vector<std::string> zones(out_.begin(), out_.end());
    std::sort(zones.begin(), zones.end());
    return zones;
}

std::vector<std::string> ZoneReach::zonesToTell(TimePoint now) const
{
    std::vector<std::string> zones;
    for (const std::string& zone : found_) {
        // Those that take it over need that many; this instance is one of them.
        if (tellersOf(zone, now) <= kLeastTellers)
            zones.push_back(zone);
    }
    std::sort(zones.begin(), zones.end());
    return zones;
}

} // namespace limpettrestle
