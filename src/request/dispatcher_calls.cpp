/// Calls of the dispatcher: first ones, repeats, and what their ends mean.

#include "dispatcher_p.h"

namespace limpettrestle {

namespace {

    /// Calls started for one part at most, unsent ones included.
    constexpr uint32_t kMaxTries = 4;
    /// Weight of a sample in a route's usual time of a call.
    constexpr double kMeanWeight = 0.05;
    /// Least delay of a repeat: below it, jitter is mistaken for slowness.
    constexpr Millis kMinRepeatDelay { 4 };
    /// A repeat is sent at this share of the objective at the latest.
    constexpr double kMaxRepeatShare = 0.45;
    /// Share of the saved-up repeats that early hedges leave alone.
    constexpr double kEarlyReserve = 0.4;
    /// Pause before a repeat that was denied is weighed again.
    constexpr Millis kDeniedPause { 8 };
    /// Least wait for a connection before another replica is tried, and its share of the objective.
    constexpr Millis kMinConnectPatience { 20 };
    constexpr int kConnectPatienceShare = 5;
    /// Cost of a lost call in usual ones: a repeat and its delay, or the whole request where it may
    /// run only once.
    constexpr double kLossCostRepeatable = 3;
    constexpr double kLossCostOnce = 30;

    constexpr int kServiceUnavailable = 503;

    bool isSuccess(int status) { return status >= 200 && status < 300; }

    /// Statuses that promise a caller that nothing was run.
    bool promisesNotRun(int status)
    {
        return status == 408 || status == 421 || status == 429 || status == kServiceUnavailable;
    }

    Millis connectPatience(const RouteSpec& route)
    {
        return std::max(kMinConnectPatience, route.latencyTarget / kConnectPatienceShare);
    }

} // namespace

Micros Dispatcher::repeatDelay(const OpenRequest& open) const
{
    const Micros usual = open.state->quantile.value(open.state->mean * 2);
    const auto most = std::chrono::duration_cast<Micros>(open.route->latencyTarget * kMaxRepeatShare);
    return std::max<Micros>(kMinRepeatDelay, std::min(usual, most));
}

void Dispatcher::launchAll(OpenRequest& open)
{
    const std::vector<GatherGroup> groups = planGroups(open);
    std::vector<bool> isGathered(open.parts.size());
    for (const GatherGroup& group : groups)
        std::fill_n(isGathered.begin() + static_cast<std::ptrdiff_t>(group.first), group.count, true);
    std::vector<ReplicaPtr> chosen(open.parts.size());
    for (size_t i = 0; i < open.parts.size(); ++i) {
        if (isGathered[i])
            continue;
        Part& part = open.parts[i];
        LoadBudget& budget = budgetOf(*part.service);
        budget.setBurst(repeatBurst(*part.service));
        budget.earn(init_.repeatRatio);
        chosen[i] = chooseFor(open, part, ChoiceScope::First);
        if (!chosen[i])
            markMissing(open, part, ResultCode::NoReplicaReachable);
    }
    markOutOfReach(open, isGathered);
    // Nothing is sent for a request that cannot succeed; the check that follows refuses it.
    if (open.pending() < open.leastParts())
        return;
    for (const GatherGroup& group : groups)
        launchGroup(open, group);
    for (size_t i = 0; i < chosen.size(); ++i) {
        if (chosen[i])
            launch(open, i, chosen[i], false);
    }
}

ReplicaPtr Dispatcher::chooseFor(const OpenRequest& open, const Part& part, ChoiceScope scope)
{
    const std::vector<ReplicaPtr> candidates = usedReplicas(*part.service);
    const ChoiceQuery query { candidates, init_.zone, scope, open.state->mean, open.mayRepeat() ? kLossCostRepeatable : kLossCostOnce, part.used };
    return chooseReplica(query, clock_.now());
}

void Dispatcher::launch(OpenRequest& open, size_t index, const ReplicaPtr& replica, bool isRepeat)
{
    Part& part = open.parts[index];
    const TimePoint now = clock_.now();
    auto call = std::make_unique<Call>();
    call->id = ++lastCall_;
    call->request = open.id;
    call->part = index;
    call->replica = replica;
    call->startedAt = now;
    call->expected = open.state->mean;
    const uint64_t id = call->id;
    calls_[id] = std::move(call);
    part.calls.push_back(id);
    part.used.push_back(replica);
    ++part.tries;
    if (isRepeat) {
        ++open.repeats;
        ++stats_.repeats;
    }
    open.nextCheckAt = std::min(open.nextCheckAt, now + connectPatience(*open.route));
    const Millis left = std::chrono::duration_cast<Millis>(open.deadlineAt - now);
    init_.transport->startCall(id, replica, open.request, std::max(Millis(1), left), !open.mayRepeat());
}

void Dispatcher::checkPart(OpenRequest& open, size_t index)
{
    Part& part = open.parts[index];
    if (part.state != PartState::Open || part.group != 0)
        return;
    const TimePoint now = clock_.now();
    bool hasUnsent = false;
    // Moving a call replaces it at the end of the list, so that positions before it stay.
    for (size_t i = 0; i < part.calls.size(); ++i) {
        const uint64_t id = part.calls[i];
        const Call& call = *calls_.at(id);
        if (call.isSent)
            continue;
        const TimePoint patienceEnd = call.startedAt + connectPatience(*open.route);
        // One that was moved may wait for its connection as well.
        hasUnsent = true;
        if (now >= patienceEnd)
            moveUnsent(open, index, id);
        open.nextCheckAt = std::min(open.nextCheckAt, std::max(patienceEnd, now + kDeniedPause));
    }
    if (hasUnsent || part.state != PartState::Open || !open.mayRepeat() || part.runs >= open.route->maxAttempts)
        return;
    if (now >= part.repeatAt && !tryHedge(open, index))
        part.repeatAt = std::max(part.repeatAt, now) + kDeniedPause;
    if (part.runs < open.route->maxAttempts)
        open.nextCheckAt = std::min(open.nextCheckAt, std::max(part.repeatAt, now + Millis(1)));
}

void Dispatcher::moveUnsent(OpenRequest& open, size_t index, uint64_t id)
{
    Part& part = open.parts[index];
    const ReplicaPtr replica = part.tries < kMaxTries ? chooseFor(open, part, ChoiceScope::First) : nullptr;
    const Call& call = *calls_.at(id);
    if (!init_.transport->isConnected(call.replica))
        call.replica->health.connectFailed(clock_.now());
    if (!replica)
        return;
    note(open, "no_connection", *part.service, call.replica.get());
    std::erase(part.calls, id);
    endCall(id, CallEnd::Cancelled);
    launch(open, index, replica, false);
}

bool Dispatcher::tryHedge(OpenRequest& open, size_t index)
{
    const TimePoint now = clock_.now();
    const TimePoint lastChance = open.targetAt - repeatDelay(open) - kMinTimeLeft;
    const bool isEarly = now < lastChance;
    // Part of the budget is kept for calls that are still open when a repeat can just be in time.
    const std::string& service = *open.parts[index].service;
    const double needed = isEarly ? 1 + repeatBurst(service) * kEarlyReserve : 1;
    if (budgetOf(service).tokens() < needed) {
        ++stats_.repeatsDenied;
        if (isEarly)
            open.parts[index].repeatAt = lastChance - kDeniedPause;
        return false;
    }
    return tryRepeat(open, index, "hedge");
}

bool Dispatcher::tryRepeat(OpenRequest& open, size_t index, std::string_view why)
{
    Part& part = open.parts[index];
    if (part.tries >= kMaxTries || clock_.now() + kMinTimeLeft >= open.deadlineAt)
        return false;
    const ReplicaPtr replica = chooseFor(open, part, ChoiceScope::Repeat);
    if (!replica)
        return false;
    if (!budgetOf(*part.service).spend()) {
        ++stats_.repeatsDenied;
        return false;
    }
    note(open, why, *part.service, replica.get());
    launch(open, index, replica, true);
    return true;
}

void Dispatcher::handleReply(Call& call, ReplicaReply reply)
{
    const TimePoint now = clock_.now();
    Replica& replica = *call.replica;
    replica.health.recordLoad(reply.running, reply.waiting, now);
    const bool isUnexecuted = reply.notExecuted || reply.misdirected;
    if (reply.misdirected)
        replica.isRetired = true;
    if (isUnexecuted)
        replica.health.callEnded(call.id, now, CallEnd::Failed);
    else
        replica.health.callAnswered(call.id, now);

    const auto owner = requests_.find(call.request);
    if (owner == requests_.end())
        return;
    OpenRequest& open = *owner->second;
    Part& part = open.parts[call.part];
    std::erase(part.calls, call.id);
    if (isUnexecuted) {
        ++stats_.repliesNotExecuted;
        --part.runs;
        retryOrFail(open, call.part, reply.misdirected ? ResultCode::NoReplicaReachable : ResultCode::ServerShed, "not_executed");
        return;
    }
    const Micros taken = std::chrono::duration_cast<Micros>(now - call.sentAt);
    open.state->quantile.add(taken);
    open.state->mean += std::chrono::duration_cast<Micros>((taken - open.state->mean) * kMeanWeight);
    if (part.state != PartState::Open)
        return;
    if (isSuccess(reply.status) && reply.signature.empty()) {
        retryOrFail(open, call.part, ResultCode::ForeignReply, "unsigned");
        return;
    }
    if (open.isMerged())
        takeMergedReply(open, call.part, std::move(reply));
    else
        takeForwardedReply(open, call.part, std::move(reply));
}

void Dispatcher::takeMergedReply(OpenRequest& open, size_t index, ReplicaReply reply)
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

void Dispatcher::takeForwardedReply(OpenRequest& open, size_t index, ReplicaReply reply)
{
    Part& part = open.parts[index];
    if (reply.status < 500 && !promisesNotRun(reply.status)) {
        part.reply = std::move(reply);
        part.state = PartState::Done;
        ++open.done;
        return;
    }
    // A failure of the replica is passed on unless another one helps; but never a status that would
    // promise the caller that nothing was run.
    if (!promisesNotRun(reply.status)) {
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

void Dispatcher::retryOrFail(OpenRequest& open, size_t index, ResultCode reason, std::string_view why)
{
    Part& part = open.parts[index];
    if (part.state != PartState::Open)
        return;
    note(open, why, *part.service, part.used.empty() ? nullptr : part.used.back().get());
    // Another call of the part is still open and may succeed.
    if (!part.calls.empty())
        return;
    const bool mayRunAgain = (open.mayRepeat() || part.runs == 0) && part.runs < open.route->maxAttempts;
    const bool hasTime = clock_.now() + kMinTimeLeft < open.deadlineAt;
    if (!mayRunAgain || part.tries >= kMaxTries || !hasTime) {
        markMissing(open, part, reason);
        return;
    }
    ReplicaPtr replica = chooseFor(open, part, ChoiceScope::First);
    if (!replica) {
        // All have been tried: one that failed before may serve now, on another connection.
        part.used.clear();
        replica = chooseFor(open, part, ChoiceScope::First);
    }
    if (!replica) {
        markMissing(open, part, reason);
        return;
    }
    const bool isRepeat = part.arrivals > 0;
    if (isRepeat && !budgetOf(*part.service).spend()) {
        ++stats_.repeatsDenied;
        markMissing(open, part, reason);
        return;
    }
    note(open, "retry", *part.service, replica.get());
    launch(open, index, replica, isRepeat);
}

void Dispatcher::markMissing(OpenRequest& open, Part& part, ResultCode reason)
{
    ++open.missing;
    part.state = PartState::Missing;
    part.reason = reason;
}

} // namespace limpettrestle
