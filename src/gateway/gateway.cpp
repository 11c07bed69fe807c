#include "gateway.h"

#include "../../platform/request_codec.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <random>

namespace limpettrestle {

namespace {

    /// Time between two rounds of house keeping: well below the shortest limit that it watches.
    constexpr Millis kHousePeriod { 250 };
    /// The same while the instance knows nothing yet: each round may be the one in which it can serve.
    constexpr Millis kStartPeriod { 50 };
    /// A gap of the loop beyond this means that the process was suspended or starved.
    constexpr Millis kSuspensionGap { 1000 };
    /// After a stop signal the balancer needs two missed checks, a second apart, to look elsewhere.
    constexpr Millis kBalancerLag { 2500 };
    /// Kept free before the end of the grace period.
    constexpr Millis kGraceMargin { 500 };
    /// Entries that lapsed while the registry was away are back within this time of its return.
    constexpr Millis kReturnTime { 2000 };
    /// Share of the allowed repeat ratio that is used; the rest covers windows that fall unevenly.
    constexpr double kRatioShare = 0.85;
    /// Marks requests of the dispatcher that come from other instances; the rest is the number of the exchange.
    constexpr uint64_t kGroupBit = 1ULL << 63;

} // namespace

/// Listener whose pages are answered at once.
class Gateway::PageServer final : public HttpHandlerI {
public:
    using Page = std::function<HttpResponse(const HttpRequest&)>;

    PageServer(uv_loop_t* loop, const ClockI& clock, Page page)
        : server(loop, *this, clock)
        , page_(std::move(page))
    {
    }

    void onRequest(ExchangeId exchange, HttpRequest request) override { server.respond(exchange, page_(request)); }
    void onCallerLeft(ExchangeId /*exchange*/) override { }

    HttpServer server;

private:
    Page page_;
};

Gateway::Gateway(const GatewaySettings& settings, std::string settingsFile, const ClockI& clock, EventLog& log)
    : settings_(settings)
    , settingsFile_(std::move(settingsFile))
    , clock_(clock)
    , log_(log)
    , directory_([this](const ReplicaPtr& replica) { replicaLeft(replica); })
    , changes_(static_cast<uint64_t>(std::random_device {}()) << 16 | 1)
    , fleet_(FleetSize::kAssumed)
{
    uv_loop_init(&loop_);
    makeDispatcher();
    callers_ = std::make_unique<HttpServer>(&loop_, *this, clock_);
    registry_ = std::make_unique<RegistryClient>(&loop_, clock_, settings_.registry, readingPace(), *this);
    makePeers();
}

ReadingPace Gateway::readingPace() const
{
    return ReadingPace::forReaction(std::min(settings_.drainReaction, settings_.configReaction));
}

void Gateway::makeDispatcher()
{
    plan_ = std::make_unique<GatherPlan>(GatherPlanInit { settings_.name, settings_.processorShare });
    links_ = std::make_unique<ReplicaLinks>(ReplicaLinksInit { &loop_, &clock_, &directory_, plan_.get() });
    gatherLinks_ = std::make_unique<GatherLinks>(&loop_, clock_);
    DispatcherInit init;
    init.plan = plan_.get();
    init.groups = gatherLinks_.get();
    init.reach = &reach_;
    init.clock = &clock_;
    init.transport = links_.get();
    init.answers = this;
    init.directory = &directory_;
    init.zone = settings_.zone;
    init.instance = settings_.name;
    init.seed = settings_.seed != 0 ? settings_.seed : std::random_device {}();
    init.repeatRatio = settings_.repeatRatio * kRatioShare;
    init.repeatSlack = settings_.repeatSlack;
    dispatcher_ = std::make_unique<Dispatcher>(init);
    links_->setDispatcher(*dispatcher_);
    gatherLinks_->setDispatcher(*dispatcher_);
}

void Gateway::makePeers()
{
    std::vector<Endpoint> peers;
    for (const Endpoint& seed : settings_.seeds) {
        if (seed.toString() == settings_.peer.toString())
            isReader_ = true;
        else
            peers.push_back(seed);
    }
    const size_t offset = peers.empty() ? 0 : std::hash<std::string> {}(settings_.name) % peers.size();
    const ReadingPace pace = readingPace();
    sources_ = std::make_unique<SourceChoice>(peers.size(), isReader_, offset, clock_.now(), pace.maxAge);
    peerServer_ = std::make_unique<PeerServer>(&loop_, clock_, *this, fleet_, instances_, *this);
    follower_ = std::make_unique<PeerFollower>(&loop_, clock_, self(), std::move(peers), isReader_, pace.followerHold, *sources_);
    follower_->setHandlers([this](const ChangesReply& reply) { return onPeerReply(reply); },
        [this](const Endpoint& peer, const std::string& reason) { log_.out().warn("event=dependency_lost name=peer address={} reason={}", peer.toString(), reason); });
}

Gateway::~Gateway() = default;

int Gateway::run()
{
    signal(SIGPIPE, SIG_IGN);
    if (!bindAll()) {
        log_.writeOut();
        return 1;
    }
    startTimers();
    registry_->start();
    chooseSource();
    log_.out().info("event=started name={} zone={} caller={} registry={} seeds={} reader={}", settings_.name, settings_.zone,
        settings_.caller.toString(), settings_.registry.toString(), settings_.seeds.size(), isReader_);
    uv_run(&loop_, UV_RUN_DEFAULT);
    log_.out().info("event=stopped name={} requests={}", settings_.name, dispatcher_->stats().requests);
    log_.writeOut();
    return 0;
}

bool Gateway::bindAll()
{
    if (!callers_->listen(settings_.caller.host, settings_.caller.port)) {
        log_.out().error("event=bind_failed address={}", settings_.caller.toString());
        return false;
    }
    if (!peerServer_->server.listen(settings_.peer.host, settings_.peer.port)) {
        log_.out().error("event=bind_failed address={}", settings_.peer.toString());
        return false;
    }
    const std::vector<std::pair<Endpoint, PageServer::Page>> listeners = {
        { settings_.readiness, [this](const HttpRequest& request) { return readinessPage(request); } },
        { settings_.metrics, [this](const HttpRequest& request) { return operatorPage(request); } },
    };
    for (const auto& [endpoint, page] : listeners) {
        pages_.push_back(std::make_unique<PageServer>(&loop_, clock_, page));
        if (!pages_.back()->server.listen(endpoint.host, endpoint.port)) {
            log_.out().error("event=bind_failed address={}", endpoint.toString());
            return false;
        }
    }
    return true;
}

void Gateway::startTimers()
{
    uv_timer_init(&loop_, &tickTimer_);
    tickTimer_.data = this;
    uv_timer_init(&loop_, &houseTimer_);
    houseTimer_.data = this;
    uv_timer_start(
        &houseTimer_, [](uv_timer_t* timer) { static_cast<Gateway*>(timer->data)->houseKeep(); }, 0, static_cast<uint64_t>(kStartPeriod.count()));
    uv_prepare_init(&loop_, &prepare_);
    prepare_.data = this;
    uv_prepare_start(&prepare_, [](uv_prepare_t* prepare) { static_cast<Gateway*>(prepare->data)->beforePoll(); });
    uv_signal_init(&loop_, &terminate_);
    terminate_.data = this;
    uv_signal_start(
        &terminate_, [](uv_signal_t* handle, int) { static_cast<Gateway*>(handle->data)->beginShutdown(); }, SIGTERM);
    uv_signal_init(&loop_, &reload_);
    reload_.data = this;
    uv_signal_start(
        &reload_, [](uv_signal_t* handle, int) { static_cast<Gateway*>(handle->data)->reloadSettings(); }, SIGHUP);
    lastBeatAt_ = clock_.now();
}

void Gateway::beforePoll()
{
    const TimePoint next = dispatcher_->nextTickAt();
    if (next == TimePoint::max()) {
        uv_timer_stop(&tickTimer_);
        return;
    }
    const auto wait = std::chrono::ceil<Millis>(next - clock_.now());
    uv_update_time(&loop_);
    uv_timer_start(
        &tickTimer_, [](uv_timer_t* timer) { static_cast<Gateway*>(timer->data)->dispatcher_->tick(); },
        static_cast<uint64_t>(std::max<int64_t>(0, wait.count())), 0);
}

void Gateway::houseKeep()
{
    checkSuspension();
    directory_.tick(clock_.now());
    chooseSource();
    updateFleetSize();
    updateInstances();
    callers_->sweep();
    peerServer_->tellNews();
    peerServer_->sweep();
    for (const auto& page : pages_)
        page->server.sweep();
    links_->sweep();
    gatherLinks_->sweep();
    updateReadiness();
    endIfDrained();
    log_.writeOut();
}

void Gateway::updateFleetSize()
{
    const uint32_t size = fleet_.size(clock_.now(), isReader_);
    if (size == fleetSize_)
        return;
    log_.out().info("event=fleet_size instances={} before={} reader={} following={}", size, fleetSize_, isReader_, fleet_.following(clock_.now()));
    fleetSize_ = size;
    dispatcher_->setFleetSize(size);
    plan_->setFleetSize(size);
}

void Gateway::updateInstances()
{
    instances_.seen(self(), clock_.now());
    std::vector<InstanceInfo> instances = instances_.ofZone(settings_.zone, clock_.now());
    const size_t count = instances.size();
    if (plan_->setInstances(std::move(instances)))
        log_.out().info("event=zone_instances count={}", count);
}

void Gateway::updateReadiness()
{
    const std::shared_ptr<const RouteTable>& table = dispatcher_->table();
    updateReach();
    if (table && hasDirectory_)
        reachability_.update(*table, directory_, reach_, clock_.now());
    if (isReady() == wasReady_)
        return;
    wasReady_ = !wasReady_;
    log_.out().info("event=readiness ready={} config_version={} replicas={} leaving={} cut_off={} routes_cut={}", wasReady_,
        table ? table->version() : 0, directory_.size(), isLeaving_, reachability_.isCutOff(), reachability_.routesCut());
}

void Gateway::updateReach()
{
    const TimePoint now = clock_.now();
    const std::vector<std::string> before = reach_.zonesOut();
    reach_.update(directory_, now);
    const std::vector<std::string> out = reach_.zonesOut();
    const std::vector<std::string> told = reach_.zonesToTell(now);
    if (out != before)
        log_.out().info("event=zones_out_of_reach zones={} before={} found={}", fmt::join(out, ","), fmt::join(before, ","), fmt::join(told, ","));
    if (told.empty())
        return;
    const std::string notice = encode(ReachNotice { settings_.name, told });
    for (const InstanceInfo& instance : instances_.ofZone(settings_.zone, now)) {
        if (instance.name != settings_.name)
            gatherLinks_->notify(instance, kReachPath, notice);
    }
}

void Gateway::onReachNotice(const ReachNotice& notice)
{
    reach_.told(notice.sender, notice.zones, clock_.now());
}

void Gateway::chooseSource()
{
    const bool reads = sources_->readsRegistry(clock_.now());
    if (reads != registry_->isActive()) {
        if (hasDirectory_)
            log_.out().info("event=source_changed reads_registry={} knowledge_age_ms={}", reads, sources_->age(clock_.now()).count());
        named_.clear();
        follower_->forgetPositions();
        registry_->setActive(reads);
    }
    follower_->step();
}

void Gateway::checkSuspension()
{
    const TimePoint now = clock_.now();
    const Millis gap = std::chrono::duration_cast<Millis>(now - lastBeatAt_) - kHousePeriod;
    lastBeatAt_ = now;
    if (gap < kSuspensionGap)
        return;
    log_.out().warn("event=woke_late gap_ms={} action=read_registry_anew", gap.count());
    links_->closeIdle();
    gatherLinks_->closeIdle();
    registry_->restart();
}

void Gateway::beginShutdown()
{
    if (isLeaving_)
        return;
    isLeaving_ = true;
    const TimePoint now = clock_.now();
    leaveAt_ = now + kBalancerLag;
    endAt_ = now + std::max(Millis(0), settings_.grace - kGraceMargin);
    callers_->setDraining();
    log_.out().info("event=shutdown_requested open_requests={} connections={}", dispatcher_->openRequests(), callers_->connections());
}

void Gateway::endIfDrained()
{
    if (!isLeaving_)
        return;
    const TimePoint now = clock_.now();
    if (now >= endAt_ || (now >= leaveAt_ && dispatcher_->openRequests() == 0))
        finishShutdown();
}

void Gateway::finishShutdown()
{
    callers_->stopListening();
    callers_->closeIdle();
    follower_->stop();
    registry_->stop();
    uv_stop(&loop_);
}

void Gateway::reloadSettings()
{
    boost::leaf::try_handle_all(
        [this]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(fresh, loadGatewaySettings(settingsFile_));
            settings_.seeds = fresh.seeds;
            settings_.grace = fresh.grace;
            log_.out().info("event=settings_reloaded file={} seeds={}", settingsFile_, settings_.seeds.size());
            return {};
        },
        [this](const SettingsError& error) { log_.out().error("event=settings_refused problem=\"{}\"", limpettrestle::formatSettingsError(error)); },
        [this] { log_.out().error("event=settings_refused problem=\"unknown\""); });
}

void Gateway::onRequest(ExchangeId exchange, HttpRequest request)
{
    ForwardedRequest forwarded = platform::decodeRequest(std::move(request));
    forwarded.commonHead = platform::encodeCommonHead(forwarded);
    dispatcher_->start(exchange, std::move(forwarded));
}

void Gateway::onCallerLeft(ExchangeId exchange)
{
    dispatcher_->callerLeft(exchange);
}

InstanceInfo Gateway::self() const
{
    return { settings_.name, settings_.zone, settings_.peer.host, settings_.peer.port };
}

void Gateway::onGroup(ExchangeId exchange, GroupRequest request)
{
    if (isLeaving_) {
        HttpResponse response;
        response.status = 503;
        peerServer_->server.respond(exchange, std::move(response));
        return;
    }
    dispatcher_->gather(exchange | kGroupBit, std::move(request));
}

void Gateway::onGroupLeft(ExchangeId exchange)
{
    dispatcher_->callerLeft(exchange | kGroupBit);
}

void Gateway::answerGroup(ExchangeId exchange, RouteAnswer answer, const RequestReport& report)
{
    log_.out().info("event=group id={} route={} code={} outcome={} took_us={} parts={}/{} calls={} repeats={} trail=\"{}\"", report.requestId, report.route,
        static_cast<int>(report.code), resultCodeInfo(report.code).name, report.taken.count(), report.covered, report.parts, report.callsSent, report.repeats, report.trail);
    HttpResponse response;
    if (answer.isMerged || !answer.missing.empty()) {
        response.status = 200;
        response.body = encode(GroupReply { std::move(answer.partSignatures), std::move(answer.missing), std::move(answer.body), report.callsSent, report.repeats });
    } else {
        response.status = 503;
    }
    peerServer_->server.respond(exchange, std::move(response));
}

void Gateway::answer(uint64_t request, RouteAnswer answer, const RequestReport& report)
{
    if ((request & kGroupBit) != 0) {
        answerGroup(request & ~kGroupBit, std::move(answer), report);
        return;
    }
    metrics_.addRequest(report);
    if (report.isMerged)
        reachability_.countRequest(report.route);
    log_.out().info("event=request id={} route={} config_version={} code={} outcome={} status={} took_us={} patience_ms={} parts={}/{} calls={} repeats={} late={} trail=\"{}\"",
        report.requestId, report.route, report.configVersion, static_cast<int>(report.code), resultCodeInfo(report.code).name, report.status,
        report.taken.count(), report.patience.count(), report.covered, report.parts, report.callsSent, report.repeats, report.isLate, report.trail);
    HttpResponse response = platform::encodeAnswer(std::move(answer), report.requestId);
    // A caller that stays on its connection would stay with an instance that cannot serve it.
    response.isLast = !isReady();
    callers_->respond(request, std::move(response));
}

void Gateway::onRegistryItems(std::vector<platform::StoreItem> items, const RegistrySync& sync)
{
    const TimePoint now = clock_.now();
    if (sync.isCaughtUp())
        sources_->registryAnswered(now);
    if (sync.hasReturned())
        directory_.deferRemovals(now + kReturnTime);
    for (platform::StoreItem& item : items)
        std::visit([this](auto& entry) { applyItem(entry); }, item);
    if (sync.hasCompletedReading()) {
        directory_.retainOnly(named_, now);
        named_.clear();
        completeDirectory();
    }
    peerServer_->tellNews();
}

void Gateway::onRegistryAvailability(bool isAvailable, const std::string& reason)
{
    if (isAvailable) {
        log_.out().info("event=dependency_regained name=registry");
        return;
    }
    log_.out().warn("event=dependency_lost name=registry reason={}", reason);
    sources_->registryFailed(clock_.now());
    follower_->forgetPositions();
    follower_->step();
}

void Gateway::completeDirectory()
{
    if (!hasDirectory_)
        log_.out().info("event=registry_read direct={} replicas={}", registry_->isActive(), directory_.size());
    hasDirectory_ = true;
    uv_timer_set_repeat(&houseTimer_, static_cast<uint64_t>(kHousePeriod.count()));
}

void Gateway::replicaLeft(const ReplicaPtr& replica)
{
    links_->replicaLeft(replica);
    if (!replica->isListed)
        changes_.replicaRemoved(replica->entry.id);
}

void Gateway::applyItem(const platform::ReplicaWritten& item)
{
    named_.insert(item.entry.id);
    applyReplica(item.entry);
}

void Gateway::applyReplica(const ReplicaEntry& entry)
{
    const ReplicaPtr before = directory_.find(entry.id);
    const ReplicaState stateBefore = before ? before->entry.state : ReplicaState::Ready;
    directory_.apply(entry, clock_.now());
    const ReplicaPtr after = directory_.find(entry.id);
    if (before == after && after->entry.state == stateBefore)
        return;
    changes_.replicaWritten(entry.id);
    if (hasDirectory_)
        log_.out().info("event=replica id={} service={} state={} born={} seq={}", entry.id, entry.service, name(entry.state), entry.startedAt, entry.sequence);
}

void Gateway::applyItem(const platform::ReplicaRemoved& item)
{
    if (directory_.find(item.id))
        log_.out().info("event=replica id={} state=removed", item.id);
    named_.erase(item.id);
    directory_.remove(item.id, clock_.now());
}

void Gateway::applyItem(platform::ConfigWritten& item)
{
    applyConfig(std::move(item.document), "registry");
}

void Gateway::applyConfig(RoutingDocument document, std::string_view source)
{
    const uint64_t version = document.version;
    const uint64_t before = configVersion();
    const size_t routes = document.routes.size();
    if (version <= before || !dispatcher_->useTable(std::make_shared<const RouteTable>(std::move(document))))
        return;
    changes_.configChanged();
    follower_->setConfigVersion(version);
    callers_->setLimits(dispatcher_->table()->limits());
    log_.out().info("event=config_in_force version={} before={} routes={} source={}", version, before, routes, source);
}

void Gateway::applyItem(const platform::BadItem& item)
{
    log_.out().warn("event=registry_item_refused key={} problem=\"{}\"", item.key, item.problem);
    if (item.replicaId.empty())
        return;
    named_.erase(item.replicaId);
    directory_.remove(item.replicaId, clock_.now());
}

bool Gateway::onPeerReply(const ChangesReply& reply)
{
    const TimePoint now = clock_.now();
    if (isReader_)
        fleet_.readerTold(reply.sender, reply.following, now);
    else
        fleet_.sizeTold(reply.fleet, now);
    if (reply.instances)
        instances_.told(reply.sender, *reply.instances, now);
    else
        instances_.stillTold(reply.sender, now);
    if (reply.config)
        applyConfig(*reply.config, reply.sender);
    const bool isTaken = reply.tellsReplicas && sources_->takesReplicas(registry_->isActive(), reply.age, now);
    if (isTaken)
        applyPeerReplicas(reply);
    else if (!isReader_)
        log_.out().info("event=knowledge_refused reader={} age_ms={} own_age_ms={}", reply.sender, reply.age.count(), sources_->age(now).count());
    peerServer_->tellNews();
    return isTaken;
}

void Gateway::applyPeerReplicas(const ChangesReply& reply)
{
    const TimePoint now = clock_.now();
    for (const ReplicaEntry& entry : reply.written)
        applyReplica(entry);
    for (const std::string& id : reply.removed) {
        if (hasDirectory_ && directory_.find(id))
            log_.out().info("event=replica id={} state=removed reader={}", id, reply.sender);
        directory_.remove(id, now);
    }
    if (!reply.isWhole)
        return;
    absl::flat_hash_set<std::string> named;
    for (const ReplicaEntry& entry : reply.written)
        named.insert(entry.id);
    directory_.retainOnly(named, now);
    completeDirectory();
}

bool Gateway::hasKnowledge() const
{
    return hasDirectory_ && dispatcher_->table() != nullptr;
}

ChangesReply Gateway::describe(const ChangeSet& changes, const ChangesRequest& request) const
{
    const TimePoint now = clock_.now();
    ChangesReply reply;
    reply.upTo = changes.upTo;
    reply.isWhole = changes.isWhole;
    reply.age = sources_->age(now);
    reply.sender = settings_.name;
    reply.following = fleet_.following(now);
    reply.fleet = fleet_.size(now, isReader_);
    std::vector<InstanceInfo> instances;
    if (request.follower.name.empty())
        instances = instances_.followers(now);
    else
        instances = instances_.ofZone(request.follower.zone, now);
    reply.instancesDigest = digestOf(instances);
    if (reply.instancesDigest != request.instances)
        reply.instances = std::move(instances);
    for (const std::string& id : changes.written) {
        if (const ReplicaPtr replica = directory_.find(id))
            reply.written.push_back(replica->entry);
    }
    reply.removed = changes.removed;
    if (changes.hasConfig && configVersion() > request.configVersion)
        reply.config = dispatcher_->table()->document();
    return reply;
}

Millis Gateway::age() const
{
    return sources_->age(clock_.now());
}

uint64_t Gateway::configVersion() const
{
    return dispatcher_->table() ? dispatcher_->table()->version() : 0;
}

bool Gateway::isReady() const
{
    return !isLeaving_ && hasDirectory_ && dispatcher_->table() != nullptr && !reachability_.isCutOff();
}

} // namespace limpettrestle
