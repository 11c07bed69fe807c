/// Requests that are refused because the replicas have no room for them.

#include "dispatcher_p.h"

namespace limpettrestle {

namespace {

    /// Retry-After of a refused request: the time that the queue needs to drain, multiplied by the number of requests per
    /// admitted one, up to this factor, and a random share of it.
    constexpr double kMaxRetrySpread = 4;
    /// A caller's patience is short if it lacks more than the latency target divided by this.
    constexpr int kPatienceDivisor = 4;
    /// Part of the longest patience that is forgotten with each request.
    constexpr int kPatienceDecay = 2000;
    /// Time without a refusal after which a route is no longer reported as refusing.
    constexpr Millis kRefusalPause { 1000 };

} // namespace

/// Returns the rank of a request. A caller who is willing to wait for less time than others has probably been refused
/// before: its answer will be late, so that a refusal does less harm.
uint32_t Dispatcher::rankOf(const OpenRequest& openRequest, Millis patience)
{
    RouteState& state = *openRequest.routeState;
    const uint32_t rank = openRequest.route->priority * kRanksPerPriority;
    if (patience <= Millis::zero())
        return rank;
    state.firstPatience = std::max(state.firstPatience - state.firstPatience / kPatienceDecay, patience);
    const bool isRepeated = patience + openRequest.route->latencyTarget / kPatienceDivisor < state.firstPatience;
    return rank + static_cast<uint32_t>(isRepeated);
}

/// Updates the load of the replica that has replied to a call.
void Dispatcher::recordReplicaLoad(const Call& call, const ReplicaReply& reply)
{
    const TimePoint now = clock_.now();
    Replica& replica = *call.replica;
    const QueueReport report { reply.running >= 0 ? reply.waiting : -1, replica.entry.slots };
    if (reply.isMisdirected || reply.isLeaving || reply.backOff > Millis::zero())
        return;
    if (reply.isNotExecuted)
        replica.load.recordShed(report, now);
    else
        replica.load.recordAnswer(std::chrono::duration_cast<Micros>(now - call.sentAt), report, now);
    updateAdmission(replica.entry.service);
}

void Dispatcher::updateAdmission(const std::string& service)
{
    const TimePoint now = clock_.now();
    if (admission_.isDue(service, now))
        admission_.recordWait(service, predictWait(usedReplicas(service), now), now);
}

/// Predicts the wait for the replica that answers first, beyond the service time of the fastest one.
ServiceWait Dispatcher::predictWait(const std::vector<ReplicaPtr>& replicas, TimePoint now)
{
    Micros shortest = Micros::max();
    Micros fastest = Micros::max();
    for (const ReplicaPtr& replica : replicas) {
        if (!replica->acceptsWork() || replica->health.isBackingOff(now) || replica->health.isAvoided(now))
            continue;
        const Micros serviceTime = replica->load.serviceTime();
        const Micros wait = replica->load.wait(replica->entry.slots, replica->queued, replica->health.inFlight(), now);
        shortest = std::min(shortest, serviceTime + wait);
        fastest = std::min(fastest, serviceTime);
    }
    if (shortest == Micros::max())
        return {};
    return { shortest - fastest, fastest };
}

/// Returns true if there is room for a part that this instance calls itself.
bool Dispatcher::hasRoom(const OpenRequest& openRequest, const Part& part)
{
    const TimePoint now = clock_.now();
    admission_.addRequest(*part.service, openRequest.rank, now);
    updateAdmission(*part.service);
    return admission_.admits(*part.service, openRequest.rank, openRequest.position, now);
}

/// Marks the parts for which aggregators have no room as missing if the other parts cannot reach the minimum coverage, so
/// that the search is refused before anything is sent.
void Dispatcher::markPartsWithoutRoom(OpenRequest& openRequest, const std::vector<bool>& isGathered)
{
    const TimePoint now = clock_.now();
    if (!admission_.hasReports(now))
        return;
    std::vector<size_t> refused;
    for (size_t i = 0; i < openRequest.parts.size(); ++i) {
        if (isGathered[i] && !admission_.admits(*openRequest.parts[i].service, openRequest.rank, openRequest.position, now))
            refused.push_back(i);
    }
    if (openRequest.pending() - refused.size() >= openRequest.requiredParts())
        return;
    for (const size_t partIndex : refused)
        markMissing(openRequest, openRequest.parts[partIndex], ResultCode::PredictedWaitExceedsDeadline);
}

/// Returns the code of a search that cannot reach its minimum coverage.
ResultCode Dispatcher::coverageFailure(const OpenRequest& openRequest)
{
    const bool isRefused = openRequest.callsSent == 0 && std::any_of(openRequest.parts.begin(), openRequest.parts.end(), [](const Part& part) {
        return part.state == PartState::Missing && part.reason == ResultCode::PredictedWaitExceedsDeadline;
    });
    return isRefused ? ResultCode::PredictedWaitExceedsDeadline : ResultCode::CoverageBelowMinimum;
}

/// Records that a route's request is refused and returns when its caller may retry.
Millis Dispatcher::noteRefusal(const OpenRequest& openRequest)
{
    const TimePoint now = clock_.now();
    ++stats_.refusedWithoutRoom;
    AdmissionState state;
    state.route = openRequest.route->name;
    state.isRefusing = true;
    for (const Part& part : openRequest.parts) {
        if (part.state != PartState::Missing)
            continue;
        const double fraction = admission_.fractionFor(*part.service, openRequest.rank, now);
        if (fraction > state.fraction)
            continue;
        state.fraction = fraction;
        state.service = *part.service;
        state.wait = admission_.predictedWait(*part.service);
    }
    RouteState& routeState = *openRequest.routeState;
    const bool isFirst = routeState.lastRefusalAt == TimePoint {};
    routeState.lastRefusalAt = now;
    if (isFirst && init_.announcements != nullptr)
        init_.announcements->onAdmission(state);
    const double spread = std::min(kMaxRetrySpread, 1 / std::max(state.fraction, AdmittedFraction::kMinimum));
    const double share = std::uniform_real_distribution<>(1, 1 + spread)(random_);
    return std::chrono::duration_cast<Millis>(std::max<Micros>(kLongRetryAfter, state.wait) * share);
}

/// Reports the routes that have ceased to refuse requests.
void Dispatcher::checkRefusals()
{
    const TimePoint now = clock_.now();
    for (auto& [name, state] : routeStates_) {
        if (state->lastRefusalAt == TimePoint {} || now - state->lastRefusalAt < kRefusalPause)
            continue;
        state->lastRefusalAt = {};
        if (init_.announcements != nullptr)
            init_.announcements->onAdmission({ name, false, {}, admission_.lowestFraction(now), Micros(0) });
    }
}

/// Adds to a group's answer which fractions of the group's requests its shards admit, if any is refused.
void Dispatcher::addAdmittedFractions(const OpenRequest& openRequest, RouteAnswer& answer) const
{
    const TimePoint now = clock_.now();
    std::vector<double> fractions;
    fractions.reserve(openRequest.parts.size());
    for (const Part& part : openRequest.parts)
        fractions.push_back(admission_.fractionFor(*part.service, openRequest.rank, now));
    if (std::any_of(fractions.begin(), fractions.end(), [](double fraction) { return fraction < 1; }))
        answer.admittedFractions = std::move(fractions);
}

void Dispatcher::noteAdmittedFractions(const OpenRequest& openRequest, const Group& group, const std::vector<double>& fractions)
{
    if (fractions.size() != group.shardCount)
        return;
    for (size_t i = 0; i < fractions.size(); ++i)
        admission_.recordReport(*openRequest.parts[group.firstShard + i].service, openRequest.rank, fractions[i], clock_.now());
}

} // namespace limpettrestle
