#pragma once

/// Private state of the dispatcher: requests, parts, calls and groups.

#include "dispatcher.h"

#include <algorithm>
#include <cmath>

namespace limpettrestle {

/// Retry-After when replicas are overloaded or unreachable: a retry is useful only after their
/// queues have drained.
constexpr Millis kLongRetryAfter { 100 };
/// No call is sent when less time than this remains.
constexpr Millis kMinTimeLeft { 5 };

/// Ranks per priority; see `OpenRequest::rank`.
constexpr uint32_t kRanksPerPriority = 2;

/// True when an instance sent nothing because the request crashes replicas.
inline bool isQuarantineCode(ResultCode code)
{
    return code == ResultCode::RequestQuarantined || code == ResultCode::RequestSuspended;
}

/// Features of `InstanceFeature` that another instance needs for requests that are restricted to these zones.
inline uint32_t requiredFeatures(const AllowedZones& zones)
{
    return zones.isRestricted() ? static_cast<uint32_t>(InstanceFeature::HomeRegions) : 0;
}

/// Statistics of one route. They are kept when the configuration changes.
struct Dispatcher::RouteState {
    RouteState(Micros initialMean, int window)
        : meanDuration(initialMean)
        , callDuration(kHedgeQuantile, window)
        , answerDelay(kDelayQuantile, kAnswerDelayWindow)
        , groupDelay(kDelayQuantile, kGroupDelayWindow)
    {
    }

    /// Calls that take longer than this quantile of all call durations are hedged.
    static constexpr double kHedgeQuantile = 0.9;
    /// Fraction of the answers for which the time reserved before the latency target suffices.
    static constexpr double kDelayQuantile = 0.8;
    /// Samples after which `answerDelay` is recalculated: a few seconds of one instance's searches.
    static constexpr int kAnswerDelayWindow = 8;
    /// Samples after which `groupDelay` is recalculated.
    static constexpr int kGroupDelayWindow = 32;

    /// Moving average of the call duration.
    Micros meanDuration;
    LatencyQuantile callDuration;
    /// Time from the soft deadline of a request until its answer had been handed over.
    LatencyQuantile answerDelay;
    /// Time from the soft deadline of a group until its reply was received.
    LatencyQuantile groupDelay;
    WeightedRoundRobin roundRobin;
    /// Time that callers of the route are willing to wait when they ask for the first time.
    Millis firstPatience { 0 };
    /// Time at which a request was last refused without room; the epoch if the route admits all.
    TimePoint lastRefusalAt {};
};

/// Part of a request: one shard of a merged request, or the service of a forwarded request.
struct Dispatcher::Part {
    /// Points into the route, which lives at least as long as the request.
    const std::string* service = nullptr;
    PartState state = PartState::Open;
    /// Group in which an aggregator gathers the part; 0 if this instance calls the replicas.
    uint64_t group = 0;
    ResultCode reason = ResultCode::Ok;
    /// Calls that were sent, except those that a replica reported as not executed.
    uint32_t runs = 0;
    /// Calls of which at least one byte was written to a connection.
    uint32_t sentCalls = 0;
    /// Calls handed to the transport, including unsent ones.
    uint32_t startedCalls = 0;
    /// Time at which the next hedge is considered.
    TimePoint nextHedgeAt {};
    /// Ids of the open calls.
    std::vector<uint64_t> calls;
    std::vector<ReplicaPtr> triedReplicas;
    /// Accepted reply, or a replica's error reply that is passed on if no call succeeds.
    ReplicaReply reply;
    bool hasFailureReply = false;
};

/// Request that has not been answered.
struct Dispatcher::OpenRequest {
    uint64_t id = 0;
    std::shared_ptr<const RouteTable> table;
    const RouteSpec* route = nullptr;
    /// Owns the route of a group, which is not part of a configuration.
    std::shared_ptr<const RouteSpec> groupRoute;
    bool isGroup = false;
    RouteState* routeState = nullptr;
    RequestPtr request;
    /// Position in the order of refusal; see `Admission::positionOf()`.
    double position = 0;
    /// Rank in the order of refusal: by the priority, and among equals first those that have been waiting for their answer
    /// since before this attempt.
    uint32_t rank = 0;
    TimePoint receivedAt {};
    /// Time at which a merged answer is sent if it has the minimum coverage.
    TimePoint softDeadlineAt {};
    TimePoint deadlineAt {};
    /// The deadline was brought forward because this instance stops.
    bool isCutShort = false;
    TimePoint nextUpdateAt {};
    std::vector<Part> parts;
    /// Ids of the groups that have not ended.
    std::vector<uint64_t> groups;
    /// Some parts wait for a call until a replica has answered the request.
    bool isHeldBack = false;
    /// A replica has answered a call of the request.
    bool hasAnswer = false;
    /// Calls whose connection ended without a reply.
    uint32_t lostCalls = 0;
    /// The request was relayed by another instance.
    bool isRelayed = false;
    /// Id of the open relay to another instance; 0 if there is none.
    uint64_t relay = 0;
    /// Instances to which the request was relayed, in order.
    std::vector<std::string> relayTargets;
    /// A relay was lost after it had been sent.
    bool mayHaveRunElsewhere = false;
    uint32_t callsSent = 0;
    uint32_t repeats = 0;
    std::string trail;

    bool isMerged() const { return !route->shards.empty(); }
    /// Number of parts that a successful answer needs.
    uint32_t requiredParts() const
    {
        // Compensates for rounding errors: 0.75 of 20 parts must yield 15, not 16.
        constexpr double kRoundingTolerance = 1e-9;
        const double required = isMerged() ? route->minCoverage * static_cast<double>(parts.size()) : 1;
        return std::max<uint32_t>(1, static_cast<uint32_t>(std::ceil(required - kRoundingTolerance)));
    }
    bool mayRepeat() const { return route->repeat == RepeatPolicy::Idempotent; }
    /// Numbers of parts by state.
    uint32_t done = 0;
    uint32_t missing = 0;
    uint32_t pending() const { return static_cast<uint32_t>(parts.size()) - done - missing; }
};

/// Consecutive shards of a request that an aggregator gathers.
struct Dispatcher::Group {
    uint64_t request = 0;
    size_t firstShard = 0;
    size_t shardCount = 0;
    std::string aggregator;
    TimePoint sentAt {};
    TimePoint softDeadlineAt {};
};

/// Call to a replica that has not ended.
struct Dispatcher::Call {
    uint64_t id = 0;
    uint64_t request = 0;
    size_t part = 0;
    ReplicaPtr replica;
    /// The request, which the call may outlive.
    RequestPtr forwarded;
    TimePoint startedAt {};
    TimePoint sentAt {};
    bool isSent = false;
    /// Copied from the route, since a call may outlive its request.
    Micros expectedDuration { 0 };
};

} // namespace limpettrestle
