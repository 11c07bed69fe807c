#include "dispatcher_p.h"

#include "../process/fleet_size.h"
#include "record_merge.h"

#include <fmt/format.h>

namespace limpettrestle {

namespace {

    /// The final answer leaves this long before the caller's patience ends.
    constexpr Millis kDeadlineMargin { 15 };
    /// Share of the objective that is kept free for merging and sending at most.
    constexpr int kMaxAnsweringShare = 4;
    /// Pause asked of a caller whose request another instance may serve at once.
    constexpr Millis kRetrySoon { 20 };
    /// Pause asked when replicas are full or out of reach; repeats pay off once their queues have turned over.
    constexpr Millis kRetryLater { 100 };
    /// A call whose request is answered may still end by itself for so long.
    constexpr Millis kAbandonGrace { 100 };
    /// Instances that may join at any moment: a share of those known, and a number.
    constexpr uint32_t kJoiningShare = 10;
    constexpr uint32_t kJoining = 2;
    /// A further share is kept from the budgets, since processes that start anew begin with a full one.
    constexpr uint32_t kBurstReserveShare = 5;
    constexpr double kLeastBurst = 1;
    /// Share of the saved-up repeats that the instances have which gather a service for all others, and the
    /// share that the others keep for calls where these have failed.
    constexpr double kAggregatorShare = 0.4;
    constexpr double kOthersShare = 0.5;
    /// Trail of decisions in a report, bytes at most.
    constexpr size_t kMaxTrail = 600;
    /// Share of the objective taken as the usual time of a call before any is known.
    constexpr int kFirstMeanMerged = 6;
    constexpr int kFirstMeanForwarded = 4;
    /// Samples after which a route's repeat delay is renewed: about a second of traffic.
    constexpr int kWindowMerged = 256;
    constexpr int kWindowForwarded = 32;

    /// How a call to the replica ends that is given up now.
    CallEnd silenceOf(const Replica& replica, TimePoint now)
    {
        return replica.health.isUnresponsive(now) ? CallEnd::TimedOut : CallEnd::Cancelled;
    }

} // namespace

Dispatcher::Dispatcher(const DispatcherInit& init)
    : init_(init)
    , clock_(*init.clock)
    , random_(init.seed)
{
    subset_.instance = init.instance;
    subset_.zone = init.zone;
    setFleetSize(FleetSize::kDefaultSize);
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::setFleetSize(uint32_t instances)
{
    subset_.instances = instances + instances / kJoiningShare + kJoining;
    const uint32_t sharers = subset_.instances + instances / kBurstReserveShare;
    const double share = init_.repeatSlack / sharers;
    repeatBurst_ = init_.repeatSlack > 0 ? std::max(kLeastBurst, share) : 0;
}

std::vector<ReplicaPtr> Dispatcher::usedReplicas(const std::string& service) const
{
    return limpettrestle::selectReplicaSubset(init_.directory->replicasOf(service), table_ ? table_->maxConnections(service) : 0, subsetFor(service));
}

double Dispatcher::repeatBurst(const std::string& service) const
{
    const uint32_t aggregators = init_.plan != nullptr ? init_.plan->aggregatorsOf(service) : 0;
    if (aggregators == 0 || repeatBurst_ == 0)
        return repeatBurst_;
    const double share = init_.plan->aggregates(service) ? init_.repeatSlack * kAggregatorShare / aggregators : repeatBurst_ * kOthersShare;
    return std::max(kLeastBurst, share);
}

SubsetRule Dispatcher::subsetFor(const std::string& service) const
{
    SubsetRule rule = subset_;
    const uint32_t sharers = init_.plan != nullptr ? init_.plan->sharersOf(service) : 0;
    if (sharers != 0)
        rule.instances = std::min(rule.instances, sharers);
    return rule;
}

size_t Dispatcher::connectionLimit(const std::string& service) const
{
    return connectionShare(table_ ? table_->maxConnections(service) : 0, subsetFor(service).instances);
}

bool Dispatcher::useTable(std::shared_ptr<const RouteTable> table)
{
    if (table_ && table->version() <= table_->version())
        return false;
    table_ = std::move(table);
    if (init_.plan != nullptr)
        init_.plan->setTable(*table_);
    return true;
}

void Dispatcher::start(uint64_t request, ForwardedRequest forwarded)
{
    ++stats_.requests;
    if (!table_) {
        reject(request, forwarded, ResultCode::NotReady, kRetrySoon);
        return;
    }
    const RouteSpec* route = table_->match(forwarded.host, forwarded.target);
    if (route == nullptr) {
        reject(request, forwarded, ResultCode::UnknownPath, Millis(-1));
        return;
    }
    if (requests_.size() >= init_.maxRequests) {
        reject(request, forwarded, ResultCode::Overloaded, kRetryLater);
        return;
    }
    OpenRequest& open = *(requests_[request] = makeRequest(request, std::move(forwarded), *route));
    launchAll(open);
    check(open);
    drainEvents();
}

void Dispatcher::callerLeft(uint64_t request)
{
    const auto found = requests_.find(request);
    if (found == requests_.end())
        return;
    ++stats_.callersLeft;
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
    call.isSent = true;
    call.sentAt = now;
    ++stats_.callsSent;
    call.replica->health.callSent(id, now, call.expected);
    const auto owner = requests_.find(call.request);
    if (owner == requests_.end())
        return;
    OpenRequest& open = *owner->second;
    Part& part = open.parts[call.part];
    ++open.callsSent;
    ++part.runs;
    ++part.arrivals;
    part.repeatAt = now + repeatDelay(open);
    open.nextCheckAt = std::min(open.nextCheckAt, part.repeatAt);
}

void Dispatcher::callAnswered(uint64_t call, ReplicaReply reply)
{
    postEvent({ call, true, std::move(reply), CallFailure::Lost });
}

void Dispatcher::callFailed(uint64_t call, CallFailure failure)
{
    postEvent({ call, false, {}, failure });
}

TimePoint Dispatcher::nextTickAt() const
{
    TimePoint next = abandoned_.empty() ? TimePoint::max() : abandoned_.front().first;
    for (const auto& [id, open] : requests_)
        next = std::min(next, open->nextCheckAt);
    return next;
}

void Dispatcher::tick()
{
    const TimePoint now = clock_.now();
    std::vector<uint64_t> due;
    for (const auto& [id, open] : requests_) {
        if (open->nextCheckAt <= now)
            due.push_back(id);
    }
    for (const uint64_t id : due) {
        const auto found = requests_.find(id);
        if (found != requests_.end())
            check(*found->second);
    }
    while (!abandoned_.empty() && abandoned_.front().first <= now) {
        const uint64_t call = abandoned_.front().second;
        abandoned_.pop_front();
        const auto found = calls_.find(call);
        if (found != calls_.end())
            endCall(call, silenceOf(*found->second->replica, now));
    }
    drainEvents();
}

void Dispatcher::postEvent(CallEvent event)
{
    events_.push_back(std::move(event));
    drainEvents();
}

void Dispatcher::drainEvents()
{
    if (isDraining_)
        return;
    isDraining_ = true;
    while (!events_.empty()) {
        CallEvent event = std::move(events_.front());
        events_.pop_front();
        const auto found = calls_.find(event.call);
        if (found == calls_.end())
            continue;
        const std::unique_ptr<Call> call = std::move(found->second);
        calls_.erase(found);
        if (event.isReply)
            handleReply(*call, std::move(event.reply));
        else
            handleFailure(*call, event.failure);
        const auto owner = requests_.find(call->request);
        if (owner != requests_.end())
            finishIfDecided(*owner->second);
    }
    isDraining_ = false;
}

std::unique_ptr<Dispatcher::OpenRequest> Dispatcher::makeRequest(uint64_t request, ForwardedRequest forwarded, const RouteSpec& route)
{
    auto open = std::make_unique<OpenRequest>();
    open->id = request;
    open->table = table_;
    open->route = &route;
    open->state = &stateOf(route);
    open->receivedAt = clock_.now();
    const Millis patience = forwarded.patience > Millis::zero() ? std::min(forwarded.patience, route.timeout) : route.timeout;
    open->deadlineAt = open->receivedAt + std::max(Millis(1), patience - kDeadlineMargin);
    const Micros answering = std::min<Micros>(open->state->answering.value(Micros(0)), route.latencyTarget / kMaxAnsweringShare);
    const Micros target = std::max<Micros>(Millis(1), route.latencyTarget - init_.answerMargin - answering - forwarded.transit);
    open->targetAt = std::min<TimePoint>(open->deadlineAt, open->receivedAt + target);
    open->nextCheckAt = open->deadlineAt;
    open->request = std::make_shared<const ForwardedRequest>(std::move(forwarded));
    if (open->isMerged()) {
        open->parts.resize(route.shards.size());
        for (size_t i = 0; i < route.shards.size(); ++i)
            open->parts[i].service = &route.shards[i];
    } else {
        const double offset = std::uniform_real_distribution<>(0, 1)(random_);
        open->parts.resize(1);
        open->parts[0].service = &route.shares[open->state->shares.next(route.shares, offset)].service;
    }
    return open;
}

void Dispatcher::reject(uint64_t request, const ForwardedRequest& forwarded, ResultCode code, Millis retryAfter)
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
    report.patience = forwarded.patience;
    init_.answers->answer(request, std::move(answer), report);
}

Dispatcher::RouteState& Dispatcher::stateOf(const RouteSpec& route)
{
    auto& state = routeStates_[route.name];
    if (!state) {
        const bool isMerged = !route.shards.empty();
        const Micros mean = std::chrono::duration_cast<Micros>(route.latencyTarget) / (isMerged ? kFirstMeanMerged : kFirstMeanForwarded);
        state = std::make_unique<RouteState>(mean, isMerged ? kWindowMerged : kWindowForwarded);
    }
    return *state;
}

LoadBudget& Dispatcher::budgetOf(const std::string& service)
{
    const auto found = budgets_.find(service);
    if (found != budgets_.end())
        return found->second;
    return budgets_.emplace(service, LoadBudget(repeatBurst(service))).first->second;
}

void Dispatcher::check(OpenRequest& open)
{
    if (finishIfDecided(open))
        return;
    const TimePoint now = clock_.now();
    open.nextCheckAt = open.deadlineAt;
    if (open.isMerged() && open.targetAt > now)
        open.nextCheckAt = std::min(open.nextCheckAt, open.targetAt);
    checkGroups(open);
    for (size_t i = 0; i < open.parts.size(); ++i)
        checkPart(open, i);
    finishIfDecided(open);
}

bool Dispatcher::finishIfDecided(OpenRequest& open)
{
    return open.isMerged() ? finishMerged(open) : finishForwarded(open);
}

bool Dispatcher::finishMerged(OpenRequest& open)
{
    const uint32_t least = open.leastParts();
    const uint32_t done = open.done;
    const uint32_t pending = open.pending();
    const TimePoint now = clock_.now();
    if (done + pending < least) {
        answerFailure(open, ResultCode::CoverageBelowMinimum);
        return true;
    }
    if (done >= least && (pending == 0 || now >= open.targetAt)) {
        RouteState& state = *open.state;
        const TimePoint dueAt = open.targetAt;
        answerMerged(open);
        if (now >= dueAt)
            state.answering.add(std::chrono::duration_cast<Micros>(clock_.now() - dueAt));
        return true;
    }
    if (now >= open.deadlineAt) {
        answerFailure(open, ResultCode::AttemptTimeout);
        return true;
    }
    return false;
}

bool Dispatcher::finishForwarded(OpenRequest& open)
{
    Part& part = open.parts[0];
    if (part.state == PartState::Done || (part.state == PartState::Missing && part.hasFailureReply)) {
        RouteAnswer answer;
        answer.code = part.state == PartState::Done ? ResultCode::Ok : part.reason;
        answer.status = part.reply.status;
        answer.isReplicaReply = true;
        answer.headers = std::move(part.reply.headers);
        answer.body = std::move(part.reply.body);
        finish(open, std::move(answer));
        return true;
    }
    if (part.state == PartState::Missing) {
        answerFailure(open, part.reason);
        return true;
    }
    if (clock_.now() >= open.deadlineAt) {
        answerFailure(open, ResultCode::AttemptTimeout);
        return true;
    }
    return false;
}

void Dispatcher::answerMerged(OpenRequest& open)
{
    RouteAnswer answer;
    answer.status = 200;
    answer.isMerged = true;
    std::vector<std::string_view> bodies;
    for (const Part& part : open.parts) {
        if (part.state == PartState::Done) {
            bodies.push_back(part.reply.body);
            answer.partSignatures.push_back(part.reply.signature);
            continue;
        }
        const ResultCode reason = part.state == PartState::Missing ? part.reason : ResultCode::AttemptTimeout;
        answer.missing.push_back({ *part.service, reason, part.runs });
    }
    answer.code = answer.missing.empty() ? ResultCode::Ok : ResultCode::PartialCoverage;
    stats_.partsMissing += answer.missing.size();
    answer.body = mergeRecords(bodies, open.route->topRecords);
    finish(open, std::move(answer));
}

void Dispatcher::answerFailure(OpenRequest& open, ResultCode code)
{
    const bool mayHaveRun = std::any_of(open.parts.begin(), open.parts.end(), [](const Part& part) { return part.runs > 0 || part.group != 0; });
    RouteAnswer answer;
    answer.code = code;
    answer.retryAfter = kRetryLater;
    if (!mayHaveRun) {
        answer.status = 503;
    } else {
        answer.status = code == ResultCode::AttemptTimeout ? 504 : 502;
        if (open.route->repeat == RepeatPolicy::AtMostOnce) {
            answer.code = ResultCode::OutcomeUnknown;
            answer.retryAfter = Millis(-1);
        }
    }
    if (open.isMerged()) {
        for (const Part& part : open.parts) {
            if (part.state != PartState::Done)
                answer.missing.push_back({ *part.service, part.state == PartState::Missing ? part.reason : ResultCode::AttemptTimeout, part.runs });
        }
    }
    finish(open, std::move(answer));
}

void Dispatcher::finish(OpenRequest& open, RouteAnswer answer)
{
    RequestReport report;
    report.requestId = open.request->requestId;
    report.route = open.route->name;
    report.configVersion = open.table->version();
    report.code = answer.code;
    report.status = answer.status;
    report.taken = std::chrono::duration_cast<Micros>(clock_.now() - open.receivedAt);
    report.patience = open.request->patience;
    report.isMerged = open.isMerged();
    report.isGroup = open.isGroup;
    report.isLate = report.taken + open.request->transit > open.route->latencyTarget;
    report.parts = static_cast<uint32_t>(open.parts.size());
    report.covered = open.done;
    report.callsSent = open.callsSent;
    report.repeats = open.repeats;
    for (const MissingPart& missing : answer.missing)
        note(open, resultCodeInfo(missing.reason).name, missing.service, nullptr);
    report.trail = std::move(open.trail);
    const uint64_t id = open.id;
    releaseCalls(open, false);
    requests_.erase(id);
    init_.answers->answer(id, std::move(answer), report);
}

void Dispatcher::releaseCalls(OpenRequest& open, bool callerLeft)
{
    const TimePoint now = clock_.now();
    releaseGroups(open, callerLeft);
    for (Part& part : open.parts) {
        for (const uint64_t id : part.calls) {
            const auto found = calls_.find(id);
            if (found == calls_.end())
                continue;
            if (callerLeft || !found->second->isSent || now >= open.deadlineAt)
                endCall(id, callerLeft ? CallEnd::Cancelled : silenceOf(*found->second->replica, now));
            else
                abandoned_.emplace_back(now + kAbandonGrace, id);
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
    call->replica->health.callEnded(id, clock_.now(), end);
    init_.transport->cancelCall(id);
}

void Dispatcher::note(OpenRequest& open, std::string_view what, const std::string& service, const Replica* replica)
{
    if (open.trail.size() > kMaxTrail)
        return;
    const auto at = std::chrono::duration_cast<Millis>(clock_.now() - open.receivedAt).count();
    fmt::format_to(std::back_inserter(open.trail), "{}{}ms:{}:{}", open.trail.empty() ? "" : ";", at, what, service);
    if (replica != nullptr)
        fmt::format_to(std::back_inserter(open.trail), ":{}", replica->entry.id);
}

} // namespace limpettrestle
