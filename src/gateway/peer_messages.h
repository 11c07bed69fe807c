#pragma once

/// Messages between instances: a follower asks a reader for what has changed. JSON over HTTP on the
/// peer address; `GET /changes?run=R&after=N&hold=MS&name=NAME`.

#include "../process/change_log.h"

#include <optional>

namespace limpettrestle {

struct ChangesRequest {
    ChangePosition after;
    /// Time for which the answer may be held when nothing has changed.
    Millis hold { 0 };
    /// Name of the asking instance; empty for one that does not follow.
    std::string follower;
};

struct ChangesReply {
    ChangePosition upTo;
    bool isWhole = false;
    /// Time since the knowledge of the sender left the registry.
    Millis age { 0 };
    std::string sender;
    /// Instances that follow the sender, itself included; all instances that it knows of.
    uint32_t following = 0;
    uint32_t fleet = 0;
    std::vector<ReplicaEntry> written;
    std::vector<std::string> removed;
    std::optional<RoutingDocument> config;
};

std::string encodeTarget(const ChangesRequest& request);
/// Empty on malformed input.
std::optional<ChangesRequest> decodeTarget(const std::string& target);
std::string encode(const ChangesReply& reply);
std::optional<ChangesReply> decodeReply(const std::string& text);

} // namespace limpettrestle
