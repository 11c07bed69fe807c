/// Composes the parts of a node and hands each event to the part that decides on it.

#include "limpettrestle/limpettrestle.h"

#include "connection/replica_owner.h"
#include "request/coordinator.h"
#include "request/submissions.h"
#include "version/config_chain.h"

#include <algorithm>
#include <deque>

namespace limpettrestle {

namespace {

    /// Clock difference between instances up to which message ages are trusted.
    constexpr Millis kSkewTolerance { 250 };
    constexpr size_t kMaxLoopback = 100000;
    constexpr int kDrainSpread = 12;
    constexpr size_t kGossipDrains = 4;
    constexpr size_t kStartPeers = 3;

    bool isControl(const PeerBody& body)
    {
        return body.index() <= PeerBody(StateReply {}).index();
    }

} // namespace

class Node::Impl final : public PeerSenderI, public OwnerListenerI {
public:
    explicit Impl(const NodeInit& init);

    void handle(const Event& event, std::vector<Action>& actions);
    TimePoint nextWakeup() const;
    NodeStatus status() const;
    bool isReady() const { return phase_ == Phase::Serving; }
    Phase phase() const { return phase_; }
    const NodeStats& stats() const { return context_.stats; }
    Body configText() const;

    void sendPeer(InstanceId to, PeerBody body) override;
    void onServerDraining(ReplicaId replica, uint64_t serverIncarnation) override;
    void onServerReturned(ReplicaId replica, uint64_t serverIncarnation) override;

private:
    struct DrainNews {
        DrainRecord record;
        int spread = 0;
    };

    void on(const CallerSearch& event);
    void on(const CallerPermit& event);
    void on(const CallerSubmit& event);
    void on(const PeerReceived& event);
    void on(const PeerFailed& event);
    void on(const BackendReplied& event);
    void on(const BackendFailed& event);
    void on(const PlatformMembersRead& event);
    void on(const PlatformConfigRead& event);
    void on(const PlatformFailed& event);
    void on(const Tick& event);
    void on(const ShutdownRequested& event);

    void onPeer(InstanceId from, const Probe& probe);
    void onPeer(InstanceId from, const ProbeAck& ack);
    void onPeer(InstanceId from, const ProbeRequest& request);
    void onPeer(InstanceId from, const Notice& notice);
    void onPeer(InstanceId from, const ConfigNews& news);
    void onPeer(InstanceId from, const StateRequest& request);
    void onPeer(InstanceId from, const StateReply& reply);
    void onPeer(InstanceId from, const ExecuteBatch& batch);
    void onPeer(InstanceId from, const ExecuteResults& results);
    void onPeer(InstanceId from, const CancelBatch& cancel);
    void onPeer(InstanceId from, const SlotRequest& request);
    void onPeer(InstanceId from, const SlotReply& reply);
    void onPeer(InstanceId from, const SlotRelease& release);
    void onPeer(InstanceId from, const SubmitForward& forward);
    void onPeer(InstanceId from, const SubmitOutcome& outcome);

    void dispatch(const PeerMessage& message);
    void runLoopback();
    void finishEvent();
    void noticeLateWake();
    void periodic();
    bool isStale(Micros budget) const;
    /// Answers a caller's request that cannot be taken now. Returns false when it can.
    bool refusesNewWork(CallerTag tag, bool mayHaveRun);
    Gossip makeGossip();
    void takeGossip(InstanceId from, const Gossip& gossip);
    void takeDrain(const DrainRecord& record);
    void spreadDrain(TimelineKind kind, const DrainRecord& record);
    void sendNotices();
    void takeConfigStep(const ConfigChain::Step& step);
    void adoptConfig();
    void sendConfigNews();
    std::vector<InstanceId> pickNoticePeers();
    void steerPlatformReads();
    void tryToServe();
    void tryToStop();
    void setPhase(Phase phase);
    void onViewChanged();
    Millis settle() const;

    NodeContext context_;
    Membership membership_;
    Ownership ownership_;
    DrainTable drains_;
    ConfigChain chain_;
    ReplicaOwner owner_;
    Coordinator coordinator_;
    Submissions submissions_;
    const Millis balancerLag_;
    const Millis drainLimit_;
    Phase phase_ = Phase::Starting;
    TimePoint lastEvent_ {};
    TimePoint nextPeriodic_ {};
    TimePoint startedAt_ {};
    TimePoint leavingAt_ {};
    TimePoint wakingUntil_ {};
    TimePoint nextStartAsk_ {};
    TimePoint nextSafetyRead_ {};
    HlcTime messageTime_;
    bool heardState_ = false;
    bool platformAnswered_ = false;
    bool knowsMembers_ = false;
    bool isReader_ = false;
    bool newsToSend_ = false;
    bool noticeToSend_ = false;
    std::vector<DrainNews> drainNews_;
    std::deque<PeerMessage> loopback_;
};

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
    lastEvent_ = startedAt_;
    membership_.init(init);
}

void Node::Impl::handle(const Event& event, std::vector<Action>& actions)
{
    context_.actions = &actions;
    noticeLateWake();
    std::visit([this](const auto& typed) { on(typed); }, event);
    if (context_.now() >= nextPeriodic_)
        periodic();
    finishEvent();
    context_.actions = nullptr;
}

TimePoint Node::Impl::nextWakeup() const
{
    return std::min({ nextPeriodic_, coordinator_.nextWakeup(), owner_.nextWakeup(), membership_.nextWakeup() });
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
    status.configReader = isReader_;
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
    status.stats.openRequests = coordinator_.openRequests() + submissions_.open();
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
    if (isControl(message->body))
        ++context_.stats.controlMessages;
    context_.actions->push_back(SendPeer { to, member->info.address, std::move(message) });
}

void Node::Impl::onServerDraining(ReplicaId replica, uint64_t serverIncarnation)
{
    takeDrain({ replica, serverIncarnation, false });
}

void Node::Impl::onServerReturned(ReplicaId replica, uint64_t serverIncarnation)
{
    spreadDrain(TimelineKind::ServerReturned, { replica, serverIncarnation, true });
}

void Node::Impl::on(const CallerSearch& event)
{
    if (refusesNewWork(event.tag, false))
        return;
    coordinator_.onSearch(event.tag, event.request);
}

void Node::Impl::on(const CallerPermit& event)
{
    if (refusesNewWork(event.tag, false))
        return;
    submissions_.onPermitRequest(event.tag, coordinator_.nextRequestId(), event.request);
}

void Node::Impl::on(const CallerSubmit& event)
{
    if (refusesNewWork(event.tag, event.request.permit.isValid()))
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
    membership_.onHeard(event.message.from, event.message.incarnation);
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
    platformAnswered_ = true;
    knowsMembers_ = true;
    membership_.onPlatformList(event.members);
    for (const PlatformMember& member : event.members) {
        if (member.backend && member.leaving)
            takeDrain({ idFromName<ReplicaId>(member.name), member.serverIncarnation, false });
    }
}

void Node::Impl::on(const PlatformConfigRead& event)
{
    platformAnswered_ = true;
    chain_.notePlatformRevision(event.revision);
    for (const ConfigRecord& record : event.records)
        takeConfigStep(chain_.takeRecord(record));
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
    noticeToSend_ = true;
    onViewChanged();
}

void Node::Impl::onPeer(InstanceId from, const Probe& probe)
{
    takeGossip(from, probe.gossip);
    membership_.onProbe(from, probe);
}

void Node::Impl::onPeer(InstanceId from, const ProbeAck& ack)
{
    takeGossip(from, ack.gossip);
    membership_.onProbeAck(from, ack);
}

void Node::Impl::onPeer(InstanceId from, const ProbeRequest& request)
{
    membership_.onProbeRequest(from, request);
}

void Node::Impl::onPeer(InstanceId from, const Notice& notice)
{
    takeGossip(from, notice.gossip);
}

void Node::Impl::onPeer(InstanceId from, const ConfigNews& news)
{
    const ConfigChain::Step step = chain_.takeNews(news);
    if (step.changed)
        takeConfigStep(step);
    else if (step.wasNews)
        sendPeer(from, StateRequest { chain_.stamp() });
}

void Node::Impl::onPeer(InstanceId from, const StateRequest& request)
{
    const std::vector<ConfigNews> news = chain_.newsSince(request.have);
    for (const ConfigNews& entry : news)
        sendPeer(from, entry);
    StateReply reply;
    reply.stamp = chain_.stamp();
    reply.platformRevision = chain_.platformRevision();
    const bool needsText = news.empty() && reply.stamp.version > request.have.version;
    reply.text = needsText ? chain_.current()->text : makeBody("");
    reply.drains = drains_.records();
    // The asker's own entry lets a restarted instance refute what is believed of its earlier run.
    for (const auto& [id, member] : membership_.members())
        reply.members.push_back(member.info);
    sendPeer(from, std::move(reply));
}

void Node::Impl::onPeer(InstanceId, const StateReply& reply)
{
    heardState_ = true;
    knowsMembers_ = true;
    for (const MemberUpdate& update : reply.members)
        membership_.merge(update);
    for (const DrainRecord& record : reply.drains)
        takeDrain(record);
    if (!reply.text->empty())
        takeConfigStep(chain_.takeDocument(reply.stamp, reply.text, reply.platformRevision));
}

void Node::Impl::onPeer(InstanceId from, const ExecuteBatch& batch)
{
    if (!isStale(batch.budget)) {
        owner_.onExecute(from, batch);
        return;
    }
    ExecuteResults results { batch.request, {} };
    for (const ExecuteItem& item : batch.items) {
        ExecuteItemResult result;
        result.attempt = item.attempt;
        result.shard = item.shard;
        result.replica = item.replica;
        result.code = ResultCode::StaleMessage;
        results.items.push_back(std::move(result));
    }
    sendPeer(from, std::move(results));
}

void Node::Impl::onPeer(InstanceId from, const ExecuteResults& results)
{
    coordinator_.onResults(from, results);
}

void Node::Impl::onPeer(InstanceId, const CancelBatch& cancel)
{
    owner_.onCancel(cancel);
}

void Node::Impl::onPeer(InstanceId from, const SlotRequest& request)
{
    if (isStale(request.budget))
        sendPeer(from, SlotReply { request.request, request.replica, ResultCode::StaleMessage, Micros(0), {} });
    else
        owner_.onSlotRequest(from, request);
}

void Node::Impl::onPeer(InstanceId from, const SlotReply& reply)
{
    submissions_.onSlotReply(from, reply);
}

void Node::Impl::onPeer(InstanceId from, const SlotRelease& release)
{
    owner_.onSlotRelease(from, release);
}

void Node::Impl::onPeer(InstanceId from, const SubmitForward& forward)
{
    if (isStale(forward.budget))
        sendPeer(from, SubmitOutcome { forward.request, Outcome::Unknown, ResultCode::StaleMessage, Millis(0), {} });
    else
        submissions_.onForward(from, forward);
}

void Node::Impl::onPeer(InstanceId from, const SubmitOutcome& outcome)
{
    submissions_.onOutcome(from, outcome);
}

void Node::Impl::dispatch(const PeerMessage& message)
{
    messageTime_ = message.time;
    std::visit([&](const auto& body) { onPeer(message.from, body); }, message.body);
}

void Node::Impl::runLoopback()
{
    for (size_t handled = 0; !loopback_.empty() && handled < kMaxLoopback; ++handled) {
        const PeerMessage message = std::move(loopback_.front());
        loopback_.pop_front();
        dispatch(message);
    }
}

void Node::Impl::finishEvent()
{
    do {
        runLoopback();
        coordinator_.flush();
        owner_.flush();
    } while (!loopback_.empty());
    sendConfigNews();
    sendNotices();
    tryToServe();
    tryToStop();
}

void Node::Impl::noticeLateWake()
{
    const TimePoint now = context_.now();
    const auto gap = now - lastEvent_;
    lastEvent_ = now;
    if (gap < config::kLateWakeGap)
        return;
    ++context_.stats.lateWakes;
    wakingUntil_ = now + config::kWakingTime;
    TimelineEvent event;
    event.kind = TimelineKind::WokeLate;
    event.number = static_cast<uint64_t>(std::chrono::duration_cast<Millis>(gap).count());
    context_.record(std::move(event));
    owner_.forgetAll();
    coordinator_.onLateWake();
    submissions_.onLateWake();
    membership_.forgetProbes();
}

void Node::Impl::periodic()
{
    nextPeriodic_ = context_.now() + config::kTickInterval;
    if (membership_.tick(settle()))
        onViewChanged();
    on(Tick {});
    steerPlatformReads();
}

bool Node::Impl::isStale(Micros budget) const
{
    const int64_t wall = std::chrono::duration_cast<Micros>(context_.clock.wallNow().time_since_epoch()).count();
    return Micros(wall - messageTime_.wallMicros) > budget + kSkewTolerance;
}

bool Node::Impl::refusesNewWork(CallerTag tag, bool mayHaveRun)
{
    const TimePoint now = context_.now();
    const bool isPastLag = phase_ == Phase::Leaving && now >= leavingAt_ + balancerLag_;
    const bool takesWork = phase_ == Phase::Serving || (phase_ == Phase::Leaving && !isPastLag);
    // What waited through a pause cannot be told from what is new.
    const bool isWaking = now < wakingUntil_;
    if (takesWork && !isWaking)
        return false;
    Answer answer;
    answer.request = coordinator_.nextRequestId();
    // An earlier submission under the same permit may have run elsewhere.
    answer.outcome = mayHaveRun ? Outcome::Unknown : Outcome::Refused;
    answer.code = ResultCode::ShuttingDown;
    answer.retryAfter = Millis(1);
    if (phase_ == Phase::Starting) {
        answer.code = ResultCode::NotReady;
        answer.retryAfter = Millis(500);
    } else if (isWaking) {
        answer.code = ResultCode::StaleMessage;
        answer.retryAfter = std::chrono::ceil<Millis>(wakingUntil_ - now);
    }
    context_.actions->push_back(AnswerCaller { tag, std::move(answer) });
    return true;
}

Gossip Node::Impl::makeGossip()
{
    Gossip gossip;
    gossip.members = membership_.takeNews();
    // An instance always speaks for itself.
    const bool namesSelf = std::any_of(gossip.members.begin(), gossip.members.end(), [&](const MemberUpdate& m) { return m.id == context_.self; });
    if (!namesSelf)
        gossip.members.push_back(membership_.self());
    for (DrainNews& news : drainNews_) {
        if (gossip.drains.size() == kGossipDrains)
            break;
        --news.spread;
        gossip.drains.push_back(news.record);
    }
    std::erase_if(drainNews_, [](const DrainNews& news) { return news.spread <= 0; });
    gossip.config = chain_.stamp();
    return gossip;
}

void Node::Impl::takeGossip(InstanceId from, const Gossip& gossip)
{
    bool viewChanged = false;
    for (const MemberUpdate& update : gossip.members) {
        const bool left = membership_.merge(update);
        viewChanged = viewChanged || left;
        noticeToSend_ = noticeToSend_ || left;
    }
    if (viewChanged)
        onViewChanged();
    for (const DrainRecord& record : gossip.drains)
        takeDrain(record);
    if (gossip.config.version > chain_.stamp().version)
        sendPeer(from, StateRequest { chain_.stamp() });
}

void Node::Impl::takeDrain(const DrainRecord& record)
{
    if (record.serving) {
        if (drains_.noteServing(record.replica, record.serverIncarnation))
            spreadDrain(TimelineKind::ServerReturned, record);
        return;
    }
    if (!drains_.drain(record.replica, record.serverIncarnation))
        return;
    spreadDrain(TimelineKind::ServerDrained, record);
    owner_.onDrained(record.replica);
}

void Node::Impl::spreadDrain(TimelineKind kind, const DrainRecord& record)
{
    std::erase_if(drainNews_, [&](const DrainNews& news) { return news.record.replica == record.replica; });
    drainNews_.push_back({ record, kDrainSpread });
    noticeToSend_ = true;
    TimelineEvent event;
    event.kind = kind;
    const ReplicaConfig* replica = chain_.current() ? chain_.current()->findReplica(record.replica) : nullptr;
    event.subject = replica ? replica->name : "";
    event.number = record.serverIncarnation;
    context_.record(std::move(event));
}

void Node::Impl::sendNotices()
{
    if (!noticeToSend_)
        return;
    noticeToSend_ = false;
    for (const InstanceId peer : pickNoticePeers())
        sendPeer(peer, Notice { makeGossip() });
}

void Node::Impl::takeConfigStep(const ConfigChain::Step& step)
{
    if (!step.wasNews)
        return;
    TimelineEvent event;
    event.kind = step.entry.code == ResultCode::Ok ? TimelineKind::ConfigAccepted : TimelineKind::ConfigRefused;
    event.code = step.entry.code;
    event.subject = step.entry.change;
    event.number = step.entry.stamp.version;
    context_.record(std::move(event));
    if (step.changed)
        adoptConfig();
}

void Node::Impl::adoptConfig()
{
    coordinator_.onConfig(chain_.current());
    owner_.onConfig(chain_.current());
    submissions_.onConfig(chain_.current());
    newsToSend_ = true;
}

void Node::Impl::sendConfigNews()
{
    if (!newsToSend_)
        return;
    newsToSend_ = false;
    const ConfigNews* newest = chain_.newest();
    for (const InstanceId peer : pickNoticePeers()) {
        if (newest && !newest->record.checkpoint)
            sendPeer(peer, *newest);
        else
            sendPeer(peer, Notice { makeGossip() });
    }
}

std::vector<InstanceId> Node::Impl::pickNoticePeers()
{
    std::vector<InstanceId> peers = membership_.liveZonePeers();
    std::shuffle(peers.begin(), peers.end(), context_.random);
    if (peers.size() > config::kNoticeFanout)
        peers.resize(config::kNoticeFanout);
    const std::vector<InstanceId> elsewhere = membership_.livePeersElsewhere();
    if (!elsewhere.empty())
        peers.push_back(elsewhere[context_.randomBelow(elsewhere.size())]);
    return peers;
}

void Node::Impl::steerPlatformReads()
{
    const TimePoint now = context_.now();
    const bool shouldRead = phase_ != Phase::Leaving && ownership_.rankFor("platform-reader") < config::kConfigReadersPerZone;
    const bool isFirst = nextSafetyRead_ == TimePoint {};
    if (shouldRead != isReader_ || isFirst || (!isReader_ && now >= nextSafetyRead_)) {
        isReader_ = shouldRead;
        ++context_.stats.platformReads;
        context_.actions->push_back(ReadPlatform { shouldRead, chain_.platformRevision(), 0 });
        const Millis base = std::max(config::kSafetyReadMin, config::kSafetyReadPerMember * membership_.zoneSize());
        const Millis pause = phase_ == Phase::Starting ? Millis(500) : base;
        nextSafetyRead_ = now + pause / 2 + Millis(context_.randomBelow(static_cast<uint64_t>(pause.count())));
    }
}

void Node::Impl::tryToServe()
{
    if (phase_ != Phase::Starting)
        return;
    const TimePoint now = context_.now();
    std::vector<InstanceId> peers = membership_.liveZonePeers();
    const std::vector<InstanceId> elsewhere = membership_.livePeersElsewhere();
    peers.insert(peers.end(), elsewhere.begin(), elsewhere.end());
    if (!heardState_ && !peers.empty() && now >= nextStartAsk_) {
        nextStartAsk_ = now + config::kStartAskInterval;
        const size_t zoneMates = std::max<size_t>(1, peers.size() - elsewhere.size());
        for (size_t i = 0; i < kStartPeers; ++i) {
            // Most asks go to the zone's own instances, one anywhere.
            const size_t range = i + 1 < kStartPeers ? zoneMates : peers.size();
            sendPeer(peers[context_.randomBelow(range)], StateRequest { chain_.stamp() });
        }
    }
    const bool waitedEnough = platformAnswered_ && now - startedAt_ >= config::kStartPeerWait;
    const bool askedPeers = heardState_ || waitedEnough;
    if (!chain_.current() || !askedPeers || !knowsMembers_)
        return;
    if (membership_.tick(settle()))
        onViewChanged();
    setPhase(Phase::Serving);
}

void Node::Impl::tryToStop()
{
    if (phase_ != Phase::Leaving)
        return;
    const TimePoint now = context_.now();
    if (now < leavingAt_ + balancerLag_)
        return;
    const bool isIdle = coordinator_.openRequests() == 0 && submissions_.open() == 0 && owner_.queued() == 0
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

Millis Node::Impl::settle() const
{
    // The first view is taken as it is: there is none to keep.
    if (phase_ == Phase::Starting)
        return Millis(0);
    return chain_.current() ? chain_.current()->policy.settle : config::kSettleTime;
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
