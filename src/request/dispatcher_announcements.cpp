/// What replicas announce about themselves: that they leave, that they want no requests for a time, or that they are cold.

#include "dispatcher_p.h"

namespace limpettrestle {

void Dispatcher::noteLeaving(const ReplicaPtr& replica, std::string_view source)
{
    if (init_.directory->markLeaving(replica) && init_.announcements != nullptr)
        init_.announcements->onReplicaLeaving(*replica, source);
}

void Dispatcher::noteLeaving(const std::vector<ReplicaRun>& runs, std::string_view source)
{
    for (const ReplicaRun& run : runs) {
        const ReplicaPtr replica = init_.directory->find(run.id);
        if (replica && replica->entry.startedAt == run.startedAt)
            noteLeaving(replica, source);
    }
}

void Dispatcher::noteBackOff(const ReplicaPtr& replica, Millis time)
{
    const TimePoint now = clock_.now();
    const bool isBackingOff = replica->health.isBackingOff(now);
    if (!replica->health.recordBackOff(time, now))
        return;
    if (!isBackingOff && init_.announcements != nullptr)
        init_.announcements->onReplicaBackOff(*replica, time);
    withdrawUnsentCalls(replica, "back_off");
}

void Dispatcher::noteRateLimit(const ReplicaPtr& replica, std::optional<double> limit)
{
    if (!limit && !replica->rate.isLimited())
        return;
    const uint32_t sharers = rateSharers(replica->entry.service);
    const double phase = std::uniform_real_distribution<>(0, 1)(random_);
    if (replica->rate.record(limit, sharers, phase, clock_.now()) && init_.announcements != nullptr)
        init_.announcements->onReplicaRateLimit(*replica, sharers);
}

/// Records the limits that an aggregator has learned. An aggregator of the same shards learns them from the replicas.
void Dispatcher::noteRateLimits(const std::vector<ReplicaRateLimit>& limits)
{
    for (const ReplicaRateLimit& limit : limits) {
        const ReplicaPtr replica = init_.directory->find(limit.replica.id);
        const bool isSameRun = replica && replica->entry.startedAt == limit.replica.startedAt;
        if (isSameRun && rateSharers(replica->entry.service) == 0)
            noteRateLimit(replica, limit.perSecond);
    }
}

/// Returns the number of instances that share the rate limits of a service's replicas, or 0 if this instance has no share:
/// where searches are divided, only the aggregators do.
uint32_t Dispatcher::rateSharers(const std::string& service) const
{
    const uint32_t aggregators = init_.plan != nullptr ? init_.plan->aggregatorCount(service) : 0;
    if (aggregators == 0)
        return subset_.instances;
    return init_.plan->isAggregatorOf(service) ? aggregators : 0;
}

void Dispatcher::restrictIfCold(const ReplicaPtr& replica)
{
    const TimePoint now = clock_.now();
    if (replica->warmup.isCold(now) && coldLimits_.isLimited(replica->entry.service))
        replica->rate.restrict(coldLimits_.intervalFor(replica->entry, now), replica->warmup.until(), now);
    else
        replica->rate.unrestrict();
}

void Dispatcher::updateColdReplicas()
{
    coldLimits_.update(clock_.now());
    for (const auto& [id, replica] : init_.directory->all())
        restrictIfCold(replica);
}

void Dispatcher::replicaTurnedCold(const ReplicaPtr& replica)
{
    const bool wasRestricted = replica->rate.isRestricted(clock_.now());
    restrictIfCold(replica);
    // Calls that were assigned to it while it was warm may be more than it accepts now.
    if (!wasRestricted && replica->rate.isRestricted(clock_.now()))
        withdrawUnsentCalls(replica, "turned_cold");
}

/// Takes back the calls that wait for a connection to a replica, and sends them to other replicas.
void Dispatcher::withdrawUnsentCalls(const ReplicaPtr& replica, std::string_view trailWord)
{
    std::vector<uint64_t> unsent;
    for (const auto& [id, call] : calls_) {
        if (call->replica == replica && !call->isSent)
            unsent.push_back(id);
    }
    for (const uint64_t id : unsent) {
        const auto found = calls_.find(id);
        if (found == calls_.end())
            continue;
        const uint64_t request = found->second->request;
        const size_t partIndex = found->second->part;
        endCall(id, CallEnd::Cancelled);
        const auto owner = requests_.find(request);
        if (owner == requests_.end())
            continue;
        OpenRequest& openRequest = *owner->second;
        std::erase(openRequest.parts[partIndex].calls, id);
        retryOrFail(openRequest, partIndex, ResultCode::ServerShed, trailWord);
        finishIfDecided(openRequest);
    }
}

/// Returns why a service has no replica in the zones for a first call.
ResultCode Dispatcher::unavailableReason(const std::string& service, const AllowedZones& zones) const
{
    const TimePoint now = clock_.now();
    const std::vector<ReplicaPtr>& replicas = init_.directory->replicasOf(service);
    const bool isShed = std::any_of(replicas.begin(), replicas.end(), [now, &zones](const ReplicaPtr& replica) {
        return zones.contains(replica->entry.zone) && replica->acceptsWork() && (replica->health.isBackingOff(now) || !replica->rate.mayCall(now));
    });
    return isShed ? ResultCode::ServerShed : outOfReachReason(service);
}

/// Returns why no replica of a service can be called. Other instances can call one that is out of reach here, but none that is
/// evacuated.
ResultCode Dispatcher::outOfReachReason(const std::string& service) const
{
    const std::vector<ReplicaPtr>& replicas = init_.directory->replicasOf(service);
    const bool hasUsable = std::any_of(replicas.begin(), replicas.end(), [](const ReplicaPtr& replica) { return replica->acceptsWork(); });
    const bool hasEvacuated = std::any_of(replicas.begin(), replicas.end(), [](const ReplicaPtr& replica) { return replica->isEvacuated; });
    return !hasUsable && hasEvacuated ? ResultCode::ReplicasEvacuated : ResultCode::NoReplicaReachable;
}

/// Returns the time until a replica of the service in the zones takes requests of this instance again; zero when one does now, the
/// maximum when none will.
Millis Dispatcher::timeToNextCall(const std::string& service, const AllowedZones& zones) const
{
    const TimePoint now = clock_.now();
    Millis shortest = Millis::max();
    for (const ReplicaPtr& replica : init_.directory->replicasOf(service)) {
        if (!replica->acceptsWork() || !zones.contains(replica->entry.zone))
            continue;
        const TimePoint nextCallAt = std::max(replica->health.backOffUntil(), replica->rate.nextCallAt(now));
        const Millis left = nextCallAt == TimePoint::max() ? Millis::max() : std::chrono::ceil<Millis>(nextCallAt - now);
        shortest = std::min(shortest, std::max(Millis::zero(), left));
    }
    return shortest;
}

/// Returns when a retry of a failed request can succeed as far as the replicas' back-offs and rate limits allow it.
Millis Dispatcher::retryAfterFailure(const OpenRequest& openRequest) const
{
    const uint32_t available = openRequest.done + openRequest.pending();
    const uint32_t required = openRequest.requiredParts();
    if (available >= required)
        return kLongRetryAfter;
    std::vector<Millis> waits;
    for (const Part& part : openRequest.parts) {
        if (part.state == PartState::Missing)
            waits.push_back(timeToNextCall(*part.service, allowedZones(*openRequest.route)));
    }
    const auto decisive = waits.begin() + static_cast<std::ptrdiff_t>(required - available - 1);
    std::nth_element(waits.begin(), decisive, waits.end());
    return *decisive == Millis::max() ? kLongRetryAfter : std::max(kLongRetryAfter, *decisive);
}

/// Adds to a group's answer what the replicas of its shards have announced.
void Dispatcher::addAnnouncements(const OpenRequest& openRequest, RouteAnswer& answer) const
{
    for (const Part& part : openRequest.parts) {
        for (const ReplicaPtr& replica : init_.directory->replicasOf(*part.service)) {
            const ReplicaRun run { replica->entry.id, replica->entry.startedAt };
            if (replica->isLeaving)
                answer.leavingReplicas.push_back(run);
            else if (replica->rate.isLimited())
                answer.rateLimits.push_back({ run, replica->rate.limit() });
        }
    }
}

} // namespace limpettrestle
