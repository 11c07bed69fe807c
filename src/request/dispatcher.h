#pragma once

/// Processes the requests of routes: selects replicas, retries and hedges calls within budgets and
/// deadlines, merges the replies of parts, and produces one final answer per request. Performs no
/// I/O and creates no threads.

#include "../connection/crash_detector.h"
#include "../connection/latency_quantile.h"
#include "../connection/load_budget.h"
#include "../connection/replica_choice.h"
#include "../connection/replica_subset.h"
#include "../process/crash_ledger.h"
#include "../process/replica_directory.h"
#include "../process/zone_reach.h"
#include "../process/zone_regions.h"
#include "../version/route_table.h"
#include "admission.h"
#include "cold_limits.h"
#include "gather_plan.h"
#include "relay_choice.h"
#include "weighted_round_robin.h"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <memory>
#include <random>

namespace limpettrestle {

using RequestPtr = std::shared_ptr<const ForwardedRequest>;

/// Sends calls to replicas and reports their progress through `Dispatcher::callSent()`,
/// `callAnswered()` and `callFailed()`.
class ReplicaTransportI {
public:
    virtual ~ReplicaTransportI() = default;
    /// Queues a call, which has to be answered within `timeLeft`. If `needsLiveConnection` is set, an
    /// idle connection may be reused only if it was used very recently: once a byte has been written
    /// to a dead connection, the call counts as sent.
    virtual void startCall(uint64_t call, const ReplicaPtr& replica, const RequestPtr& request, Millis timeLeft, bool needsLiveConnection) = 0;
    /// True if a connection to the replica is established, even if all of them are in use.
    virtual bool isConnected(const ReplicaPtr& replica) const = 0;
    /// Cancels a call at the replica, without a report to the dispatcher.
    virtual void cancelCall(uint64_t call) = 0;
};

/// Sends groups of shards to other instances and reports the results through
/// `Dispatcher::groupAnswered()` and `groupFailed()`, but never from within `startGroup()`.
class GroupTransportI {
public:
    virtual ~GroupTransportI() = default;
    virtual void startGroup(uint64_t group, const InstanceInfo& aggregator, GroupRequest request) = 0;
    /// Cancels a group at its aggregator, without a report to the dispatcher.
    virtual void cancelGroup(uint64_t group) = 0;
};

/// Relays whole requests to other instances and reports the results through `Dispatcher::relayAnswered()` and
/// `relayFailed()`, but never from within `startRelay()`.
class RelayTransportI {
public:
    virtual ~RelayTransportI() = default;
    virtual void startRelay(uint64_t relay, const InstanceInfo& instance, RelayRequest request) = 0;
    /// Cancels a request at the other instance, without a report to the dispatcher.
    virtual void cancelRelay(uint64_t relay) = 0;
};

/// Summary of a completed request for logs and metrics.
struct RequestReport {
    std::string requestId;
    std::string route;
    uint64_t configVersion = 0;
    ResultCode code = ResultCode::Ok;
    int status = 0;
    /// Time from receipt to the answer.
    Micros duration { 0 };
    /// Time that the caller is willing to wait; zero if not specified.
    Millis callerTimeout { 0 };
    bool isMerged = false;
    /// True if the request was a group that this instance gathered for another one.
    bool isGroup = false;
    /// True if the duration and the transit time together exceeded the route's latency target.
    bool isLate = false;
    uint32_t parts = 0;
    /// Parts with a usable reply.
    uint32_t coveredParts = 0;
    uint32_t callsSent = 0;
    uint32_t repeats = 0;
    /// Decisions made for the request, in order. Truncated if too long.
    std::string trail;
};

/// A request that has not been answered, for the log.
struct OpenRequestInfo {
    std::string requestId;
    std::string route;
    /// Time since it was received.
    Micros age { 0 };
    uint32_t callsSent = 0;
};

/// Receives exactly one final answer per request, unless its caller disconnects first.
class AnswerSinkI {
public:
    virtual ~AnswerSinkI() = default;
    virtual void answer(uint64_t request, RouteAnswer answer, const RequestReport& report) = 0;
};

/// Whether requests of a route are refused because the replicas have no room for them.
struct AdmissionState {
    std::string route;
    bool isRefusing = false;
    /// Service with the least room, the fraction of the route's requests that it admits and the predicted wait for it.
    std::string service;
    double fraction = 1;
    Micros wait { 0 };
};

/// Receives what replicas announced about themselves, and what follows from their load.
class ReplicaAnnouncementsI {
public:
    virtual ~ReplicaAnnouncementsI() = default;
    /// A replica leaves. `source`: where this was learned, "replica" or the name of an instance.
    virtual void onReplicaLeaving(const Replica& replica, std::string_view source) = 0;
    /// A replica wants nothing from this instance for `time`.
    virtual void onReplicaBackOff(const Replica& replica, Millis time) = 0;
    /// A replica has begun or ceased to limit its request rate; see `Replica::rate`. `sharers`: number of instances that
    /// share the limit, or 0 if this instance has no share.
    virtual void onReplicaRateLimit(const Replica& replica, uint32_t sharers) = 0;
    /// A route has begun or ceased to refuse requests.
    virtual void onAdmission(const AdmissionState& state) = 0;
};

/// How the end of a replica's process was noticed.
enum class CrashEvidence : uint8_t {
    ConnectionRefused,
    /// Another replica answers at the address.
    AddressTaken,
    /// A later process is registered under the replica's ID.
    Restarted,
};
std::string_view name(CrashEvidence value);

/// Receives what is learned about crashes of replicas.
class CrashObserverI {
public:
    virtual ~CrashObserverI() = default;
    /// A call ended with its connection, for whatever reason.
    virtual void onCallLost(const Replica& replica, const ForwardedRequest& request) = 0;
    /// A replica has crashed; `reports` tells which requests of this instance it was given.
    virtual void onReplicaCrashed(const Replica& replica, CrashEvidence evidence, const std::vector<CrashReport>& reports) = 0;
    /// A replica has answered a request that was suspect or quarantined.
    virtual void onRequestCleared(RequestFingerprint request) = 0;
    /// A request is not sent to replicas from now on.
    virtual void onRequestQuarantined(RequestFingerprint request) = 0;
};

struct DispatcherInit {
    const ClockI* clock = nullptr;
    ReplicaTransportI* transport = nullptr;
    AnswerSinkI* answers = nullptr;
    ReplicaDirectory* directory = nullptr;
    /// Division of searches among instances, and the transport to them. Both are set or both are null.
    GatherPlan* plan = nullptr;
    GroupTransportI* groups = nullptr;
    /// Null if requests are not relayed to other instances.
    RelayTransportI* relays = nullptr;
    /// Null if announcements are not reported.
    ReplicaAnnouncementsI* announcements = nullptr;
    /// Null if crashes are not observed.
    CrashObserverI* crashes = nullptr;
    /// Requests that crash replicas; null if they are not held back.
    CrashLedger* crashLedger = nullptr;
    /// Tells which zones are currently unreachable; null if reachability is not monitored.
    const ZoneReach* reach = nullptr;
    /// Regions of the zones; null if there is only one region.
    const ZoneRegions* regions = nullptr;
    /// Zone of this instance.
    std::string zone;
    uint64_t seed = 1;
    /// Maximum ratio of repeats to first calls of a service, over all instances.
    double repeatRatio = 0.2;
    /// Burst of repeats per service beyond that ratio, shared by all instances.
    double repeatSlack = 20;
    /// Limits on calls to a cold replica; see `GatewaySettings::coldExcess` and `GatewaySettings::coldSlack`.
    double coldExcess = 1;
    double coldSlack = 1;
    /// Name of this instance.
    std::string instance;
    /// Time reserved before the latency target for merging and sending an answer, in addition to
    /// the transit time.
    Millis answerMargin { 4 };
    /// Maximum number of open requests; further ones are rejected as overloaded.
    size_t maxRequests = 2000;
};

/// Counters since the start of the process.
struct DispatcherStats {
    uint64_t requests = 0;
    uint64_t callsSent = 0;
    uint64_t repeats = 0;
    /// Repeats that the budget did not allow.
    uint64_t repeatsDenied = 0;
    /// Repeats that were not made because the service has no room for them.
    uint64_t repeatsWithoutRoom = 0;
    /// Requests that were refused because the replicas have no room for them.
    uint64_t refusedWithoutRoom = 0;
    /// Parts missing from merged answers.
    uint64_t partsMissing = 0;
    uint64_t repliesNotExecuted = 0;
    uint64_t callsLost = 0;
    /// Requests whose caller disconnected before the answer.
    uint64_t callersDisconnected = 0;
    /// Groups sent to other instances, those of them that failed, and groups gathered for others.
    uint64_t groupsSent = 0;
    uint64_t groupsLost = 0;
    uint64_t groupsGathered = 0;
    /// Requests that were refused or ended because they crash replicas.
    uint64_t quarantinedRequests = 0;
    /// Requests relayed to other instances, those of them that failed, and requests of other instances.
    uint64_t relaysSent = 0;
    uint64_t relaysLost = 0;
    uint64_t relaysServed = 0;
};

class Dispatcher {
public:
    explicit Dispatcher(const DispatcherInit& init);
    ~Dispatcher();
    Dispatcher(const Dispatcher&) = delete;
    Dispatcher& operator=(const Dispatcher&) = delete;

    /// Sets the number of instances that share repeat budgets and connections to replicas.
    void setFleetSize(uint32_t instances);
    /// Records the instances that are listed now. Must be called repeatedly while this instance is in touch: the lists decide
    /// which instance may call a cold replica.
    void setCurrentInstances(const std::vector<InstanceInfo>& instances) { coldLimits_.setInstances(instances, clock_.now()); }
    /// Applies the limits on calls to cold replicas. Must be called periodically.
    void updateColdReplicas();
    /// Reports that the warm-up of a replica has begun or been prolonged.
    void replicaTurnedCold(const ReplicaPtr& replica);
    /// True if the cold replicas of a service accept a limited rate.
    bool hasColdLimit(const std::string& service) const { return coldLimits_.isLimited(service); }
    /// Subset of a service's replicas that this instance calls, for all routes together.
    std::vector<ReplicaPtr> usedReplicas(const std::string& service) const;
    /// Maximum number of connections from this instance to one replica of a service.
    size_t connectionLimit(const std::string& service) const;

    /// Activates a configuration for new requests. Returns false and keeps the current one if the
    /// version is not newer.
    bool activateTable(std::shared_ptr<const RouteTable> table);
    const std::shared_ptr<const RouteTable>& table() const { return table_; }

    /// Begins a planned stop: all requests, open and future ones, are answered by `answerBy`. From now on, requests that
    /// cannot be processed in the time that is left are refused.
    void beginStop(TimePoint answerBy);

    /// Starts a request. `request` is an id of the caller's choice, which the answer repeats.
    void start(uint64_t request, ForwardedRequest forwarded);
    /// Gathers a group of shards for another instance. The group is answered when it is complete, or
    /// after `softTimeout` with the parts that have arrived; if there are none yet, with the first one.
    void gather(uint64_t request, GroupRequest group);
    /// Drops a request whose caller has disconnected: its calls are cancelled and no answer is given.
    void callerDisconnected(uint64_t request);

    /// Reports that the first byte of a call was written to a connection.
    void callSent(uint64_t call);
    void callAnswered(uint64_t call, ReplicaReply reply);
    void callFailed(uint64_t call, CallFailure failure);

    /// Reports that a replica announced that it leaves, in a reply that belongs to no call.
    void replicaLeaving(const ReplicaPtr& replica) { noteLeaving(replica, "replica"); }

    /// Reports that nobody listens at the replica's address and that this instance has no connection to it.
    void replicaRefusedConnection(const ReplicaPtr& replica) { noteCrash(replica, CrashEvidence::ConnectionRefused); }
    /// Ends the open requests that have been quarantined since the last call.
    void applyQuarantines();
    /// Looks for signs that replicas with lost calls have crashed. Must be called periodically.
    void checkCrashes();
    /// Looks for routes that have ceased to refuse requests. Must be called periodically.
    void checkRefusals();
    /// Lowest fraction of the requests of a service that is admitted at present.
    double admittedFraction() const { return admission_.lowestFraction(clock_.now()); }

    void groupAnswered(uint64_t group, GroupReply reply);
    /// `mayHaveRun`: the aggregator may have called replicas.
    void groupFailed(uint64_t group, bool mayHaveRun);

    /// Sets the instances to which requests may be relayed.
    void setInstances(std::vector<InstanceInfo> instances) { relayChoice_.setInstances(std::move(instances)); }
    /// Sets the bits of `InstanceFeature` that an instance must have to get relayed requests.
    void requireFeatures(uint32_t features) { relayChoice_.requireFeatures(features); }
    /// Starts a request that another instance relayed. It is declined if this instance cannot reach the replicas either.
    void startRelayed(uint64_t request, RelayRequest relayed);
    void relayAnswered(uint64_t relay, RelayReply reply);
    /// `mayHaveRun`: the other instance may have started the request.
    void relayFailed(uint64_t relay, bool mayHaveRun);

    /// Time at which `tick()` has to be called next.
    TimePoint nextTickAt() const;
    void tick();

    size_t openRequests() const { return requests_.size(); }
    std::vector<OpenRequestInfo> openRequestInfos() const;
    const DispatcherStats& stats() const { return stats_; }

private:
    struct RouteState;
    struct Part;
    struct OpenRequest;
    struct Call;
    struct Group;

    struct Relay {
        uint64_t request = 0;
        std::string instance;
    };

    enum class PartState : uint8_t {
        Open,
        Done,
        Missing,
    };

    struct CallEvent {
        uint64_t call = 0;
        bool isReply = false;
        ReplicaReply reply;
        CallFailure failure = CallFailure::Lost;
    };

    void postEvent(CallEvent event);
    void processEvents();
    void handleReply(Call& call, ReplicaReply reply);
    void handleFailure(Call& call, CallFailure failure);
    void acceptPartReply(OpenRequest& openRequest, size_t partIndex, ReplicaReply reply);
    void acceptForwardedReply(OpenRequest& openRequest, size_t partIndex, ReplicaReply reply);

    void noteLostCall(const Call& call);
    void noteCrash(const ReplicaPtr& replica, CrashEvidence evidence);
    void noteAnswered(OpenRequest* openRequest, RequestFingerprint fingerprint);
    RequestStanding standingOf(const ForwardedRequest& request) const;
    bool isSuspect(const OpenRequest& openRequest) const;
    bool awaitsFirstAnswer(const OpenRequest& openRequest) const;
    bool rejectQuarantined(uint64_t request, const ForwardedRequest& forwarded);
    void rejectQuarantinedGroup(uint64_t request, const GroupRequest& group);
    ResultCode quarantineCode(const ForwardedRequest& request) const;
    void endQuarantined(OpenRequest& openRequest, ResultCode code);
    static bool hasOpenCalls(const OpenRequest& openRequest);
    void updateHeldBack(OpenRequest& openRequest);
    void resumeHeldBack(OpenRequest& openRequest);
    static void failHeldBack(OpenRequest& openRequest);
    void noteLeaving(const ReplicaPtr& replica, std::string_view source);
    void noteLeaving(const std::vector<ReplicaRun>& runs, std::string_view source);
    void noteBackOff(const ReplicaPtr& replica, Millis time);
    void noteRateLimit(const ReplicaPtr& replica, std::optional<double> limit);
    void noteRateLimits(const std::vector<ReplicaRateLimit>& limits);
    uint32_t rateSharers(const std::string& service) const;
    void restrictIfCold(const ReplicaPtr& replica);
    void withdrawUnsentCalls(const ReplicaPtr& replica, std::string_view trailWord);
    void withdrawUnsentCalls(OpenRequest& openRequest);
    ResultCode unavailableReason(const std::string& service, const AllowedZones& zones) const;
    ResultCode outOfReachReason(const std::string& service) const;
    Millis timeToNextCall(const std::string& service, const AllowedZones& zones) const;
    Millis retryAfterFailure(const OpenRequest& openRequest) const;
    void addAnnouncements(const OpenRequest& openRequest, RouteAnswer& answer) const;

    std::unique_ptr<OpenRequest> makeRequest(uint64_t request, ForwardedRequest forwarded, const RouteSpec& route);
    bool rejectWhileStopping(uint64_t request, const ForwardedRequest& forwarded, const RouteSpec& route);
    void limitToStop(OpenRequest& openRequest) const;
    static ResultCode overdueCode(const OpenRequest& openRequest);
    void reject(uint64_t request, const ForwardedRequest& forwarded, ResultCode code, Millis retryAfter, std::string trail = {});
    RouteState& routeStateOf(const RouteSpec& route);
    std::string groupStatisticsName(const std::string& route) const;
    AllowedZones allowedZones(const RouteSpec& route) const { return { init_.regions, route.homeRegions }; }
    std::vector<ReplicaPtr> usedReplicas(const std::string& service, const AllowedZones& zones) const;
    LoadBudget& repeatBudgetOf(const std::string& service);

    void launchCall(OpenRequest& openRequest, size_t partIndex, const ReplicaPtr& replica, bool isRepeat);
    void launchAllParts(OpenRequest& openRequest);
    bool tryHedge(OpenRequest& openRequest, size_t partIndex);
    bool tryRepeat(OpenRequest& openRequest, size_t partIndex, std::string_view trailWord);
    void reassignUnsentCall(OpenRequest& openRequest, size_t partIndex, uint64_t call);
    void retryOrFail(OpenRequest& openRequest, size_t partIndex, ResultCode reason, std::string_view trailWord);
    static void markMissing(OpenRequest& openRequest, Part& part, ResultCode reason);
    Micros hedgeDelay(const OpenRequest& openRequest) const;

    static uint32_t rankOf(const OpenRequest& openRequest, Millis patience);
    void recordReplicaLoad(const Call& call, const ReplicaReply& reply);
    void updateAdmission(const std::string& service);
    static ServiceWait predictWait(const std::vector<ReplicaPtr>& replicas, TimePoint now);
    bool hasRoom(const OpenRequest& openRequest, const Part& part);
    void markPartsWithoutRoom(OpenRequest& openRequest, const std::vector<bool>& isGathered);
    static ResultCode coverageFailure(const OpenRequest& openRequest);
    Millis noteRefusal(const OpenRequest& openRequest);
    void addAdmittedFractions(const OpenRequest& openRequest, RouteAnswer& answer) const;
    void noteAdmittedFractions(const OpenRequest& openRequest, const Group& group, const std::vector<double>& fractions);

    ReplicaPtr chooseReplicaFor(const OpenRequest& openRequest, const Part& part, ChoiceScope scope);

    std::vector<GatherGroup> planGroups(const OpenRequest& openRequest);
    void markUnreachableParts(OpenRequest& openRequest, const std::vector<bool>& isGathered);
    void launchGroup(OpenRequest& openRequest, const GatherGroup& plannedGroup);
    void acceptGroupReply(OpenRequest& openRequest, uint64_t id, const Group& group, GroupReply reply);
    void failGroup(OpenRequest& openRequest, uint64_t id, const Group& group, bool mayHaveRun, ResultCode reason);
    void updateGroups(OpenRequest& openRequest);
    void releaseGroups(OpenRequest& openRequest, bool isDisconnected);
    bool isIsolated() const;
    bool servesBetterElsewhere() const;
    void noteBlockedFailure(const OpenRequest& openRequest);
    bool mayRelay(const OpenRequest& openRequest) const;
    bool tryRelay(OpenRequest& openRequest);
    OpenRequest* endRelay(uint64_t relay, RelayEnd end);
    void cancelRelay(OpenRequest& openRequest);
    double repeatBurst(const std::string& service) const;
    SubsetRule subsetFor(const std::string& service) const;

    void updateRequest(OpenRequest& openRequest);
    void updatePart(OpenRequest& openRequest, size_t partIndex);
    bool finishIfDecided(OpenRequest& openRequest);
    bool finishMerged(OpenRequest& openRequest);
    bool finishForwarded(OpenRequest& openRequest);
    void answerMerged(OpenRequest& openRequest);
    void answerFailure(OpenRequest& openRequest, ResultCode code);
    void finish(OpenRequest& openRequest, RouteAnswer answer);
    void releaseCalls(OpenRequest& openRequest, bool isDisconnected);
    void endCall(uint64_t call, CallEnd end);
    void addToTrail(OpenRequest& openRequest, std::string_view trailWord, const std::string& service, const Replica* replica);

    const DispatcherInit init_;
    const ClockI& clock_;
    std::mt19937_64 random_;
    std::shared_ptr<const RouteTable> table_;
    absl::flat_hash_map<uint64_t, std::unique_ptr<OpenRequest>> requests_;
    absl::flat_hash_map<uint64_t, std::unique_ptr<Call>> calls_;
    absl::flat_hash_map<uint64_t, Group> groups_;
    absl::flat_hash_map<uint64_t, Relay> relays_;
    Admission admission_;
    RelayChoice relayChoice_;
    ColdLimits coldLimits_;
    CrashDetector crashDetector_;
    /// Newest version of the configuration by which another instance has processed a request of this one. Callers must not
    /// be taken back to an older one by the next instance.
    uint64_t relayedVersion_ = 0;
    /// Time at which a request last failed because connecting to replicas is blocked.
    TimePoint lastBlockedFailure_ {};
    /// Calls whose request has been answered, with the time at which they are cancelled unless they
    /// have ended before.
    std::deque<std::pair<TimePoint, uint64_t>> abandonedCalls_;
    absl::flat_hash_map<std::string, std::unique_ptr<RouteState>> routeStates_;
    /// Budgets of repeats by service.
    absl::flat_hash_map<std::string, LoadBudget> repeatBudgets_;
    SubsetRule subset_;
    /// Capacity of the repeat budget for a service that all instances call.
    double repeatBurst_ = 1;
    /// Time by which all requests are answered because this instance stops; the maximum while it does not.
    TimePoint answerBy_ = TimePoint::max();
    std::deque<CallEvent> events_;
    bool isProcessingEvents_ = false;
    /// Last id that was given to a call, a group or a relay.
    uint64_t lastId_ = 0;
    DispatcherStats stats_;
};

} // namespace limpettrestle
