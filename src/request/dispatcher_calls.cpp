/// Calls of the dispatcher to replicas: first calls, repeats, and the handling of their results.

#include "dispatcher_p.h"

namespace limpettrestle {

namespace {

    /// Maximum number of calls that are started for one part, including unsent ones.
    constexpr uint32_t kMaxCallsPerPart = 4;
    /// Weight of a new sample in the mean call duration of a route.
    constexpr double kMeanWeight = 0.05;
    /// Minimum delay of a hedge; a shorter one would mistake jitter for a slow replica.
    constexpr Millis kMinHedgeDelay { 4 };
    /// Maximum delay of a hedge as a fraction of the latency target.
    constexpr double kMaxHedgeDelayFraction = 0.45;
    /// Fraction of the repeat budget's capacity that early hedges must leave unused.
    constexpr double kEarlyHedgeReserve = 0.4;
    /// Time after which a denied repeat is considered again.
    constexpr Millis kDeniedRepeatPause { 8 };
    /// Time to wait for a connection before another replica is tried: the latency target divided by
    /// `kConnectWaitDivisor`, but at least `kMinConnectWait`.
    constexpr Millis kMinConnectWait { 20 };
    constexpr int kConnectWaitDivisor = 5;
    /// Cost of a lost call in units of successful calls. It stands for a repeat and its delay if the
    /// request is idempotent, and for the failure of the whole request otherwise.
    constexpr double kLossCostIdempotent = 3;
    constexpr double kLossCostAtMostOnce = 30;

    constexpr int kServiceUnavailable = 503;

    bool isSuccess(int status) { return status >= 200 && status < 300; }

    /// True for statuses from which a caller concludes that the request was not executed.
    bool impliesNotExecuted(int status)
    {
        return status == 408 || status == 421 || status == 429 || status == kServiceUnavailable;
    }

    Millis connectWait(const RouteSpec& route)
    {
        return std::max(kMinConnectWait, route.latencyTarget / kConnectWaitDivisor);
    }

} // namespace

Micros Dispatcher::hedgeDelay(const OpenRequest& openRequest) const
{
    const Micros quantileDelay = openRequest.routeState->callDuration.value(openRequest.routeState->meanDuration * 2);
    const auto maxDelay = std::chrono::duration_cast<Micros>(openRequest.route->latencyTarget * kMaxHedgeDelayFraction);
    return std::max<Micros>(kMinHedgeDelay, std::min(quantileDelay, maxDelay));
}

void Dispatcher::launchAllParts(OpenRequest& openRequest)
{
    // A replica has to answer a suspect search before the others get it.
    openRequest.isHeldBack = openRequest.isMerged() && isSuspect(openRequest);
    const std::vector<GatherGroup> groups = openRequest.isHeldBack ? std::vector<GatherGroup>() : planGroups(openRequest);
    std::vector<bool> isGathered(openRequest.parts.size());
    for (const GatherGroup& group : groups)
        std::fill_n(isGathered.begin() + static_cast<std::ptrdiff_t>(group.firstShard), group.shardCount, true);
    std::vector<ReplicaPtr> chosen(openRequest.parts.size());
    for (size_t i = 0; i < openRequest.parts.size(); ++i) {
        if (isGathered[i])
            continue;
        Part& part = openRequest.parts[i];
        if (!hasRoom(openRequest, part)) {
            markMissing(openRequest, part, ResultCode::PredictedWaitExceedsDeadline);
            continue;
        }
        LoadBudget& budget = repeatBudgetOf(*part.service);
        budget.setBurst(repeatBurst(*part.service));
        budget.earn(init_.repeatRatio);
        chosen[i] = chooseReplicaFor(openRequest, part, ChoiceScope::First);
        if (!chosen[i])
            markMissing(openRequest, part, unavailableReason(*part.service, allowedZones(*openRequest.route)));
    }
    markUnreachableParts(openRequest, isGathered);
    markPartsWithoutRoom(openRequest, isGathered);
    // If the request cannot succeed, nothing is sent and `updateRequest()` answers with a failure.
    if (openRequest.pending() < openRequest.requiredParts())
        return;
    for (const GatherGroup& group : groups)
        launchGroup(openRequest, group);
    for (size_t i = 0; i < chosen.size(); ++i) {
        if (!chosen[i])
            continue;
        launchCall(openRequest, i, chosen[i], false);
        if (openRequest.isHeldBack)
            return;
    }
}

ReplicaPtr Dispatcher::chooseReplicaFor(const OpenRequest& openRequest, const Part& part, ChoiceScope scope)
{
    const std::vector<ReplicaPtr> candidates = usedReplicas(*part.service, allowedZones(*openRequest.route));
    const ChoiceQuery query { candidates, init_.zone, scope, openRequest.routeState->meanDuration, openRequest.mayRepeat() ? kLossCostIdempotent : kLossCostAtMostOnce, part.triedReplicas, part.sentCalls > 0 };
    return chooseReplica(query, clock_.now());
}

void Dispatcher::launchCall(OpenRequest& openRequest, size_t partIndex, const ReplicaPtr& replica, bool isRepeat)
{
    Part& part = openRequest.parts[partIndex];
    const TimePoint now = clock_.now();
    auto call = std::make_unique<Call>();
    call->id = ++lastId_;
    call->request = openRequest.id;
    call->part = partIndex;
    call->replica = replica;
    call->forwarded = openRequest.request;
    call->startedAt = now;
    call->expectedDuration = openRequest.routeState->meanDuration;
    const uint64_t id = call->id;
    calls_[id] = std::move(call);
    part.calls.push_back(id);
    part.triedReplicas.push_back(replica);
    ++part.startedCalls;
    replica->rate.callStarted(now);
    if (isRepeat) {
        ++openRequest.repeats;
        ++stats_.repeats;
    }
    openRequest.nextUpdateAt = std::min(openRequest.nextUpdateAt, now + connectWait(*openRequest.route));
    const Millis timeLeft = std::chrono::duration_cast<Millis>(openRequest.deadlineAt - now);
    init_.transport->startCall(id, replica, openRequest.request, std::max(Millis(1), timeLeft), !openRequest.mayRepeat());
}

void Dispatcher::updatePart(OpenRequest& openRequest, size_t partIndex)
{
    Part& part = openRequest.parts[partIndex];
    if (part.state != PartState::Open || part.group != 0)
        return;
    const TimePoint now = clock_.now();
    bool hasUnsent = false;
    // Reassigning a call removes it and appends its replacement, so entries before `i` stay in place.
    for (size_t i = 0; i < part.calls.size(); ++i) {
        const uint64_t id = part.calls[i];
        const Call& call = *calls_.at(id);
        if (call.isSent)
            continue;
        const TimePoint connectWaitEnd = call.startedAt + connectWait(*openRequest.route);
        // A reassigned call may have to wait for a connection as well.
        hasUnsent = true;
        if (now >= connectWaitEnd)
            reassignUnsentCall(openRequest, partIndex, id);
        openRequest.nextUpdateAt = std::min(openRequest.nextUpdateAt, std::max(connectWaitEnd, now + kDeniedRepeatPause));
    }
    if (hasUnsent || part.state != PartState::Open || awaitsFirstAnswer(openRequest) || !openRequest.mayRepeat() || part.runs >= openRequest.route->maxAttempts)
        return;
    if (now >= part.nextHedgeAt && !tryHedge(openRequest, partIndex))
        part.nextHedgeAt = std::max(part.nextHedgeAt, now) + kDeniedRepeatPause;
    if (part.runs < openRequest.route->maxAttempts)
        openRequest.nextUpdateAt = std::min(openRequest.nextUpdateAt, std::max(part.nextHedgeAt, now + Millis(1)));
}

void Dispatcher::reassignUnsentCall(OpenRequest& openRequest, size_t partIndex, uint64_t id)
{
    Part& part = openRequest.parts[partIndex];
    // Other replicas of a service without room are slower, or full as well.
    if (!admission_.allowsRetry(*part.service) && init_.transport->isConnected(calls_.at(id)->replica))
        return;
    const ReplicaPtr replica = part.startedCalls < kMaxCallsPerPart ? chooseReplicaFor(openRequest, part, ChoiceScope::First) : nullptr;
    const Call& call = *calls_.at(id);
    if (!init_.transport->isConnected(call.replica))
        call.replica->health.connectFailed(clock_.now());
    if (!replica)
        return;
    addToTrail(openRequest, "no_connection", *part.service, call.replica.get());
    std::erase(part.calls, id);
    endCall(id, CallEnd::Cancelled);
    launchCall(openRequest, partIndex, replica, false);
}

bool Dispatcher::tryHedge(OpenRequest& openRequest, size_t partIndex)
{
    const TimePoint now = clock_.now();
    const TimePoint latestHedgeAt = openRequest.softDeadlineAt - hedgeDelay(openRequest) - kMinTimeLeft;
    const bool isEarly = now < latestHedgeAt;
    // Early hedges leave part of the budget to calls that are still open at the latest time at which
    // a hedge can succeed.
    const std::string& service = *openRequest.parts[partIndex].service;
    if (!admission_.allowsHedge(service)) {
        ++stats_.repeatsWithoutRoom;
        return false;
    }
    const double needed = isEarly ? 1 + repeatBurst(service) * kEarlyHedgeReserve : 1;
    if (repeatBudgetOf(service).tokens() < needed) {
        ++stats_.repeatsDenied;
        if (isEarly)
            openRequest.parts[partIndex].nextHedgeAt = latestHedgeAt - kDeniedRepeatPause;
        return false;
    }
    return tryRepeat(openRequest, partIndex, "hedge");
}

bool Dispatcher::tryRepeat(OpenRequest& openRequest, size_t partIndex, std::string_view trailWord)
{
    Part& part = openRequest.parts[partIndex];
    if (part.startedCalls >= kMaxCallsPerPart || clock_.now() + kMinTimeLeft >= openRequest.deadlineAt)
        return false;
    const ReplicaPtr replica = chooseReplicaFor(openRequest, part, ChoiceScope::Repeat);
    if (!replica)
        return false;
    if (!repeatBudgetOf(*part.service).spend()) {
        ++stats_.repeatsDenied;
        return false;
    }
    addToTrail(openRequest, trailWord, *part.service, replica.get());
    launchCall(openRequest, partIndex, replica, true);
    return true;
}

void Dispatcher::handleReply(Call& call, ReplicaReply reply)
{
    const TimePoint now = clock_.now();
    Replica& replica = *call.replica;
    replica.health.recordLoad(reply.running, reply.waiting, now);
    recordReplicaLoad(call, reply);
    const bool wasNotExecuted = reply.isNotExecuted || reply.isMisdirected;
    if (wasNotExecuted)
        replica.health.callEnded(call.id, now, CallEnd::Failed);
    else
        replica.health.callAnswered(call.id, now);
    if (reply.isMisdirected) {
        init_.directory->retire(call.replica);
        noteCrash(call.replica, CrashEvidence::AddressTaken);
    } else {
        crashDetector_.replicaAnswered(call.replica);
    }
    if (reply.isLeaving)
        noteLeaving(call.replica, "replica");
    // A misdirected call was answered by another replica.
    if (!reply.isMisdirected) {
        init_.directory->noteReply(call.replica, reply.warmupLeft, now);
        noteRateLimit(call.replica, reply.rateLimit);
    }
    if (reply.backOff > Millis::zero())
        noteBackOff(call.replica, reply.backOff);

    const auto owner = requests_.find(call.request);
    if (!wasNotExecuted && isSuccess(reply.status) && !reply.signature.empty())
        noteAnswered(owner == requests_.end() ? nullptr : owner->second.get(), call.forwarded->fingerprint);
    if (owner == requests_.end())
        return;
    OpenRequest& openRequest = *owner->second;
    Part& part = openRequest.parts[call.part];
    std::erase(part.calls, call.id);
    if (wasNotExecuted) {
        ++stats_.repliesNotExecuted;
        --part.runs;
        retryOrFail(openRequest, call.part, reply.isMisdirected ? ResultCode::NoReplicaReachable : ResultCode::ServerShed, "not_executed");
        return;
    }
    const Micros duration = std::chrono::duration_cast<Micros>(now - call.sentAt);
    openRequest.routeState->callDuration.add(duration);
    openRequest.routeState->meanDuration += std::chrono::duration_cast<Micros>((duration - openRequest.routeState->meanDuration) * kMeanWeight);
    if (part.state != PartState::Open)
        return;
    if (isSuccess(reply.status) && reply.signature.empty()) {
        retryOrFail(openRequest, call.part, ResultCode::ForeignReply, "unsigned");
        return;
    }
    if (openRequest.isMerged())
        acceptPartReply(openRequest, call.part, std::move(reply));
    else
        acceptForwardedReply(openRequest, call.part, std::move(reply));
}

void Dispatcher::acceptPartReply(OpenRequest& openRequest, size_t partIndex, ReplicaReply reply)
{
    if (!isSuccess(reply.status)) {
        retryOrFail(openRequest, partIndex, ResultCode::ServerFailed, "server_failed");
        return;
    }
    Part& part = openRequest.parts[partIndex];
    part.reply = std::move(reply);
    part.state = PartState::Done;
    ++openRequest.done;
}

void Dispatcher::acceptForwardedReply(OpenRequest& openRequest, size_t partIndex, ReplicaReply reply)
{
    Part& part = openRequest.parts[partIndex];
    if (reply.status < 500 && !impliesNotExecuted(reply.status)) {
        part.reply = std::move(reply);
        part.state = PartState::Done;
        ++openRequest.done;
        return;
    }
    // An error reply is passed on if no other replica succeeds. Statuses from which the caller would
    // conclude that the request was not executed are never passed on.
    if (!impliesNotExecuted(reply.status)) {
        part.reply = std::move(reply);
        part.hasFailureReply = true;
    }
    retryOrFail(openRequest, partIndex, ResultCode::ServerFailed, "server_failed");
}

void Dispatcher::handleFailure(Call& call, CallFailure failure)
{
    const TimePoint now = clock_.now();
    ++stats_.callsLost;
    // Queued calls of a replica that accepts no more work fail as not sent, which says nothing about its health.
    if (failure == CallFailure::NotSent && call.replica->acceptsWork())
        call.replica->health.connectFailed(now);
    if (failure != CallFailure::NotSent)
        call.replica->health.callEnded(call.id, now, CallEnd::Failed);
    if (failure == CallFailure::Lost)
        noteLostCall(call);
    const auto owner = requests_.find(call.request);
    if (owner == requests_.end())
        return;
    OpenRequest& openRequest = *owner->second;
    std::erase(openRequest.parts[call.part].calls, call.id);
    switch (failure) {
    case CallFailure::NotSent:
        if (call.replica->isEvacuated)
            retryOrFail(openRequest, call.part, outOfReachReason(call.replica->entry.service), "evacuated");
        else
            retryOrFail(openRequest, call.part, ResultCode::ConnectFailed, "connect_failed");
        break;
    case CallFailure::Lost:
        retryOrFail(openRequest, call.part, ResultCode::ConnectionLost, "lost");
        break;
    case CallFailure::Malformed:
        retryOrFail(openRequest, call.part, ResultCode::ForeignReply, "malformed");
        break;
    }
}

void Dispatcher::retryOrFail(OpenRequest& openRequest, size_t partIndex, ResultCode reason, std::string_view trailWord)
{
    Part& part = openRequest.parts[partIndex];
    if (part.state != PartState::Open)
        return;
    addToTrail(openRequest, trailWord, *part.service, part.triedReplicas.empty() ? nullptr : part.triedReplicas.back().get());
    // Another call for the part is still open and may succeed.
    if (!part.calls.empty())
        return;
    const bool mayRunAgain = (openRequest.mayRepeat() || part.runs == 0) && part.runs < openRequest.route->maxAttempts;
    const bool hasTime = clock_.now() + kMinTimeLeft < openRequest.deadlineAt;
    if (!mayRunAgain || part.startedCalls >= kMaxCallsPerPart || !hasTime) {
        markMissing(openRequest, part, reason);
        return;
    }
    if (part.sentCalls > 0 && awaitsFirstAnswer(openRequest)) {
        part.reason = reason;
        openRequest.isHeldBack = true;
        updateHeldBack(openRequest);
        return;
    }
    ReplicaPtr replica = chooseReplicaFor(openRequest, part, ChoiceScope::First);
    if (!replica) {
        // All replicas have been tried. One that failed before may succeed over another connection.
        part.triedReplicas.clear();
        replica = chooseReplicaFor(openRequest, part, ChoiceScope::First);
    }
    if (!replica) {
        addToTrail(openRequest, "no_retry_replica", *part.service, nullptr);
        markMissing(openRequest, part, reason);
        return;
    }
    const bool isRepeat = part.sentCalls > 0;
    if (isRepeat && !admission_.allowsRetry(*part.service)) {
        ++stats_.repeatsWithoutRoom;
        addToTrail(openRequest, "no_retry_room", *part.service, nullptr);
        markMissing(openRequest, part, reason);
        return;
    }
    if (isRepeat && !repeatBudgetOf(*part.service).spend()) {
        ++stats_.repeatsDenied;
        addToTrail(openRequest, "no_retry_budget", *part.service, nullptr);
        markMissing(openRequest, part, reason);
        return;
    }
    addToTrail(openRequest, "retry", *part.service, replica.get());
    launchCall(openRequest, partIndex, replica, isRepeat);
}

void Dispatcher::markMissing(OpenRequest& openRequest, Part& part, ResultCode reason)
{
    ++openRequest.missing;
    part.state = PartState::Missing;
    part.reason = reason;
}

} // namespace limpettrestle
