/// Calls of an owner to its backend servers: sending, replies, preflights, time limits, health.

#include "replica_owner.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    /// Wait past a call's deadline before its slot counts as free again.
    constexpr Millis kCallGrace { 20 };
    /// Time during which a server that has just started gets one call at a time.
    constexpr Millis kColdTime { 300 };
    /// Multiple of a server's usual time after which a call counts as lost.
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
    action.request.service = call.share->service;
    action.request.shard = call.shard;
    action.request.snapshot = call.share->snapshot;
    action.request.mapVersion = call.share->mapVersion;
    action.request.limit = call.share->limit;
    action.request.budget = std::chrono::duration_cast<Micros>(call.deadline - now);
    action.request.body = call.share->query;
    ++replica.inUse;
    ++context_.stats.subRequestsSent;
    calls_.emplace(action.call, Call { std::move(call), now, false, false });
    context_.actions->push_back(std::move(action));
}

void ReplicaOwner::lend(Replica& replica, const QueuedCall& call)
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
    replica.recheckAt = context_.now() + config::kPreflightInterval;
    preflights_.emplace(action.call, replica.config->id);
    ++context_.stats.preflights;
    context_.actions->push_back(std::move(action));
}

bool ReplicaOwner::onPreflightEnded(BackendCallId call, const BackendReply* reply)
{
    const auto it = preflights_.find(call);
    if (it == preflights_.end())
        return false;
    Replica* replica = find(it->second);
    preflights_.erase(it);
    if (!replica || replica->preflight != call)
        return true;
    replica->preflight = {};
    if (!reply) {
        noteDown(*replica);
        return true;
    }
    noteServer(*replica, *reply, replica->preflightSentAt);
    pump(*replica);
    return true;
}

void ReplicaOwner::noteServer(Replica& replica, const BackendReply& reply, TimePoint askedAt)
{
    const ReplicaId id = replica.config->id;
    noteUp(replica);
    if (reply.serverIncarnation > replica.serverIncarnation) {
        if (replica.serverIncarnation != 0)
            replica.coldUntil = context_.now() + kColdTime;
        replica.serverIncarnation = reply.serverIncarnation;
    }
    if (reply.draining) {
        replica.hasEvidence = false;
        listener_.onServerDraining(id, reply.serverIncarnation);
        return;
    }
    if (drains_.noteServing(id, reply.serverIncarnation))
        listener_.onServerReturned(id, reply.serverIncarnation);
    if (!drains_.isDrained(id)) {
        // The reply may have waited through a pause: it speaks of no later time than the call's.
        replica.hasEvidence = true;
        replica.evidenceAt = std::max(replica.evidenceAt, askedAt);
    }
}

void ReplicaOwner::noteDown(Replica& replica)
{
    const Millis pause = std::min(config::kReplicaBackoffMax, config::kReplicaBackoffMin * (1 << std::min(replica.failures, 5U)));
    ++replica.failures;
    replica.hasEvidence = false;
    replica.downUntil = context_.now() + pause;
    replica.recheckAt = replica.downUntil;
    if (replica.failures == 1) {
        TimelineEvent event;
        event.kind = TimelineKind::ReplicaDown;
        event.subject = replica.config->name;
        context_.record(std::move(event));
    }
    refuseQueued(replica, ResultCode::ConnectFailed);
}

void ReplicaOwner::noteUp(Replica& replica)
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
    Replica* replica = find(call.item.replica);
    if (replica && replica->inUse > 0)
        --replica->inUse;
    result.attempt = call.item.attempt;
    result.shard = call.item.shard;
    result.replica = call.item.replica;
    if (replica)
        result.predictedWait = predictedWait(*replica, call.item.priority);
    if (!call.cancelled && !call.isReported)
        report(call.item.coordinator, call.item.request, std::move(result));
    if (replica)
        pump(*replica);
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
        Replica* replica = find(call.item.replica);
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

void ReplicaOwner::reportSlowCalls()
{
    const TimePoint now = context_.now();
    for (auto& [id, call] : calls_) {
        const Replica* replica = find(call.item.replica);
        if (!replica || call.isReported || call.cancelled)
            continue;
        const Micros limit = std::max<Micros>(config_->policy.attemptTimeout, kSlowCallFactor * replica->serviceTime);
        if (now - call.sentAt < limit)
            continue;
        call.isReported = true;
        context_.actions->push_back(CancelBackend { id, replica->config->address, { call.item.request, call.item.attempt } });
        ExecuteItemResult result;
        result.attempt = call.item.attempt;
        result.shard = call.item.shard;
        result.replica = call.item.replica;
        result.sent = true;
        result.code = ResultCode::AttemptTimeout;
        result.predictedWait = predictedWait(*replica, call.item.priority);
        report(call.item.coordinator, call.item.request, std::move(result));
    }
}

} // namespace limpettrestle
