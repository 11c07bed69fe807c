#pragma once

/// State of one search while it is open.

#include "../version/fleet_config.h"

namespace limpettrestle {

/// One attempt at a shard that may still be answered.
struct LiveAttempt {
    uint32_t number = 0;
    ReplicaId replica;
    InstanceId owner;
    TimePoint sentAt {};
    bool hedge = false;
    /// Given up on; a late answer is still taken.
    bool lost = false;
};

enum class ShardPhase : uint8_t { Open,
    Covered,
    Missing };

/// Progress of one shard.
struct ShardState {
    ShardPhase phase = ShardPhase::Open;
    ResultCode reason = ResultCode::AttemptTimeout;
    std::vector<LiveAttempt> attempts;
    uint32_t sent = 0;
    /// Rounds in which no replica could be tried.
    uint32_t emptyRounds = 0;
    /// Bit per replica that was tried in this round.
    uint32_t tried = 0;
    TimePoint retryAt {};
    Body body;
};

/// A search, pinned to one configuration version, partition map and snapshot.
struct Query {
    CallerTag tag;
    RequestId id;
    SearchRequest request;
    Body text;
    PriorityClass priority = PriorityClass::Normal;
    FleetConfigPtr config;
    const ServiceConfig* service = nullptr;
    uint64_t snapshot = 0;
    TimePoint started {};
    TimePoint deadline {};
    TimePoint nextReview {};
    std::vector<ShardState> shards;
    uint32_t open = 0;
    uint32_t restarts = 0;
    uint32_t lastAttempt = 0;
    /// Attempts below this number belong to an earlier pin.
    uint32_t firstAttempt = 1;
    /// Newest snapshot that a server named in place of the pinned one.
    uint64_t newerSnapshot = 0;
    bool sawNewerMap = false;
    Micros predictedWait { 0 };
};

} // namespace limpettrestle
