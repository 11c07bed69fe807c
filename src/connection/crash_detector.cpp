#include "crash_detector.h"

namespace limpettrestle {

namespace {

    /// A replica that has crashed is registered again within this time, or never.
    constexpr Millis kPendingTtl { 6000 };
    /// Limit on the calls kept per replica, above its usual number of connections.
    constexpr size_t kMaxCallsPerReplica = 32;

} // namespace

void CrashDetector::callLost(const ReplicaPtr& replica, const LostCall& call)
{
    PendingReplica& pending = pending_[replica.get()];
    pending.replica = replica;
    if (pending.calls.size() < kMaxCallsPerReplica)
        pending.calls.push_back(call);
}

void CrashDetector::replicaAnswered(const ReplicaPtr& replica)
{
    if (!pending_.empty())
        pending_.erase(replica.get());
}

void CrashDetector::requestAnswered(RequestFingerprint request)
{
    for (auto& [key, pending] : pending_)
        std::erase_if(pending.calls, [request](const LostCall& call) { return call.request == request; });
}

std::vector<LostCall> CrashDetector::replicaEnded(const ReplicaPtr& replica)
{
    const auto found = pending_.find(replica.get());
    if (found == pending_.end())
        return {};
    std::vector<LostCall> calls = std::move(found->second.calls);
    pending_.erase(found);
    return calls;
}

std::vector<ReplicaPtr> CrashDetector::restartedReplicas(const ReplicaDirectory& directory) const
{
    std::vector<ReplicaPtr> restarted;
    for (const auto& [key, pending] : pending_) {
        const ReplicaPtr current = directory.find(pending.replica->entry.id);
        if (current && current->entry.startedAt > pending.replica->entry.startedAt)
            restarted.push_back(pending.replica);
    }
    return restarted;
}

void CrashDetector::expire(TimePoint now)
{
    absl::erase_if(pending_, [now](const auto& entry) {
        const std::vector<LostCall>& calls = entry.second.calls;
        return calls.empty() || now - calls.back().lostAt > kPendingTtl;
    });
}

} // namespace limpettrestle
