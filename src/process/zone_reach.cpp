#include "zone_reach.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    /// Replicas of a zone that must have failed since it was last heard: a single one may have crashed.
    constexpr uint32_t kLeastWitnesses = 2;
    /// An answer within this time shows that the zone is there.
    constexpr Millis kHeardTime { 500 };
    /// Life of what another instance told; it is told again every house-keeping round.
    constexpr Millis kNoticeLife { 1000 };
    /// Instances that must tell so before one that has found nothing itself takes it over: a single one may be
    /// cut off alone.
    constexpr size_t kLeastTellers = 2;

    struct ZoneState {
        TimePoint heardAt {};
        uint32_t witnesses = 0;
    };

    /// True when the replica is out of reach and failed after others of its zone had answered last.
    bool isWitness(const Replica& replica, TimePoint heardAt)
    {
        return replica.acceptsWork() && replica.health.isUnreachable() && replica.health.failingSince() > heardAt;
    }

} // namespace

void ZoneReach::update(const ReplicaDirectory& directory, TimePoint now)
{
    absl::flat_hash_map<std::string, ZoneState> zones;
    for (const auto& [id, replica] : directory.all()) {
        ZoneState& state = zones[replica->entry.zone];
        state.heardAt = std::max(state.heardAt, replica->health.lastAnswer());
    }
    for (const auto& [id, replica] : directory.all()) {
        ZoneState& state = zones[replica->entry.zone];
        state.witnesses += isWitness(*replica, state.heardAt) ? 1 : 0;
    }
    found_.clear();
    out_.clear();
    for (const auto& [zone, state] : zones) {
        if (now - state.heardAt <= kHeardTime)
            continue;
        if (state.witnesses >= kLeastWitnesses)
            found_.insert(zone);
        if (found_.contains(zone) || tellersOf(zone, now) >= kLeastTellers)
            out_.insert(zone);
    }
}

void ZoneReach::recordNotice(const std::string& instance, const std::vector<std::string>& zones, TimePoint now)
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

bool ZoneReach::isServiceReachable(const ReplicaDirectory& directory, const std::string& service) const
{
    const auto& replicas = directory.replicasOf(service);
    return std::any_of(replicas.begin(), replicas.end(), [this](const ReplicaPtr& replica) {
        return replica->acceptsWork() && !replica->health.isUnreachable() && isReachable(replica->entry.zone);
    });
}

std::vector<std::string> ZoneReach::unreachableZones() const
{
    std::vector<std::string> zones(out_.begin(), out_.end());
    std::sort(zones.begin(), zones.end());
    return zones;
}

std::vector<std::string> ZoneReach::zonesToAnnounce(TimePoint now) const
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
