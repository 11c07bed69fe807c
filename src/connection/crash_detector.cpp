#include "crash_detector.h"

namespace limpettrestle {

namespace {

    /// A replica that has crashed is registered again within this time, or never.
    constexpr Millis kPendingTtl { 6000 };
    /// Time for which an answer is remembered, longer than a call takes.
    constexpr Millis kAnswerTtl { 2000 };
    /// Limit on remembered answers.
    constexpr size_t kMaxAnswers = 4096;
    /// Limit on the calls kept per replica, above its usual number of connections.
    constexpr size_t kMaxCallsPerReplica = 32;

} // namespace

void CrashDetector::callLost(const ReplicaPtr& replica, const LostCall& call)
{
    const auto answer = answeredAt_.find(call.request);
    if (answer != answeredAt_.end() && answer->second >= call.sentAt)
        return;
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

void CrashDetector::requestAnswered(RequestFingerprint request, TimePoint now)
{
    answeredAt_[request] = now;
    answers_.emplace_back(now, request);
    if (answers_.size() > kMaxAnswers)
        forgetOldestAnswer();
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

void CrashDetector::forgetOldestAnswer()
{
    const auto [at, request] = answers_.front();
    answers_.pop_front();
    const auto found = answeredAt_.find(request);
    if (found != answeredAt_.end() && found->second <= at)
        answeredAt_.erase(found);
}

void CrashDetector::expire(TimePoint now)
{
    while (!answers_.empty() && now - answers_.front().first > kAnswerTtl)
        forgetOldestAnswer();
    absl::erase_if(pending_, [now](const auto& entry) {
        const std::vector<LostCall>& calls = entry.second.calls;
        return calls.empty() || now - calls.back().lostAt > kPendingTtl;
    });
}

} // namespace limpettrestle
