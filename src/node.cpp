/// Creates the components of a node and dispatches each event to the component that handles it.

#include "node_p.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    constexpr size_t kMaxLoopbackMessages = 100000;
    constexpr size_t kStartupPeers = 3;

} // namespace

Node::Impl::Impl(const NodeInit& init)
    : context_(init)
    , membership_(context_, *this)
    , ownership_(context_, membership_)
    , owner_({ context_, *this, membership_, ownership_, drains_, *this })
    , coordinator_({ context_, *this, membership_, ownership_, drains_ }, init.maxRequests)
    , submissions_({ context_, *this, membership_, ownership_, drains_ })
    , balancerLag_(init.balancerLag)
    , drainLimit_(init.drainLimit)
{
    membership_.makeGossip = [this] { return makeGossip(); };
    submissions_.nextCallId = [this] { return owner_.nextCallId(); };
    startedAt_ = context_.now();
    lastEventTime_ = startedAt_;
    membership_.init(init);
}

void Node::Impl::handle(const Event& event, std::vector<Action>& actions)
{
    context_.actions = &actions;
    detectLateWake();
    std::visit([this](const auto& typed) { on(typed); }, event);
    if (context_.now() >= nextPeriodicRun_)
        runPeriodicTasks();
    finishEvent();
    context_.actions = nullptr;
}

TimePoint Node::Impl::nextWakeup() const
{
    return std::min({ nextPeriodicRun_, coordinator_.nextWakeup(), owner_.nextWakeup(), membership_.nextWakeup() });
}

NodeStatus Node::Impl::status() const
{
    NodeStatus status;
    status.phase = phase_;
    status.ready = isReady();
    status.name = context_.name;
    status.zone = "";
    status.incarnation = context_.incarnation;
    status.config = chain_.stamp();
    status.platformRevision = chain_.platformRevision();
    status.configReader = isPlatformReader_;
    for (const auto& [id, member] : membership_.members())
        status.members.push_back(member.info);
    for (const DrainRecord& record : drains_.records()) {
        const ReplicaConfig* replica = chain_.current() ? chain_.current()->findReplica(record.replica) : nullptr;
        if (replica)
            status.drainedServers.push_back(replica->name);
    }
    status.history = chain_.history();
    status.stats = context_.stats;
    status.stats.queued = owner_.queued();
    status.stats.inFlight = owner_.inFlight();
    status.stats.openRequests = coordinator_.openRequests() + submissions_.openSubmissions();
    status.stats.membersAlive = static_cast<uint64_t>(std::count_if(membership_.members().begin(), membership_.members().end(), [](const auto& entry) {
        return entry.second.info.state == MemberState::Alive;
    }));
    status.stats.ownedReplicas = owner_.ownedReplicas();
    status.stats.drainedServers = drains_.size();
    status.stats.configVersion = chain_.stamp().version;
    return status;
}

Body Node::Impl::configText() const
{
    return chain_.current() ? chain_.current()->text : makeBody("");
}

void Node::Impl::sendPeer(InstanceId to, PeerBody body)
{
    auto message = std::make_shared<PeerMessage>();
    message->from = context_.self;
    message->incarnation = context_.incarnation;
    message->time = context_.hlc.tick();
    message->body = std::move(body);
    if (to == context_.self) {
        loopback_.push_back(std::move(*message));
        return;
    }
    const Member* member = membership_.find(to);
    if (!member)
        return;
    ++context_.stats.peerMessages;
    if (isControlMessage(message->body))
        ++context_.stats.controlMessages;
    context_.actions->push_back(SendPeer { to, member->info.address, std::move(message) });
}

void Node::Impl::on(const CallerSearch& event)
{
    if (refuseIfUnavailable(event.tag, false))
        return;
    coordinator_.onSearch(event.tag, event.request);
}

void Node::Impl::on(const CallerPermit& event)
{
    if (refuseIfUnavailable(event.tag, false))
        return;
    submissions_.onPermitRequest(event.tag, coordinator_.nextRequestId(), event.request);
}

void Node::Impl::on(const CallerSubmit& event)
{
    if (refuseIfUnavailable(event.tag, event.request.permit.isValid()))
        return;
    if (event.request.deadline <= Millis(0)) {
        Answer answer;
        answer.request = coordinator_.nextRequestId();
        answer.outcome = event.request.permit.isValid() ? Outcome::Unknown : Outcome::Refused;
        answer.code = ResultCode::DeadlinePassed;
        context_.actions->push_back(AnswerCaller { event.tag, std::move(answer) });
        return;
    }
    submissions_.onSubmit(event.tag, coordinator_.nextRequestId(), event.request);
}

void Node::Impl::on(const PeerReceived& event)
{
    context_.hlc.merge(event.message.time);
    membership_.recordMessage(event.message.from, event.message.incarnation);
    dispatch(event.message);
}

void Node::Impl::on(const PeerFailed& event)
{
    membership_.onPeerFailed(event.peer);
    coordinator_.onPeerFailed(event.peer);
    submissions_.onPeerFailed(event.peer);
}

void Node::Impl::on(const BackendReplied& event)
{
    if (submissions_.onBackendReplied(event.call, event.reply) || owner_.onBackendReplied(event.call, event.reply))
        return;
    ++context_.stats.repliesDropped;
}

void Node::Impl::on(const BackendFailed& event)
{
    if (!submissions_.onBackendFailed(event.call, event.sent))
        owner_.onBackendFailed(event.call, event.code, event.sent);
}

void Node::Impl::on(const PlatformMembersRead& event)
{
    hasPlatformAnswer_ = true;
    hasMemberList_ = true;
    membership_.onPlatformList(event.members);
    for (const PlatformMember& member : event.members) {
        if (member.backend && member.leaving)
            applyDrainRecord({ idFromName<ReplicaId>(member.name), member.serverIncarnation, false });
    }
}

void Node::Impl::on(const PlatformConfigRead& event)
{
    hasPlatformAnswer_ = true;
    chain_.observePlatformRevision(event.revision);
    for (const ConfigRecord& record : event.records)
        handleConfigResult(chain_.applyRecord(record));
}

void Node::Impl::on(const PlatformFailed&)
{
}

void Node::Impl::on(const Tick&)
{
    owner_.tick();
    coordinator_.tick();
    submissions_.tick();
}

void Node::Impl::on(const ShutdownRequested&)
{
    if (phase_ == Phase::Leaving || phase_ == Phase::Stopped)
        return;
    leavingAt_ = context_.now();
    setPhase(Phase::Leaving);
    membership_.leave();
    hasNoticeToSend_ = true;
    onViewChanged();
}

void Node::Impl::deliverLoopback()
{
    for (size_t handled = 0; !loopback_.empty() && handled < kMaxLoopbackMessages; ++handled) {
        const PeerMessage message = std::move(loopback_.front());
        loopback_.pop_front();
        dispatch(message);
    }
}

void Node::Impl::finishEvent()
{
    do {
        deliverLoopback();
        coordinator_.flush();
        owner_.flush();
    } while (!loopback_.empty());
    announceConfig();
    sendNotices();
    startServingIfReady();
    stopIfDrained();
}

void Node::Impl::detectLateWake()
{
    const TimePoint now = context_.now();
    const auto gap = now - lastEventTime_;
    lastEventTime_ = now;
    if (gap < config::kLateWakeGap)
        return;
    ++context_.stats.lateWakes;
    refusingUntil_ = now + config::kLateWakeRefusalTime;
    TimelineEvent event;
    event.kind = TimelineKind::WokeLate;
    event.number = static_cast<uint64_t>(std::chrono::duration_cast<Millis>(gap).count());
    context_.record(std::move(event));
    owner_.invalidateAll();
    coordinator_.onLateWake();
    submissions_.onLateWake();
    membership_.resetProbes();
}

void Node::Impl::runPeriodicTasks()
{
    nextPeriodicRun_ = context_.now() + config::kTickInterval;
    if (membership_.tick(settleTime()))
        onViewChanged();
    on(Tick {});
    updatePlatformReads();
}

bool Node::Impl::refuseIfUnavailable(CallerTag tag, bool mayHaveRun)
{
    const TimePoint now = context_.now();
    const bool isBalancerLagOver = phase_ == Phase::Leaving && now >= leavingAt_ + balancerLag_;
    const bool acceptsRequests = phase_ == Phase::Serving || (phase_ == Phase::Leaving && !isBalancerLagOver);
    // Requests that waited through a suspension cannot be distinguished from new ones.
    const bool isAfterLateWake = now < refusingUntil_;
    if (acceptsRequests && !isAfterLateWake)
        return false;
    Answer answer;
    answer.request = coordinator_.nextRequestId();
    // An earlier submission with the same permit may have run on another instance.
    answer.outcome = mayHaveRun ? Outcome::Unknown : Outcome::Refused;
    answer.code = ResultCode::ShuttingDown;
    answer.retryAfter = Millis(1);
    if (phase_ == Phase::Starting) {
        answer.code = ResultCode::NotReady;
        answer.retryAfter = Millis(500);
    } else if (isAfterLateWake) {
        answer.code = ResultCode::StaleMessage;
        answer.retryAfter = std::chrono::ceil<Millis>(refusingUntil_ - now);
    }
    context_.actions->push_back(AnswerCaller { tag, std::move(answer) });
    return true;
}

void Node::Impl::updatePlatformReads()
{
    const TimePoint now = context_.now();
    const bool shouldRead = phase_ != Phase::Leaving && ownership_.rankFor("platform-reader") < config::kConfigReadersPerZone;
    const bool isFirst = nextFallbackRead_ == TimePoint {};
    if (shouldRead != isPlatformReader_ || isFirst || (!isPlatformReader_ && now >= nextFallbackRead_)) {
        isPlatformReader_ = shouldRead;
        ++context_.stats.platformReads;
        context_.actions->push_back(ReadPlatform { shouldRead, chain_.platformRevision(), 0 });
        const Millis servingInterval = std::max(config::kFallbackReadIntervalMin, config::kFallbackReadIntervalPerMember * membership_.zoneSize());
        const Millis interval = phase_ == Phase::Starting ? Millis(500) : servingInterval;
        nextFallbackRead_ = now + interval / 2 + Millis(context_.randomBelow(static_cast<uint64_t>(interval.count())));
    }
}

void Node::Impl::startServingIfReady()
{
    if (phase_ != Phase::Starting)
        return;
    const TimePoint now = context_.now();
    std::vector<InstanceId> peers = membership_.liveZonePeers();
    const std::vector<InstanceId> otherZonePeers = membership_.livePeersInOtherZones();
    peers.insert(peers.end(), otherZonePeers.begin(), otherZonePeers.end());
    if (!hasPeerState_ && !peers.empty() && now >= nextStateRequest_) {
        nextStateRequest_ = now + config::kStartupRequestInterval;
        const size_t zonePeerCount = std::max<size_t>(1, peers.size() - otherZonePeers.size());
        for (size_t i = 0; i < kStartupPeers; ++i) {
            // All but the last request go to instances of this zone, the last one to any instance.
            const size_t range = i + 1 < kStartupPeers ? zonePeerCount : peers.size();
            sendPeer(peers[context_.randomBelow(range)], StateRequest { chain_.stamp() });
        }
    }
    const bool isPeerWaitTimedOut = hasPlatformAnswer_ && now - startedAt_ >= config::kStartupPeerTimeout;
    const bool isPeerWaitOver = hasPeerState_ || isPeerWaitTimedOut;
    if (!chain_.current() || !isPeerWaitOver || !hasMemberList_)
        return;
    if (membership_.tick(settleTime()))
        onViewChanged();
    setPhase(Phase::Serving);
}

void Node::Impl::stopIfDrained()
{
    if (phase_ != Phase::Leaving)
        return;
    const TimePoint now = context_.now();
    if (now < leavingAt_ + balancerLag_)
        return;
    const bool isIdle = coordinator_.openRequests() == 0 && submissions_.openSubmissions() == 0 && owner_.queued() == 0
        && owner_.inFlight() == 0 && owner_.loans() == 0;
    if (isIdle || now >= leavingAt_ + balancerLag_ + drainLimit_)
        setPhase(Phase::Stopped);
}

void Node::Impl::setPhase(Phase phase)
{
    phase_ = phase;
    TimelineEvent event;
    event.kind = TimelineKind::PhaseChanged;
    event.subject = std::string(name(phase));
    context_.record(std::move(event));
}

void Node::Impl::onViewChanged()
{
    TimelineEvent event;
    event.kind = TimelineKind::OwnershipChanged;
    event.number = membership_.zoneSize();
    context_.record(std::move(event));
    owner_.onViewChanged();
}

Millis Node::Impl::settleTime() const
{
    // A starting instance has no previous view to keep, so it adopts the first view at once.
    if (phase_ == Phase::Starting)
        return Millis(0);
    return chain_.current() ? chain_.current()->policy.settleTime : config::kSettleTime;
}

Node::Node() = default;
Node::~Node() = default;

ResultCode Node::init(const NodeInit& init)
{
    const bool isComplete = !init.name.empty() && !init.zone.empty() && init.incarnation.isValid() && init.clock;
    if (!isComplete || impl_)
        return ResultCode::BadValue;
    impl_ = std::make_unique<Impl>(init);
    return ResultCode::Ok;
}

void Node::shutdown()
{
    impl_.reset();
}

void Node::handle(const Event& event, std::vector<Action>& actions)
{
    impl_->handle(event, actions);
}

TimePoint Node::nextWakeup() const { return impl_->nextWakeup(); }
bool Node::isReady() const { return impl_->isReady(); }
Phase Node::phase() const { return impl_->phase(); }
NodeStatus Node::status() const { return impl_->status(); }
const NodeStats& Node::stats() const { return impl_->stats(); }
Body Node::configText() const { return impl_->configText(); }

} // namespace limpettrestle
