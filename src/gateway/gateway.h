#pragma once

/// One gateway process: an event loop that joins callers, decisions, replicas and the registry.

#include "../net/http_server.h"
#include "../process/reachability.h"
#include "event_log.h"
#include "gateway_metrics.h"
#include "gather_links.h"
#include "peer_exchange.h"
#include "registry_client.h"
#include "replica_links.h"

namespace limpettrestle {

class Gateway final : public HttpHandlerI, public AnswerSinkI, public RegistryHandlerI, public ClusterStateI, public PeerHandlerI {
public:
    Gateway(const GatewaySettings& settings, std::string settingsFile, const ClockI& clock, EventLog& log);
    ~Gateway() override;

    /// Serves until the process is told to end. Returns the exit code.
    int run();

private:
    class PageServer;

    void onRequest(ExchangeId exchange, HttpRequest request) override;
    void onCallerDisconnected(ExchangeId exchange) override;
    void answer(uint64_t request, RouteAnswer answer, const RequestReport& report) override;
    void onRegistryItems(std::vector<platform::StoreItem> items, const RegistrySync& sync) override;
    void onRegistryAvailability(bool isAvailable, const std::string& reason) override;

    bool hasClusterState() const override;
    const ChangeLog& changes() const override { return changes_; }
    Millis stateAge() const override;
    ChangesReply makeChangesReply(const ChangeSet& changes, const ChangesRequest& request) const override;
    void onGroup(ExchangeId exchange, GroupRequest request) override;
    void onGroupCancelled(ExchangeId exchange) override;
    void onReachNotice(const ReachNotice& notice) override;
    /// Finds the zones out of reach and tells the other instances of the zone.
    void updateReach();
    void answerGroup(ExchangeId exchange, RouteAnswer answer, const RequestReport& report);
    InstanceInfo self() const;
    /// Version of the configuration in force; 0 when there is none.
    uint64_t configVersion() const;
    bool onPeerReply(const ChangesReply& reply);
    void applyPeerReplicas(const ChangesReply& reply);

    ReadingPace readingPace() const;
    void makeDispatcher();
    void makePeers();
    bool bindAll();
    void chooseSource();
    void replicaLeft(const ReplicaPtr& replica);
    void applyReplica(const ReplicaEntry& entry);
    void applyConfig(RoutingDocument document, std::string_view source);
    void completeDirectory();
    void startTimers();
    void beforePoll();
    void houseKeep();
    void checkSuspension();
    void beginShutdown();
    void endIfDrained();
    void finishShutdown();
    void reloadSettings();

    void applyItem(const platform::ReplicaWritten& item);
    void applyItem(const platform::ReplicaRemoved& item);
    void applyItem(platform::ConfigWritten& item);
    void applyItem(const platform::BadItem& item);

    bool isReady() const;
    void updateReadiness();
    void updateFleetSize();
    void updateInstances();
    HttpResponse readinessPage(const HttpRequest& request) const;
    HttpResponse operatorPage(const HttpRequest& request);
    HttpResponse metricsPage();
    HttpResponse statusPage() const;

    GatewaySettings settings_;
    const std::string settingsFile_;
    const ClockI& clock_;
    EventLog& log_;
    uv_loop_t loop_;
    uv_timer_t tickTimer_;
    uv_timer_t houseTimer_;
    uv_prepare_t prepare_;
    uv_signal_t terminate_;
    uv_signal_t reload_;
    GatewayMetrics metrics_;
    ReplicaDirectory directory_;
    std::unique_ptr<ReplicaLinks> links_;
    std::unique_ptr<GatherLinks> gatherLinks_;
    std::unique_ptr<GatherPlan> plan_;
    InstanceDirectory instances_;
    std::unique_ptr<Dispatcher> dispatcher_;
    std::unique_ptr<HttpServer> callers_;
    std::vector<std::unique_ptr<PageServer>> pages_;
    std::unique_ptr<RegistryClient> registry_;
    ChangeLog changes_;
    FleetSize fleet_;
    bool isReader_ = false;
    uint32_t fleetSize_ = 0;
    std::unique_ptr<SourceChoice> sources_;
    std::unique_ptr<PeerServer> peerServer_;
    std::unique_ptr<PeerFollower> follower_;
    /// Replicas named so far by a full reading.
    absl::flat_hash_set<std::string> named_;
    bool hasDirectory_ = false;
    TimePoint lastBeatAt_ {};
    ZoneReach reach_;
    Reachability reachability_;
    bool isLeaving_ = false;
    TimePoint leaveAt_ {};
    TimePoint endAt_ {};
    bool wasReady_ = false;
};

} // namespace limpettrestle
