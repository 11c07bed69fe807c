/// Crashes of replicas, and the requests that were running on them.

#include "dispatcher_p.h"

#include <array>

namespace limpettrestle {

namespace {

    constexpr std::array<std::string_view, 3> kCrashEvidenceNames = { "connection_refused", "address_taken", "restarted" };

} // namespace

std::string_view name(CrashEvidence value)
{
    return kCrashEvidenceNames[static_cast<size_t>(value)];
}

void Dispatcher::noteLostCall(const Call& call)
{
    if (!call.forwarded->fingerprint.isValid())
        return;
    crashDetector_.callLost(call.replica, { call.forwarded->fingerprint, call.sentAt, clock_.now() });
    if (init_.crashes != nullptr)
        init_.crashes->onCallLost(*call.replica, *call.forwarded);
}

void Dispatcher::noteCrash(const ReplicaPtr& replica, CrashEvidence evidence)
{
    const std::vector<LostCall> calls = crashDetector_.replicaEnded(replica);
    if (calls.empty() || init_.crashes == nullptr)
        return;
    const ReplicaRun run { replica->entry.id, replica->entry.startedAt };
    std::vector<CrashReport> reports;
    reports.reserve(calls.size());
    for (const LostCall& call : calls)
        reports.push_back({ run, call.request, call.sentAt, call.lostAt });
    init_.crashes->onReplicaCrashed(*replica, evidence, reports);
}

void Dispatcher::checkCrashes()
{
    if (crashDetector_.isEmpty())
        return;
    for (const ReplicaPtr& replica : crashDetector_.restartedReplicas(*init_.directory))
        noteCrash(replica, CrashEvidence::Restarted);
    crashDetector_.expire(clock_.now());
}

} // namespace limpettrestle
