/// Calls of the dispatcher to replicas: first calls, repeats, and the handling of their results.

#include "dispatcher_p.h"

namespace limpettrestle {

namespace {

    /// Maximum number of calls that are started for one part, including unsent ones.
    constexpr uint32_t kMaxCallsPerPart = 4;
    /// Weight of a new sample in the mean call duration of a route.
    constexpr double kMeanWeight = 0.05;
    /// Minimum delay of a hedge; a shorter one would mistake jitter for a slow replica.
    constexpr Millis kMinRepeatDelay { 4 };
    /// Maximum delay of a hedge as a fraction of the latency target.
    constexpr double kMaxRepeatDelayShare = 0.45;
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

Micros Dispatcher::repeatDelay(const OpenRequest& open) const
{
    const Micros quantileDelay = open.routeState->callDuration.value(open.routeState->meanDuration * 2);
    const auto maxDelay = std::chrono::duration_cast<Micros>(open.route->latencyTarget * kMaxRepeatDelayShare);
    return std::max<Micros>(kMinRepeatDelay, std::min(quantileDelay, maxDelay));
}

void Dispatcher::launchAllParts(OpenRequest& open)
{
    const std::vector<GatherGroup> groups = planGroups(open);
    std::vector<bool> isGathered(open.parts.size());
    for (const GatherGroup& group : groups)
        std::fill_n(isGathered.begin() + static_cast<std::ptrdiff_t>(group.firstShard), group.shardCount, true);
    std::vector<ReplicaPtr> chosen(open.parts.size());
    for (size_t i = 0; i < open.parts.size(); ++i) {
        if (isGathered[i])
            continue;
        Part& part = open.parts[i];
        LoadBudget& budget = repeatBudgetOf(*part.service);
        budget.setBurst(repeatBurst(*part.service));
        budget.earn(init_.repeatRatio);
        chosen[i] = chooseReplicaFor(open, part, ChoiceScope::First);
        if (!chosen[i])
            markMissing(open, part, ResultCode::NoReplicaReachable);
    }
    markUnreachableParts(open, isGathered);
    // If the request cannot succeed, nothing is sent and `updateRequest()` answers with a failure.
    if (open.pending() < open.requiredParts())
        return;
    for (const GatherGroup& group : groups)
        launchGroup(open, group);
    for (size_t i = 0; i < chosen.size(); ++i) {
        if (chosen[i])
            launchCall(open, i, chosen[i], false);
    }
}

ReplicaPtr Dispatcher::chooseReplicaFor(const OpenRequest& open, const Part& part, ChoiceScope scope)
{
    const std::vector<ReplicaPtr> candidates = usedReplicas(*part.service);
    const ChoiceQuery query { candidates, init_.zone, scope, open.routeState->meanDuration, open.mayRepeat() ? kLossCostIdempotent : kLossCostAtMostOnce, part.triedReplicas };
    return chooseReplica(query, clock_.now());
}

void Dispatcher::launchCall(OpenRequest& open, size_t index, const ReplicaPtr& replica, bool isRepeat)
{
    Part& part = open.parts[index];
    const TimePoint now = clock_.now();
    auto call = std::make_unique<Call>();
    call->id = ++lastCall_;
    call->request = open.id;
    call->part = index;
    call->replica = replica;
    call->startedAt = now;
    call->expectedDuration = open.routeState->meanDuration;
    const uint64_t id = call->id;
    calls_[id] = std::move(call);
    part.calls.push_back(id);
    part.triedReplicas.push_back(replica);
    ++part.startedCalls;
    if (isRepeat) {
        ++open.repeats;
        ++stats_.repeats;
    }
    open.nextUpdateAt = std::min(open.nextUpdateAt, now + connectWait(*open.route));
    const Millis timeLeft = std::chrono::duration_cast<Millis>(open.deadlineAt - now);
    init_.transport->startCall(id, replica, open.request, std::max(Millis(1), timeLeft), !open.mayRepeat());
}

void Dispatcher::updatePart(OpenRequest& open, size_t index)
{
    Part& part = open.parts[index];
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
        const TimePoint connectWaitEnd = call.startedAt + connectWait(*open.route);
        // A reassigned call may have to wait for a connection as well.
        hasUnsent = true;
        if (now >= connectWaitEnd)
            reassignUnsentCall(open, index, id);
        open.nextUpdateAt = std::min(open.nextUpdateAt, std::max(connectWaitEnd, now + kDeniedRepeatPause));
    }
    if (hasUnsent || part.state != PartState::Open || !open.mayRepeat() || part.runs >= open.route->maxAttempts)
        return;
    if (now >= part.repeatAt && !tryHedge(open, index))
        part.repeatAt = std::max(part.repeatAt, now) + kDeniedRepeatPause;
    if (part.runs < open.route->maxAttempts)
        open.nextUpdateAt = std::min(open.nextUpdateAt, std::max(part.repeatAt, now + Millis(1)));
}

void Dispatcher::reassignUnsentCall(OpenRequest& open, size_t index, uint64_t id)
{
    Part& part = open.parts[index];
    const ReplicaPtr replica = part.startedCalls < kMaxCallsPerPart ? chooseReplicaFor(open, part, ChoiceScope::First) : nullptr;
    const Call& call = *calls_.at(id);
    if (!init_.transport->isConnected(call.replica))
        call.replica->health.connectFailed(clock_.now());
    if (!replica)
        return;
    addToTrail(open, "no_connection", *part.service, call.replica.get());
    std::erase(part.calls, id);
    endCall(id, CallEnd::Unwanted);
    launchCall(open, index, replica, false);
}

bool Dispatcher::tryHedge(OpenRequest& open, size_t index)
{
    const TimePoint now = clock_.now();
    const TimePoint latestHedgeAt = open.softDeadlineAt - repeatDelay(open) - kMinTimeLeft;
    const bool isEarly = now < latestHedgeAt;
    // Early hedges leave part of the budget to calls that are still open at the latest time at which
    // a hedge can succeed.
    const std::string& service = *open.parts[index].service;
    const double needed = isEarly ? 1 + repeatBurst(service) * kEarlyHedgeReserve : 1;
    if (repeatBudgetOf(service).tokens() < needed) {
        ++stats_.repeatsDenied;
        if (isEarly)
            open.parts[index].repeatAt = latestHedgeAt - kDeniedRepeatPause;
        return false;
    }
    return tryRepeat(open, index, "hedge");
}

bool Dispatcher::tryRepeat(OpenRequest& open, size_t index, std::string_view trailWord)
{
    Part& part = open.parts[index];
    if (part.startedCalls >= kMaxCallsPerPart || clock_.now() + kMinTimeLeft >= open.deadlineAt)
        return false;
    const ReplicaPtr replica = chooseReplicaFor(open, part, ChoiceScope::Repeat);
    if (!replica)
        return false;
    if (!repeatBudgetOf(*part.service).spend()) {
        ++stats_.repeatsDenied;
        return false;
    }
    addToTrail(open, trailWord, *part.service, replica.get());
    launchCall(open, index, replica, true);
    return true;
}

void Dispatcher::handleReply(Call& call, ReplicaReply reply)
{
    const TimePoint now = clock_.now();
    Replica& replica = *call.replica;
    replica.health.loadTold(reply.running, reply.waiting, now);
    const bool isExecutionDenied = reply.isNotExecuted || reply.isMisdirected;
    if (reply.isMisdirected)
        replica.isRefuted = true;
    if (isExecutionDenied)
        replica.health.callEnded(call.id, now, CallEnd::Failed);
    else
        replica.health.callAnswered(call.id, now);

    const auto owner = requests_.find(call.request);
    if (owner == requests_.end())
        return;
    OpenRequest& open = *owner->second;
    Part& part = open.parts[call.part];
    std::erase(part.calls, call.id);
    if (isExecutionDenied) {
        ++stats_.repliesNotExecuted;
        --part.runs;
        retryOrFail(open, call.part, reply.isMisdirected ? ResultCode::NoReplicaReachable : ResultCode::ServerShed, "not_executed");
        return;
    }
    const Micros duration = std::chrono::duration_cast<Micros>(now - call.sentAt);
    open.routeState->callDuration.add(duration);
    open.routeState->meanDuration += std::chrono::duration_cast<Micros>((duration - open.routeState->meanDuration) * kMeanWeight);
    if (part.state != PartState::Open)
        return;
    if (isSuccess(reply.status) && reply.signature.empty()) {
        retryOrFail(open, call.part, ResultCode::ForeignReply, "unsigned");
        return;
    }
    if (open.isMerged())
        acceptPartReply(open, call.part, std::move(reply));
    else
        acceptForwardedReply(open, call.part, std::move(reply));
}

void Dispatcher::acceptPartReply(OpenRequest& open, size_t index, ReplicaReply reply)
{
    if (!isSuccess(reply.status)) {
        retryOrFail(open, index, ResultCode::ServerFailed, "server_failed");
        return;
    }
    Part& part = open.parts[index];
    part.reply = std::move(reply);
    part.state = PartState::Done;
    ++open.done;
}

void Dispatcher::acceptForwardedReply(OpenRequest& open, size_t index, ReplicaReply reply)
{
    Part& part = open.parts[index];
    if (reply.status < 500 && !impliesNotExecuted(reply.status)) {
        part.reply = std::move(reply);
        part.state = PartState::Done;
        ++open.done;
        return;
    }
    // An error reply is passed on if no other replica succeeds. Statuses from which the caller would
    // conclude that the request was not executed are never passed on.
    if (!impliesNotExecuted(reply.status)) {
        part.reply = std::move(reply);
        part.hasFailureReply = true;
    }
    retryOrFail(open, index, ResultCode::ServerFailed, "server_failed");
}

void Dispatcher::handleFailure(Call& call, CallFailure failure)
{
    const TimePoint now = clock_.now();
    ++stats_.callsLost;
    if (failure == CallFailure::NotSent)
        call.replica->health.connectFailed(now);
    else
        call.replica->health.callEnded(call.id, now, CallEnd::Failed);
    const auto owner = requests_.find(call.request);
    if (owner == requests_.end())
        return;
    OpenRequest& open = *owner->second;
    std::erase(open.parts[call.part].calls, call.id);
    switch (failure) {
    case CallFailure::NotSent:
        retryOrFail(open, call.part, ResultCode::ConnectFailed, "connect_failed");
        break;
    case CallFailure::Lost:
        retryOrFail(open, call.part, ResultCode::ConnectionLost, "lost");
        break;
    case CallFailure::Malformed:
        retryOrFail(open, call.part, ResultCode::ForeignReply, "malformed");
        break;
    }
}

void Dispatcher::retryOrFail(OpenRequest& open, size_t index, ResultCode reason, std::string_view trailWord)
{
    Part& part = open.parts[index];
    if (part.state != PartState::Open)
        return;
    addToTrail(open, trailWord, *part.service, part.triedReplicas.empty() ? nullptr : part.triedReplicas.back().get());
    // Another call for the part is still open and may succeed.
    if (!part.calls.empty())
        return;
    const bool mayRunAgain = (open.mayRepeat() || part.runs == 0) && part.runs < open.route->maxAttempts;
    const bool hasTime = clock_.now() + kMinTimeLeft < open.deadlineAt;
    if (!mayRunAgain || part.startedCalls >= kMaxCallsPerPart || !hasTime) {
        markMissing(open, part, reason);
        return;
    }
    ReplicaPtr replica = chooseReplicaFor(open, part, ChoiceScope::First);
    if (!replica) {
        // All replicas have been tried. One that failed before may succeed over another connection.
        part.triedReplicas.clear();
        replica = chooseReplicaFor(open, part, ChoiceScope::First);
    }
    if (!replica) {
        markMissing(open, part, reason);
        return;
    }
    const bool isRepeat = part.sentCalls > 0;
    if (isRepeat && !repeatBudgetOf(*part.service).spend()) {
        ++stats_.repeatsDenied;
        markMissing(open, part, reason);
        return;
    }
    addToTrail(open, "retry", *part.service, replica.get());
    launchCall(open, index, replica, isRepeat);
}

void Dispatcher::markMissing(OpenRequest& open, Part& part, ResultCode reason)
{
    ++open.missing;
    part.state = PartState::Missing;
    part.reason = reason;
}

} // namespace limpettrestle
