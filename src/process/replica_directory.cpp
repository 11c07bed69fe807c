#include "replica_directory.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    /// Time for which a removed replica is remembered; a copy of the registry is some seconds old.
    constexpr Millis kDepartedTtl { 300000 };
    /// Limit on remembered replicas, more than a rollout of a large deployment replaces in that time.
    constexpr size_t kMaxDeparted = 4096;
    /// Time after which a replica is used again that another instance lists although its removal was read: longer than
    /// an instance defers removals, and than a state is used without a newer one.
    constexpr Millis kReadmissionDelay { 3000 };

    /// True when the report is older than the known one.
    bool isOlder(const ReplicaEntry& report, const ReplicaEntry& known)
    {
        if (report.startedAt != known.startedAt)
            return report.startedAt < known.startedAt;
        return report.sequence < known.sequence;
    }

    bool isSameRun(const ReplicaEntry& a, const ReplicaEntry& b)
    {
        return a.startedAt == b.startedAt && a.service == b.service && a.host == b.host && a.port == b.port;
    }

} // namespace

bool ReplicaDirectory::apply(const ReplicaEntry& entry, TimePoint now, ReplicaSource source)
{
    endDeferral(entry, source);
    const auto found = byId_.find(entry.id);
    if (found == byId_.end()) {
        readmit(entry, now, source);
        return false;
    }
    const ReplicaPtr replica = found->second;
    if (isOlder(entry, replica->entry))
        return false;
    if (!isSameRun(entry, replica->entry)) {
        drop(entry.id, now, source);
        departed_.erase(entry.id);
        add(entry, now);
        return false;
    }
    const bool acceptedWork = replica->acceptsWork();
    const bool isNewer = isOlder(replica->entry, entry);
    replica->entry = entry;
    replica->isEvacuated = evacuatedZones_.contains(entry.zone);
    if (acceptedWork && !replica->acceptsWork())
        onRetire_(replica);
    return isNewer && recordWarmup(replica, now);
}

/// Ends the deferral of a removal. What the registry no longer lists stays deferred until it comes with a later report.
void ReplicaDirectory::endDeferral(const ReplicaEntry& entry, ReplicaSource source)
{
    const auto found = deferred_.find(entry.id);
    if (found == deferred_.end())
        return;
    const bool isRepeated = source == ReplicaSource::Instance && found->second == ReplicaSource::Registry;
    if (!isRepeated || isOlder(byId_.at(entry.id)->entry, entry))
        deferred_.erase(found);
}

/// Records the remaining warm-up time of a new report.
bool ReplicaDirectory::recordWarmup(const ReplicaPtr& replica, TimePoint now)
{
    const TimePoint before = replica->warmup.until();
    const bool mustBePassedOn = replica->warmup.recordReport(replica->entry.warmupLeft, now);
    notifyIfProlonged(replica, before, now);
    return mustBePassedOn;
}

void ReplicaDirectory::noteReply(const ReplicaPtr& replica, Millis warmupLeft, TimePoint now)
{
    const TimePoint before = replica->warmup.until();
    replica->warmup.recordReply(warmupLeft, now);
    notifyIfProlonged(replica, before, now);
}

void ReplicaDirectory::noteObservedWarmup(const ReplicaPtr& replica, TimePoint end, TimePoint now)
{
    const TimePoint before = replica->warmup.until();
    replica->warmup.recordObservedEnd(end, now);
    notifyIfProlonged(replica, before, now);
}

void ReplicaDirectory::notifyIfProlonged(const ReplicaPtr& replica, TimePoint before, TimePoint now)
{
    const bool isProlonged = replica->warmup.isCold(now) && replica->warmup.until() > before;
    if (isProlonged && onCold_)
        onCold_(replica);
}

void ReplicaDirectory::retire(const ReplicaPtr& replica)
{
    const bool acceptedWork = replica->acceptsWork();
    replica->isRetired = true;
    if (acceptedWork)
        onRetire_(replica);
}

bool ReplicaDirectory::markLeaving(const ReplicaPtr& replica)
{
    if (replica->isLeaving)
        return false;
    replica->isLeaving = true;
    retire(replica);
    return true;
}

void ReplicaDirectory::setEvacuatedZones(absl::flat_hash_set<std::string> zones)
{
    evacuatedZones_ = std::move(zones);
    std::vector<ReplicaPtr> retired;
    for (const auto& [id, replica] : byId_) {
        const bool acceptedWork = replica->acceptsWork();
        replica->isEvacuated = evacuatedZones_.contains(replica->entry.zone);
        if (acceptedWork && !replica->acceptsWork())
            retired.push_back(replica);
    }
    // Only now, so that the calls that the handler moves do not go to another replica of the zone.
    for (const ReplicaPtr& replica : retired)
        onRetire_(replica);
}

void ReplicaDirectory::remove(const std::string& id, TimePoint now, ReplicaSource source)
{
    held_.erase(id);
    if (!byId_.contains(id))
        return;
    if (now >= deferUntil_) {
        drop(id, now, source);
        return;
    }
    const auto [deferred, isNew] = deferred_.try_emplace(id, source);
    if (source == ReplicaSource::Registry)
        deferred->second = source;
}

void ReplicaDirectory::retainOnly(const absl::flat_hash_set<std::string>& ids, TimePoint now, ReplicaSource source)
{
    absl::erase_if(held_, [&ids](const auto& held) { return !ids.contains(held.first); });
    std::vector<std::string> missing;
    for (const auto& [id, replica] : byId_) {
        if (!ids.contains(id))
            missing.push_back(id);
    }
    for (const std::string& id : missing)
        remove(id, now, source);
}

void ReplicaDirectory::tick(TimePoint now)
{
    forgetDeparted(now);
    if (deferred_.empty() || now < deferUntil_)
        return;
    const absl::flat_hash_map<std::string, ReplicaSource> due = std::move(deferred_);
    deferred_.clear();
    for (const auto& [id, source] : due)
        drop(id, now, source);
}

std::vector<std::string> ReplicaDirectory::deferredRemovals() const
{
    std::vector<std::string> ids;
    for (const auto& [id, source] : deferred_)
        ids.push_back(id);
    return ids;
}

std::vector<ReplicaEntry> ReplicaDirectory::takeDueReadmissions(TimePoint now)
{
    std::vector<ReplicaEntry> due;
    for (const auto& [id, held] : held_) {
        if (now >= held.until)
            due.push_back(held.entry);
    }
    for (const ReplicaEntry& entry : due)
        held_.erase(entry.id);
    return due;
}

const std::vector<ReplicaPtr>& ReplicaDirectory::replicasOf(const std::string& service) const
{
    static const std::vector<ReplicaPtr> kNoReplicas;
    const auto found = byService_.find(service);
    return found == byService_.end() ? kNoReplicas : found->second;
}

ReplicaPtr ReplicaDirectory::find(const std::string& id) const
{
    const auto found = byId_.find(id);
    return found == byId_.end() ? nullptr : found->second;
}

void ReplicaDirectory::add(const ReplicaEntry& entry, TimePoint now)
{
    auto replica = std::make_shared<Replica>();
    replica->entry = entry;
    insert(replica);
    recordWarmup(replica, now);
}

/// Adds a replica that is not listed. A run that was listed before keeps its health and its announcements.
void ReplicaDirectory::readmit(const ReplicaEntry& entry, TimePoint now, ReplicaSource source)
{
    const auto found = departed_.find(entry.id);
    if (found == departed_.end()) {
        add(entry, now);
        return;
    }
    const ReplicaPtr replica = found->second.replica;
    const bool mayBeCopied = found->second.at <= restoredAt_;
    const bool isEarlierRun = entry.startedAt < replica->entry.startedAt;
    if (isEarlierRun || (mayBeCopied && !isOlder(replica->entry, entry)))
        return;
    const bool isRepeated = source == ReplicaSource::Instance && found->second.source == ReplicaSource::Registry;
    if (isRepeated && !isOlder(replica->entry, entry)) {
        held_.try_emplace(entry.id, HeldEntry { entry, now + kReadmissionDelay });
        return;
    }
    departed_.erase(found);
    if (!isSameRun(entry, replica->entry)) {
        add(entry, now);
        return;
    }
    const bool isNewer = isOlder(replica->entry, entry);
    if (!isOlder(entry, replica->entry))
        replica->entry = entry;
    replica->isListed = true;
    insert(replica);
    if (isNewer)
        recordWarmup(replica, now);
}

void ReplicaDirectory::insert(const ReplicaPtr& replica)
{
    replica->isEvacuated = evacuatedZones_.contains(replica->entry.zone);
    held_.erase(replica->entry.id);
    byId_[replica->entry.id] = replica;
    byService_[replica->entry.service].push_back(replica);
}

void ReplicaDirectory::drop(const std::string& id, TimePoint now, ReplicaSource source)
{
    const auto found = byId_.find(id);
    if (found == byId_.end())
        return;
    const ReplicaPtr replica = found->second;
    byId_.erase(found);
    std::erase(byService_[replica->entry.service], replica);
    replica->isListed = false;
    departed_[id] = { replica, now, source };
    departures_.emplace_back(now, id);
    forgetDeparted(now);
    onRetire_(replica);
}

void ReplicaDirectory::forgetDeparted(TimePoint now)
{
    while (!departures_.empty() && (departures_.size() > kMaxDeparted || now - departures_.front().first > kDepartedTtl)) {
        const auto [at, id] = std::move(departures_.front());
        departures_.pop_front();
        const auto found = departed_.find(id);
        // The replica may have returned and left again since.
        if (found != departed_.end() && found->second.at <= at)
            departed_.erase(found);
    }
}

} // namespace limpettrestle
