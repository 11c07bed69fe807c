#pragma once

/// Messages between instances. A follower polls a reader for changes by JSON over HTTP on the peer address:
/// `GET /changes?run=R&after=N&hold=MS&age=MS&config=VERSION&era=ERA&name=NAME&zone=ZONE&address=IP:PORT&features=BITS&instances=DIGEST&quarantine=DIGEST&facts=DIGEST`.
/// Receivers ignore fields that they do not know, and builds differ while instances are replaced, so new fields are optional.

#include "../process/change_log.h"
#include "../process/instance_directory.h"
#include "crash_messages.h"
#include "fact_messages.h"

#include <optional>

namespace limpettrestle {

struct ChangesRequest {
    /// Value of `acceptableAge` that accepts cluster state of any age.
    static constexpr Millis kAnyAge = std::chrono::hours(24);

    /// Position of the last change that the follower has applied.
    ChangePosition after;
    /// Long poll: time for which the reply may be held while nothing has changed.
    Millis hold { 0 };
    /// The reply includes replicas only if the sender's cluster state was at most this old at the time of the request.
    /// Negative requests no replicas.
    Millis acceptableAge = kAnyAge;
    /// Version of the active configuration of the requester; the reply includes only a newer one.
    uint64_t configVersion = 0;
    /// Era of the requester's replicas. The reply leaves out replicas of an earlier one.
    uint64_t era = 0;
    /// The requesting instance; the name is empty when it does not follow the receiver.
    InstanceInfo follower;
    /// Digest of the last list of instances that the requester received; 0 when there is none.
    uint64_t instancesDigest = 0;
    /// Digest of the quarantines of the requester; unset when its build does not know quarantines.
    std::optional<uint64_t> quarantineDigest;
    /// Digest of the shared facts of the requester; unset when its build does not apply them.
    std::optional<uint64_t> factsDigest;
};

struct ChangesReply {
    /// Position of the last change in the reply.
    ChangePosition upTo;
    /// `written` lists all replicas: the receiver removes those that are not listed.
    bool isFullSnapshot = false;
    /// False when replicas were omitted because the requester would not accept them.
    bool includesReplicas = true;
    /// Era of the registry from which the replicas were read; 0 when it is unknown.
    uint64_t era = 0;
    /// Age of the sender's cluster state: time since it was read from the registry.
    Millis age { 0 };
    std::string sender;
    /// Number of instances that follow the sender, including itself.
    uint32_t following = 0;
    /// Number of all instances known to the sender.
    uint32_t fleet = 0;
    /// Digest of `instances`.
    uint64_t instancesDigest = 0;
    /// For a follower, the instances of its zone and a few of each other zone; for any other requester, the sender and its followers. Unset when the
    /// requester already has this list.
    std::optional<std::vector<InstanceInfo>> instances;
    /// Replicas that were created or updated.
    std::vector<ReplicaEntry> written;
    /// IDs of replicas that were removed.
    std::vector<std::string> removed;
    /// IDs of replicas that the sender uses only because it has deferred their removal. Earlier builds do not tell.
    std::vector<std::string> deferred;
    /// Latest quarantines of the sender; empty when the requester has the same ones.
    std::vector<QuarantineEntry> quarantines;
    /// Digest of the sender's shared facts; unset when the sender has not read them, or the requester does not apply them.
    std::optional<uint64_t> factsDigest;
    /// All shared facts of the sender; empty when the requester has the same ones.
    std::vector<FactEntry> facts;
    /// The active configuration; unset unless it is newer than the requester's.
    std::optional<RoutingDocument> config;
};

/// Notice to the other instances of the sender's zone about zones that it cannot reach: `POST /reach`.
struct ReachNotice {
    std::string sender;
    /// Zones of replicas that the sender cannot reach.
    std::vector<std::string> zones;
};

constexpr std::string_view kReachPath = "/reach";

std::string encode(const ReachNotice& notice);
/// Returns no value when the input is malformed.
std::optional<ReachNotice> decodeNotice(const std::string& text);
/// Encodes a request as an HTTP request target: path and query.
std::string encodeTarget(const ChangesRequest& request);
/// Returns no value when the input is malformed.
std::optional<ChangesRequest> decodeTarget(const std::string& target);
/// `configText`: encoded configuration that is sent when `reply.config` is unset; empty for none.
std::string encode(const ChangesReply& reply, std::string_view configText = {});
/// Returns no value when the input is malformed or its configuration is invalid.
std::optional<ChangesReply> decodeReply(const std::string& text);

} // namespace limpettrestle
