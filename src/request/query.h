#pragma once

/// State of an open search.

#include "../version/fleet_config.h"

namespace limpettrestle {

/// Attempt at a shard that has not been answered or cancelled.
struct PendingAttempt {
    uint32_t number = 0;
    ReplicaId replica;
    InstanceId owner;
    TimePoint sentAt {};
    bool isHedge = false;
    /// The attempt no longer prevents a retry, but a late result is still accepted.
    bool isAbandoned = false;
};

enum class ShardPhase : uint8_t { Open,
    Covered,
    Missing };

/// Progress of one shard.
struct ShardState {
    ShardPhase phase = ShardPhase::Open;
    ResultCode reason = ResultCode::AttemptTimeout;
    std::vector<PendingAttempt> attempts;
    uint32_t sentAttempts = 0;
    /// Number of rounds in which no replica could be tried.
    uint32_t failedRounds = 0;
    /// Bit mask of the replicas that were tried in this round.
    uint32_t triedReplicas = 0;
    TimePoint retryAt {};
    Body body;
};

/// Search that is pinned to one configuration version, partition map and snapshot.
struct Query {
    CallerTag tag;
    RequestId id;
    SearchRequest request;
    Body queryBody;
    PriorityClass priority = PriorityClass::Normal;
    FleetConfigPtr config;
    const ServiceConfig* service = nullptr;
    uint64_t snapshot = 0;
    TimePoint startedAt {};
    TimePoint deadline {};
    TimePoint nextUpdateAt {};
    std::vector<ShardState> shards;
    uint32_t openShards = 0;
    uint32_t restarts = 0;
    uint32_t lastAttempt = 0;
    /// Attempts with lower numbers were sent before the last restart.
    uint32_t firstCurrentAttempt = 1;
    /// Newest snapshot that a backend server reported because it no longer holds the pinned one.
    uint64_t newerSnapshot = 0;
    /// A backend server has reported a newer partition map.
    bool hasNewerMap = false;
    Micros predictedWait { 0 };
};

} // namespace limpettrestle
