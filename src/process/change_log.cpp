#include "change_log.h"

namespace limpettrestle {

namespace {

    /// Number of removals kept: more than a rollout of all replicas of a deployment causes between two requests of a
    /// follower.
    constexpr size_t kMaxRemovals = 4096;

} // namespace

void ChangeLog::replicaWritten(const std::string& id)
{
    written_[id] = ++last_;
}

void ChangeLog::replicaRemoved(const std::string& id)
{
    if (written_.erase(id) == 0)
        return;
    removed_.emplace_back(++last_, id);
    if (removed_.size() <= kMaxRemovals)
        return;
    truncatedUpTo_ = removed_.front().first;
    removed_.pop_front();
}

void ChangeLog::configChanged()
{
    configChangedAt_ = ++last_;
}

ChangeSet ChangeLog::changesAfter(ChangePosition position) const
{
    ChangeSet changes;
    changes.upTo = { run_, last_ };
    changes.isFullSnapshot = position.run != run_ || position.number < truncatedUpTo_ || position.number > last_;
    const uint64_t after = changes.isFullSnapshot ? 0 : position.number;
    for (const auto& [id, number] : written_) {
        if (number > after)
            changes.written.push_back(id);
    }
    if (!changes.isFullSnapshot) {
        for (auto removal = removed_.rbegin(); removal != removed_.rend() && removal->first > after; ++removal) {
            if (!written_.contains(removal->second))
                changes.removed.push_back(removal->second);
        }
    }
    changes.hasConfig = configChangedAt_ > after;
    return changes;
}

} // namespace limpettrestle
