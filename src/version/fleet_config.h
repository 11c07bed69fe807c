#pragma once

/// Typed form of the configuration document: services, partition maps, replicas and policy.

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
    /// Calls that the server runs at once.
    uint32_t slots = 0;
    /// Connections that the server accepts in total.
    uint32_t connections = 0;
};

struct ShardConfig {
    std::vector<ReplicaConfig> replicas;
};

struct ServiceConfig {
    ServiceId id;
    std::string name;
    PriorityClass priority = PriorityClass::Normal;
    /// Version of the partition map; rises with every repartition.
    uint64_t mapVersion = 0;
    /// Snapshot that all replicas are expected to hold.
    uint64_t snapshot = 0;
    std::vector<ShardConfig> shards;
};

enum class RoutingPolicy : uint8_t {
    /// One owner per replica holds its slots exactly.
    Owner,
    /// Every instance calls every replica with a static share of the slots.
    Direct,
    /// As `Direct`, with a share that grows on success and halves on a shed call.
    Adaptive,
};

enum class SelectionPolicy : uint8_t {
    /// Lowest recent latency, with the present queue.
    LeastLatency,
    /// Drawn in proportion to the inverse square of that.
    Weighted,
    /// Uniform choice.
    Random,
};

/// Policy settings of the document; every field has a default.
struct PolicyConfig {
    RoutingPolicy routing = RoutingPolicy::Owner;
    SelectionPolicy selection = SelectionPolicy::LeastLatency;
    bool hedging = true;
    /// Hedges per sub-request.
    double hedgeBudget = 0.05;
    /// Retries that may add load, per sub-request.
    double retryBudget = 0.10;
    /// Quantile of the shard latency after which a hedge is sent.
    double hedgeQuantile = 0.95;
    /// Wait for one attempt before it counts as lost.
    Millis attemptTimeout { 80 };
    /// Refuses a query at admission when the predicted wait does not fit.
    bool admission = true;
    /// Orders queues by class and deadline; first come, first served otherwise.
    bool priorityQueue = true;
    /// Replicas of one service and zone that share an owner, so that a coordinator's message to it
    /// carries several sub-requests.
    uint32_t ownerGroup = 1;
    /// Settle period before ownership moves.
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

/// What is wrong with a document.
struct ConfigProblem {
    ResultCode code = ResultCode::DocumentInvalid;
    /// JSON pointer of the place.
    std::string place;
    std::string expected;
};

/// Parses and checks a document of the given version. Returns null and fills `problem` when it is
/// not valid.
FleetConfigPtr parseFleetConfig(ConfigStamp stamp, Body text, ConfigProblem& problem);

/// Parses a class name; empty for an unknown one.
std::optional<PriorityClass> parsePriorityClass(std::string_view text);

} // namespace limpettrestle
