#pragma once

/// Parsed configuration document: services, partition maps, replicas and policy.

#include "limpettrestle/limpettrestle.h"

#include <absl/container/flat_hash_map.h>
#include <optional>

namespace limpettrestle {

struct ReplicaConfig {
    ReplicaId id;
    std::string name;
    /// "ip:port".
    std::string address;
    ZoneId zone;
    ServiceId service;
    uint32_t shard = 0;
    /// Replicas with the same key have the same owner; see `PolicyConfig::ownerGroup`.
    uint64_t ownerKey = 0;
    /// Number of calls that the server runs concurrently.
    uint32_t slots = 0;
    /// Total number of connections that the server accepts.
    uint32_t connections = 0;
};

struct ShardConfig {
    std::vector<ReplicaConfig> replicas;
};

struct ServiceConfig {
    ServiceId id;
    std::string name;
    PriorityClass priority = PriorityClass::Normal;
    /// Version of the partition map; increases with every repartition.
    uint64_t mapVersion = 0;
    /// Snapshot that all replicas are expected to hold.
    uint64_t snapshot = 0;
    std::vector<ShardConfig> shards;
};

enum class RoutingPolicy : uint8_t {
    /// Each replica has one owner, which accounts for its slots exactly.
    Owner,
    /// Every instance calls every replica and may use a fixed share of its slots.
    Direct,
    /// Like `Direct`, but the share grows on success and is halved when a call is shed.
    Adaptive,
};

enum class SelectionPolicy : uint8_t {
    /// Lowest expected latency, computed from the recent latency and the current queue.
    LeastLatency,
    /// Random choice, weighted by the inverse square of the expected latency.
    Weighted,
    /// Uniform random choice.
    Random,
};

/// Policy settings of the document, all of them optional.
struct PolicyConfig {
    RoutingPolicy routing = RoutingPolicy::Owner;
    SelectionPolicy selection = SelectionPolicy::LeastLatency;
    bool hedging = true;
    /// Maximum hedges per sub-request.
    double hedgeBudget = 0.05;
    /// Maximum load-adding retries per sub-request.
    double retryBudget = 0.10;
    /// Quantile of the shard latency after which a hedge is sent.
    double hedgeQuantile = 0.95;
    /// Time after which an attempt without a reply is treated as lost.
    Millis attemptTimeout { 80 };
    /// Refuses a query at admission if its predicted queue wait exceeds its deadline.
    bool admission = true;
    /// Orders queues by priority class and deadline; otherwise queues are FIFO.
    bool priorityQueue = true;
    /// Number of replicas of one service and zone that share an owner, so that one message of a
    /// coordinator to the owner carries several sub-requests.
    uint32_t ownerGroup = 1;
    /// Time that a membership change must persist before ownership moves.
    Millis settleTime { 1000 };
};

/// Immutable configuration of one version.
struct FleetConfig {
    ConfigStamp stamp;
    Body text;
    std::vector<ServiceConfig> services;
    PolicyConfig policy;
    absl::flat_hash_map<ServiceId, uint32_t> serviceIndex;
    absl::flat_hash_map<ReplicaId, const ReplicaConfig*> replicaIndex;

    const ServiceConfig* findService(ServiceId id) const;
    const ReplicaConfig* findReplica(ReplicaId id) const;
};

using FleetConfigPtr = std::shared_ptr<const FleetConfig>;

/// Problem in a configuration document.
struct ConfigProblem {
    ResultCode code = ResultCode::DocumentInvalid;
    /// JSON pointer to the invalid value.
    std::string pointer;
    /// Description of the valid values.
    std::string expected;
};

/// Parses and validates a document of the given version. Returns null and sets `problem` if the
/// document is invalid.
FleetConfigPtr parseFleetConfig(ConfigStamp stamp, Body text, ConfigProblem& problem);

/// Parses the name of a priority class. Returns no value if the name is unknown.
std::optional<PriorityClass> parsePriorityClass(std::string_view text);

} // namespace limpettrestle
