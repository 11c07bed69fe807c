#include "zone_reach.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    /// Minimum number of replicas of a zone that must have failed since the last answer from the zone; a single one may
    /// have crashed.
    constexpr uint32_t kMinFailedReplicas = 2;
    /// An answer or a new connection within this time proves that the zone is reachable.
    constexpr Millis kAnswerTtl { 500 };
    /// Validity of a notice; the sender repeats it in every round of its periodic work.
    constexpr Millis kNoticeTtl { 1000 };
    /// Limits on the zones of which notices are kept and on the reporters of each, several times those of the largest fleet.
    constexpr size_t kMaxNoticeZones = 256;
    constexpr size_t kMaxReporters = 4096;
    /// Number of other instances that must report a zone before an instance without a finding of its own accepts it;
    /// a single one may be cut off alone.
    constexpr size_t kMinReporters = 2;
    /// Connecting counts as blocked when it has failed for this number of replicas, none of them the last to succeed, for this
    /// time. Several replicas may have crashed; connections to others are tried meanwhile.
    constexpr size_t kMinFailedConnects = 3;
    constexpr Millis kMinConnectFailure { 500 };

    struct ZoneState {
        TimePoint lastAnswerAt {};
        uint32_t failedReplicas = 0;
    };

    /// True when the replica is unreachable and has been failing since after the last answer from its zone.
    bool hasFailedSince(const Replica& replica, TimePoint lastAnswerAt)
    {
        return replica.acceptsWork() && replica.health.isUnreachable() && replica.health.failingSince() > lastAnswerAt;
    }

} // namespace

void ZoneReach::update(const ReplicaDirectory& directory, TimePoint now)
{
    absl::flat_hash_map<std::string, ZoneState> zones;
    // A zone without calls is neither reachable nor unreachable.
    for (const auto& [id, replica] : directory.all()) {
        if (replica->isEvacuated)
            continue;
        ZoneState& state = zones[replica->entry.zone];
        state.lastAnswerAt = std::max({ state.lastAnswerAt, replica->health.lastAnswer(), replica->health.lastConnected() });
    }
    for (const auto& [id, replica] : directory.all()) {
        if (replica->isEvacuated)
            continue;
        ZoneState& state = zones[replica->entry.zone];
        state.failedReplicas += hasFailedSince(*replica, state.lastAnswerAt) ? 1 : 0;
    }
    detected_.clear();
    unreachable_.clear();
    for (const auto& [zone, state] : zones) {
        if (now - state.lastAnswerAt <= kAnswerTtl)
            continue;
        if (state.failedReplicas >= kMinFailedReplicas)
            detected_.insert(zone);
        if (detected_.contains(zone) || reporterCount(zone, now) >= kMinReporters)
            unreachable_.insert(zone);
    }
    updateConnecting(directory, now);
    isIsolated_ = !zones.empty() && unreachable_.size() == zones.size();
}

void ZoneReach::updateConnecting(const ReplicaDirectory& directory, TimePoint now)
{
    TimePoint lastConnected {};
    for (const auto& [id, replica] : directory.all())
        lastConnected = std::max(lastConnected, replica->health.lastConnected());
    const auto failed = static_cast<size_t>(std::count_if(directory.all().begin(), directory.all().end(), [lastConnected](const auto& entry) {
        return entry.second->acceptsWork() && entry.second->health.lastConnectFailure() > lastConnected;
    }));
    if (failed < kMinFailedConnects)
        connectFailingSince_ = {};
    else if (connectFailingSince_ == TimePoint {})
        connectFailingSince_ = now;
    isConnectingBlocked_ = connectFailingSince_ != TimePoint {} && now - connectFailingSince_ >= kMinConnectFailure;
}

std::vector<std::string> ZoneReach::zonesToProbe(const ReplicaDirectory& directory, TimePoint now) const
{
    absl::flat_hash_map<std::string, TimePoint> lastAnswers;
    for (const auto& [id, replica] : directory.all()) {
        if (replica->isEvacuated)
            continue;
        TimePoint& lastAnswerAt = lastAnswers[replica->entry.zone];
        lastAnswerAt = std::max(lastAnswerAt, replica->health.lastAnswer());
    }
    std::vector<std::string> zones;
    for (const auto& [zone, lastAnswerAt] : lastAnswers) {
        const bool isReported = !detected_.contains(zone) && now - lastAnswerAt > kAnswerTtl && reporterCount(zone, now) >= kMinReporters;
        if (isReported || connectFailingSince_ != TimePoint {})
            zones.push_back(zone);
    }
    std::sort(zones.begin(), zones.end());
    return zones;
}

void ZoneReach::recordNotice(const std::string& instance, const std::vector<std::string>& zones, TimePoint now)
{
    for (const std::string& zone : zones) {
        if (!notices_.contains(zone) && notices_.size() >= kMaxNoticeZones)
            absl::erase_if(notices_, [now](const auto& entry) { return now - entry.second.back().receivedAt > kNoticeTtl; });
        if (!notices_.contains(zone) && notices_.size() >= kMaxNoticeZones)
            continue;
        std::vector<Notice>& notices = notices_[zone];
        std::erase_if(notices, [&](const Notice& notice) { return notice.instance == instance || now - notice.receivedAt > kNoticeTtl; });
        if (notices.size() < kMaxReporters)
            notices.push_back({ instance, now });
    }
}

size_t ZoneReach::reporterCount(const std::string& zone, TimePoint now) const
{
    const auto found = notices_.find(zone);
    if (found == notices_.end())
        return 0;
    return static_cast<size_t>(std::count_if(found->second.begin(), found->second.end(), [now](const Notice& notice) { return now - notice.receivedAt <= kNoticeTtl; }));
}

bool ZoneReach::isServiceReachable(const ReplicaDirectory& directory, const std::string& service, const AllowedZones& zones) const
{
    const auto& replicas = directory.replicasOf(service);
    return std::any_of(replicas.begin(), replicas.end(), [this, &zones](const ReplicaPtr& replica) {
        return zones.contains(replica->entry.zone) && replica->acceptsWork() && !replica->health.isUnreachable() && isReachable(replica->entry.zone);
    });
}

std::vector<std::string> ZoneReach::unreachableZones() const
{
    std::vector<std::string> zones(unreachable_.begin(), unreachable_.end());
    std::sort(zones.begin(), zones.end());
    return zones;
}

std::vector<std::string> ZoneReach::zonesToAnnounce(TimePoint now) const
{
    std::vector<std::string> zones;
    for (const std::string& zone : detected_) {
        // Receivers need notices from `kMinReporters` instances, and this instance is one of those that they count.
        if (reporterCount(zone, now) <= kMinReporters)
            zones.push_back(zone);
    }
    std::sort(zones.begin(), zones.end());
    return zones;
}

} // namespace limpettrestle
