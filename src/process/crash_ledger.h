#pragma once

/// Decides from the crash reports of all instances which requests crash the replicas that run them ("queries of death").
/// Does no I/O.

#include "limpettrestle/routing.h"

#include <absl/container/flat_hash_map.h>

namespace limpettrestle {

/// Request that a replica had been given when it crashed.
struct CrashReport {
    ReplicaRun replica;
    RequestFingerprint request;
    /// Times of the request's call and of its loss.
    TimePoint sentAt {};
    TimePoint endedAt {};
};

/// Quarantine of a request, as instances tell each other.
struct QuarantineEntry {
    RequestFingerprint request;
    /// Time since the last crash.
    Micros age { 0 };
    /// Number of quarantines so far, including this one.
    uint32_t term = 1;
};

enum class RequestStanding : uint8_t {
    Clear,
    /// A replica crashed while it had the request, and none has answered the request since.
    Suspect,
    /// The request is not sent to replicas.
    Quarantined,
};
std::string_view name(RequestStanding value);

class CrashLedger {
public:
    /// Returns false when the report tells nothing new.
    bool record(const CrashReport& report, TimePoint now);
    /// Records that a replica has answered the request, which clears it. Returns false when it was clear.
    bool recordAnswer(RequestFingerprint request, TimePoint now);
    /// Takes over a quarantine from another instance. Returns false when it is known or the request was answered since.
    bool adopt(const QuarantineEntry& entry, TimePoint now);
    /// Ends quarantines whose time is over, and forgets old evidence. Must be called periodically.
    void expire(TimePoint now);

    RequestStanding standing(RequestFingerprint request) const;
    /// Number of different crashes with which the request was connected.
    size_t crashCount(RequestFingerprint request) const;
    /// Returns the requests that were quarantined since the last call.
    std::vector<RequestFingerprint> takeNewlyQuarantined();
    /// Returns the quarantines, the latest crash first, at most `limit`.
    std::vector<QuarantineEntry> quarantines(size_t limit, TimePoint now) const;
    /// Digest of the quarantines; 0 when there are none.
    uint64_t digest() const { return digest_; }
    size_t quarantinedCount() const { return quarantinedCount_; }

private:
    struct Crash {
        ReplicaRun replica;
        TimePoint sentAt {};
        TimePoint endedAt {};
    };
    struct Suspect {
        std::vector<Crash> crashes;
        TimePoint lastCrashAt {};
        bool isQuarantined = false;
        /// Number of quarantines so far.
        uint32_t terms = 0;
    };

    /// Number of the request's crashes that did not overlap: each of their calls was sent after the crash before it.
    static size_t separateCrashes(const Suspect& suspect);
    /// True when another request was on at least two of the replicas that crashed with this one.
    bool hasRival(RequestFingerprint request, const Suspect& suspect) const;
    bool isVictim(RequestFingerprint request, const ReplicaRun& replica) const;
    bool isExplained(const ReplicaRun& replica) const;
    void quarantine(RequestFingerprint request, Suspect& suspect);
    void release(RequestFingerprint request, Suspect& suspect);
    /// Takes the crashes of a quarantined request off the other requests that were lost with it.
    void explainCrashes(RequestFingerprint request, const Suspect& suspect);
    void erase(RequestFingerprint request);
    void makeRoomFor(RequestFingerprint request);

    absl::flat_hash_map<RequestFingerprint, Suspect> suspects_;
    /// Requests that were lost with a replica.
    absl::flat_hash_map<ReplicaRun, std::vector<RequestFingerprint>> victims_;
    /// Times of the answers that cleared requests.
    absl::flat_hash_map<RequestFingerprint, TimePoint> answeredAt_;
    std::vector<RequestFingerprint> newlyQuarantined_;
    size_t quarantinedCount_ = 0;
    uint64_t digest_ = 0;
};

} // namespace limpettrestle
