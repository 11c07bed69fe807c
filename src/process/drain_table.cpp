#include "drain_table.h"

#include <algorithm>

namespace limpettrestle {

bool DrainTable::drain(ReplicaId replica, uint64_t serverIncarnation)
{
    const auto seen = newestSeen_.find(replica);
    const uint64_t newest = seen == newestSeen_.end() ? 0 : seen->second;
    if (serverIncarnation == 0)
        serverIncarnation = newest;
    if (serverIncarnation < newest)
        return false;
    const auto [it, isNew] = drained_.try_emplace(replica, serverIncarnation);
    if (!isNew && it->second >= serverIncarnation)
        return false;
    it->second = serverIncarnation;
    return true;
}

bool DrainTable::recordServing(ReplicaId replica, uint64_t serverIncarnation)
{
    uint64_t& newest = newestSeen_[replica];
    newest = std::max(newest, serverIncarnation);
    const auto it = drained_.find(replica);
    if (it == drained_.end())
        return false;
    // A notice without an incarnation applies to the first incarnation seen after it.
    if (it->second == 0)
        it->second = serverIncarnation;
    if (serverIncarnation <= it->second)
        return false;
    drained_.erase(it);
    return true;
}

bool DrainTable::isDrained(ReplicaId replica) const
{
    return drained_.contains(replica);
}

std::vector<DrainRecord> DrainTable::records() const
{
    std::vector<DrainRecord> records;
    for (const auto& [replica, incarnation] : drained_)
        records.push_back({ replica, incarnation, false });
    std::sort(records.begin(), records.end(), [](const DrainRecord& a, const DrainRecord& b) { return a.replica < b.replica; });
    return records;
}

} // namespace limpettrestle
