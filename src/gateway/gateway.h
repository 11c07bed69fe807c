#pragma once

/// One gateway process: an event loop that connects callers, the dispatcher, replicas, peers and the registry.

#include "../net/http_server.h"
#include "../process/cold_replicas.h"
#include "../process/cpu_clock.h"
#include "../process/reachability.h"
#include "../process/stop_schedule.h"
#include "../process/suspension_detector.h"
#include "cluster_state.h"
#include "crash_exchange.h"
#include "event_log.h"
#include "gateway_metrics.h"
#include "instance_links.h"
#include "peer_exchange.h"
#include "registry_client.h"
#include "replica_links.h"

namespace limpettrestle {

class PageServer;

class Gateway final : public HttpHandlerI, public AnswerSinkI, public RegistryHandlerI, public ClusterStateI, public PeerHandlerI, public ReplicaAnnouncementsI, public CrashObserverI {
public:
    Gateway(const GatewaySettings& settings, std::string settingsFile, const ClockI& clock, const CpuClockI& cpuClock, EventLog& log);
    ~Gateway() override;

    /// Serves until SIGTERM. Returns the exit code of the process.
    int run();

private:
    void onRequest(ExchangeId exchange, HttpRequest request) override;
    void onCallerDisconnected(ExchangeId exchange) override;
    void answer(uint64_t request, RouteAnswer answer, const RequestReport& report) override;
    void onRegistryItems(std::vector<platform::StoreItem> items, const RegistrySync& sync) override;
    void onRegistryEra(uint64_t era, uint64_t before) override;
    void onRegistryAvailability(bool isAvailable, const std::string& reason) override;

    bool hasClusterState() const override;
    const ChangeLog& changes() const override { return state_.changes(); }
    Millis stateAge() const override;
    uint64_t stateEra() const override { return state_.era(); }
    std::shared_ptr<const RouteTable> configuration() const override;
    ChangesReply makeChangesReply(const ChangeSet& changes, const ChangesRequest& request) const override;
    void onGroup(ExchangeId exchange, GroupRequest request) override;
    void onRelay(ExchangeId exchange, RelayRequest request) override;
    void onExchangeCancelled(ExchangeId exchange) override;
    void onReachNotice(const ReachNotice& notice) override;
    void onReplicaLeaving(const Replica& replica, std::string_view source) override;
    void onReplicaBackOff(const Replica& replica, Millis time) override;
    void onReplicaRateLimit(const Replica& replica, uint32_t sharers) override;
    void onAdmission(const AdmissionState& state) override;
    void onCallLost(const Replica& replica, const ForwardedRequest& request) override;
    void onReplicaCrashed(const Replica& replica, CrashEvidence evidence, const std::vector<CrashReport>& reports) override;
    void onRequestCleared(RequestFingerprint request) override;
    void onRequestQuarantined(RequestFingerprint request) override;
    void onCrashNotice(const CrashNotice& notice) override;
    /// True if the cluster state is recent and the other instances list this one.
    bool isInTouch() const;
    /// Applies the limits on calls to cold replicas and logs which replicas have become cold or warm.
    void updateColdReplicas();
    /// Looks for crashes that show late, and ends quarantines whose time is over.
    void updateQuarantines();
    /// Applies the quarantines in a reader's reply.
    void adoptQuarantines(const ChangesReply& reply);
    /// Applies the shared facts in a reader's reply.
    void adoptFacts(const ChangesReply& reply);
    /// Called after the shared facts may have changed.
    void updateFacts();
    /// True when this instance must apply evacuations, and neither it nor the sender of the reply has read them.
    bool lacksFacts(const ChangesReply& reply) const;
    /// Adds the shared facts to a reply if the requester has others.
    void addFacts(const ChangesRequest& request, ChangesReply& reply) const;
    /// Updates the unreachable zones and announces them to the other instances of the zone.
    void updateReach();
    /// Replies to the instance for which a group was gathered, or which relayed a request.
    void answerGroup(ExchangeId exchange, RouteAnswer answer, const RequestReport& report);
    void answerRelay(ExchangeId exchange, RouteAnswer answer, const RequestReport& report);
    void rejectPeer(ExchangeId exchange);
    InstanceInfo instanceInfo() const;
    /// Version of the active configuration; 0 when there is none.
    uint64_t configVersion() const;
    /// Applies a reader's reply. Returns false when its replicas were not accepted.
    bool onPeerReply(const ChangesReply& reply);

    RegistryPollTiming registryPollTiming() const;
    void makeDispatcher();
    void makePeerExchange();
    bool bindAll();
    /// Switches between reading the registry and following a reader.
    void chooseSource();
    void applyConfig(RoutingDocument document, std::string_view source);
    /// Called after changes of the cluster state: records that it has become complete.
    void noteCompleteState(bool wasComplete);
    void startTimers();
    /// Takes memory back from clients if there is too little, and sets the timer for the dispatcher's next tick. Called before the loop waits for I/O.
    void scheduleTick();
    void runMaintenance();
    /// Returns the totals over all listeners.
    HttpServerStats clientStats() const;
    size_t clientConnections() const;
    /// Logs whether clients have met a limit since the last call.
    void logClientLimits();
    /// Detects from a late maintenance run that the process was suspended, and renews connections and cluster state then.
    void checkSuspension();
    void beginShutdown();
    /// Stops the loop when all requests are answered or the grace period ends.
    void finishShutdownIfDrained();
    void finishShutdown(std::string_view reason);
    /// Logs the requests that end without an answer because the process ends.
    void logCutRequests();
    void reloadSettings();

    bool isReady() const;
    void updateReadiness();
    void updateFleetSize();
    void updateInstances();
    HttpResponse readinessPage(const HttpRequest& request) const;
    HttpResponse operatorPage(const HttpRequest& request);
    HttpResponse metricsPage();
    HttpResponse statusPage() const;

    GatewaySettings settings_;
    const ZoneRegions regions_;
    const std::string settingsFile_;
    const ClockI& clock_;
    const CpuClockI& cpuClock_;
    EventLog& log_;
    uv_loop_t loop_;
    uv_timer_t tickTimer_;
    uv_timer_t maintenanceTimer_;
    uv_prepare_t prepareHandle_;
    uv_signal_t terminateSignal_;
    /// SIGINT of an operator's terminal; handled like SIGTERM.
    uv_signal_t interruptSignal_;
    uv_signal_t reloadSignal_;
    GatewayMetrics metrics_;
    ClusterState state_;
    std::unique_ptr<ReplicaLinks> replicaLinks_;
    std::unique_ptr<InstanceLinks> instanceLinks_;
    std::unique_ptr<GatherPlan> plan_;
    CrashLedger crashLedger_;
    std::unique_ptr<CrashExchange> crashExchange_;
    InstanceDirectory instances_;
    std::unique_ptr<Dispatcher> dispatcher_;
    std::unique_ptr<HttpServer> callerServer_;
    std::vector<std::unique_ptr<PageServer>> pageServers_;
    std::unique_ptr<RegistryClient> registryClient_;
    FleetSize fleet_;
    const ClientShares clientShares_;
    /// Totals at the last log line about the limits on clients.
    HttpServerStats loggedClientStats_;
    /// This instance is one of the seeds, which read the registry for the others.
    bool isReader_ = false;
    uint32_t lastFleetSize_ = 0;
    std::unique_ptr<SourceChoice> sourceChoice_;
    std::unique_ptr<PeerServer> peerServer_;
    std::unique_ptr<PeerFollower> follower_;
    SuspensionDetector suspensions_ { settings_.processorShare };
    ZoneReach reach_;
    Reachability reachability_ { &regions_ };
    ColdReplicaMonitor coldReplicas_;
    StopSchedule stop_;
    bool wasReady_ = false;
};

} // namespace limpettrestle
