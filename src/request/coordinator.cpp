#include "coordinator.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    /// Kept back from the caller's deadline for the way home.
    constexpr Millis kAnswerMargin { 10 };
    constexpr Millis kReviewInterval { 5 };
    constexpr Millis kHedgeDelayMin { 3 };
    constexpr Millis kHedgeDelayStart { 30 };
    constexpr Millis kRetryPause { 15 };
    constexpr uint32_t kMaxEmptyRounds = 4;
    /// Hedges are for the last few shards; when more are open the load is at fault.
    constexpr double kHedgeOpenShare = 0.25;
    constexpr Millis kReplicaAvoidTime { 100 };
    /// Share of the deadline that the predicted wait may take, by class. From half of it on,
    /// searches are refused with a rising share, so that the instances do not swing together.
    constexpr double kAdmissionShare[kPriorityClassCount] = { 0.8, 0.5, 0.2 };

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
    query->text = makeBody(request.query);
    query->priority = request.hasPriority ? request.priority : service->priority;
    query->config = config_;
    query->service = service;
    query->started = context_.now();
    query->deadline = query->started + request.deadline - std::min(kAnswerMargin, request.deadline / 10);
    query->request = std::move(request);
    const ServiceState& state = stateOf(*query);
    query->snapshot = std::max(service->snapshot, state.snapshot);
    ++context_.stats.searches;
    context_.stats.subRequestsNeeded += service->shards.size();
    Query& stored = *queries_.emplace(query->id.sequence, std::move(query)).first->second;
    record(stored, TimelineKind::RequestAdmitted, ResultCode::Ok, 0, 0, service->name);
    start(stored);
}

void Coordinator::onResults(InstanceId from, const ExecuteResults& results)
{
    Query* query = results.request.issuer == context_.incarnation ? find(results.request) : nullptr;
    for (const ExecuteItemResult& item : results.items) {
        if (!query) {
            const bool isForeign = results.request.issuer != context_.incarnation;
            dropReply(results.request, item, isForeign ? ResultCode::ForeignReply : ResultCode::LateReply);
            continue;
        }
        onItem(*query, from, item);
    }
    if (query)
        restartIfMoved(*query);
}

void Coordinator::onPeerFailed(InstanceId peer)
{
    for (auto& [sequence, query] : queries_) {
        for (uint32_t shard = 0; shard < query->shards.size(); ++shard) {
            ShardState& state = query->shards[shard];
            if (state.phase != ShardPhase::Open)
                continue;
            bool lostOne = false;
            for (LiveAttempt& attempt : state.attempts) {
                if (attempt.owner != peer || attempt.lost)
                    continue;
                attempt.lost = true;
                lostOne = true;
            }
            if (lostOne)
                tryAgain(*query, shard, ResultCode::PeerUnreachable, true);
        }
    }
}

void Coordinator::onLateWake()
{
    for (auto& [sequence, query] : queries_) {
        for (ShardState& shard : query->shards) {
            for (LiveAttempt& attempt : shard.attempts)
                attempt.lost = true;
        }
    }
}

void Coordinator::tick()
{
    const TimePoint now = context_.now();
    for (auto& [sequence, query] : queries_) {
        if (query->nextReview <= now || query->deadline <= now)
            review(*query);
    }
}

TimePoint Coordinator::nextWakeup() const
{
    TimePoint next = context_.now() + config::kTickInterval;
    for (const auto& [sequence, query] : queries_)
        next = std::min({ next, query->nextReview, query->deadline });
    return next;
}

void Coordinator::flush()
{
    finishReady();
    std::vector<OutgoingCancel> cancels;
    cancels.swap(cancels_);
    for (OutgoingCancel& outgoing : cancels)
        sender_.sendPeer(outgoing.to, std::move(outgoing.cancel));
    std::vector<OutgoingBatch> outbox;
    outbox.swap(outbox_);
    for (OutgoingBatch& outgoing : outbox) {
        const Query* query = find(outgoing.request);
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

Query* Coordinator::find(RequestId id)
{
    const auto it = queries_.find(id.sequence);
    return it == queries_.end() ? nullptr : it->second.get();
}

Coordinator::ServiceState& Coordinator::stateOf(const Query& query)
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
    const double allowed = kAdmissionShare[static_cast<size_t>(priority)] * static_cast<double>(Micros(request.deadline).count());
    const double excess = 2 * static_cast<double>(wait.count()) / allowed - 1;
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
    query.open = static_cast<uint32_t>(query.shards.size());
    query.firstAttempt = query.lastAttempt + 1;
    query.newerSnapshot = 0;
    query.sawNewerMap = false;
    for (uint32_t shard = 0; shard < query.shards.size(); ++shard) {
        if (!sendShard(query, shard, SendReason::First))
            tryAgain(query, shard, ResultCode::NoReplicaReachable, false);
    }
    query.nextReview = context_.now() + std::min<Micros>(hedgeDelay(query), kReviewInterval);
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
    record(query, TimelineKind::RequestRestarted, ResultCode::SnapshotGone, 0, 0, query.service->name);
    start(query);
}

void Coordinator::onItem(Query& query, InstanceId from, const ExecuteItemResult& item)
{
    const bool isCurrent = item.attempt >= query.firstAttempt && item.shard < query.shards.size();
    ShardState* shard = isCurrent ? &query.shards[item.shard] : nullptr;
    LiveAttempt* live = nullptr;
    if (shard) {
        const auto it = std::find_if(shard->attempts.begin(), shard->attempts.end(), [&](const LiveAttempt& a) { return a.number == item.attempt; });
        live = it == shard->attempts.end() ? nullptr : &*it;
    }
    if (!live || live->owner != from || live->replica != item.replica) {
        dropReply(query.id, item, live ? ResultCode::ForeignReply : ResultCode::LateReply);
        return;
    }
    const LiveAttempt attempt = *live;
    std::erase_if(shard->attempts, [&](const LiveAttempt& a) { return a.number == attempt.number; });
    ReplicaSight& sight = views_.at(attempt.replica);
    if (sight.inFlight > 0)
        --sight.inFlight;
    const ResultCode code = checkItem(query, item);
    learn(query, item, code);
    if (shard->phase != ShardPhase::Open) {
        dropReply(query.id, item, ResultCode::LateReply);
        return;
    }
    if (code == ResultCode::Ok) {
        cover(query, item, attempt);
        return;
    }
    record(query, TimelineKind::AttemptEnded, code, item.shard, item.attempt, {});
    onItemFailed(query, item, code);
}

ResultCode Coordinator::checkItem(const Query& query, const ExecuteItemResult& item) const
{
    if (item.code != ResultCode::Ok)
        return item.code;
    if (item.snapshot != query.snapshot)
        return ResultCode::WrongSnapshot;
    if (item.mapVersion != query.service->mapVersion)
        return ResultCode::WrongPartitionMap;
    return item.body ? ResultCode::Ok : ResultCode::TruncatedMessage;
}

void Coordinator::cover(Query& query, const ExecuteItemResult& item, const LiveAttempt& attempt)
{
    const TimePoint now = context_.now();
    const auto took = std::chrono::duration_cast<Micros>(now - attempt.sentAt);
    ShardState& shard = query.shards[item.shard];
    views_.onAnswered(attempt.replica, took, now);
    stateOf(query).latency.add(took);
    shard.phase = ShardPhase::Covered;
    shard.body = item.body;
    closeShard(query);
    if (attempt.hedge)
        ++context_.stats.hedgesWon;
    for (const LiveAttempt& other : shard.attempts)
        views_.onSlow(other.replica, std::chrono::duration_cast<Micros>(now - other.sentAt), now);
    cancelAttempts(query, shard);
}

void Coordinator::onItemFailed(Query& query, const ExecuteItemResult& item, ResultCode code)
{
    ReplicaSight& sight = views_.at(item.replica);
    const TimePoint now = context_.now();
    switch (code) {
    case ResultCode::SnapshotGone:
        query.newerSnapshot = std::max(query.newerSnapshot, item.newestSnapshot);
        break;
    case ResultCode::WrongPartitionMap:
        query.sawNewerMap = query.sawNewerMap || item.mapVersion > query.service->mapVersion;
        break;
    case ResultCode::ConnectFailed:
    case ResultCode::ServerDraining:
        sight.avoidUntil = now + kReplicaAvoidTime;
        break;
    default:
        break;
    }
    // A refusal before the send, or a hedge that found no slot, added no load.
    const bool addsLoad = item.sent;
    Redirect redirect;
    if (code == ResultCode::NotOwner && membership_.isReachable(item.ownerHint))
        redirect = { item.replica, item.ownerHint };
    tryAgain(query, item.shard, code, addsLoad, redirect);
}

void Coordinator::learn(const Query& query, const ExecuteItemResult& item, ResultCode code)
{
    ServiceState& state = stateOf(query);
    views_.onPredicted(item.replica, query.priority, item.predictedWait, context_.now());
    if (code == ResultCode::SnapshotGone && item.newestSnapshot > query.snapshot)
        state.snapshot = std::max(state.snapshot, item.newestSnapshot);
}

void Coordinator::tryAgain(Query& query, uint32_t shard, ResultCode reason, bool addsLoad, const Redirect& redirect)
{
    ShardState& state = query.shards[shard];
    if (state.phase != ShardPhase::Open)
        return;
    state.reason = reason;
    const bool hasLive = std::any_of(state.attempts.begin(), state.attempts.end(), [](const LiveAttempt& a) { return !a.lost; });
    if (hasLive)
        return;
    if (state.sent >= config::kMaxAttemptsPerShard || (addsLoad && !stateOf(query).retries.spend())) {
        giveUp(query, shard, reason);
        return;
    }
    if (sendShard(query, shard, SendReason::Retry, redirect)) {
        ++context_.stats.retries;
        return;
    }
    if (++state.emptyRounds >= kMaxEmptyRounds) {
        giveUp(query, shard, reason);
        return;
    }
    state.tried = 0;
    state.retryAt = context_.now() + kRetryPause * (1 << (state.emptyRounds - 1));
    query.nextReview = std::min(query.nextReview, state.retryAt);
}

bool Coordinator::restartIfMoved(Query& query)
{
    const ServiceConfig* next = config_->findService(query.service->id);
    const bool mapMoved = query.sawNewerMap && next && next->mapVersion > query.service->mapVersion;
    const bool snapshotMoved = query.newerSnapshot > query.snapshot;
    if (!mapMoved && !snapshotMoved)
        return false;
    if (query.restarts >= config::kMaxRestarts || !next)
        return false;
    restart(query, std::max(query.newerSnapshot, query.snapshot));
    return true;
}

void Coordinator::review(Query& query)
{
    const TimePoint now = context_.now();
    if (now >= query.deadline) {
        for (uint32_t shard = 0; shard < query.shards.size(); ++shard) {
            if (query.shards[shard].phase == ShardPhase::Open)
                giveUp(query, shard, query.shards[shard].reason);
        }
        return;
    }
    const Micros delay = hedgeDelay(query);
    const double openShare = static_cast<double>(query.open) / static_cast<double>(query.shards.size());
    const bool mayHedge = query.config->policy.hedging && (openShare <= kHedgeOpenShare || query.open <= 2);
    for (uint32_t shard = 0; shard < query.shards.size(); ++shard) {
        if (query.shards[shard].phase == ShardPhase::Open)
            reviewShard(query, shard, delay, mayHedge);
    }
    query.nextReview = now + kReviewInterval;
}

void Coordinator::reviewShard(Query& query, uint32_t shard, Micros delay, bool mayHedge)
{
    const TimePoint now = context_.now();
    ShardState& state = query.shards[shard];
    uint32_t live = 0;
    bool timedOut = false;
    TimePoint oldest = now;
    for (LiveAttempt& attempt : state.attempts) {
        if (!attempt.lost && now - lastSign(attempt) >= query.config->policy.attemptTimeout) {
            attempt.lost = true;
            timedOut = true;
            views_.onSlow(attempt.replica, std::chrono::duration_cast<Micros>(now - attempt.sentAt), now);
        }
        if (attempt.lost)
            continue;
        ++live;
        oldest = std::min(oldest, attempt.sentAt);
    }
    if (live == 0) {
        if (timedOut || state.retryAt <= now)
            tryAgain(query, shard, timedOut ? ResultCode::AttemptTimeout : state.reason, timedOut);
        return;
    }
    const bool isDue = live == 1 && state.attempts.size() == 1 && now - oldest >= delay;
    if (!mayHedge || !isDue)
        return;
    LoadBudget& budget = stateOf(query).hedges;
    if (budget.tokens() < 1.0 || !pickReplica(query, shard))
        return;
    budget.spend();
    ++context_.stats.hedges;
    sendShard(query, shard, SendReason::Hedge);
}

TimePoint Coordinator::lastSign(const LiveAttempt& attempt) const
{
    // An owner that is heard of keeps its calls' time limits itself; only a silent one is given up.
    if (attempt.owner == context_.self)
        return context_.now();
    const Member* owner = membership_.find(attempt.owner);
    return owner ? std::max(attempt.sentAt, owner->heard) : attempt.sentAt;
}

void Coordinator::giveUp(Query& query, uint32_t shard, ResultCode reason)
{
    ShardState& state = query.shards[shard];
    state.phase = ShardPhase::Missing;
    state.reason = reason;
    closeShard(query);
    cancelAttempts(query, state);
}

void Coordinator::cancelAttempts(const Query& query, ShardState& shard)
{
    for (const LiveAttempt& attempt : shard.attempts) {
        ReplicaSight& sight = views_.at(attempt.replica);
        if (sight.inFlight > 0)
            --sight.inFlight;
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
    record(query, TimelineKind::RequestAnswered, answer.code, answer.shardsCovered, answer.shardsTotal, {});
    context_.actions->push_back(AnswerCaller { query.tag, std::move(answer) });
}

void Coordinator::closeShard(Query& query)
{
    if (--query.open == 0)
        ready_.push_back(query.id.sequence);
}

void Coordinator::finishReady()
{
    std::vector<uint64_t> ready;
    ready.swap(ready_);
    for (const uint64_t sequence : ready) {
        const auto it = queries_.find(sequence);
        // A restart after the last shard closed has opened the query again.
        if (it == queries_.end() || it->second->open > 0)
            continue;
        finish(*it->second);
        queries_.erase(it);
    }
}

void Coordinator::dropReply(RequestId request, const ExecuteItemResult& item, ResultCode code)
{
    // The loser of a hedge reports its cancellation; that is no stray reply.
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
    const Micros seen = stateOf(query).latency.value(kHedgeDelayStart);
    return std::max<Micros>(seen, kHedgeDelayMin);
}

void Coordinator::record(const Query& query, TimelineKind kind, ResultCode code, uint32_t shard, uint32_t attempt, std::string subject)
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
