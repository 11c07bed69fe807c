#pragma once

/// State of the dispatcher's requests and calls.

#include "dispatcher.h"

#include <algorithm>
#include <cmath>

namespace limpettrestle {

/// Least time left for which a call is worth sending.
constexpr Millis kMinTimeLeft { 5 };

/// What is known of the calls of one route, over all versions of the configuration.
struct Dispatcher::RouteState {
    RouteState(Micros firstMean, int window)
        : mean(firstMean)
        , quantile(kRepeatQuantile, window)
        , answering(kAnsweringQuantile, kAnsweringWindow)
        , groupDelay(kAnsweringQuantile, kGroupWindow)
    {
    }

    /// Calls slower than this share of all are repeated.
    static constexpr double kRepeatQuantile = 0.9;
    /// Share of the answers for which the time kept free before the objective suffices.
    static constexpr double kAnsweringQuantile = 0.8;
    /// Answers after which that time is renewed: a few seconds of one instance's searches.
    static constexpr int kAnsweringWindow = 8;

    /// Groups after which the time for their way back is renewed.
    static constexpr int kGroupWindow = 32;

    Micros mean;
    LatencyQuantile quantile;
    /// Time from the moment at which an answer was due until it had been handed over.
    LatencyQuantile answering;
    /// Time from the moment at which a group was wanted until it was there.
    LatencyQuantile groupDelay;
    ShareCycle shares;
};

/// One service of a request: a shard, or the service that a forwarded request goes to.
struct Dispatcher::Part {
    /// Name in the route, which lives as long as the request's table.
    const std::string* service = nullptr;
    PartState state = PartState::Open;
    /// Group that another instance gathers it with; 0 when this one calls the replicas.
    uint64_t group = 0;
    ResultCode reason = ResultCode::Ok;
    /// Calls that were sent and not stated to be unexecuted.
    uint32_t runs = 0;
    /// Calls of which a byte was sent.
    uint32_t arrivals = 0;
    uint32_t tries = 0;
    TimePoint repeatAt {};
    std::vector<uint64_t> calls;
    std::vector<ReplicaPtr> used;
    /// Reply that counts, or a failure to pass on when nothing better comes.
    ReplicaReply reply;
    bool hasFailureReply = false;
};

struct Dispatcher::OpenRequest {
    uint64_t id = 0;
    std::shared_ptr<const RouteTable> table;
    const RouteSpec* route = nullptr;
    /// Holds the route of a group, which is in no table.
    std::shared_ptr<const RouteSpec> ownRoute;
    bool isGroup = false;
    RouteState* state = nullptr;
    RequestPtr request;
    TimePoint receivedAt {};
    /// A merged answer with enough coverage leaves at this time.
    TimePoint targetAt {};
    TimePoint deadlineAt {};
    TimePoint nextCheckAt {};
    std::vector<Part> parts;
    /// Groups that are still out.
    std::vector<uint64_t> groups;
    uint32_t callsSent = 0;
    uint32_t repeats = 0;
    std::string trail;

    bool isMerged() const { return !route->shards.empty(); }
    /// Parts that a success needs.
    uint32_t leastParts() const
    {
        // Slack against rounding: 0.75 of 20 is 15, not 16.
        constexpr double kSlack = 1e-9;
        const double least = isMerged() ? route->minCoverage * static_cast<double>(parts.size()) : 1;
        return std::max<uint32_t>(1, static_cast<uint32_t>(std::ceil(least - kSlack)));
    }
    bool mayRepeat() const { return route->repeat == RepeatPolicy::Idempotent; }
    /// Parts by state.
    uint32_t done = 0;
    uint32_t missing = 0;
    uint32_t pending() const { return static_cast<uint32_t>(parts.size()) - done - missing; }
};

/// Shards of a request that another instance gathers.
struct Dispatcher::Group {
    uint64_t request = 0;
    size_t first = 0;
    size_t count = 0;
    std::string aggregator;
    TimePoint sentAt {};
    TimePoint wantedAt {};
};

struct Dispatcher::Call {
    uint64_t id = 0;
    uint64_t request = 0;
    size_t part = 0;
    ReplicaPtr replica;
    TimePoint startedAt {};
    TimePoint sentAt {};
    bool isSent = false;
    /// Outlives its request, so that its end is still counted.
    Micros expected { 0 };
};

} // namespace limpettrestle
