/// What replicas announce about themselves: that they leave, or that they want no requests for a time.

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
    withdrawUnsentCalls(replica);
}

/// Takes back the calls that wait for a connection to a replica, and sends them to other replicas.
void Dispatcher::withdrawUnsentCalls(const ReplicaPtr& replica)
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
        retryOrFail(openRequest, partIndex, ResultCode::ServerShed, "back_off");
        finishIfDecided(openRequest);
    }
}

/// Returns why a service has no replica for a first call.
ResultCode Dispatcher::unavailableReason(const std::string& service) const
{
    const TimePoint now = clock_.now();
    const std::vector<ReplicaPtr>& replicas = init_.directory->replicasOf(service);
    const bool isBackingOff = std::any_of(replicas.begin(), replicas.end(), [now](const ReplicaPtr& replica) { return replica->acceptsWork() && replica->health.isBackingOff(now); });
    return isBackingOff ? ResultCode::ServerShed : ResultCode::NoReplicaReachable;
}

/// Returns the time until a replica of the service takes requests again; zero when one does now, the maximum when no
/// replica accepts work.
Millis Dispatcher::backOffLeft(const std::string& service) const
{
    const TimePoint now = clock_.now();
    Millis shortest = Millis::max();
    for (const ReplicaPtr& replica : init_.directory->replicasOf(service)) {
        if (!replica->acceptsWork())
            continue;
        const Millis left = std::chrono::ceil<Millis>(replica->health.backOffUntil() - now);
        shortest = std::min(shortest, std::max(Millis::zero(), left));
    }
    return shortest;
}

/// Returns when a retry of a failed request can succeed as far as the replicas' back-offs allow it.
Millis Dispatcher::retryAfterFailure(const OpenRequest& openRequest) const
{
    const uint32_t available = openRequest.done + openRequest.pending();
    const uint32_t required = openRequest.requiredParts();
    if (available >= required)
        return kLongRetryAfter;
    std::vector<Millis> waits;
    for (const Part& part : openRequest.parts) {
        if (part.state == PartState::Missing)
            waits.push_back(backOffLeft(*part.service));
    }
    const auto decisive = waits.begin() + static_cast<std::ptrdiff_t>(required - available - 1);
    std::nth_element(waits.begin(), decisive, waits.end());
    return *decisive == Millis::max() ? kLongRetryAfter : std::max(kLongRetryAfter, *decisive);
}

std::vector<ReplicaRun> Dispatcher::leavingReplicas(const OpenRequest& openRequest) const
{
    std::vector<ReplicaRun> leaving;
    for (const Part& part : openRequest.parts) {
        for (const ReplicaPtr& replica : init_.directory->replicasOf(*part.service)) {
            if (replica->isLeaving)
                leaving.push_back({ replica->entry.id, replica->entry.startedAt });
        }
    }
    return leaving;
}

} // namespace limpettrestle
