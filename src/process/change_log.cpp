#include "change_log.h"

namespace limpettrestle {

namespace {

    /// Removals kept: more than a release of all replicas of a deployment makes in a follower's pause.
    constexpr size_t kMaxRemoved = 4096;

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
    if (removed_.size() <= kMaxRemoved)
        return;
    forgotten_ = removed_.front().first;
    removed_.pop_front();
}

void ChangeLog::configChanged()
{
    configAt_ = ++last_;
}

ChangeSet ChangeLog::changesAfter(ChangePosition position) const
{
    ChangeSet changes;
    changes.upTo = { run_, last_ };
    changes.isWhole = position.run != run_ || position.number < forgotten_ || position.number > last_;
    const uint64_t after = changes.isWhole ? 0 : position.number;
    for (const auto& [id, number] : written_) {
        if (number > after)
            changes.written.push_back(id);
    }
    if (!changes.isWhole) {
        for (auto at = removed_.rbegin(); at != removed_.rend() && at->first > after; ++at) {
            if (!written_.contains(at->second))
                changes.removed.push_back(at->second);
        }
    }
    changes.hasConfig = configAt_ > after;
    return changes;
}

} // namespace limpettrestle
