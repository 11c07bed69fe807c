#pragma once

/// Routing types: the operator's configuration, the replicas of the registry, and the requests and
/// answers of routes. Time points come from `ClockI`; durations carry their unit in the type.
///
/// A request consists of parts: one per shard of the route, or a single one when the route forwards
/// it to one replica. A repeat is a call for a part of which another call has already been sent: a
/// retry after a failure, or a hedge against a slow replica.

#include "limpettrestle/limpettrestle.h"

#include <memory>
#include <optional>

namespace limpettrestle {

/// Whether replicas may execute a request of a route more than once.
enum class RepeatPolicy : uint8_t {
    /// Retries and hedges are allowed.
    Idempotent,
    /// Another call is made only if no replica can have executed the request.
    AtMostOnce,
};

enum class ReplicaState : uint8_t {
    Ready,
    /// Finishes its open requests and takes no new ones.
    Draining,
};

/// Names of the values in the configuration document, the registry and the log.
std::string_view name(RepeatPolicy value);
std::string_view name(ReplicaState value);

/// Service of a route. Requests are divided among the services of a route in proportion to the weights.
struct ServiceShare {
    std::string service;
    uint32_t weight = 1;

    bool operator==(const ServiceShare&) const = default;
};

/// Maps a host and a path prefix to services. Exactly one of `shares` and `shards` is not empty.
struct RouteSpec {
    std::string name;
    /// Host name in lower case, without the port.
    std::string host;
    /// Path prefix; begins and ends with a slash.
    std::string prefix;
    RepeatPolicy repeat = RepeatPolicy::AtMostOnce;
    /// Upper limit of the time until a request is answered.
    Millis timeout { 1000 };
    /// Time within which requests of the route should be answered.
    Millis latencyTarget { 100 };
    /// Priority; 0 is the most urgent.
    uint32_t priority = 0;
    /// Maximum number of replicas of one service that may execute the same request.
    uint32_t maxAttempts = 1;
    /// A request is forwarded to one replica of one of these services, selected by weight.
    std::vector<ServiceShare> shares;
    /// A request is sent to one replica of each of these services, and their records are merged.
    std::vector<std::string> shards;
    /// Maximum number of records in a merged answer.
    uint32_t topRecords = 0;
    /// Minimum fraction of the shards that a merged answer must contain, 0 to 1.
    double minCoverage = 1.0;
    /// Regions that may process requests of the route; empty when all may.
    std::vector<std::string> homeRegions;
};

/// Properties common to the replicas of a service.
struct ServiceSpec {
    std::string name;
    /// Maximum number of connections to one replica, summed over all instances.
    uint32_t maxConnections = 0;
    /// Time for which a replica is cold after its start.
    Millis warmup { 0 };
    /// Requests per second that a cold replica accepts from all instances together; 0 when there is no limit.
    double coldRate = 0;
};

/// Limits on the connections and requests of callers.
struct IngressLimits {
    uint32_t maxHeaderBytes = 16384;
    uint32_t maxBodyBytes = 262144;
    Millis headerTimeout { 3000 };
    Millis idleTimeout { 15000 };
};

/// Complete configuration document. Each new version is greater than the last, not necessarily by one.
struct RoutingDocument {
    uint64_t version = 0;
    std::vector<RouteSpec> routes;
    std::vector<ServiceSpec> services;
    IngressLimits limits;
};

/// Entry of a replica in the registry, as reported by the replica itself.
struct ReplicaEntry {
    std::string id;
    std::string service;
    std::string host;
    int port = 0;
    std::string zone;
    /// Number of requests that the replica executes concurrently.
    uint32_t slots = 1;
    ReplicaState state = ReplicaState::Ready;
    /// Remaining time for which the replica is slow after its start.
    Millis warmupLeft { 0 };
    /// Start of the process in Unix milliseconds; distinguishes two processes that use the same id.
    int64_t startedAt = 0;
    /// Sequence number of the report since that start.
    uint64_t sequence = 0;
};

/// Header field of a message, as received.
struct HeaderField {
    std::string name;
    std::string value;
};

/// Identifies what a request asks for and who asks, whatever its ID, attempt, deadline or connection.
struct RequestFingerprint {
    /// 0 when unknown.
    uint64_t value = 0;

    bool isValid() const { return value != 0; }
    bool operator==(const RequestFingerprint&) const = default;
    template <typename Hash>
    friend Hash AbslHashValue(Hash state, const RequestFingerprint& fingerprint) { return Hash::combine(std::move(state), fingerprint.value); }
};

/// Request of a caller in the form in which it is forwarded to a replica.
struct ForwardedRequest {
    std::string requestId;
    std::string method;
    /// Path and query string.
    std::string target;
    std::string host;
    /// End-to-end headers, except those that the query tier sets itself.
    std::vector<HeaderField> headers;
    std::string body;
    /// Not set in a group of an instance whose build does not send it.
    RequestFingerprint fingerprint;
    /// Encoded start of the request head, which is the same in every call for this request.
    std::string commonHead;
    /// Limit on the body of a replica's reply in bytes.
    size_t maxReplyBytes = 1 << 20;
    /// Time that the caller is willing to wait; zero if the caller has not specified one.
    Millis callerTimeout { 0 };
    /// Estimated time that the request and its answer spend between the caller and this instance.
    Micros transitTime { 0 };
    /// Counts the memory of the request until all copies are destroyed; may be null.
    std::shared_ptr<const void> memory;
};

/// Complete reply of a replica to one call.
struct ReplicaReply {
    int status = 0;
    std::vector<HeaderField> headers;
    /// Signature that proves that a replica produced this reply; empty if absent.
    std::string signature;
    /// The replica states that it did not execute the request.
    bool isNotExecuted = false;
    /// A different replica now uses this address and refused the call (HTTP status 421).
    bool isMisdirected = false;
    /// The replica closes this connection after the reply, for example because it shuts down.
    bool isClosing = false;
    /// The replica announces that it shuts down and takes no further requests.
    bool isLeaving = false;
    /// Time for which the replica, which refused the call, asks this instance to send nothing; negative if it does not.
    Millis backOff { -1 };
    /// Requests per second that the replica accepts from all instances together; unset if it has no limit.
    std::optional<double> rateLimit;
    /// Numbers of requests that the replica executes and has queued; negative if not reported.
    int running = -1;
    int waiting = -1;
    /// Time for which the replica is still cold, as it reports; negative if not reported.
    Millis warmupLeft { -1 };
    std::string body;
};

/// Reason why a call ended without a usable reply.
enum class CallFailure : uint8_t {
    /// No byte of the call was written to a connection.
    NotSent,
    /// The call was sent, but the connection closed before the reply was complete.
    Lost,
    /// The call was sent, but the received data is not a valid reply to it.
    Malformed,
};
std::string_view name(CallFailure value);

/// Part that is missing from a merged answer, and the reason.
struct MissingPart {
    std::string service;
    ResultCode reason = ResultCode::Ok;
    /// Number of replicas that may have executed the request for this part.
    uint32_t runs = 0;
    /// Number of calls that were sent for this part, including those that replicas refused.
    uint32_t sentCalls = 0;
};

/// One run of a replica; it ends when the replica restarts, even under the same id.
struct ReplicaRun {
    std::string id;
    /// See `ReplicaEntry::startedAt`.
    int64_t startedAt = 0;
    bool operator==(const ReplicaRun&) const = default;
    template <typename Hash>
    friend Hash AbslHashValue(Hash state, const ReplicaRun& run) { return Hash::combine(std::move(state), run.id, run.startedAt); }
};

/// Rate limit that a replica has named.
struct ReplicaRateLimit {
    ReplicaRun replica;
    /// See `ReplicaReply::rateLimit`.
    double perSecond = 0;
    bool operator==(const ReplicaRateLimit&) const = default;
};

/// Final answer to a caller of a route.
struct RouteAnswer {
    ResultCode code = ResultCode::Ok;
    int status = 0;
    /// Time after which the caller may retry; negative if no advice is given.
    Millis retryAfter { -1 };
    /// True if the answer is the reply of a replica; `headers` then holds its end-to-end headers.
    bool isReplicaReply = false;
    std::vector<HeaderField> headers;
    std::string body;
    /// For merged answers: signatures of the parts that are included, and the missing parts.
    bool isMerged = false;
    std::vector<std::string> partSignatures;
    std::vector<MissingPart> missing;
    /// For groups: replicas of the group's shards that have announced that they leave.
    std::vector<ReplicaRun> leavingReplicas;
    /// For groups: rate limits of the replicas of the group's shards.
    std::vector<ReplicaRateLimit> rateLimits;
    /// For groups: fraction of the requests of this rank that each shard has room for, in the order of the shards; empty
    /// if all have room for all.
    std::vector<double> admittedFractions;
};

/// Request to another instance, called the aggregator, to gather a group of a search's shards.
struct GroupRequest {
    /// Only the id, method, target, host, fingerprint and `commonHead` are set; headers and body are empty.
    ForwardedRequest forwarded;
    std::string route;
    std::vector<std::string> shards;
    /// Time after which the aggregator replies with the parts that it has.
    Micros softTimeout { 0 };
    /// Time after which the sender gives up.
    Millis timeLeft { 0 };
    uint32_t maxAttempts = 1;
    uint32_t topRecords = 0;
    /// See `RouteSpec::homeRegions`.
    std::vector<std::string> homeRegions;
    /// Rank of the request under load, lower ones go first: by priority, then first attempts before repeated ones.
    uint32_t rank = 0;
};

/// Reply of an aggregator to a `GroupRequest`.
struct GroupReply {
    /// Signatures of the included parts, in the order of the shards in the request.
    std::vector<std::string> signatures;
    std::vector<MissingPart> missing;
    /// Merged records of the included parts, greatest first, at most `topRecords`.
    std::string records;
    uint32_t callsSent = 0;
    uint32_t repeats = 0;
    /// Replicas of the shards that have announced that they leave.
    std::vector<ReplicaRun> leavingReplicas;
    std::vector<ReplicaRateLimit> rateLimits;
    /// See `RouteAnswer::admittedFractions`.
    std::vector<double> admittedFractions;
};

/// Request that an instance relays to another one, because it cannot reach the replicas that the request needs.
struct RelayRequest {
    /// `commonHead` is not set. `callerTimeout` is the remaining time, `transitTime` includes the time spent so far.
    ForwardedRequest forwarded;
    /// Newest version of the configuration by which the sender has answered callers. An instance with an older one declines.
    uint64_t configVersion = 0;
};

/// Reply to a `RelayRequest`: the answer for the caller.
struct RelayReply {
    RouteAnswer answer;
    /// Version of the configuration by which the request was processed.
    uint64_t configVersion = 0;
    uint32_t callsSent = 0;
    uint32_t repeats = 0;
};

} // namespace limpettrestle
