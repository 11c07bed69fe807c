#include "replica_directory.h"

#include <algorithm>

namespace limpettrestle {

namespace {

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

void ReplicaDirectory::apply(const ReplicaEntry& entry, TimePoint now)
{
    deferred_.erase(entry.id);
    const auto found = byId_.find(entry.id);
    if (found == byId_.end()) {
        add(entry, now);
        return;
    }
    const ReplicaPtr replica = found->second;
    if (isOlder(entry, replica->entry))
        return;
    if (!isSameRun(entry, replica->entry)) {
        drop(entry.id);
        add(entry, now);
        return;
    }
    const bool acceptedWork = replica->acceptsWork();
    replica->entry = entry;
    if (acceptedWork && !replica->acceptsWork())
        onRetire_(replica);
}

void ReplicaDirectory::remove(const std::string& id, TimePoint now)
{
    if (!byId_.contains(id))
        return;
    if (now < deferUntil_) {
        deferred_.insert(id);
        return;
    }
    drop(id);
}

void ReplicaDirectory::retainOnly(const absl::flat_hash_set<std::string>& ids, TimePoint now)
{
    std::vector<std::string> missing;
    for (const auto& [id, replica] : byId_) {
        if (!ids.contains(id))
            missing.push_back(id);
    }
    for (const std::string& id : missing)
        remove(id, now);
}

void ReplicaDirectory::tick(TimePoint now)
{
    if (deferred_.empty() || now < deferUntil_)
        return;
    const absl::flat_hash_set<std::string> due = std::move(deferred_);
    deferred_.clear();
    for (const std::string& id : due)
        drop(id);
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
    replica->warmupUntil = now + entry.warmupLeft;
    byId_[entry.id] = replica;
    byService_[entry.service].push_back(replica);
}

void ReplicaDirectory::drop(const std::string& id)
{
    const auto found = byId_.find(id);
    if (found == byId_.end())
        return;
    const ReplicaPtr replica = found->second;
    byId_.erase(found);
    std::erase(byService_[replica->entry.service], replica);
    replica->isListed = false;
    onRetire_(replica);
}

} // namespace limpettrestle
