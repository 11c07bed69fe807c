#pragma once

/// Messages between instances: a follower asks a reader for what has changed. JSON over HTTP on the
/// peer address;
/// `GET /changes?run=R&after=N&hold=MS&age=MS&config=VERSION&name=NAME&zone=ZONE&address=IP:PORT&instances=DIGEST`.

#include "../process/change_log.h"
#include "../process/instance_directory.h"

#include <optional>

namespace limpettrestle {

struct ChangesRequest {
    /// Accepts knowledge of any age.
    static constexpr Millis kAnyAge = std::chrono::hours(24);

    ChangePosition after;
    /// Time for which the answer may be held when nothing has changed.
    Millis hold { 0 };
    /// Replicas are told only where the knowledge was at most that old when it was asked for; negative
    /// when none are wanted.
    Millis acceptableAge = kAnyAge;
    /// Version of the configuration in force; only a newer one is told.
    uint64_t configVersion = 0;
    /// The asking instance; without a name where it does not follow.
    InstanceInfo follower;
    /// Digest of the list of instances that it was last told; 0 when there is none.
    uint64_t instances = 0;
};

struct ChangesReply {
    ChangePosition upTo;
    bool isFullSnapshot = false;
    /// False where replicas were left out, since the asking instance would not take them over.
    bool tellsReplicas = true;
    /// Time since the knowledge of the sender left the registry.
    Millis age { 0 };
    std::string sender;
    /// Instances that follow the sender, itself included; all instances that it knows of.
    uint32_t following = 0;
    uint32_t fleet = 0;
    /// Digest of the instances of the follower's zone, or for one that does not follow of the sender
    /// and its followers; the list where the asking instance does not know it.
    uint64_t instancesDigest = 0;
    std::optional<std::vector<InstanceInfo>> instances;
    std::vector<ReplicaEntry> written;
    std::vector<std::string> removed;
    std::optional<RoutingDocument> config;
};

/// What an instance tells the others of its zone: `POST /reach`.
struct ReachNotice {
    std::string sender;
    /// Zones of replicas that the sender cannot reach.
    std::vector<std::string> zones;
};

constexpr std::string_view kReachPath = "/reach";

std::string encode(const ReachNotice& notice);
/// Empty on malformed input.
std::optional<ReachNotice> decodeNotice(const std::string& text);
std::string encodeTarget(const ChangesRequest& request);
/// Empty on malformed input.
std::optional<ChangesRequest> decodeTarget(const std::string& target);
std::string encode(const ChangesReply& reply);
std::optional<ChangesReply> decodeReply(const std::string& text);

} // namespace limpettrestle
