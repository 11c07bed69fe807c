#pragma once

/// Carries callers' requests through their routes: chooses replicas, repeats calls within budgets
/// and deadlines, merges parts, and decides each final answer. No I/O, no threads.

#include "../connection/latency_quantile.h"
#include "../connection/load_budget.h"
#include "../connection/replica_choice.h"
#include "../connection/replica_subset.h"
#include "../process/replica_directory.h"
#include "../process/zone_reach.h"
#include "../version/route_table.h"
#include "gather_plan.h"
#include "share_cycle.h"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <memory>
#include <random>

namespace limpettrestle {

using RequestPtr = std::shared_ptr<const ForwardedRequest>;

/// Hands calls to replicas; its reports come back through the dispatcher's `call...()` functions.
class ReplicaTransportI {
public:
    virtual ~ReplicaTransportI() = default;
    /// Queues a call. `needsLiveConnection`: an idle connection may only be used when it was used a
    /// moment ago, since a byte sent on a dead one cannot be taken back.
    virtual void startCall(uint64_t call, const ReplicaPtr& replica, const RequestPtr& request, Millis timeLeft, bool needsLiveConnection) = 0;
    /// True when a connection to the replica is there, even if every one is in use.
    virtual bool isConnected(const ReplicaPtr& replica) const = 0;
    /// Ends a call without a report: the replica is to stop working on it.
    virtual void cancelCall(uint64_t call) = 0;
};

/// Hands groups of shards to other instances; their ends come back through `groupAnswered()` and
/// `groupFailed()`, never from within `startGroup()`.
class GroupTransportI {
public:
    virtual ~GroupTransportI() = default;
    virtual void startGroup(uint64_t group, const InstanceInfo& aggregator, GroupRequest request) = 0;
    /// Ends a group without a report: the instance is to stop working on it.
    virtual void cancelGroup(uint64_t group) = 0;
};

/// What became of a request, for logs and metrics.
struct RequestReport {
    std::string requestId;
    std::string route;
    uint64_t configVersion = 0;
    ResultCode code = ResultCode::Ok;
    int status = 0;
    Micros taken { 0 };
    Millis patience { 0 };
    bool isMerged = false;
    /// Gathered for another instance.
    bool isGroup = false;
    bool isLate = false;
    uint32_t parts = 0;
    uint32_t covered = 0;
    uint32_t callsSent = 0;
    uint32_t repeats = 0;
    /// Decisions on the way, in order, shortened when long.
    std::string trail;
};

/// Receives the final answer of each request, once.
class AnswerSinkI {
public:
    virtual ~AnswerSinkI() = default;
    virtual void answer(uint64_t request, RouteAnswer answer, const RequestReport& report) = 0;
};

struct DispatcherInit {
    const ClockI* clock = nullptr;
    ReplicaTransportI* transport = nullptr;
    AnswerSinkI* answers = nullptr;
    ReplicaDirectory* directory = nullptr;
    /// Both or neither: how searches are divided among instances, and the way to them.
    GatherPlan* plan = nullptr;
    GroupTransportI* groups = nullptr;
    /// Zones that cannot be reached at present; null where that is not watched.
    const ZoneReach* reach = nullptr;
    /// Zone of this instance.
    std::string zone;
    uint64_t seed = 1;
    /// Repeats per first call to a service, as allowed for all instances together.
    double repeatRatio = 0.2;
    /// Repeats beyond the ratio, for each service and all instances together.
    double repeatSlack = 20;
    /// Name of this instance.
    std::string instance;
    /// Kept free before the objective, beyond the time on the way: merging and sending an answer.
    Millis answerMargin { 4 };
    /// Open requests at most.
    size_t maxRequests = 2000;
};

struct DispatcherStats {
    uint64_t requests = 0;
    uint64_t callsSent = 0;
    uint64_t repeats = 0;
    uint64_t repeatsDenied = 0;
    uint64_t partsMissing = 0;
    uint64_t repliesNotExecuted = 0;
    uint64_t callsLost = 0;
    uint64_t callersLeft = 0;
    uint64_t groupsSent = 0;
    uint64_t groupsLost = 0;
    uint64_t groupsGathered = 0;
};

class Dispatcher {
public:
    explicit Dispatcher(const DispatcherInit& init);
    ~Dispatcher();
    Dispatcher(const Dispatcher&) = delete;
    Dispatcher& operator=(const Dispatcher&) = delete;

    /// Tells how many instances share the budgets and the connections of replicas.
    void setFleetSize(uint32_t instances);
    /// Replicas of a service that this instance uses.
    std::vector<ReplicaPtr> usedReplicas(const std::string& service) const;
    /// Connections that this instance may hold to one replica of a service.
    size_t connectionLimit(const std::string& service) const;

    /// Takes a configuration into force unless its version is not newer.
    bool useTable(std::shared_ptr<const RouteTable> table);
    const std::shared_ptr<const RouteTable>& table() const { return table_; }

    /// Starts a request under a number of the caller's choice.
    void start(uint64_t request, ForwardedRequest forwarded);
    /// Gathers a group of shards for another instance. Whatever is in when it is wanted leaves.
    void gather(uint64_t request, GroupRequest group);
    /// The caller has gone; no answer is wanted.
    void callerLeft(uint64_t request);

    /// A byte of the call was handed to a connection.
    void callSent(uint64_t call);
    void callAnswered(uint64_t call, ReplicaReply reply);
    void callFailed(uint64_t call, CallFailure failure);

    void groupAnswered(uint64_t group, GroupReply reply);
    /// `mayHaveRun`: the instance may have called replicas.
    void groupFailed(uint64_t group, bool mayHaveRun);

    /// Time at which `tick()` is due.
    TimePoint nextTickAt() const;
    void tick();

    size_t openRequests() const { return requests_.size(); }
    const DispatcherStats& stats() const { return stats_; }

private:
    struct RouteState;
    struct Part;
    struct OpenRequest;
    struct Call;
    struct Group;

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
    void drainEvents();
    void handleReply(Call& call, ReplicaReply reply);
    void handleFailure(Call& call, CallFailure failure);
    void takeMergedReply(OpenRequest& open, size_t index, ReplicaReply reply);
    void takeForwardedReply(OpenRequest& open, size_t index, ReplicaReply reply);

    std::unique_ptr<OpenRequest> makeRequest(uint64_t request, ForwardedRequest forwarded, const RouteSpec& route);
    void reject(uint64_t request, const ForwardedRequest& forwarded, ResultCode code, Millis retryAfter);
    RouteState& stateOf(const RouteSpec& route);
    LoadBudget& budgetOf(const std::string& service);

    void launch(OpenRequest& open, size_t index, const ReplicaPtr& replica, bool isRepeat);
    void launchAll(OpenRequest& open);
    bool tryHedge(OpenRequest& open, size_t index);
    bool tryRepeat(OpenRequest& open, size_t index, std::string_view why);
    void moveUnsent(OpenRequest& open, size_t index, uint64_t call);
    void retryOrFail(OpenRequest& open, size_t index, ResultCode reason, std::string_view why);
    static void markMissing(OpenRequest& open, Part& part, ResultCode reason);
    Micros repeatDelay(const OpenRequest& open) const;
    ReplicaPtr chooseFor(const OpenRequest& open, const Part& part, ChoiceScope scope);

    std::vector<GatherGroup> planGroups(const OpenRequest& open);
    void markOutOfReach(OpenRequest& open, const std::vector<bool>& isGathered);
    void launchGroup(OpenRequest& open, const GatherGroup& planned);
    void takeGroup(OpenRequest& open, uint64_t id, const Group& group, GroupReply reply);
    void loseGroup(OpenRequest& open, uint64_t id, const Group& group, bool mayHaveRun, ResultCode reason);
    void checkGroups(OpenRequest& open);
    void releaseGroups(OpenRequest& open, bool callerLeft);
    double repeatBurst(const std::string& service) const;
    SubsetRule subsetFor(const std::string& service) const;

    void check(OpenRequest& open);
    void checkPart(OpenRequest& open, size_t index);
    bool finishIfDecided(OpenRequest& open);
    bool finishMerged(OpenRequest& open);
    bool finishForwarded(OpenRequest& open);
    void answerMerged(OpenRequest& open);
    void answerFailure(OpenRequest& open, ResultCode code);
    void finish(OpenRequest& open, RouteAnswer answer);
    void releaseCalls(OpenRequest& open, bool callerLeft);
    void endCall(uint64_t call, CallEnd end);
    void note(OpenRequest& open, std::string_view what, const std::string& service, const Replica* replica);

    const DispatcherInit init_;
    const ClockI& clock_;
    std::mt19937_64 random_;
    std::shared_ptr<const RouteTable> table_;
    absl::flat_hash_map<uint64_t, std::unique_ptr<OpenRequest>> requests_;
    absl::flat_hash_map<uint64_t, std::unique_ptr<Call>> calls_;
    absl::flat_hash_map<uint64_t, Group> groups_;
    /// Calls whose request has been answered, to be cancelled unless their reply comes soon.
    std::deque<std::pair<TimePoint, uint64_t>> abandoned_;
    absl::flat_hash_map<std::string, std::unique_ptr<RouteState>> routeStates_;
    /// Repeats by service.
    absl::flat_hash_map<std::string, LoadBudget> budgets_;
    SubsetRule subset_;
    /// Repeats that may be saved up for a service that all instances call.
    double repeatBurst_ = 1;
    std::deque<CallEvent> events_;
    bool isDraining_ = false;
    uint64_t lastCall_ = 0;
    DispatcherStats stats_;
};

} // namespace limpettrestle
