#include "coordinator.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    /// Time reserved before the caller's deadline for returning the answer.
    constexpr Millis kAnswerMargin { 10 };
    constexpr Millis kUpdateInterval { 5 };
    constexpr Millis kMinHedgeDelay { 3 };
    constexpr Millis kInitialHedgeDelay { 30 };
    constexpr Millis kRetryPause { 15 };
    constexpr uint32_t kMaxFailedRounds = 4;
    /// Hedges are sent only if at most this fraction of the shards is open. If more are open, the
    /// cause is overload, which hedges would increase.
    constexpr double kMaxHedgeOpenFraction = 0.25;
    constexpr Millis kReplicaAvoidDuration { 100 };
    /// Maximum predicted wait as a fraction of the deadline, by priority class. From half of it on,
    /// searches are refused with a rising probability, so that instances do not oscillate in step.
    constexpr double kAdmissionWaitFraction[kPriorityClassCount] = { 0.8, 0.5, 0.2 };

} // namespace

Coordinator::Coordinator(const Links& links, uint32_t maxRequests)
    : context_(links.context)
    , sender_(links.sender)
    , membership_(links.membership)
    , ownership_(links.ownership)
    , drains_(links.drains)
    , maxRequests_(maxRequests)
{
}

void Coordinator::onConfig(FleetConfigPtr config)
{
    config_ = std::move(config);
}

void Coordinator::onSearch(CallerTag tag, SearchRequest request)
{
    const ServiceConfig* service = nullptr;
    Micros wait(0);
    const ResultCode code = admit(request, service, wait);
    if (code != ResultCode::Ok) {
        Millis retryAfter(0);
        if (code == ResultCode::PredictedWaitExceedsDeadline)
            retryAfter = std::max(Millis(20), std::chrono::duration_cast<Millis>(wait));
        else if (code == ResultCode::Overloaded || code == ResultCode::NotReady)
            retryAfter = Millis(200);
        refuse(tag, code, retryAfter);
        return;
    }
    auto query = std::make_unique<Query>();
    query->tag = tag;
    query->id = nextRequestId();
    query->queryBody = makeBody(request.query);
    query->priority = request.hasPriority ? request.priority : service->priority;
    query->config = config_;
    query->service = service;
    query->startedAt = context_.now();
    query->deadline = query->startedAt + request.deadline - std::min(kAnswerMargin, request.deadline / 10);
    query->request = std::move(request);
    const ServiceState& state = serviceStateOf(*query);
    query->snapshot = std::max(service->snapshot, state.snapshot);
    ++context_.stats.searches;
    context_.stats.subRequestsNeeded += service->shards.size();
    Query& stored = *queries_.emplace(query->id.sequence, std::move(query)).first->second;
    recordEvent(stored, TimelineKind::RequestAdmitted, ResultCode::Ok, 0, 0, service->name);
    start(stored);
}

void Coordinator::onResults(InstanceId from, const ExecuteResults& results)
{
    Query* query = results.request.issuer == context_.incarnation ? findQuery(results.request) : nullptr;
    for (const ExecuteItemResult& item : results.items) {
        if (!query) {
            const bool isForeign = results.request.issuer != context_.incarnation;
            recordDroppedReply(results.request, item, isForeign ? ResultCode::ForeignReply : ResultCode::LateReply);
            continue;
        }
        handleItem(*query, from, item);
    }
    if (query)
        restartIfOutdated(*query);
}

void Coordinator::onPeerFailed(InstanceId peer)
{
    for (auto& [sequence, query] : queries_) {
        for (uint32_t shard = 0; shard < query->shards.size(); ++shard) {
            ShardState& state = query->shards[shard];
            if (state.phase != ShardPhase::Open)
                continue;
            bool hasAbandoned = false;
            for (PendingAttempt& attempt : state.attempts) {
                if (attempt.owner != peer || attempt.isAbandoned)
                    continue;
                attempt.isAbandoned = true;
                hasAbandoned = true;
            }
            if (hasAbandoned)
                retryShard(*query, shard, ResultCode::PeerUnreachable, true);
        }
    }
}

void Coordinator::onLateWake()
{
    for (auto& [sequence, query] : queries_) {
        for (ShardState& shard : query->shards) {
            for (PendingAttempt& attempt : shard.attempts)
                attempt.isAbandoned = true;
        }
    }
}

void Coordinator::tick()
{
    const TimePoint now = context_.now();
    for (auto& [sequence, query] : queries_) {
        if (query->nextUpdateAt <= now || query->deadline <= now)
            updateQuery(*query);
    }
}

TimePoint Coordinator::nextWakeup() const
{
    TimePoint next = context_.now() + config::kTickInterval;
    for (const auto& [sequence, query] : queries_)
        next = std::min({ next, query->nextUpdateAt, query->deadline });
    return next;
}

void Coordinator::flush()
{
    finishClosedQueries();
    std::vector<OutgoingCancel> cancels;
    cancels.swap(cancels_);
    for (OutgoingCancel& outgoing : cancels)
        sender_.sendPeer(outgoing.to, std::move(outgoing.cancel));
    std::vector<OutgoingBatch> outbox;
    outbox.swap(outbox_);
    for (OutgoingBatch& outgoing : outbox) {
        const Query* query = findQuery(outgoing.request);
        if (!query)
            continue;
        outgoing.batch.budget = std::chrono::duration_cast<Micros>(query->deadline - context_.now());
        sender_.sendPeer(outgoing.to, std::move(outgoing.batch));
    }
}

RequestId Coordinator::nextRequestId()
{
    return { context_.incarnation, ++lastSequence_ };
}

Query* Coordinator::findQuery(RequestId id)
{
    const auto it = queries_.find(id.sequence);
    return it == queries_.end() ? nullptr : it->second.get();
}

Coordinator::ServiceState& Coordinator::serviceStateOf(const Query& query)
{
    return services_.try_emplace(query.service->id, query.config->policy.hedgeQuantile).first->second;
}

ResultCode Coordinator::admit(const SearchRequest& request, const ServiceConfig*& service, Micros& wait)
{
    if (!config_)
        return ResultCode::NotReady;
    service = config_->findService(idFromName<ServiceId>(request.service));
    if (!service)
        return ResultCode::UnknownService;
    if (request.deadline <= Millis(0))
        return ResultCode::DeadlinePassed;
    if (queries_.size() >= maxRequests_)
        return ResultCode::Overloaded;
    if (!config_->policy.admission)
        return ResultCode::Ok;
    const PriorityClass priority = request.hasPriority ? request.priority : service->priority;
    wait = predictWait(*service, priority);
    const double allowedMicros = kAdmissionWaitFraction[static_cast<size_t>(priority)] * static_cast<double>(Micros(request.deadline).count());
    const double excess = 2 * static_cast<double>(wait.count()) / allowedMicros - 1;
    const bool isAdmitted = excess <= 0 || std::uniform_real_distribution<double>()(context_.random) >= excess;
    return isAdmitted ? ResultCode::Ok : ResultCode::PredictedWaitExceedsDeadline;
}

void Coordinator::refuse(CallerTag tag, ResultCode code, Millis retryAfter)
{
    ++context_.stats.searchesRefused;
    Answer answer;
    answer.request = nextRequestId();
    answer.outcome = Outcome::Refused;
    answer.code = code;
    answer.configVersion = config_ ? config_->stamp.version : 0;
    answer.retryAfter = retryAfter;
    TimelineEvent event;
    event.kind = TimelineKind::RequestAnswered;
    event.code = code;
    event.request = answer.request;
    context_.record(std::move(event));
    context_.actions->push_back(AnswerCaller { tag, std::move(answer) });
}

void Coordinator::start(Query& query)
{
    query.shards.assign(query.service->shards.size(), {});
    query.openShards = static_cast<uint32_t>(query.shards.size());
    query.firstCurrentAttempt = query.lastAttempt + 1;
    query.newerSnapshot = 0;
    query.hasNewerMap = false;
    for (uint32_t shard = 0; shard < query.shards.size(); ++shard) {
        if (!sendShard(query, shard, SendReason::First))
            retryShard(query, shard, ResultCode::NoReplicaReachable, false);
    }
    query.nextUpdateAt = context_.now() + std::min<Micros>(hedgeDelay(query), kUpdateInterval);
}

void Coordinator::restart(Query& query, uint64_t snapshot)
{
    for (ShardState& shard : query.shards)
        cancelAttempts(query, shard);
    ++query.restarts;
    ++context_.stats.restarts;
    const ServiceId service = query.service->id;
    query.config = config_;
    query.service = config_->findService(service);
    query.snapshot = std::max(snapshot, query.service->snapshot);
    recordEvent(query, TimelineKind::RequestRestarted, ResultCode::SnapshotGone, 0, 0, query.service->name);
    start(query);
}

void Coordinator::handleItem(Query& query, InstanceId from, const ExecuteItemResult& item)
{
    const bool isCurrent = item.attempt >= query.firstCurrentAttempt && item.shard < query.shards.size();
    ShardState* shard = isCurrent ? &query.shards[item.shard] : nullptr;
    PendingAttempt* pending = nullptr;
    if (shard) {
        const auto it = std::find_if(shard->attempts.begin(), shard->attempts.end(), [&](const PendingAttempt& a) { return a.number == item.attempt; });
        pending = it == shard->attempts.end() ? nullptr : &*it;
    }
    if (!pending || pending->owner != from || pending->replica != item.replica) {
        recordDroppedReply(query.id, item, pending ? ResultCode::ForeignReply : ResultCode::LateReply);
        return;
    }
    const PendingAttempt attempt = *pending;
    std::erase_if(shard->attempts, [&](const PendingAttempt& a) { return a.number == attempt.number; });
    ReplicaStats& replicaStats = replicaStats_.at(attempt.replica);
    if (replicaStats.inFlight > 0)
        --replicaStats.inFlight;
    const ResultCode code = validateItem(query, item);
    recordFeedback(query, item, code);
    if (shard->phase != ShardPhase::Open) {
        recordDroppedReply(query.id, item, ResultCode::LateReply);
        return;
    }
    if (code == ResultCode::Ok) {
        acceptResult(query, item, attempt);
        return;
    }
    recordEvent(query, TimelineKind::AttemptEnded, code, item.shard, item.attempt, {});
    handleFailedItem(query, item, code);
}

ResultCode Coordinator::validateItem(const Query& query, const ExecuteItemResult& item) const
{
    if (item.code != ResultCode::Ok)
        return item.code;
    if (item.snapshot != query.snapshot)
        return ResultCode::WrongSnapshot;
    if (item.mapVersion != query.service->mapVersion)
        return ResultCode::WrongPartitionMap;
    return item.body ? ResultCode::Ok : ResultCode::TruncatedMessage;
}

void Coordinator::acceptResult(Query& query, const ExecuteItemResult& item, const PendingAttempt& attempt)
{
    const TimePoint now = context_.now();
    const auto latency = std::chrono::duration_cast<Micros>(now - attempt.sentAt);
    ShardState& shard = query.shards[item.shard];
    replicaStats_.onAnswered(attempt.replica, latency, now);
    serviceStateOf(query).latency.add(latency);
    shard.phase = ShardPhase::Covered;
    shard.body = item.body;
    closeShard(query);
    if (attempt.isHedge)
        ++context_.stats.hedgesWon;
    for (const PendingAttempt& other : shard.attempts)
        replicaStats_.onUnanswered(other.replica, std::chrono::duration_cast<Micros>(now - other.sentAt), now);
    cancelAttempts(query, shard);
}

void Coordinator::handleFailedItem(Query& query, const ExecuteItemResult& item, ResultCode code)
{
    ReplicaStats& replicaStats = replicaStats_.at(item.replica);
    const TimePoint now = context_.now();
    switch (code) {
    case ResultCode::SnapshotGone:
        query.newerSnapshot = std::max(query.newerSnapshot, item.newestSnapshot);
        break;
    case ResultCode::WrongPartitionMap:
        query.hasNewerMap = query.hasNewerMap || item.mapVersion > query.service->mapVersion;
        break;
    case ResultCode::ConnectFailed:
    case ResultCode::ServerDraining:
        replicaStats.avoidUntil = now + kReplicaAvoidDuration;
        break;
    default:
        break;
    }
    // An attempt that was refused before it was sent, or a hedge without a free slot, adds no load.
    const bool addsLoad = item.sent;
    Redirect redirect;
    if (code == ResultCode::NotOwner && membership_.isReachable(item.ownerHint))
        redirect = { item.replica, item.ownerHint };
    retryShard(query, item.shard, code, addsLoad, redirect);
}

void Coordinator::recordFeedback(const Query& query, const ExecuteItemResult& item, ResultCode code)
{
    ServiceState& state = serviceStateOf(query);
    replicaStats_.onWaitPredicted(item.replica, query.priority, item.predictedWait, context_.now());
    if (code == ResultCode::SnapshotGone && item.newestSnapshot > query.snapshot)
        state.snapshot = std::max(state.snapshot, item.newestSnapshot);
}

void Coordinator::retryShard(Query& query, uint32_t shard, ResultCode reason, bool addsLoad, const Redirect& redirect)
{
    ShardState& state = query.shards[shard];
    if (state.phase != ShardPhase::Open)
        return;
    state.reason = reason;
    const bool hasPending = std::any_of(state.attempts.begin(), state.attempts.end(), [](const PendingAttempt& a) { return !a.isAbandoned; });
    if (hasPending)
        return;
    if (state.sentAttempts >= config::kMaxAttemptsPerShard || (addsLoad && !serviceStateOf(query).retries.spend())) {
        markShardMissing(query, shard, reason);
        return;
    }
    if (sendShard(query, shard, SendReason::Retry, redirect)) {
        ++context_.stats.retries;
        return;
    }
    if (++state.failedRounds >= kMaxFailedRounds) {
        markShardMissing(query, shard, reason);
        return;
    }
    state.triedReplicas = 0;
    state.retryAt = context_.now() + kRetryPause * (1 << (state.failedRounds - 1));
    query.nextUpdateAt = std::min(query.nextUpdateAt, state.retryAt);
}

bool Coordinator::restartIfOutdated(Query& query)
{
    const ServiceConfig* next = config_->findService(query.service->id);
    const bool isMapOutdated = query.hasNewerMap && next && next->mapVersion > query.service->mapVersion;
    const bool isSnapshotOutdated = query.newerSnapshot > query.snapshot;
    if (!isMapOutdated && !isSnapshotOutdated)
        return false;
    if (query.restarts >= config::kMaxRestarts || !next)
        return false;
    restart(query, std::max(query.newerSnapshot, query.snapshot));
    return true;
}

void Coordinator::updateQuery(Query& query)
{
    const TimePoint now = context_.now();
    if (now >= query.deadline) {
        for (uint32_t shard = 0; shard < query.shards.size(); ++shard) {
            if (query.shards[shard].phase == ShardPhase::Open)
                markShardMissing(query, shard, query.shards[shard].reason);
        }
        return;
    }
    const Micros delay = hedgeDelay(query);
    const double openFraction = static_cast<double>(query.openShards) / static_cast<double>(query.shards.size());
    const bool mayHedge = query.config->policy.hedging && (openFraction <= kMaxHedgeOpenFraction || query.openShards <= 2);
    for (uint32_t shard = 0; shard < query.shards.size(); ++shard) {
        if (query.shards[shard].phase == ShardPhase::Open)
            updateShard(query, shard, delay, mayHedge);
    }
    query.nextUpdateAt = now + kUpdateInterval;
}

void Coordinator::updateShard(Query& query, uint32_t shard, Micros delay, bool mayHedge)
{
    const TimePoint now = context_.now();
    ShardState& state = query.shards[shard];
    uint32_t pendingCount = 0;
    bool timedOut = false;
    TimePoint oldest = now;
    for (PendingAttempt& attempt : state.attempts) {
        if (!attempt.isAbandoned && now - lastSeen(attempt) >= query.config->policy.attemptTimeout) {
            attempt.isAbandoned = true;
            timedOut = true;
            replicaStats_.onUnanswered(attempt.replica, std::chrono::duration_cast<Micros>(now - attempt.sentAt), now);
        }
        if (attempt.isAbandoned)
            continue;
        ++pendingCount;
        oldest = std::min(oldest, attempt.sentAt);
    }
    if (pendingCount == 0) {
        if (timedOut || state.retryAt <= now)
            retryShard(query, shard, timedOut ? ResultCode::AttemptTimeout : state.reason, timedOut);
        return;
    }
    const bool isDue = pendingCount == 1 && state.attempts.size() == 1 && now - oldest >= delay;
    if (!mayHedge || !isDue)
        return;
    LoadBudget& budget = serviceStateOf(query).hedges;
    if (budget.tokens() < 1.0 || !pickReplica(query, shard))
        return;
    budget.spend();
    ++context_.stats.hedges;
    sendShard(query, shard, SendReason::Hedge);
}

TimePoint Coordinator::lastSeen(const PendingAttempt& attempt) const
{
    // A live owner enforces the time limits of its calls itself, so an attempt times out here only if
    // its owner is unresponsive.
    if (attempt.owner == context_.self)
        return context_.now();
    const Member* owner = membership_.find(attempt.owner);
    return owner ? std::max(attempt.sentAt, owner->lastMessageAt) : attempt.sentAt;
}

void Coordinator::markShardMissing(Query& query, uint32_t shard, ResultCode reason)
{
    ShardState& state = query.shards[shard];
    state.phase = ShardPhase::Missing;
    state.reason = reason;
    closeShard(query);
    cancelAttempts(query, state);
}

void Coordinator::cancelAttempts(const Query& query, ShardState& shard)
{
    for (const PendingAttempt& attempt : shard.attempts) {
        ReplicaStats& replicaStats = replicaStats_.at(attempt.replica);
        if (replicaStats.inFlight > 0)
            --replicaStats.inFlight;
        const auto it = std::find_if(cancels_.begin(), cancels_.end(), [&](const OutgoingCancel& entry) {
            return entry.to == attempt.owner && entry.cancel.request == query.id;
        });
        if (it == cancels_.end())
            cancels_.push_back({ attempt.owner, { query.id, { attempt.number } } });
        else
            it->cancel.attempts.push_back(attempt.number);
    }
    shard.attempts.clear();
}

void Coordinator::finish(Query& query)
{
    Answer answer;
    answer.request = query.id;
    answer.outcome = Outcome::Done;
    answer.snapshot = query.snapshot;
    answer.mapVersion = query.service->mapVersion;
    answer.configVersion = query.config->stamp.version;
    answer.shardsTotal = static_cast<uint32_t>(query.shards.size());
    answer.limit = query.request.limit;
    answer.minCoverage = query.request.minCoverage;
    for (uint32_t shard = 0; shard < query.shards.size(); ++shard) {
        ShardState& state = query.shards[shard];
        if (state.phase == ShardPhase::Covered)
            answer.bodies.push_back({ shard, std::move(state.body) });
        else
            answer.missing.push_back({ shard, state.reason });
    }
    answer.shardsCovered = static_cast<uint32_t>(answer.bodies.size());
    const double coverage = static_cast<double>(answer.shardsCovered) / answer.shardsTotal;
    if (answer.missing.empty()) {
        answer.code = ResultCode::Ok;
        ++context_.stats.searchesComplete;
    } else {
        const bool isTooLittle = answer.shardsCovered == 0 || coverage < query.request.minCoverage;
        answer.code = isTooLittle ? ResultCode::CoverageBelowMinimum : ResultCode::PartialCoverage;
        answer.retryAfter = std::max(Millis(100), std::chrono::duration_cast<Millis>(predictWait(*query.service, query.priority)));
        ++context_.stats.searchesPartial;
    }
    recordEvent(query, TimelineKind::RequestAnswered, answer.code, answer.shardsCovered, answer.shardsTotal, {});
    context_.actions->push_back(AnswerCaller { query.tag, std::move(answer) });
}

void Coordinator::closeShard(Query& query)
{
    if (--query.openShards == 0)
        closedQueries_.push_back(query.id.sequence);
}

void Coordinator::finishClosedQueries()
{
    std::vector<uint64_t> closed;
    closed.swap(closedQueries_);
    for (const uint64_t sequence : closed) {
        const auto it = queries_.find(sequence);
        // The query may have been restarted after its last shard was closed.
        if (it == queries_.end() || it->second->openShards > 0)
            continue;
        finish(*it->second);
        queries_.erase(it);
    }
}

void Coordinator::recordDroppedReply(RequestId request, const ExecuteItemResult& item, ResultCode code)
{
    // Cancelled attempts, such as the loser of a hedge, are expected to report their cancellation.
    if (item.code == ResultCode::Cancelled)
        return;
    ++context_.stats.repliesDropped;
    TimelineEvent event;
    event.kind = TimelineKind::ReplyDropped;
    event.code = code;
    event.request = request;
    event.shard = item.shard;
    event.attempt = item.attempt;
    context_.record(std::move(event));
}

Micros Coordinator::hedgeDelay(const Query& query)
{
    const Micros observed = serviceStateOf(query).latency.value(kInitialHedgeDelay);
    return std::max<Micros>(observed, kMinHedgeDelay);
}

void Coordinator::recordEvent(const Query& query, TimelineKind kind, ResultCode code, uint32_t shard, uint32_t attempt, std::string subject)
{
    TimelineEvent event;
    event.kind = kind;
    event.code = code;
    event.request = query.id;
    event.shard = shard;
    event.attempt = attempt;
    event.subject = std::move(subject);
    event.number = query.snapshot;
    context_.record(std::move(event));
}

} // namespace limpettrestle
