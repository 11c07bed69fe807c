#pragma once

/// Distinguishes crashes of replicas from lost connections. A call whose connection ended without a reply is kept until the replica
/// shows whether its process still runs: by an answer, or by refusing connections.

#include "../process/replica_directory.h"

#include <deque>
#include <vector>

namespace limpettrestle {

/// Call whose connection ended without a reply.
struct LostCall {
    RequestFingerprint request;
    TimePoint sentAt {};
    TimePoint lostAt {};
};

class CrashDetector {
public:
    /// Records the loss of a call. Ignored when the request has been answered since the call was sent.
    void callLost(const ReplicaPtr& replica, const LostCall& call);
    /// Records an answer of the replica, which proves that its process has survived the loss of calls before it.
    void replicaAnswered(const ReplicaPtr& replica);
    /// Records that a replica has answered the request, so that the loss of its other calls has another cause.
    void requestAnswered(RequestFingerprint request, TimePoint now);
    /// Records that the process of the replica has ended. Returns the calls that were lost with it.
    std::vector<LostCall> replicaEnded(const ReplicaPtr& replica);
    /// Returns the replicas with lost calls that run under their ID by now in a later process.
    std::vector<ReplicaPtr> restartedReplicas(const ReplicaDirectory& directory) const;
    /// Forgets calls for which nothing has been shown for a while.
    void expire(TimePoint now);

private:
    void forgetOldestAnswer();

    struct PendingReplica {
        ReplicaPtr replica;
        std::vector<LostCall> calls;
    };

    absl::flat_hash_map<const Replica*, PendingReplica> pending_;
    /// Times of the last answers, and the requests in the order of their answers.
    absl::flat_hash_map<RequestFingerprint, TimePoint> answeredAt_;
    std::deque<std::pair<TimePoint, RequestFingerprint>> answers_;
};

} // namespace limpettrestle
