#pragma once

/// Routing types: what the operator configures, which replicas exist, and what a caller sends
/// through a route. Times are from `ClockI`; durations carry their unit in the type.

#include "limpettrestle/limpettrestle.h"

namespace limpettrestle {

/// How often a request of a route may be run.
enum class RepeatPolicy : uint8_t {
    Idempotent,
    AtMostOnce,
};

enum class ReplicaState : uint8_t {
    Ready,
    Draining,
};

std::string_view name(RepeatPolicy value);
std::string_view name(ReplicaState value);

/// Service of a route and its share of the route's requests.
struct ServiceShare {
    std::string service;
    uint32_t weight = 1;
};

/// Maps a host and a path prefix to services. Exactly one of `shares` and `shards` is filled.
struct RouteSpec {
    std::string name;
    /// Lower case, without port.
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    RepeatPolicy repeat = RepeatPolicy::AtMostOnce;
    /// Longest time a request may stay unanswered.
    Millis timeout { 1000 };
    /// Latency objective of the route.
    Millis latencyTarget { 100 };
    /// Rank; 0 is the most urgent.
    uint32_t priority = 0;
    /// Replicas of one service that may run one request.
    uint32_t maxAttempts = 1;
    /// A request goes to one replica of one of these, in proportion to the weights.
    std::vector<ServiceShare> shares;
    /// A request goes to one replica of each of these and the records are merged.
    std::vector<std::string> shards;
    /// Records in a merged answer.
    uint32_t topRecords = 0;
    /// Least share of shards in a merged answer, 0 to 1.
    double minCoverage = 1.0;
};

/// Properties common to the replicas of a service.
struct ServiceSpec {
    std::string name;
    /// Connections that one replica accepts from all instances together.
    uint32_t maxConnections = 0;
};

/// What a caller may send, and how long it may take or stay idle.
struct IngressLimits {
    uint32_t maxHeaderBytes = 16384;
    uint32_t maxBodyBytes = 262144;
    Millis headerTimeout { 3000 };
    Millis idleTimeout { 15000 };
};

/// Whole configuration document. Versions rise, in steps of any size.
struct RoutingDocument {
    uint64_t version = 0;
    std::vector<RouteSpec> routes;
    std::vector<ServiceSpec> services;
    IngressLimits limits;
};

/// What a replica says of itself in the registry.
struct ReplicaEntry {
    std::string id;
    std::string service;
    std::string host;
    int port = 0;
    std::string zone;
    /// Requests that it runs at the same time.
    uint32_t slots = 1;
    ReplicaState state = ReplicaState::Ready;
    /// Time for which it stays slow after its start.
    Millis warmupLeft { 0 };
    /// Wall time of its start, Unix milliseconds; tells two runs under one id apart.
    int64_t startedAt = 0;
    /// Number of its report within this run.
    uint64_t sequence = 0;
};

/// Header of a message, as received.
struct HeaderField {
    std::string name;
    std::string value;
};

/// Caller's request as it is handed to a replica.
struct ForwardedRequest {
    std::string requestId;
    std::string method;
    /// Path and query.
    std::string target;
    std::string host;
    /// End-to-end headers without those that the tier sets itself.
    std::vector<HeaderField> headers;
    std::string body;
    /// Beginning of every call that is made for it, as the transport encodes it.
    std::string commonHead;
    /// Time the caller waits; zero when it does not say.
    Millis patience { 0 };
    /// Part of the caller's time that is spent on the way to this instance and back.
    Micros transit { 0 };
};

/// Reply of a replica, complete and matched to its request.
struct ReplicaReply {
    int status = 0;
    std::vector<HeaderField> headers;
    /// Proof that a replica made this reply; empty when absent.
    std::string signature;
    /// The replica states that it did not run the request.
    bool notExecuted = false;
    /// Another replica has the address.
    bool misdirected = false;
    /// The replica closes this connection, as one that leaves does.
    bool closing = false;
    /// Requests running and waiting there; negative when not told.
    int running = -1;
    int waiting = -1;
    std::string body;
};

/// Why a call ended without a usable reply.
enum class CallFailure : uint8_t {
    /// No byte was handed to a connection.
    NotSent,
    /// Sent; the connection ended before the reply was whole.
    Lost,
    /// Sent; what came back is no reply to this request.
    Malformed,
};
std::string_view name(CallFailure value);

/// Part of a merged answer that is missing, and why.
struct MissingPart {
    std::string service;
    ResultCode reason = ResultCode::Ok;
    /// Replicas that may have run the request.
    uint32_t runs = 0;
};

/// Final answer to a caller of a route.
struct RouteAnswer {
    ResultCode code = ResultCode::Ok;
    int status = 0;
    /// Time after which asking again makes sense; negative when not told.
    Millis retryAfter { -1 };
    /// Reply of the replica that is passed on; headers are its end-to-end headers.
    bool isReplicaReply = false;
    std::vector<HeaderField> headers;
    std::string body;
    /// Merged answers: signatures of the parts that are in, and the parts that are not.
    bool isMerged = false;
    std::vector<std::string> partSignatures;
    std::vector<MissingPart> missing;
};

/// Group of a search's shards that another instance is to gather.
struct GroupRequest {
    /// Id, method, target, host and the common beginning of each call; neither headers nor body.
    ForwardedRequest forwarded;
    std::string route;
    std::vector<std::string> shards;
    /// Time until the sender needs the answer, and until it gives up.
    Micros wantedWithin { 0 };
    Millis timeLeft { 0 };
    uint32_t maxAttempts = 1;
    uint32_t topRecords = 0;
};

/// What was gathered of a group.
struct GroupReply {
    /// Signatures of the parts that are in, in the order of the shards.
    std::vector<std::string> signatures;
    std::vector<MissingPart> missing;
    /// Greatest records of the parts that are in.
    std::string records;
    uint32_t callsSent = 0;
    uint32_t repeats = 0;
};

} // namespace limpettrestle
