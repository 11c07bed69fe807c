#include "submissions.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    constexpr Millis kRetryPause { 15 };
    constexpr uint32_t kMaxFailedRounds = 4;
    constexpr Millis kAnswerMargin { 10 };

} // namespace

Submissions::Submissions(const Links& links)
    : context_(links.context)
    , sender_(links.sender)
    , membership_(links.membership)
    , ownership_(links.ownership)
    , drains_(links.drains)
{
}

void Submissions::onConfig(FleetConfigPtr config)
{
    config_ = std::move(config);
}

void Submissions::onPermitRequest(CallerTag tag, RequestId id, const PermitRequest& request)
{
    const ReplyTarget reply { tag, {}, id };
    ResultCode code = ResultCode::Ok;
    if (!validate(request.service, request.key, code)) {
        answer(reply, Outcome::Refused, code, {}, Millis(0));
        return;
    }
    const PermitRecord* record = issuePermit(request.service, request.key);
    if (!record) {
        answer(reply, Outcome::Refused, ResultCode::Overloaded, {}, Millis(1000));
        return;
    }
    Answer result;
    result.request = id;
    result.outcome = Outcome::Done;
    result.permit = record->permit;
    result.permitExpiry = context_.clock.wallNow() + config::kPermitLifetime;
    result.configVersion = config_->stamp.version;
    context_.actions->push_back(AnswerCaller { tag, std::move(result) });
}

void Submissions::onSubmit(CallerTag tag, RequestId id, const SubmitRequest& request)
{
    const ReplyTarget reply { tag, {}, id };
    ResultCode code = ResultCode::Ok;
    const bool isIssuedElsewhere = request.permit.isValid() && request.permit.issuer != context_.self;
    if (!isIssuedElsewhere) {
        submitLocally(reply, request);
        return;
    }
    if (!validate(request.service, request.key, code)) {
        answer(reply, Outcome::Unknown, code, {}, Millis(0));
        return;
    }
    const Member* issuer = membership_.find(request.permit.issuer);
    const bool isSameIncarnation = issuer && (issuer->info.incarnation == request.permit.incarnation || !issuer->info.incarnation.isValid());
    if (!isSameIncarnation || !membership_.isReachable(request.permit.issuer)) {
        answer(reply, Outcome::Unknown, ResultCode::IssuerUnreachable, {}, Millis(0));
        return;
    }
    SubmitForward forward;
    forward.request = id;
    forward.permit = request.permit;
    forward.service = request.service;
    forward.key = request.key;
    forward.body = request.body;
    forward.budget = request.deadline - std::min(kAnswerMargin, request.deadline / 10);
    forwards_.emplace(id.sequence, ForwardedSubmission { tag, request.permit.issuer, context_.now() + forward.budget });
    sender_.sendPeer(request.permit.issuer, std::move(forward));
}

void Submissions::onForward(InstanceId from, const SubmitForward& forward)
{
    SubmitRequest request;
    request.service = forward.service;
    request.key = forward.key;
    request.body = forward.body;
    request.deadline = std::chrono::duration_cast<Millis>(forward.budget);
    request.permit = forward.permit;
    submitLocally({ {}, from, forward.request }, request);
}

void Submissions::onOutcome(InstanceId from, const SubmitOutcome& outcome)
{
    const auto it = forwards_.find(outcome.request.sequence);
    if (outcome.request.issuer != context_.incarnation || it == forwards_.end() || it->second.issuer != from) {
        ++context_.stats.repliesDropped;
        return;
    }
    const ReplyTarget reply { it->second.tag, {}, outcome.request };
    forwards_.erase(it);
    answer(reply, outcome.outcome, outcome.code, outcome.body, outcome.retryAfter);
}

void Submissions::onSlotReply(InstanceId from, const SlotReply& reply)
{
    const auto it = reply.request.issuer == context_.incarnation ? runs_.find(reply.request.sequence) : runs_.end();
    const bool isAwaited = it != runs_.end() && it->second.unsent && it->second.slotOwner == from && it->second.replica == reply.replica;
    if (!isAwaited) {
        if (reply.code == ResultCode::Ok)
            sender_.sendPeer(from, SlotRelease { reply.request, reply.replica });
        return;
    }
    Run& run = it->second;
    run.slotOwner = {};
    if (reply.code == ResultCode::Ok) {
        run.slotOwner = from;
        sendRun(run);
        return;
    }
    run.lastRefusal = reply.code;
    run.predictedWait = std::max(run.predictedWait, reply.predictedWait);
    requestSlot(run);
}

bool Submissions::onBackendReplied(BackendCallId call, const BackendReply& reply)
{
    uint64_t sequence = 0;
    Run* run = findRun(call, sequence);
    if (!run)
        return false;
    const AttemptId expected { run->reply.id, 1 };
    const bool isDone = reply.code == ResultCode::Ok && reply.attempt == expected && reply.shard == run->shard && reply.body;
    endRun(sequence, isDone ? std::move(*run->sent).done(*reply.body) : std::move(*run->sent).unknown());
    return true;
}

bool Submissions::onBackendFailed(BackendCallId call, bool)
{
    uint64_t sequence = 0;
    Run* run = findRun(call, sequence);
    if (!run)
        return false;
    endRun(sequence, std::move(*run->sent).unknown());
    return true;
}

void Submissions::onPeerFailed(InstanceId peer)
{
    std::vector<uint64_t> lostForwards;
    for (const auto& [sequence, forward] : forwards_) {
        if (forward.issuer == peer)
            lostForwards.push_back(sequence);
    }
    for (const uint64_t sequence : lostForwards) {
        const ReplyTarget reply { forwards_.at(sequence).tag, {}, { context_.incarnation, sequence } };
        forwards_.erase(sequence);
        answer(reply, Outcome::Unknown, ResultCode::OutcomeUnknown, {}, Millis(0));
    }
    for (auto& [sequence, run] : runs_) {
        if (!run.unsent || run.slotOwner != peer)
            continue;
        run.slotOwner = {};
        scheduleSlotRetry(run);
    }
}

void Submissions::onLateWake()
{
    std::vector<uint64_t> waitingForSlot;
    for (const auto& [sequence, run] : runs_) {
        if (run.unsent)
            waitingForSlot.push_back(sequence);
    }
    for (const uint64_t sequence : waitingForSlot)
        refuseRun(sequence, ResultCode::StaleMessage);
    for (auto& [nonce, record] : permits_) {
        if (record.state == PermitState::Issued)
            record.expiry = context_.now();
    }
}

void Submissions::tick()
{
    const TimePoint now = context_.now();
    std::vector<uint64_t> expired;
    for (auto& [sequence, run] : runs_) {
        if (now >= run.deadline)
            expired.push_back(sequence);
        else if (run.unsent && !run.slotOwner.isValid() && now >= run.retryAt)
            requestSlot(run);
    }
    for (const uint64_t sequence : expired) {
        Run& run = runs_.at(sequence);
        if (run.unsent)
            refuseRun(sequence, run.lastRefusal);
        else
            endRun(sequence, std::move(*run.sent).unknown());
    }
    std::vector<uint64_t> withoutSlot;
    for (auto& [sequence, run] : runs_) {
        if (run.unsent && run.failedRounds >= kMaxFailedRounds)
            withoutSlot.push_back(sequence);
    }
    for (const uint64_t sequence : withoutSlot)
        refuseRun(sequence, runs_.at(sequence).lastRefusal);
    std::vector<uint64_t> expiredForwards;
    for (const auto& [sequence, forward] : forwards_) {
        if (now >= forward.deadline)
            expiredForwards.push_back(sequence);
    }
    for (const uint64_t sequence : expiredForwards) {
        const ReplyTarget reply { forwards_.at(sequence).tag, {}, { context_.incarnation, sequence } };
        forwards_.erase(sequence);
        answer(reply, Outcome::Unknown, ResultCode::OutcomeUnknown, {}, Millis(0));
    }
    expirePermits();
}

const ServiceConfig* Submissions::validate(const std::string& service, const std::string& key, ResultCode& code) const
{
    if (!config_) {
        code = ResultCode::NotReady;
        return nullptr;
    }
    if (key.empty()) {
        code = ResultCode::MissingField;
        return nullptr;
    }
    const ServiceConfig* found = config_->findService(idFromName<ServiceId>(service));
    if (!found)
        code = ResultCode::UnknownService;
    return found;
}

Submissions::PermitRecord* Submissions::issuePermit(const std::string& service, const std::string& key)
{
    if (permits_.size() >= config::kMaxPermits)
        return nullptr;
    PermitRecord record;
    record.permit = { context_.self, context_.incarnation, context_.random(), context_.random() };
    record.service = service;
    record.key = key;
    record.expiry = context_.now() + config::kPermitLifetime;
    ++context_.stats.permitsIssued;
    TimelineEvent event;
    event.kind = TimelineKind::PermitIssued;
    event.subject = key;
    context_.record(std::move(event));
    const uint64_t nonce = record.permit.nonceHigh;
    return &permits_.emplace(nonce, std::move(record)).first->second;
}

void Submissions::submitLocally(const ReplyTarget& reply, const SubmitRequest& request)
{
    if (!request.permit.isValid()) {
        ResultCode code = ResultCode::Ok;
        PermitRecord* record = validate(request.service, request.key, code) ? issuePermit(request.service, request.key) : nullptr;
        if (record)
            startRun(reply, request, *record);
        else
            answer(reply, Outcome::Refused, code == ResultCode::Ok ? ResultCode::Overloaded : code, {}, Millis(0));
        return;
    }
    const auto it = permits_.find(request.permit.nonceHigh);
    if (it == permits_.end() || it->second.permit != request.permit) {
        answer(reply, Outcome::Unknown, ResultCode::PermitUnknown, {}, Millis(0));
        return;
    }
    PermitRecord& record = it->second;
    if (record.service != request.service || record.key != request.key) {
        answer(reply, Outcome::Refused, ResultCode::PermitMismatch, {}, Millis(0));
        return;
    }
    if (record.state == PermitState::Running) {
        answer(reply, Outcome::Unknown, ResultCode::StillRunning, {}, Millis(100));
        return;
    }
    if (record.state == PermitState::Ended) {
        answer(reply, record.outcome, record.code, record.body, Millis(0));
        return;
    }
    if (context_.now() >= record.expiry) {
        answer(reply, Outcome::Refused, ResultCode::PermitExpired, {}, Millis(0));
        return;
    }
    startRun(reply, request, record);
}

void Submissions::startRun(const ReplyTarget& reply, const SubmitRequest& request, PermitRecord& record)
{
    const ServiceConfig* service = config_ ? config_->findService(idFromName<ServiceId>(request.service)) : nullptr;
    if (!service) {
        answer(reply, Outcome::Refused, ResultCode::UnknownService, {}, Millis(0));
        return;
    }
    record.state = PermitState::Running;
    Run run;
    run.nonce = record.permit.nonceHigh;
    run.reply = reply;
    // The reply of a forwarded submission uses the id of the forwarding instance; here the submission is
    // identified by its nonce.
    run.request = request;
    run.deadline = context_.now() + request.deadline;
    run.config = config_;
    run.service = service;
    run.shard = static_cast<uint32_t>(hashName(request.key) % service->shards.size());
    run.unsent.emplace();
    const uint64_t sequence = run.nonce;
    Run& stored = runs_.insert_or_assign(sequence, std::move(run)).first->second;
    requestSlot(stored);
}

void Submissions::requestSlot(Run& run)
{
    const std::vector<ReplicaConfig>& replicas = run.service->shards[run.shard].replicas;
    while (run.nextReplica < replicas.size()) {
        const ReplicaConfig& replica = replicas[run.nextReplica++];
        if (drains_.isDrained(replica.id))
            continue;
        const InstanceId owner = config_->policy.routing == RoutingPolicy::Owner ? ownership_.find(replica).owner : context_.self;
        if (!owner.isValid() || !membership_.isReachable(owner))
            continue;
        run.replica = replica.id;
        run.slotOwner = owner;
        const auto budget = std::chrono::duration_cast<Micros>(run.deadline - context_.now());
        sender_.sendPeer(owner, SlotRequest { { context_.incarnation, run.nonce }, replica.id, budget });
        return;
    }
    scheduleSlotRetry(run);
}

void Submissions::scheduleSlotRetry(Run& run)
{
    run.retryAt = context_.now() + kRetryPause * (1 << std::min(run.failedRounds, 5U));
    ++run.failedRounds;
    run.nextReplica = 0;
}

void Submissions::sendRun(Run& run)
{
    const ReplicaConfig* replica = run.config->findReplica(run.replica);
    run.sent = std::move(*run.unsent).send();
    run.unsent.reset();
    run.call = nextCallId();
    CallBackend action;
    action.call = run.call;
    action.replica = replica->id;
    action.address = replica->address;
    action.request.operation = BackendOperation::Submit;
    action.request.attempt = { run.reply.id, 1 };
    action.request.service = run.service->id;
    action.request.shard = run.shard;
    action.request.snapshot = run.service->snapshot;
    action.request.mapVersion = run.service->mapVersion;
    action.request.budget = std::chrono::duration_cast<Micros>(run.deadline - context_.now());
    action.request.key = run.request.key;
    action.request.body = makeBody(run.request.body);
    ++context_.stats.submitsRun;
    ++context_.stats.subRequestsNeeded;
    ++context_.stats.subRequestsSent;
    TimelineEvent event;
    event.kind = TimelineKind::SubmitRun;
    event.request = run.reply.id;
    event.shard = run.shard;
    event.subject = replica->name;
    context_.record(std::move(event));
    context_.actions->push_back(std::move(action));
}

void Submissions::endRun(uint64_t sequence, SubmissionResult result)
{
    Run run = std::move(runs_.at(sequence));
    runs_.erase(sequence);
    releaseSlot(run);
    if (result.outcome() == Outcome::Unknown)
        ++context_.stats.submitsUnknown;
    PermitRecord& record = permits_.at(run.nonce);
    // A refused submission was never sent, so its permit may be used again.
    record.state = result.outcome() == Outcome::Refused ? PermitState::Issued : PermitState::Ended;
    record.outcome = result.outcome();
    record.code = result.code();
    record.body = result.body();
    Millis retryAfter(0);
    if (result.outcome() == Outcome::Refused)
        retryAfter = std::max(Millis(100), std::chrono::duration_cast<Millis>(run.predictedWait));
    answer(run.reply, result.outcome(), result.code(), result.body(), retryAfter);
}

void Submissions::releaseSlot(Run& run)
{
    if (!run.slotOwner.isValid())
        return;
    sender_.sendPeer(run.slotOwner, SlotRelease { { context_.incarnation, run.nonce }, run.replica });
}

void Submissions::refuseRun(uint64_t sequence, ResultCode code)
{
    Run& run = runs_.at(sequence);
    endRun(sequence, std::move(*run.unsent).refuse(code));
}

void Submissions::answer(const ReplyTarget& reply, Outcome outcome, ResultCode code, std::string body, Millis retryAfter)
{
    if (reply.peer.isValid()) {
        sender_.sendPeer(reply.peer, SubmitOutcome { reply.id, outcome, code, retryAfter, std::move(body) });
        return;
    }
    TimelineEvent event;
    event.kind = TimelineKind::RequestAnswered;
    event.code = code;
    event.request = reply.id;
    event.subject = std::string(name(outcome));
    context_.record(std::move(event));
    Answer result;
    result.request = reply.id;
    result.outcome = outcome;
    result.code = code;
    result.body = std::move(body);
    result.retryAfter = retryAfter;
    result.configVersion = config_ ? config_->stamp.version : 0;
    context_.actions->push_back(AnswerCaller { reply.tag, std::move(result) });
}

Submissions::Run* Submissions::findRun(BackendCallId call, uint64_t& sequence)
{
    for (auto& [key, run] : runs_) {
        if (run.sent && run.call == call) {
            sequence = key;
            return &run;
        }
    }
    return nullptr;
}

void Submissions::expirePermits()
{
    const TimePoint now = context_.now();
    absl::erase_if(permits_, [&](const auto& entry) {
        const PermitRecord& record = entry.second;
        return record.state != PermitState::Running && now >= record.expiry + config::kPermitLifetime;
    });
}

} // namespace limpettrestle
