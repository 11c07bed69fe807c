#include "dispatcher_p.h"

#include "../process/fleet_size.h"
#include "record_merge.h"

#include <fmt/format.h>

namespace limpettrestle {

namespace {

    /// The final answer is sent this long before the caller's time limit.
    constexpr Millis kDeadlineMargin { 15 };
    /// The time reserved for merging and sending is at most the latency target divided by this.
    constexpr int kMaxAnswerDelayDivisor = 4;
    /// Retry-After for requests that another instance may be able to serve immediately.
    constexpr Millis kShortRetryAfter { 20 };
    /// Time that a call may continue after its request has been answered, before it is cancelled.
    constexpr Millis kAbandonedCallGrace { 100 };
    /// Reserve for instances that join: the known number divided by `kJoiningDivisor`, plus `kJoiningMargin`.
    constexpr uint32_t kJoiningDivisor = 10;
    constexpr uint32_t kJoiningMargin = 2;
    /// The repeat budgets keep a further reserve, since restarted processes begin with a full budget.
    constexpr uint32_t kBurstReserveDivisor = 5;
    constexpr double kMinBurst = 1;
    /// Fraction of `repeatSlack` that is divided among the aggregators of a service.
    constexpr double kAggregatorShare = 0.4;
    /// Fraction of the usual burst that other instances keep for direct calls after an aggregator has failed.
    constexpr double kNonAggregatorShare = 0.5;
    /// Latency targets that must fit before a stop when a request may run once at most.
    constexpr int kAtMostOnceTargets = 4;
    /// No decision is added to a trail that is longer than this.
    constexpr size_t kMaxTrailBytes = 600;
    /// Initial mean duration of a call: the latency target divided by this.
    constexpr int kInitialMeanDivisorMerged = 6;
    constexpr int kInitialMeanDivisorForwarded = 4;
    /// Samples after which a route's hedge delay is recalculated: about a second of traffic.
    constexpr int kDurationWindowMerged = 256;
    constexpr int kDurationWindowForwarded = 32;

    /// Minimum limit on the body of a part, and the limit in records as a multiple of those in the merged answer.
    constexpr size_t kMinPartBytes = 64 << 10;
    constexpr size_t kMaxPartRecordsFactor = 64;
    /// Minimum limit on the body of a forwarded reply, and the limit as a multiple of that on the callers' bodies.
    constexpr size_t kMinForwardedBytes = 1 << 20;
    constexpr size_t kForwardedBytesFactor = 4;

    size_t maxReplyBytes(const RouteSpec& route, const IngressLimits& limits)
    {
        if (!route.shards.empty())
            return std::max(kMinPartBytes, route.topRecords * kRecordBytes * kMaxPartRecordsFactor);
        return std::max(kMinForwardedBytes, limits.maxBodyBytes * kForwardedBytesFactor);
    }

    /// Returns how a call ends that is abandoned now.
    CallEnd abandonedCallEnd(const Replica& replica, TimePoint now)
    {
        return replica.health.isUnresponsive(now) ? CallEnd::TimedOut : CallEnd::Cancelled;
    }

} // namespace

Dispatcher::Dispatcher(const DispatcherInit& init)
    : init_(init)
    , clock_(*init.clock)
    , random_(init.seed)
    , relayChoice_(init.instance, init.zone, init.seed)
    , coldLimits_({ init.instance, init.zone, init.coldExcess, init.coldSlack, init.plan })
{
    subset_.instance = init.instance;
    subset_.zone = init.zone;
    setFleetSize(FleetSize::kDefaultSize);
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::setFleetSize(uint32_t instances)
{
    subset_.instances = instances + instances / kJoiningDivisor + kJoiningMargin;
    const uint32_t sharers = subset_.instances + instances / kBurstReserveDivisor;
    const double share = init_.repeatSlack / sharers;
    repeatBurst_ = init_.repeatSlack > 0 ? std::max(kMinBurst, share) : 0;
}

std::vector<ReplicaPtr> Dispatcher::usedReplicas(const std::string& service) const
{
    if (!table_ || table_->homeRegionsOf(service).empty())
        return usedReplicas(service, AllowedZones());
    std::vector<ReplicaPtr> used;
    for (const std::vector<std::string>& homeRegions : table_->homeRegionsOf(service)) {
        for (const ReplicaPtr& replica : usedReplicas(service, AllowedZones(init_.regions, homeRegions))) {
            if (std::find(used.begin(), used.end(), replica) == used.end())
                used.push_back(replica);
        }
    }
    return used;
}

/// Returns the replicas that a request restricted to these zones may use. The subset is formed from the replicas of these
/// zones alone, since that of all replicas need not contain one of them.
std::vector<ReplicaPtr> Dispatcher::usedReplicas(const std::string& service, const AllowedZones& zones) const
{
    const uint32_t maxConnections = table_ ? table_->maxConnections(service) : 0;
    const std::vector<ReplicaPtr>& all = init_.directory->replicasOf(service);
    if (!zones.isRestricted())
        return selectReplicaSubset(all, maxConnections, subsetFor(service), clock_.now());
    std::vector<ReplicaPtr> allowed;
    std::copy_if(all.begin(), all.end(), std::back_inserter(allowed), [&zones](const ReplicaPtr& replica) { return zones.contains(replica->entry.zone); });
    return selectReplicaSubset(allowed, maxConnections, subsetFor(service), clock_.now());
}

double Dispatcher::repeatBurst(const std::string& service) const
{
    const uint32_t aggregators = init_.plan != nullptr ? init_.plan->aggregatorCount(service) : 0;
    if (aggregators == 0 || repeatBurst_ == 0)
        return repeatBurst_;
    const double share = init_.plan->isAggregatorOf(service) ? init_.repeatSlack * kAggregatorShare / aggregators : repeatBurst_ * kNonAggregatorShare;
    return std::max(kMinBurst, share);
}

SubsetRule Dispatcher::subsetFor(const std::string& service) const
{
    SubsetRule rule = subset_;
    const uint32_t sharers = init_.plan != nullptr ? init_.plan->connectionSharerCount(service) : 0;
    if (sharers != 0)
        rule.instances = std::min(rule.instances, sharers);
    return rule;
}

size_t Dispatcher::connectionLimit(const std::string& service) const
{
    return connectionShare(table_ ? table_->maxConnections(service) : 0, subsetFor(service).instances);
}

bool Dispatcher::activateTable(std::shared_ptr<const RouteTable> table)
{
    if (table_ && table->version() <= table_->version())
        return false;
    table_ = std::move(table);
    admission_.setTable(*table_);
    if (init_.plan != nullptr)
        init_.plan->setTable(*table_);
    coldLimits_.setTable(*table_, clock_.now());
    updateColdReplicas();
    return true;
}

void Dispatcher::start(uint64_t request, ForwardedRequest forwarded)
{
    ++stats_.requests;
    if (!table_) {
        reject(request, forwarded, ResultCode::NotReady, kShortRetryAfter);
        return;
    }
    const RouteSpec* route = table_->match(forwarded.host, forwarded.target);
    if (route == nullptr) {
        reject(request, forwarded, ResultCode::UnknownPath, Millis(-1));
        return;
    }
    if (rejectWhileStopping(request, forwarded, *route) || rejectQuarantined(request, forwarded))
        return;
    if (requests_.size() >= init_.maxRequests) {
        reject(request, forwarded, ResultCode::Overloaded, kLongRetryAfter);
        return;
    }
    OpenRequest& openRequest = *(requests_[request] = makeRequest(request, std::move(forwarded), *route));
    // Calls of an isolated instance would fail slowly, some of them after they had been sent.
    if (init_.relays != nullptr && servesBetterElsewhere() && tryRelay(openRequest))
        return;
    launchAllParts(openRequest);
    updateRequest(openRequest);
    processEvents();
}

void Dispatcher::beginStop(TimePoint answerBy)
{
    answerBy_ = answerBy;
    for (const auto& [id, openRequest] : requests_) {
        limitToStop(*openRequest);
        openRequest->nextUpdateAt = std::min(openRequest->nextUpdateAt, openRequest->deadlineAt);
    }
}

/// Refuses a request that could not be processed before the stop. One that may be repeated is worth starting while its
/// latency target fits; any other one needs more time, since its outcome would remain unknown.
bool Dispatcher::rejectWhileStopping(uint64_t request, const ForwardedRequest& forwarded, const RouteSpec& route)
{
    if (answerBy_ == TimePoint::max())
        return false;
    const Millis callerTimeout = forwarded.callerTimeout > Millis::zero() ? std::min(forwarded.callerTimeout, route.timeout) : route.timeout;
    const int targets = route.repeat == RepeatPolicy::Idempotent ? 1 : kAtMostOnceTargets;
    const Millis needed = std::min(callerTimeout, route.latencyTarget * targets);
    if (clock_.now() + needed <= answerBy_)
        return false;
    reject(request, forwarded, ResultCode::ShuttingDown, kShortRetryAfter, fmt::format("stopping:{}", route.name));
    return true;
}

void Dispatcher::limitToStop(OpenRequest& openRequest) const
{
    if (openRequest.deadlineAt <= answerBy_)
        return;
    openRequest.deadlineAt = answerBy_;
    openRequest.softDeadlineAt = std::min(openRequest.softDeadlineAt, answerBy_);
    openRequest.isCutShort = true;
}

/// Returns the code of a request whose deadline has passed without an answer.
ResultCode Dispatcher::overdueCode(const OpenRequest& openRequest)
{
    return openRequest.isCutShort ? ResultCode::ShuttingDown : ResultCode::AttemptTimeout;
}

void Dispatcher::callerDisconnected(uint64_t request)
{
    const auto found = requests_.find(request);
    if (found == requests_.end())
        return;
    ++stats_.callersDisconnected;
    cancelRelay(*found->second);
    releaseCalls(*found->second, true);
    requests_.erase(found);
}

void Dispatcher::callSent(uint64_t id)
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    Call& call = *found->second;
    const TimePoint now = clock_.now();
    if (!call.isSent)
        call.replica->rate.callSent(now);
    call.isSent = true;
    call.sentAt = now;
    ++stats_.callsSent;
    call.replica->health.callSent(id, now, call.expectedDuration);
    const auto owner = requests_.find(call.request);
    if (owner == requests_.end())
        return;
    OpenRequest& openRequest = *owner->second;
    Part& part = openRequest.parts[call.part];
    ++openRequest.callsSent;
    ++part.runs;
    ++part.sentCalls;
    part.nextHedgeAt = now + hedgeDelay(openRequest);
    openRequest.nextUpdateAt = std::min(openRequest.nextUpdateAt, part.nextHedgeAt);
}

void Dispatcher::callAnswered(uint64_t call, ReplicaReply reply)
{
    postEvent({ call, true, std::move(reply), CallFailure::Lost });
}

void Dispatcher::callFailed(uint64_t call, CallFailure failure)
{
    postEvent({ call, false, {}, failure });
}

std::vector<OpenRequestInfo> Dispatcher::openRequestInfos() const
{
    std::vector<OpenRequestInfo> infos;
    for (const auto& [id, openRequest] : requests_)
        infos.push_back({ openRequest->request->requestId, openRequest->route->name, std::chrono::duration_cast<Micros>(clock_.now() - openRequest->receivedAt), openRequest->callsSent });
    return infos;
}

TimePoint Dispatcher::nextTickAt() const
{
    TimePoint next = abandonedCalls_.empty() ? TimePoint::max() : abandonedCalls_.front().first;
    for (const auto& [id, openRequest] : requests_)
        next = std::min(next, openRequest->nextUpdateAt);
    return next;
}

void Dispatcher::tick()
{
    const TimePoint now = clock_.now();
    std::vector<uint64_t> due;
    for (const auto& [id, openRequest] : requests_) {
        if (openRequest->nextUpdateAt <= now)
            due.push_back(id);
    }
    for (const uint64_t id : due) {
        const auto found = requests_.find(id);
        if (found != requests_.end())
            updateRequest(*found->second);
    }
    while (!abandonedCalls_.empty() && abandonedCalls_.front().first <= now) {
        const uint64_t call = abandonedCalls_.front().second;
        abandonedCalls_.pop_front();
        const auto found = calls_.find(call);
        if (found != calls_.end())
            endCall(call, abandonedCallEnd(*found->second->replica, now));
    }
    processEvents();
}

void Dispatcher::postEvent(CallEvent event)
{
    events_.push_back(std::move(event));
    processEvents();
}

void Dispatcher::processEvents()
{
    if (isProcessingEvents_)
        return;
    isProcessingEvents_ = true;
    while (!events_.empty()) {
        CallEvent event = std::move(events_.front());
        events_.pop_front();
        const auto found = calls_.find(event.call);
        if (found == calls_.end())
            continue;
        const std::unique_ptr<Call> call = std::move(found->second);
        calls_.erase(found);
        if (!call->isSent)
            call->replica->rate.callWithdrawn();
        if (event.isReply)
            handleReply(*call, std::move(event.reply));
        else
            handleFailure(*call, event.failure);
        const auto owner = requests_.find(call->request);
        if (owner != requests_.end() && !finishIfDecided(*owner->second) && owner->second->isHeldBack)
            updateRequest(*owner->second);
    }
    isProcessingEvents_ = false;
}

std::unique_ptr<Dispatcher::OpenRequest> Dispatcher::makeRequest(uint64_t request, ForwardedRequest forwarded, const RouteSpec& route)
{
    auto openRequest = std::make_unique<OpenRequest>();
    openRequest->id = request;
    openRequest->table = table_;
    openRequest->route = &route;
    openRequest->routeState = &routeStateOf(route);
    openRequest->receivedAt = clock_.now();
    const Millis callerTimeout = forwarded.callerTimeout > Millis::zero() ? std::min(forwarded.callerTimeout, route.timeout) : route.timeout;
    openRequest->deadlineAt = openRequest->receivedAt + std::max(Millis(1), callerTimeout - kDeadlineMargin);
    const Micros answerDelay = std::min<Micros>(openRequest->routeState->answerDelay.value(Micros(0)), route.latencyTarget / kMaxAnswerDelayDivisor);
    const Micros target = std::max<Micros>(Millis(1), route.latencyTarget - init_.answerMargin - answerDelay - forwarded.transitTime);
    openRequest->softDeadlineAt = std::min<TimePoint>(openRequest->deadlineAt, openRequest->receivedAt + target);
    limitToStop(*openRequest);
    openRequest->nextUpdateAt = openRequest->deadlineAt;
    openRequest->rank = rankOf(*openRequest, forwarded.callerTimeout);
    openRequest->position = Admission::positionOf(forwarded.requestId);
    forwarded.maxReplyBytes = maxReplyBytes(route, table_->limits());
    openRequest->request = std::make_shared<const ForwardedRequest>(std::move(forwarded));
    if (openRequest->isMerged()) {
        openRequest->parts.resize(route.shards.size());
        for (size_t i = 0; i < route.shards.size(); ++i)
            openRequest->parts[i].service = &route.shards[i];
    } else {
        const double offset = std::uniform_real_distribution<>(0, 1)(random_);
        openRequest->parts.resize(1);
        openRequest->parts[0].service = &route.shares[openRequest->routeState->roundRobin.next(route.shares, offset)].service;
    }
    return openRequest;
}

void Dispatcher::reject(uint64_t request, const ForwardedRequest& forwarded, ResultCode code, Millis retryAfter, std::string trail)
{
    RouteAnswer answer;
    answer.code = code;
    answer.status = resultCodeInfo(code).httpStatus;
    answer.retryAfter = retryAfter;
    RequestReport report;
    report.requestId = forwarded.requestId;
    report.configVersion = table_ ? table_->version() : 0;
    report.code = code;
    report.status = answer.status;
    report.callerTimeout = forwarded.callerTimeout;
    report.trail = std::move(trail);
    init_.answers->answer(request, std::move(answer), report);
}

Dispatcher::RouteState& Dispatcher::routeStateOf(const RouteSpec& route)
{
    auto& state = routeStates_[route.name];
    if (!state) {
        const bool isMerged = !route.shards.empty();
        const Micros meanDuration = std::chrono::duration_cast<Micros>(route.latencyTarget) / (isMerged ? kInitialMeanDivisorMerged : kInitialMeanDivisorForwarded);
        state = std::make_unique<RouteState>(meanDuration, isMerged ? kDurationWindowMerged : kDurationWindowForwarded);
    }
    return *state;
}

LoadBudget& Dispatcher::repeatBudgetOf(const std::string& service)
{
    const auto found = repeatBudgets_.find(service);
    if (found != repeatBudgets_.end())
        return found->second;
    return repeatBudgets_.emplace(service, LoadBudget(repeatBurst(service))).first->second;
}

void Dispatcher::updateRequest(OpenRequest& openRequest)
{
    if (finishIfDecided(openRequest))
        return;
    const TimePoint now = clock_.now();
    openRequest.nextUpdateAt = openRequest.deadlineAt;
    if (openRequest.relay != 0)
        return;
    if (openRequest.isMerged() && openRequest.softDeadlineAt > now)
        openRequest.nextUpdateAt = std::min(openRequest.nextUpdateAt, openRequest.softDeadlineAt);
    updateGroups(openRequest);
    updateHeldBack(openRequest);
    for (size_t i = 0; i < openRequest.parts.size(); ++i)
        updatePart(openRequest, i);
    finishIfDecided(openRequest);
}

bool Dispatcher::finishIfDecided(OpenRequest& openRequest)
{
    if (openRequest.relay != 0) {
        const bool isOverdue = clock_.now() >= openRequest.deadlineAt;
        if (isOverdue)
            answerFailure(openRequest, overdueCode(openRequest));
        return isOverdue;
    }
    return openRequest.isMerged() ? finishMerged(openRequest) : finishForwarded(openRequest);
}

bool Dispatcher::finishMerged(OpenRequest& openRequest)
{
    const uint32_t required = openRequest.requiredParts();
    const uint32_t done = openRequest.done;
    const uint32_t pending = openRequest.pending();
    const TimePoint now = clock_.now();
    if (done + pending < required) {
        answerFailure(openRequest, coverageFailure(openRequest));
        return true;
    }
    if (done >= required && (pending == 0 || now >= openRequest.softDeadlineAt)) {
        RouteState& state = *openRequest.routeState;
        const TimePoint dueAt = openRequest.softDeadlineAt;
        answerMerged(openRequest);
        if (now >= dueAt)
            state.answerDelay.add(std::chrono::duration_cast<Micros>(clock_.now() - dueAt));
        return true;
    }
    if (now >= openRequest.deadlineAt) {
        answerFailure(openRequest, overdueCode(openRequest));
        return true;
    }
    return false;
}

bool Dispatcher::finishForwarded(OpenRequest& openRequest)
{
    Part& part = openRequest.parts[0];
    if (part.state == PartState::Done || (part.state == PartState::Missing && part.hasFailureReply)) {
        RouteAnswer answer;
        answer.code = part.state == PartState::Done ? ResultCode::Ok : part.reason;
        answer.status = part.reply.status;
        answer.isReplicaReply = true;
        answer.headers = std::move(part.reply.headers);
        answer.body = std::move(part.reply.body);
        finish(openRequest, std::move(answer));
        return true;
    }
    if (part.state == PartState::Missing) {
        answerFailure(openRequest, part.reason);
        return true;
    }
    if (clock_.now() >= openRequest.deadlineAt) {
        answerFailure(openRequest, overdueCode(openRequest));
        return true;
    }
    return false;
}

void Dispatcher::answerMerged(OpenRequest& openRequest)
{
    RouteAnswer answer;
    answer.status = 200;
    answer.isMerged = true;
    std::vector<std::string_view> bodies;
    for (const Part& part : openRequest.parts) {
        if (part.state == PartState::Done) {
            bodies.push_back(part.reply.body);
            answer.partSignatures.push_back(part.reply.signature);
            continue;
        }
        const ResultCode reason = part.state == PartState::Missing ? part.reason : ResultCode::AttemptTimeout;
        answer.missing.push_back({ *part.service, reason, part.runs, part.sentCalls });
    }
    answer.code = answer.missing.empty() ? ResultCode::Ok : ResultCode::PartialCoverage;
    stats_.partsMissing += answer.missing.size();
    answer.body = mergeRecords(bodies, openRequest.route->topRecords);
    finish(openRequest, std::move(answer));
}

void Dispatcher::answerFailure(OpenRequest& openRequest, ResultCode code)
{
    noteBlockedFailure(openRequest);
    const bool isQuarantined = code == ResultCode::RequestQuarantined;
    if (!isQuarantineCode(code) && openRequest.relayTargets.empty() && mayRelay(openRequest) && tryRelay(openRequest))
        return;
    const bool mayHaveRun = openRequest.relay != 0 || openRequest.mayHaveRunElsewhere
        || std::any_of(openRequest.parts.begin(), openRequest.parts.end(), [](const Part& part) { return part.runs > 0 || part.group != 0; });
    if (mayHaveRun && code == ResultCode::ShuttingDown)
        code = ResultCode::AttemptTimeout;
    RouteAnswer answer;
    answer.code = code;
    answer.retryAfter = isQuarantined ? Millis(-1) : retryAfterFailure(openRequest);
    if (code == ResultCode::PredictedWaitExceedsDeadline)
        answer.retryAfter = std::max(answer.retryAfter, noteRefusal(openRequest));
    if (!mayHaveRun) {
        answer.status = isQuarantined ? resultCodeInfo(code).httpStatus : 503;
    } else {
        answer.status = code == ResultCode::AttemptTimeout ? 504 : 502;
        if (openRequest.route->repeat == RepeatPolicy::AtMostOnce) {
            answer.code = ResultCode::OutcomeUnknown;
            answer.retryAfter = Millis(-1);
        }
    }
    if (openRequest.isMerged()) {
        for (const Part& part : openRequest.parts) {
            if (part.state != PartState::Done)
                answer.missing.push_back({ *part.service, part.state == PartState::Missing ? part.reason : ResultCode::AttemptTimeout, part.runs, part.sentCalls });
        }
    }
    finish(openRequest, std::move(answer));
}

void Dispatcher::finish(OpenRequest& openRequest, RouteAnswer answer)
{
    RequestReport report;
    report.requestId = openRequest.request->requestId;
    report.route = openRequest.route->name;
    report.configVersion = openRequest.table->version();
    report.code = answer.code;
    report.status = answer.status;
    report.duration = std::chrono::duration_cast<Micros>(clock_.now() - openRequest.receivedAt);
    report.callerTimeout = openRequest.request->callerTimeout;
    report.isMerged = openRequest.isMerged();
    report.isGroup = openRequest.isGroup;
    report.isLate = report.duration + openRequest.request->transitTime > openRequest.route->latencyTarget;
    report.parts = static_cast<uint32_t>(openRequest.parts.size());
    report.coveredParts = openRequest.done;
    report.callsSent = openRequest.callsSent;
    report.repeats = openRequest.repeats;
    for (const MissingPart& missing : answer.missing)
        addToTrail(openRequest, resultCodeInfo(missing.reason).name, missing.service, nullptr);
    report.trail = std::move(openRequest.trail);
    if (openRequest.isGroup) {
        addAnnouncements(openRequest, answer);
        addAdmittedFractions(openRequest, answer);
    }
    const uint64_t id = openRequest.id;
    cancelRelay(openRequest);
    releaseCalls(openRequest, false);
    requests_.erase(id);
    init_.answers->answer(id, std::move(answer), report);
}

void Dispatcher::releaseCalls(OpenRequest& openRequest, bool isDisconnected)
{
    const TimePoint now = clock_.now();
    releaseGroups(openRequest, isDisconnected);
    for (Part& part : openRequest.parts) {
        for (const uint64_t id : part.calls) {
            const auto found = calls_.find(id);
            if (found == calls_.end())
                continue;
            if (isDisconnected || !found->second->isSent || now >= openRequest.deadlineAt)
                endCall(id, isDisconnected ? CallEnd::Cancelled : abandonedCallEnd(*found->second->replica, now));
            else
                abandonedCalls_.emplace_back(now + kAbandonedCallGrace, id);
        }
        part.calls.clear();
    }
}

void Dispatcher::endCall(uint64_t id, CallEnd end)
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    const std::unique_ptr<Call> call = std::move(found->second);
    calls_.erase(found);
    if (!call->isSent)
        call->replica->rate.callWithdrawn();
    call->replica->health.callEnded(id, clock_.now(), end);
    init_.transport->cancelCall(id);
}

void Dispatcher::addToTrail(OpenRequest& openRequest, std::string_view trailWord, const std::string& service, const Replica* replica)
{
    if (openRequest.trail.size() > kMaxTrailBytes)
        return;
    const auto at = std::chrono::duration_cast<Millis>(clock_.now() - openRequest.receivedAt).count();
    fmt::format_to(std::back_inserter(openRequest.trail), "{}{}ms:{}:{}", openRequest.trail.empty() ? "" : ";", at, trailWord, service);
    if (replica != nullptr)
        fmt::format_to(std::back_inserter(openRequest.trail), ":{}", replica->entry.id);
}

} // namespace limpettrestle
