/// Crashes of replicas, and the requests that were running on them.

#include "dispatcher_p.h"

#include <array>
#include <fmt/format.h>

namespace limpettrestle {

namespace {

    constexpr std::array<std::string_view, 3> kCrashEvidenceNames = { "connection_refused", "address_taken", "restarted" };
    /// Lost calls after which a search without any answer may be the cause.
    constexpr uint32_t kDoubtfulLosses = 2;
    /// Interval at which a request whose parts are held back is checked, besides at each of its replies.
    constexpr Millis kHeldBackCheckInterval { 8 };

} // namespace

std::string_view name(CrashEvidence value)
{
    return kCrashEvidenceNames[static_cast<size_t>(value)];
}

void Dispatcher::noteLostCall(const Call& call)
{
    const auto owner = requests_.find(call.request);
    if (owner != requests_.end())
        ++owner->second->lostCalls;
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
    if (init_.crashLedger != nullptr)
        init_.crashLedger->record(reports, clock_.now());
    init_.crashes->onReplicaCrashed(*replica, evidence, reports);
    applyQuarantines();
}

/// Records that a replica has answered a request, which may have been answered to its caller before: `openRequest` is then
/// null.
void Dispatcher::noteAnswered(OpenRequest* openRequest, RequestFingerprint fingerprint)
{
    if (openRequest != nullptr)
        openRequest->hasAnswer = true;
    if (!fingerprint.isValid())
        return;
    crashDetector_.requestAnswered(fingerprint, clock_.now());
    if (init_.crashLedger != nullptr && init_.crashLedger->recordAnswer(fingerprint, clock_.now()) && init_.crashes != nullptr)
        init_.crashes->onRequestCleared(fingerprint);
}

RequestStanding Dispatcher::standingOf(const ForwardedRequest& request) const
{
    return init_.crashLedger != nullptr ? init_.crashLedger->standing(request.fingerprint) : RequestStanding::Clear;
}

ResultCode Dispatcher::quarantineCode(const ForwardedRequest& request) const
{
    return init_.crashLedger->isCertain(request.fingerprint) ? ResultCode::RequestQuarantined : ResultCode::RequestSuspended;
}

bool Dispatcher::isSuspect(const OpenRequest& openRequest) const
{
    return standingOf(*openRequest.request) != RequestStanding::Clear;
}

/// True when no further replica may get the request before one has answered it: it is suspect, or it is a search that has
/// only lost calls so far.
bool Dispatcher::awaitsFirstAnswer(const OpenRequest& openRequest) const
{
    const bool hasOnlyLosses = openRequest.isMerged() && !openRequest.hasAnswer && openRequest.lostCalls >= kDoubtfulLosses;
    return hasOnlyLosses || isSuspect(openRequest);
}

bool Dispatcher::rejectQuarantined(uint64_t request, const ForwardedRequest& forwarded)
{
    if (standingOf(forwarded) != RequestStanding::Quarantined)
        return false;
    ++stats_.quarantinedRequests;
    const bool isCertain = init_.crashLedger->isCertain(forwarded.fingerprint);
    const Millis retryAfter = isCertain ? Millis(-1) : init_.crashLedger->timeLeft(forwarded.fingerprint, clock_.now());
    reject(request, forwarded, quarantineCode(forwarded), retryAfter, fmt::format("0ms:quarantined:{:016x}", forwarded.fingerprint.value));
    return true;
}

/// Answers the sender of a group that its request is quarantined.
void Dispatcher::rejectQuarantinedGroup(uint64_t request, const GroupRequest& group)
{
    RouteAnswer answer;
    answer.code = quarantineCode(group.forwarded);
    // Builds without this reason call the replicas themselves unless all attempts are used up.
    for (const std::string& shard : group.shards)
        answer.missing.push_back({ shard, answer.code, group.maxAttempts });
    RequestReport report;
    report.requestId = group.forwarded.requestId;
    report.code = answer.code;
    report.isGroup = true;
    init_.answers->answer(request, std::move(answer), report);
}

/// Reports new quarantines, and ends the open requests of those that are certain. The others may still be answered, which
/// clears them.
void Dispatcher::applyQuarantines()
{
    if (init_.crashLedger == nullptr)
        return;
    for (const RequestFingerprint quarantined : init_.crashLedger->takeNewlyQuarantined()) {
        if (init_.crashes != nullptr)
            init_.crashes->onRequestQuarantined(quarantined);
        if (!init_.crashLedger->isCertain(quarantined))
            continue;
        std::vector<uint64_t> affected;
        for (const auto& [id, openRequest] : requests_) {
            if (openRequest->request->fingerprint == quarantined)
                affected.push_back(id);
        }
        for (const uint64_t id : affected) {
            const auto found = requests_.find(id);
            if (found != requests_.end())
                endQuarantined(*found->second, ResultCode::RequestQuarantined);
        }
    }
}

/// Ends a request, and its calls before they crash more replicas.
void Dispatcher::endQuarantined(OpenRequest& openRequest, ResultCode code)
{
    ++stats_.quarantinedRequests;
    addToTrail(openRequest, "quarantined", fmt::format("{:016x}", openRequest.request->fingerprint.value), nullptr);
    releaseCalls(openRequest, true);
    answerFailure(openRequest, code);
}

bool Dispatcher::hasOpenCalls(const OpenRequest& openRequest)
{
    return std::any_of(openRequest.parts.begin(), openRequest.parts.end(), [](const Part& part) { return !part.calls.empty() || part.group != 0; });
}

/// Continues a request whose parts wait for a first answer, once there is one, or gives it up when none can come.
void Dispatcher::updateHeldBack(OpenRequest& openRequest)
{
    if (!openRequest.isHeldBack)
        return;
    if (!awaitsFirstAnswer(openRequest))
        resumeHeldBack(openRequest);
    else if (!hasOpenCalls(openRequest))
        failHeldBack(openRequest);
    else
        openRequest.nextUpdateAt = std::min(openRequest.nextUpdateAt, clock_.now() + kHeldBackCheckInterval);
}

void Dispatcher::resumeHeldBack(OpenRequest& openRequest)
{
    openRequest.isHeldBack = false;
    for (size_t i = 0; i < openRequest.parts.size(); ++i) {
        Part& part = openRequest.parts[i];
        if (part.state != PartState::Open || part.group != 0 || !part.calls.empty())
            continue;
        const bool isRepeat = part.sentCalls > 0;
        const ReplicaPtr replica = isRepeat ? nullptr : chooseReplicaFor(openRequest, part, ChoiceScope::First);
        if (replica)
            launchCall(openRequest, i, replica, false);
        else if (!isRepeat)
            markMissing(openRequest, part, unavailableReason(*part.service, allowedZones(*openRequest.route)));
        else if (!tryRepeat(openRequest, i, "retry"))
            markMissing(openRequest, part, part.reason);
    }
}

void Dispatcher::failHeldBack(OpenRequest& openRequest)
{
    openRequest.isHeldBack = false;
    for (Part& part : openRequest.parts) {
        if (part.state == PartState::Open)
            markMissing(openRequest, part, part.reason != ResultCode::Ok ? part.reason : ResultCode::ConnectionLost);
    }
}

void Dispatcher::checkCrashes()
{
    for (const ReplicaPtr& replica : crashDetector_.restartedReplicas(*init_.directory))
        noteCrash(replica, CrashEvidence::Restarted);
    crashDetector_.expire(clock_.now());
}

} // namespace limpettrestle
