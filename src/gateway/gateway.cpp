#include "gateway.h"

#include "../../platform/request_codec.h"
#include "page_server.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <limits>
#include <random>
#include <sys/resource.h>

namespace limpettrestle {

namespace {

    /// Interval of the maintenance timer, well below the shortest timeout that it checks.
    constexpr Millis kMaintenancePeriod { 250 };
    /// Interval until the directory is complete, because any run may be the one that makes the instance ready.
    constexpr Millis kStartupMaintenancePeriod { 50 };
    /// Time after which a notice of unreachable zones that could not be sent is dropped; it is renewed in each run of the maintenance.
    constexpr Millis kReachNoticeValidity { 500 };
    /// Share of the configured repeat ratio that is used. The rest covers measuring windows that are not aligned.
    constexpr double kRepeatRatioShare = 0.85;
    /// Set in the dispatcher's IDs of groups and relayed requests from other instances. The other bits are the exchange ID.
    constexpr uint64_t kGroupRequestBit = 1ULL << 63;
    constexpr uint64_t kRelayRequestBit = 1ULL << 62;

    /// Returns the system's limit on the descriptors of the process.
    size_t systemDescriptors()
    {
        rlimit limit {};
        return getrlimit(RLIMIT_NOFILE, &limit) == 0 ? static_cast<size_t>(limit.rlim_cur) : std::numeric_limits<size_t>::max();
    }

} // namespace

Gateway::Gateway(const GatewaySettings& settings, std::string settingsFile, const ClockI& clock, const CpuClockI& cpuClock, EventLog& log)
    : settings_(settings)
    , regions_(settings_.regions)
    , settingsFile_(std::move(settingsFile))
    , clock_(clock)
    , cpuClock_(cpuClock)
    , log_(log)
    , state_(
          clock_, log_.output(), [this](const ReplicaPtr& replica) { replicaLinks_->retireReplica(replica); }, [this](RoutingDocument document) { applyConfig(std::move(document), "registry"); })
    , fleet_(FleetSize::kDefaultSize)
    , clientShares_(shareOut(settings_, systemDescriptors()))
{
    uv_loop_init(&loop_);
    makeDispatcher();
    ClientBudget::ofProcess().setMaxBytes(clientShares_.bytes);
    callerServer_ = std::make_unique<HttpServer>(&loop_, *this, clock_);
    callerServer_->setMaxConnections(clientShares_.callerConnections);
    registryClient_ = std::make_unique<RegistryClient>(&loop_, clock_, settings_.registry, registryPollTiming(), *this);
    makePeerExchange();
}

RegistryPollTiming Gateway::registryPollTiming() const
{
    const Millis reaction = std::min(settings_.drainReaction, settings_.configReaction);
    return RegistryPollTiming::forReactionTime(std::min(reaction, settings_.evacuationReaction.value_or(reaction)));
}

void Gateway::makeDispatcher()
{
    plan_ = std::make_unique<GatherPlan>(GatherPlanInit { settings_.name, settings_.processorShare, &regions_ });
    replicaLinks_ = std::make_unique<ReplicaLinks>(ReplicaLinksInit { &loop_, &clock_, &state_.directory(), plan_.get() });
    instanceLinks_ = std::make_unique<InstanceLinks>(&loop_, clock_);
    DispatcherInit init;
    init.plan = plan_.get();
    init.groups = instanceLinks_.get();
    init.relays = instanceLinks_.get();
    init.announcements = this;
    init.crashes = this;
    init.crashLedger = &crashLedger_;
    init.reach = &reach_;
    init.clock = &clock_;
    init.transport = replicaLinks_.get();
    init.answers = this;
    init.directory = &state_.directory();
    init.regions = &regions_;
    init.zone = settings_.zone;
    init.instance = settings_.name;
    init.seed = settings_.seed != 0 ? settings_.seed : std::random_device {}();
    init.repeatRatio = settings_.repeatRatio * kRepeatRatioShare;
    init.repeatSlack = settings_.repeatSlack;
    init.coldExcess = settings_.coldExcess;
    init.coldSlack = settings_.coldSlack;
    dispatcher_ = std::make_unique<Dispatcher>(init);
    state_.directory().setColdHandler([this](const ReplicaPtr& replica) { dispatcher_->replicaTurnedCold(replica); });
    replicaLinks_->setDispatcher(*dispatcher_);
    instanceLinks_->setDispatcher(*dispatcher_);
    crashExchange_ = std::make_unique<CrashExchange>(CrashExchangeInit { &clock_, instanceInfo(), &crashLedger_, &instances_, instanceLinks_.get(), settings_.seeds });
}

void Gateway::makePeerExchange()
{
    std::vector<Endpoint> peers;
    for (const Endpoint& seed : settings_.seeds) {
        if (seed.toString() == settings_.peer.toString())
            isReader_ = true;
        else
            peers.push_back(seed);
    }
    const size_t offset = peers.empty() ? 0 : std::hash<std::string> {}(settings_.name) % peers.size();
    const RegistryPollTiming timing = registryPollTiming();
    sourceChoice_ = std::make_unique<SourceChoice>(peers.size(), isReader_, offset, clock_.now(), timing.maxAge);
    peerServer_ = std::make_unique<PeerServer>(&loop_, clock_, *this, fleet_, instances_, *this);
    peerServer_->server.setMaxConnections(clientShares_.peerConnections);
    follower_ = std::make_unique<PeerFollower>(&loop_, clock_, instanceInfo(), std::move(peers), isReader_, timing.followerHold, *sourceChoice_);
    if (settings_.evacuationReaction)
        follower_->requireFacts();
    follower_->setHandlers([this](const ChangesReply& reply) { return onPeerReply(reply); },
        [this](const Endpoint& peer, const std::string& reason) { log_.logger().warn("event=dependency_lost name=peer address={} reason={}", peer.toString(), reason); });
}

Gateway::~Gateway() = default;

int Gateway::run()
{
    signal(SIGPIPE, SIG_IGN);
    if (!bindAll()) {
        log_.writePending();
        return 1;
    }
    startTimers();
    registryClient_->start();
    chooseSource();
    log_.logger().info("event=started name={} zone={} caller={} registry={} seeds={} reader={}", settings_.name, settings_.zone,
        settings_.caller.toString(), settings_.registry.toString(), settings_.seeds.size(), isReader_);
    uv_run(&loop_, UV_RUN_DEFAULT);
    log_.writePending();
    return 0;
}

bool Gateway::bindAll()
{
    if (!callerServer_->listen(settings_.caller.host, settings_.caller.port)) {
        log_.logger().error("event=bind_failed address={}", settings_.caller.toString());
        return false;
    }
    if (!peerServer_->server.listen(settings_.peer.host, settings_.peer.port)) {
        log_.logger().error("event=bind_failed address={}", settings_.peer.toString());
        return false;
    }
    const std::vector<std::pair<Endpoint, PageServer::PageHandler>> listeners = {
        { settings_.readiness, [this](const HttpRequest& request) { return readinessPage(request); } },
        { settings_.metrics, [this](const HttpRequest& request) { return operatorPage(request); } },
    };
    for (const auto& [endpoint, handler] : listeners) {
        pageServers_.push_back(std::make_unique<PageServer>(&loop_, clock_, handler));
        pageServers_.back()->server.setMaxConnections(clientShares_.pageConnections);
        if (!pageServers_.back()->server.listen(endpoint.host, endpoint.port)) {
            log_.logger().error("event=bind_failed address={}", endpoint.toString());
            return false;
        }
    }
    return true;
}

void Gateway::startTimers()
{
    uv_timer_init(&loop_, &tickTimer_);
    tickTimer_.data = this;
    uv_timer_init(&loop_, &maintenanceTimer_);
    maintenanceTimer_.data = this;
    uv_timer_start(
        &maintenanceTimer_, [](uv_timer_t* timer) { static_cast<Gateway*>(timer->data)->runMaintenance(); }, 0, static_cast<uint64_t>(kStartupMaintenancePeriod.count()));
    uv_prepare_init(&loop_, &prepareHandle_);
    prepareHandle_.data = this;
    uv_prepare_start(&prepareHandle_, [](uv_prepare_t* prepare) { static_cast<Gateway*>(prepare->data)->scheduleTick(); });
    uv_signal_init(&loop_, &terminateSignal_);
    terminateSignal_.data = this;
    uv_signal_start(
        &terminateSignal_, [](uv_signal_t* handle, int) { static_cast<Gateway*>(handle->data)->beginShutdown(); }, SIGTERM);
    uv_signal_init(&loop_, &interruptSignal_);
    interruptSignal_.data = this;
    uv_signal_start(
        &interruptSignal_, [](uv_signal_t* handle, int) { static_cast<Gateway*>(handle->data)->beginShutdown(); }, SIGINT);
    uv_signal_init(&loop_, &reloadSignal_);
    reloadSignal_.data = this;
    uv_signal_start(
        &reloadSignal_, [](uv_signal_t* handle, int) { static_cast<Gateway*>(handle->data)->reloadSettings(); }, SIGHUP);
    suspensions_.start(clock_.now(), cpuClock_.used());
}

void Gateway::scheduleTick()
{
    ClientBudget::ofProcess().reclaim();
    crashExchange_->flush();
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

void Gateway::runMaintenance()
{
    checkSuspension();
    state_.tick();
    updateFacts();
    updateQuarantines();
    dispatcher_->checkRefusals();
    chooseSource();
    updateFleetSize();
    updateInstances();
    updateColdReplicas();
    callerServer_->checkTimeouts();
    peerServer_->answerHeldRequests();
    peerServer_->checkTimeouts();
    for (const auto& pageServer : pageServers_)
        pageServer->server.checkTimeouts();
    replicaLinks_->maintainConnections();
    instanceLinks_->checkTimeouts();
    logClientLimits();
    updateReadiness();
    finishShutdownIfDrained();
    log_.writePending();
}

void Gateway::updateFleetSize()
{
    const uint32_t size = fleet_.size(clock_.now(), isReader_);
    if (size == lastFleetSize_)
        return;
    log_.logger().info("event=fleet_size instances={} before={} reader={} following={}", size, lastFleetSize_, isReader_, fleet_.following(clock_.now()));
    lastFleetSize_ = size;
    dispatcher_->setFleetSize(size);
    plan_->setFleetSize(size);
}

void Gateway::updateInstances()
{
    instances_.recordInstance(instanceInfo(), clock_.now());
    std::vector<InstanceInfo> all = instances_.all(clock_.now());
    std::vector<InstanceInfo> instances;
    std::copy_if(all.begin(), all.end(), std::back_inserter(instances), [this](const InstanceInfo& instance) { return instance.zone == settings_.zone; });
    if (isInTouch())
        dispatcher_->setCurrentInstances(all);
    dispatcher_->setInstances(std::move(all));
    const size_t count = instances.size();
    if (plan_->setInstances(std::move(instances)))
        log_.logger().info("event=zone_instances count={}", count);
}

void Gateway::updateReadiness()
{
    const std::shared_ptr<const RouteTable>& table = dispatcher_->table();
    updateReach();
    if (table && state_.isComplete())
        reachability_.update(*table, state_.directory(), reach_, clock_.now());
    if (isReady() == wasReady_)
        return;
    wasReady_ = !wasReady_;
    log_.logger().info("event=readiness ready={} config_version={} replicas={} leaving={} cut_off={} routes_cut={}", wasReady_,
        table ? table->version() : 0, state_.directory().size(), stop_.hasBegun(), reachability_.isCutOff(), reachability_.cutOffRoutes());
}

void Gateway::updateReach()
{
    const TimePoint now = clock_.now();
    const std::vector<std::string> previous = reach_.unreachableZones();
    reach_.update(state_.directory(), now);
    const std::vector<std::string> current = reach_.unreachableZones();
    const std::vector<std::string> announced = reach_.zonesToAnnounce(now);
    if (current != previous)
        log_.logger().info("event=zones_out_of_reach zones={} before={} found={}", fmt::join(current, ","), fmt::join(previous, ","), fmt::join(announced, ","));
    for (const std::string& zone : reach_.zonesToProbe(state_.directory(), now))
        replicaLinks_->probeZone(zone);
    if (announced.empty())
        return;
    const auto notice = std::make_shared<const std::string>(encode(ReachNotice { settings_.name, announced }));
    for (const InstanceInfo& instance : instances_.inZone(settings_.zone, now)) {
        if (instance.name != settings_.name)
            instanceLinks_->notify(instance, kReachPath, notice, kReachNoticeValidity);
    }
}

void Gateway::onReachNotice(const ReachNotice& notice)
{
    reach_.recordNotice(notice.sender, notice.zones, clock_.now());
}

void Gateway::chooseSource()
{
    const bool readsRegistry = sourceChoice_->readsRegistry(clock_.now());
    if (readsRegistry != registryClient_->isActive()) {
        if (state_.isComplete())
            log_.logger().info("event=source_changed reads_registry={} knowledge_age_ms={}", readsRegistry, sourceChoice_->age(clock_.now()).count());
        state_.restartReading();
        follower_->resetPositions();
        registryClient_->setActive(readsRegistry);
    }
    follower_->tick();
}

void Gateway::checkSuspension()
{
    const std::optional<LateRun> late = suspensions_.recordRun(clock_.now(), cpuClock_.used(), kMaintenancePeriod);
    if (!late)
        return;
    log_.logger().warn("event=woke_late gap_ms={} cpu_ms={} action={}", late->delay.count(), late->cpuTime.count(), late->isSuspension ? "read_registry_anew" : "none");
    if (!late->isSuspension)
        return;
    replicaLinks_->closeIdle();
    instanceLinks_->closeIdle();
    registryClient_->restart();
}

void Gateway::reloadSettings()
{
    boost::leaf::try_handle_all(
        [this]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(reloaded, loadGatewaySettings(settingsFile_));
            settings_.seeds = reloaded.seeds;
            settings_.grace = reloaded.grace;
            log_.logger().info("event=settings_reloaded file={} seeds={}", settingsFile_, settings_.seeds.size());
            return {};
        },
        [this](const SettingsError& error) { log_.logger().error("event=settings_refused problem=\"{}\"", limpettrestle::formatSettingsError(error)); },
        [this] { log_.logger().error("event=settings_refused problem=\"unknown\""); });
}

void Gateway::onRequest(ExchangeId exchange, HttpRequest request)
{
    ForwardedRequest forwarded = platform::decodeRequest(std::move(request));
    forwarded.commonHead = platform::encodeCommonHead(forwarded);
    dispatcher_->start(exchange, std::move(forwarded));
}

void Gateway::onCallerDisconnected(ExchangeId exchange)
{
    dispatcher_->callerDisconnected(exchange);
}

InstanceInfo Gateway::instanceInfo() const
{
    return { settings_.name, settings_.zone, settings_.peer.host, settings_.peer.port, kOwnFeatures };
}

void Gateway::onGroup(ExchangeId exchange, GroupRequest request)
{
    if (stop_.hasBegun())
        rejectPeer(exchange);
    else
        dispatcher_->gather(exchange | kGroupRequestBit, std::move(request));
}

void Gateway::onRelay(ExchangeId exchange, RelayRequest request)
{
    if (stop_.hasBegun()) {
        rejectPeer(exchange);
        return;
    }
    request.forwarded.commonHead = platform::encodeCommonHead(request.forwarded);
    request.forwarded.fingerprint = platform::fingerprintOf(request.forwarded);
    dispatcher_->startRelayed(exchange | kRelayRequestBit, std::move(request));
}

void Gateway::rejectPeer(ExchangeId exchange)
{
    HttpResponse response;
    response.status = 503;
    peerServer_->server.respond(exchange, std::move(response));
}

void Gateway::onExchangeCancelled(ExchangeId exchange)
{
    dispatcher_->callerDisconnected(exchange | kGroupRequestBit);
    dispatcher_->callerDisconnected(exchange | kRelayRequestBit);
}

void Gateway::answerGroup(ExchangeId exchange, RouteAnswer answer, const RequestReport& report)
{
    log_.logger().info("event=group id={} route={} code={} outcome={} took_us={} parts={}/{} calls={} repeats={} trail=\"{}\"", report.requestId, report.route,
        static_cast<int>(report.code), resultCodeInfo(report.code).name, report.duration.count(), report.coveredParts, report.parts, report.callsSent, report.repeats, report.trail);
    HttpResponse response;
    if (answer.isMerged || !answer.missing.empty()) {
        response.status = 200;
        response.body = encode(GroupReply { std::move(answer.partSignatures), std::move(answer.missing), std::move(answer.body), report.callsSent, report.repeats, std::move(answer.leavingReplicas), std::move(answer.rateLimits), std::move(answer.admittedFractions) });
    } else {
        response.status = 503;
    }
    peerServer_->server.respond(exchange, std::move(response));
}

void Gateway::answerRelay(ExchangeId exchange, RouteAnswer answer, const RequestReport& report)
{
    log_.logger().info("event=relayed_request id={} route={} code={} outcome={} status={} took_us={} parts={}/{} calls={} repeats={} trail=\"{}\"", report.requestId, report.route,
        static_cast<int>(report.code), resultCodeInfo(report.code).name, report.status, report.duration.count(), report.coveredParts, report.parts, report.callsSent, report.repeats, report.trail);
    HttpResponse response;
    response.status = 200;
    response.body = encode(RelayReply { std::move(answer), report.configVersion, report.callsSent, report.repeats });
    peerServer_->server.respond(exchange, std::move(response));
}

void Gateway::answer(uint64_t request, RouteAnswer answer, const RequestReport& report)
{
    if ((request & kRelayRequestBit) != 0) {
        answerRelay(request & ~kRelayRequestBit, std::move(answer), report);
        return;
    }
    if ((request & kGroupRequestBit) != 0) {
        answerGroup(request & ~kGroupRequestBit, std::move(answer), report);
        return;
    }
    metrics_.addRequest(report);
    if (report.isMerged)
        reachability_.countRequest(report.route);
    log_.logger().info("event=request id={} route={} config_version={} code={} outcome={} status={} took_us={} patience_ms={} parts={}/{} calls={} repeats={} late={} trail=\"{}\"",
        report.requestId, report.route, report.configVersion, static_cast<int>(report.code), resultCodeInfo(report.code).name, report.status,
        report.duration.count(), report.callerTimeout.count(), report.coveredParts, report.parts, report.callsSent, report.repeats, report.isLate, report.trail);
    HttpResponse response = platform::encodeAnswer(std::move(answer), report.requestId);
    // Closing the connection lets the caller reconnect to another instance when this one is not ready.
    response.isLast = !isReady();
    callerServer_->respond(request, std::move(response));
}

void Gateway::noteCompleteState(bool wasComplete)
{
    if (wasComplete || !state_.isComplete())
        return;
    log_.logger().info("event=registry_read direct={} replicas={}", registryClient_->isActive(), state_.directory().size());
    uv_timer_set_repeat(&maintenanceTimer_, static_cast<uint64_t>(kMaintenancePeriod.count()));
}

uint64_t Gateway::configVersion() const
{
    return dispatcher_->table() ? dispatcher_->table()->version() : 0;
}

bool Gateway::isReady() const
{
    return !stop_.hasBegun() && state_.isComplete() && dispatcher_->table() != nullptr && !reachability_.isCutOff();
}

} // namespace limpettrestle
