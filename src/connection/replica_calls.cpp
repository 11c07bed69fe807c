/// The part of ReplicaOwner that sends calls and preflights to backend servers, enforces their time limits and
/// tracks the health of the servers.

#include "replica_owner.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    /// Time after a call's deadline at which its slot counts as free again.
    constexpr Millis kCallGrace { 20 };
    /// Duration of the slow start: a server that has just restarted gets one call at a time.
    constexpr Millis kSlowStartTime { 300 };
    /// Multiple of a server's smoothed service time after which a call counts as timed out.
    constexpr int kSlowCallFactor = 5;

    bool isPast(TimePoint time, TimePoint now) { return time <= now; }

} // namespace

void ReplicaOwner::send(Replica& replica, QueuedCall call)
{
    const TimePoint now = context_.now();
    CallBackend action;
    action.call = nextCallId();
    action.replica = replica.config->id;
    action.address = replica.config->address;
    action.request.operation = BackendOperation::Search;
    action.request.attempt = { call.request, call.attempt };
    action.request.service = call.batch->service;
    action.request.shard = call.shard;
    action.request.snapshot = call.batch->snapshot;
    action.request.mapVersion = call.batch->mapVersion;
    action.request.limit = call.batch->limit;
    action.request.budget = std::chrono::duration_cast<Micros>(call.deadline - now);
    action.request.body = call.batch->query;
    ++replica.inUse;
    ++context_.stats.subRequestsSent;
    calls_.emplace(action.call, Call { std::move(call), now, false, false });
    context_.actions->push_back(std::move(action));
}

void ReplicaOwner::lendSlot(Replica& replica, const QueuedCall& call)
{
    replica.loans.push_back({ call.coordinator, call.request, call.deadline + kCallGrace });
    sender_.sendPeer(call.coordinator, SlotReply { call.request, call.replica, ResultCode::Ok, Micros(0), {} });
}

void ReplicaOwner::startPreflight(Replica& replica)
{
    CallBackend action;
    action.call = nextCallId();
    action.replica = replica.config->id;
    action.address = replica.config->address;
    action.request.operation = BackendOperation::Preflight;
    action.request.service = replica.config->service;
    action.request.shard = replica.config->shard;
    action.request.budget = config::kPreflightTimeout;
    replica.preflight = action.call;
    replica.preflightSentAt = context_.now();
    replica.preflightUntil = context_.now() + config::kPreflightTimeout;
    replica.nextPreflightAt = context_.now() + config::kPreflightInterval;
    preflights_.emplace(action.call, replica.config->id);
    ++context_.stats.preflights;
    context_.actions->push_back(std::move(action));
}

bool ReplicaOwner::onPreflightEnded(BackendCallId call, const BackendReply* reply)
{
    const auto it = preflights_.find(call);
    if (it == preflights_.end())
        return false;
    Replica* replica = findOrCreate(it->second);
    preflights_.erase(it);
    if (!replica || replica->preflight != call)
        return true;
    replica->preflight = {};
    if (!reply) {
        markDown(*replica);
        return true;
    }
    updateFromReply(*replica, *reply, replica->preflightSentAt);
    sendQueued(*replica);
    return true;
}

void ReplicaOwner::updateFromReply(Replica& replica, const BackendReply& reply, TimePoint sentAt)
{
    const ReplicaId id = replica.config->id;
    markUp(replica);
    if (reply.serverIncarnation > replica.serverIncarnation) {
        if (replica.serverIncarnation != 0)
            replica.slowStartUntil = context_.now() + kSlowStartTime;
        replica.serverIncarnation = reply.serverIncarnation;
    }
    if (reply.draining) {
        replica.hasEvidence = false;
        listener_.onServerDraining(id, reply.serverIncarnation);
        return;
    }
    if (drains_.recordServing(id, reply.serverIncarnation))
        listener_.onServerReturned(id, reply.serverIncarnation);
    if (!drains_.isDrained(id)) {
        // A suspension of this process may have delayed the reply, so it only proves the state of the server at the time
        // of the call.
        replica.hasEvidence = true;
        replica.evidenceAt = std::max(replica.evidenceAt, sentAt);
    }
}

void ReplicaOwner::markDown(Replica& replica)
{
    const Millis backoff = std::min(config::kReplicaBackoffMax, config::kReplicaBackoffMin * (1 << std::min(replica.failures, 5U)));
    ++replica.failures;
    replica.hasEvidence = false;
    replica.downUntil = context_.now() + backoff;
    replica.nextPreflightAt = replica.downUntil;
    if (replica.failures == 1) {
        TimelineEvent event;
        event.kind = TimelineKind::ReplicaDown;
        event.subject = replica.config->name;
        context_.record(std::move(event));
    }
    refuseQueued(replica, ResultCode::ConnectFailed);
}

void ReplicaOwner::markUp(Replica& replica)
{
    replica.downUntil = {};
    if (replica.failures == 0)
        return;
    replica.failures = 0;
    TimelineEvent event;
    event.kind = TimelineKind::ReplicaUp;
    event.subject = replica.config->name;
    context_.record(std::move(event));
}

void ReplicaOwner::finishCall(BackendCallId id, ExecuteItemResult result)
{
    const auto it = calls_.find(id);
    const Call call = std::move(it->second);
    calls_.erase(it);
    Replica* replica = findOrCreate(call.item.replica);
    if (replica && replica->inUse > 0)
        --replica->inUse;
    result.attempt = call.item.attempt;
    result.shard = call.item.shard;
    result.replica = call.item.replica;
    if (replica)
        result.predictedWait = predictedWait(*replica, call.item.priority);
    if (!call.cancelled && !call.isTimeoutReported)
        queueResult(call.item.coordinator, call.item.request, std::move(result));
    if (replica)
        sendQueued(*replica);
}

void ReplicaOwner::expireCalls()
{
    const TimePoint now = context_.now();
    std::vector<BackendCallId> expired;
    for (const auto& [id, call] : calls_) {
        if (isPast(call.item.deadline + kCallGrace, now))
            expired.push_back(id);
    }
    std::sort(expired.begin(), expired.end());
    for (const BackendCallId id : expired) {
        const Call& call = calls_.at(id);
        Replica* replica = findOrCreate(call.item.replica);
        if (replica) {
            context_.actions->push_back(CancelBackend { id, replica->config->address, { call.item.request, call.item.attempt } });
            replica->hasEvidence = false;
        }
        ExecuteItemResult result;
        result.sent = true;
        result.code = ResultCode::AttemptTimeout;
        finishCall(id, std::move(result));
    }
}

void ReplicaOwner::timeOutSlowCalls()
{
    const TimePoint now = context_.now();
    for (auto& [id, call] : calls_) {
        const Replica* replica = findOrCreate(call.item.replica);
        if (!replica || call.isTimeoutReported || call.cancelled)
            continue;
        const Micros limit = std::max<Micros>(config_->policy.attemptTimeout, kSlowCallFactor * replica->serviceTime);
        if (now - call.sentAt < limit)
            continue;
        call.isTimeoutReported = true;
        context_.actions->push_back(CancelBackend { id, replica->config->address, { call.item.request, call.item.attempt } });
        ExecuteItemResult result;
        result.attempt = call.item.attempt;
        result.shard = call.item.shard;
        result.replica = call.item.replica;
        result.sent = true;
        result.code = ResultCode::AttemptTimeout;
        result.predictedWait = predictedWait(*replica, call.item.priority);
        queueResult(call.item.coordinator, call.item.request, std::move(result));
    }
}

} // namespace limpettrestle
