#include "replica_owner.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    /// Divisor of the exponential smoothing of a server's service time.
    constexpr int kServiceTimeSmoothing = 8;
    /// Weight of a new sample in the smoothed wait factor, and the upper limit of that factor.
    constexpr double kWaitFactorWeight = 0.05;
    constexpr double kMaxWaitFactor = 8;
    /// Increase of the adaptive limit per reply, unless the server shed the call, which halves the limit.
    constexpr double kAdaptiveIncrease = 0.05;

    bool isPast(TimePoint time, TimePoint now) { return time <= now; }

} // namespace

ReplicaOwner::ReplicaOwner(const Dependencies& dependencies)
    : context_(dependencies.context)
    , sender_(dependencies.sender)
    , membership_(dependencies.membership)
    , ownership_(dependencies.ownership)
    , drains_(dependencies.drains)
    , listener_(dependencies.listener)
    , startedAt_(dependencies.context.now())
{
}

void ReplicaOwner::onConfig(FleetConfigPtr config)
{
    std::vector<ReplicaId> removed;
    for (auto& [id, replica] : replicas_) {
        const ReplicaConfig* next = config->findReplica(id);
        const bool isSame = next && next->address == replica->config->address;
        if (isSame) {
            replica->config = next;
            replica->queue.setPriorityOrder(config->policy.priorityQueue);
            continue;
        }
        refuseQueued(*replica, ResultCode::ShardNotHeld);
        removed.push_back(id);
    }
    for (const ReplicaId id : removed)
        replicas_.erase(id);
    config_ = std::move(config);
    onViewChanged();
}

void ReplicaOwner::onViewChanged()
{
    if (!config_)
        return;
    for (const auto& [id, replicaConfig] : config_->replicaIndex) {
        const bool isOwn = replicaConfig->zone == context_.zone && ownership_.find(*replicaConfig).owner == context_.self;
        if (!isOwn && !replicas_.contains(id))
            continue;
        Replica& replica = *findOrCreate(id);
        if (replica.isOwn == isOwn)
            continue;
        replica.isOwn = isOwn;
        if (isOwn) {
            replica.reducedUntil = context_.now() + config::kHandoverTime;
            ++context_.stats.ownershipMoves;
        } else if (config_->policy.routing == RoutingPolicy::Owner) {
            refuseQueued(replica, ResultCode::NotOwner);
        }
    }
}

void ReplicaOwner::onExecute(InstanceId from, const ExecuteBatch& batch)
{
    auto params = std::make_shared<BatchParams>();
    *params = { batch.service, batch.snapshot, batch.mapVersion, batch.limit, batch.query };
    for (const ExecuteItem& item : batch.items) {
        QueuedCall call;
        call.coordinator = from;
        call.request = batch.request;
        call.attempt = item.attempt;
        call.shard = item.shard;
        call.replica = item.replica;
        call.priority = batch.priority;
        call.hedge = item.hedge;
        call.deadline = context_.now() + batch.budget;
        call.batch = params;
        Replica* replica = findOrCreate(item.replica);
        if (!replica) {
            refuse(nullptr, call, ResultCode::ShardNotHeld);
            continue;
        }
        enqueue(*replica, std::move(call), item.deputy);
    }
}

void ReplicaOwner::onCancel(const CancelBatch& cancel)
{
    for (const uint32_t attempt : cancel.attempts) {
        for (auto& [id, replica] : replicas_) {
            if (replica->queue.size() > 0 && replica->queue.remove(cancel.request, attempt))
                break;
        }
        for (auto& [id, call] : calls_) {
            if (call.item.request != cancel.request || call.item.attempt != attempt || call.cancelled)
                continue;
            call.cancelled = true;
            const ReplicaConfig* replica = config_ ? config_->findReplica(call.item.replica) : nullptr;
            if (replica)
                context_.actions->push_back(CancelBackend { id, replica->address, { cancel.request, attempt } });
            break;
        }
    }
}

void ReplicaOwner::onSlotRequest(InstanceId from, const SlotRequest& request)
{
    QueuedCall call;
    call.kind = CallKind::SlotLoan;
    call.coordinator = from;
    call.request = request.request;
    call.replica = request.replica;
    call.priority = PriorityClass::Urgent;
    call.deadline = context_.now() + request.budget;
    Replica* replica = findOrCreate(request.replica);
    if (!replica) {
        refuse(nullptr, call, ResultCode::ShardNotHeld);
        return;
    }
    enqueue(*replica, std::move(call), false);
}

void ReplicaOwner::onSlotRelease(InstanceId from, const SlotRelease& release)
{
    Replica* replica = findOrCreate(release.replica);
    if (!replica)
        return;
    const auto it = std::find_if(replica->loans.begin(), replica->loans.end(), [&](const Replica::Loan& loan) {
        return loan.borrower == from && loan.request == release.request;
    });
    if (it == replica->loans.end())
        return;
    replica->loans.erase(it);
    sendQueued(*replica);
}

bool ReplicaOwner::onBackendReplied(BackendCallId id, const BackendReply& reply)
{
    if (onPreflightEnded(id, &reply))
        return true;
    const auto it = calls_.find(id);
    if (it == calls_.end())
        return false;
    const Call& call = it->second;
    Replica* replica = findOrCreate(call.item.replica);
    if (replica) {
        const auto elapsed = std::chrono::duration_cast<Micros>(context_.now() - call.sentAt);
        if (reply.code == ResultCode::Ok)
            replica->serviceTime += (elapsed - replica->serviceTime) / kServiceTimeSmoothing;
        if (reply.code == ResultCode::ServerShed)
            replica->adaptiveLimit = std::max(1.0, replica->adaptiveLimit / 2);
        else
            replica->adaptiveLimit = std::min<double>(replica->config->slots, replica->adaptiveLimit + kAdaptiveIncrease);
        updateFromReply(*replica, reply, call.sentAt);
    }
    ExecuteItemResult result;
    result.sent = true;
    result.code = reply.code;
    result.snapshot = reply.snapshot;
    result.mapVersion = reply.mapVersion;
    result.oldestSnapshot = reply.oldestSnapshot;
    result.newestSnapshot = reply.newestSnapshot;
    result.body = reply.body;
    const AttemptId expectedAttempt { call.item.request, call.item.attempt };
    if (reply.code == ResultCode::Ok && reply.attempt != expectedAttempt)
        result.code = ResultCode::ForeignReply;
    else if (reply.code == ResultCode::Ok && reply.shard != call.item.shard)
        result.code = ResultCode::WrongShard;
    finishCall(id, std::move(result));
    return true;
}

bool ReplicaOwner::onBackendFailed(BackendCallId id, ResultCode code, bool sent)
{
    if (onPreflightEnded(id, nullptr))
        return true;
    const auto it = calls_.find(id);
    if (it == calls_.end())
        return false;
    Replica* replica = findOrCreate(it->second.item.replica);
    if (replica && !it->second.cancelled)
        markDown(*replica);
    ExecuteItemResult result;
    result.sent = sent;
    result.code = code;
    finishCall(id, std::move(result));
    return true;
}

void ReplicaOwner::onDrained(ReplicaId id)
{
    const auto it = replicas_.find(id);
    if (it == replicas_.end())
        return;
    it->second->nextPreflightAt = context_.now() + config::kPreflightInterval;
    refuseQueued(*it->second, ResultCode::ServerDraining);
}

void ReplicaOwner::invalidateAll()
{
    for (auto& [id, replica] : replicas_) {
        refuseQueued(*replica, ResultCode::StaleMessage);
        replica->hasEvidence = false;
        replica->loans.clear();
        replica->reducedUntil = context_.now() + config::kHandoverTime;
    }
}

void ReplicaOwner::tick()
{
    const TimePoint now = context_.now();
    expireCalls();
    timeOutSlowCalls();
    std::vector<BackendCallId> timedOut;
    for (auto& [id, replica] : replicas_) {
        expireLoans(*replica);
        for (const QueuedCall& call : replica->queue.takeExpired(now)) {
            updateWaitFactor(*replica, call);
            refuse(replica.get(), call, ResultCode::AttemptTimeout);
        }
        if (replica->preflight.isValid() && isPast(replica->preflightUntil, now))
            timedOut.push_back(replica->preflight);
        const bool needsPreflight = replica->isOwn && (drains_.isDrained(id) || replica->failures > 0);
        if (needsPreflight && !replica->preflight.isValid() && isPast(replica->nextPreflightAt, now))
            startPreflight(*replica);
        if (replica->queue.size() > 0)
            sendQueued(*replica);
    }
    for (const BackendCallId call : timedOut)
        onPreflightEnded(call, nullptr);
}

TimePoint ReplicaOwner::nextWakeup() const
{
    return context_.now() + (calls_.empty() && queued() == 0 ? config::kTickInterval : Millis(10));
}

void ReplicaOwner::flush()
{
    std::vector<PendingResults> outbox;
    outbox.swap(outbox_);
    for (PendingResults& pending : outbox)
        sender_.sendPeer(pending.coordinator, std::move(pending.results));
}

BackendCallId ReplicaOwner::nextCallId()
{
    return { ++lastCall_ };
}

size_t ReplicaOwner::queued() const
{
    size_t total = 0;
    for (const auto& [id, replica] : replicas_)
        total += replica->queue.size();
    return total;
}

size_t ReplicaOwner::loans() const
{
    size_t total = 0;
    for (const auto& [id, replica] : replicas_)
        total += replica->loans.size();
    return total;
}

size_t ReplicaOwner::ownedReplicas() const
{
    return static_cast<size_t>(std::count_if(replicas_.begin(), replicas_.end(), [](const auto& entry) { return entry.second->isOwn; }));
}

ReplicaOwner::Replica* ReplicaOwner::findOrCreate(ReplicaId id)
{
    const auto it = replicas_.find(id);
    if (it != replicas_.end())
        return it->second.get();
    const ReplicaConfig* replicaConfig = config_ ? config_->findReplica(id) : nullptr;
    if (!replicaConfig)
        return nullptr;
    auto replica = std::make_unique<Replica>();
    replica->config = replicaConfig;
    replica->queue.setPriorityOrder(config_->policy.priorityQueue);
    return replicas_.emplace(id, std::move(replica)).first->second.get();
}

bool ReplicaOwner::mayServe(const ReplicaConfig& replica, bool deputy, InstanceId& ownerHint)
{
    if (config_->policy.routing != RoutingPolicy::Owner)
        return true;
    if (replica.zone != context_.zone)
        return false;
    const Owners owners = ownership_.find(replica);
    ownerHint = owners.owner;
    if (owners.owner == context_.self)
        return true;
    // The deputy serves when the coordinator or this instance considers the owner unreliable.
    return owners.deputy == context_.self && (deputy || !membership_.isHealthy(owners.owner));
}

void ReplicaOwner::enqueue(Replica& replica, QueuedCall call, bool deputy)
{
    InstanceId ownerHint;
    if (!mayServe(*replica.config, deputy, ownerHint)) {
        refuse(&replica, call, ResultCode::NotOwner, ownerHint);
        return;
    }
    if (drains_.isDrained(call.replica)) {
        refuse(&replica, call, ResultCode::ServerDraining);
        return;
    }
    if (replica.downUntil > context_.now()) {
        refuse(&replica, call, ResultCode::ConnectFailed);
        return;
    }
    const Micros wait = predictedWait(replica, call.priority);
    if (call.hedge && wait.count() > 0) {
        refuse(&replica, call, ResultCode::SlotUnavailable);
        return;
    }
    if (context_.now() + wait + replica.serviceTime / 2 > call.deadline) {
        refuse(&replica, call, ResultCode::PredictedWaitExceedsDeadline);
        return;
    }
    call.queuedAt = context_.now();
    call.predictedWait = wait;
    const QueuedCall copy = call;
    if (!replica.queue.push(std::move(call))) {
        refuse(&replica, copy, ResultCode::Overloaded);
        return;
    }
    sendQueued(replica);
}

void ReplicaOwner::sendQueued(Replica& replica)
{
    while (replica.queue.size() > 0 && replica.inUse + replica.loans.size() < allowedSlots(replica)) {
        if (!ensureEvidence(replica))
            return;
        std::optional<QueuedCall> call = replica.queue.pop();
        updateWaitFactor(replica, *call);
        if (isPast(call->deadline, context_.now())) {
            refuse(&replica, *call, ResultCode::AttemptTimeout);
            continue;
        }
        if (call->kind == CallKind::SlotLoan)
            lendSlot(replica, *call);
        else
            send(replica, std::move(*call));
    }
}

bool ReplicaOwner::ensureEvidence(Replica& replica)
{
    const bool isFresh = replica.hasEvidence && context_.now() - replica.evidenceAt < config::kNotDrainingLease;
    if (isFresh)
        return true;
    if (!replica.preflight.isValid())
        startPreflight(replica);
    return false;
}

uint32_t ReplicaOwner::allowedSlots(const Replica& replica) const
{
    const uint32_t slots = replica.config->slots;
    const uint32_t half = std::max(1U, slots / 2);
    switch (config_->policy.routing) {
    case RoutingPolicy::Direct:
        return std::max(1U, slots / std::max(1U, static_cast<uint32_t>(membership_.members().size())));
    case RoutingPolicy::Adaptive:
        return static_cast<uint32_t>(replica.adaptiveLimit);
    case RoutingPolicy::Owner:
        break;
    }
    if (replica.slowStartUntil > context_.now())
        return 1;
    // The settled views of other instances may not include this instance yet.
    const TimePoint joined = startedAt_ + config_->policy.settleTime + config::kHandoverTime;
    const bool isReduced = !replica.isOwn || joined > context_.now() || replica.reducedUntil > context_.now() || ownership_.isDisputed(*replica.config);
    return isReduced ? half : slots;
}

Micros ReplicaOwner::predictedWait(const Replica& replica, PriorityClass priority) const
{
    const uint32_t slots = allowedSlots(replica);
    const auto used = static_cast<uint32_t>(replica.inUse + replica.loans.size());
    const double ahead = replica.queue.countAheadOf(priority);
    if (used < slots && ahead < 1.0)
        return Micros(0);
    const double turns = (ahead + 0.5) / slots;
    const double factor = replica.waitFactor[static_cast<size_t>(priority)];
    return Micros(static_cast<int64_t>(factor * turns * static_cast<double>(replica.serviceTime.count())));
}

void ReplicaOwner::updateWaitFactor(Replica& replica, const QueuedCall& call)
{
    if (call.predictedWait.count() == 0)
        return;
    double& factor = replica.waitFactor[static_cast<size_t>(call.priority)];
    const double actual = std::chrono::duration<double, std::micro>(context_.now() - call.queuedAt).count();
    const double observed = factor * actual / static_cast<double>(call.predictedWait.count());
    factor = std::clamp(factor + kWaitFactorWeight * (observed - factor), 1.0, kMaxWaitFactor);
}

void ReplicaOwner::refuse(const Replica* replica, const QueuedCall& call, ResultCode code, InstanceId ownerHint)
{
    ++context_.stats.refusedByOwner;
    const Micros wait = replica ? predictedWait(*replica, call.priority) : Micros(0);
    if (call.kind == CallKind::SlotLoan) {
        sender_.sendPeer(call.coordinator, SlotReply { call.request, call.replica, code, wait, ownerHint });
        return;
    }
    ExecuteItemResult result;
    result.attempt = call.attempt;
    result.shard = call.shard;
    result.replica = call.replica;
    result.code = code;
    result.predictedWait = wait;
    result.ownerHint = ownerHint;
    queueResult(call.coordinator, call.request, std::move(result));
}

void ReplicaOwner::refuseQueued(Replica& replica, ResultCode code)
{
    for (const QueuedCall& call : replica.queue.takeAll())
        refuse(&replica, call, code);
}

void ReplicaOwner::queueResult(InstanceId coordinator, RequestId request, ExecuteItemResult result)
{
    for (PendingResults& pending : outbox_) {
        if (pending.coordinator == coordinator && pending.results.request == request) {
            pending.results.items.push_back(std::move(result));
            return;
        }
    }
    PendingResults pending { coordinator, { request, {} } };
    pending.results.items.push_back(std::move(result));
    outbox_.push_back(std::move(pending));
}

void ReplicaOwner::expireLoans(Replica& replica)
{
    const TimePoint now = context_.now();
    std::erase_if(replica.loans, [&](const Replica::Loan& loan) { return isPast(loan.until, now); });
}

} // namespace limpettrestle
