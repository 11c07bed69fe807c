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

/// Quarantine of a request, as instances send it to each other.
struct QuarantineEntry {
    RequestFingerprint request;
    /// Time since the last crash.
    Micros age { 0 };
    /// Number of certain quarantines so far, including this one; 0 while the quarantine is provisional.
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
    /// Records reports and returns those that were new. The order in which reports arrive does not matter.
    std::vector<CrashReport> record(const std::vector<CrashReport>& reports, TimePoint now);
    /// Records that a replica has answered the request, which clears it. Returns false when it was clear.
    bool recordAnswer(RequestFingerprint request, TimePoint now);
    /// Takes over a quarantine from another instance. Returns false when it is known or the request was answered since.
    bool adopt(const QuarantineEntry& entry, TimePoint now);
    /// Ends quarantines whose time is over, and forgets old evidence. Must be called periodically.
    void expire(TimePoint now);

    RequestStanding standing(RequestFingerprint request) const;
    /// True when the request is quarantined for certain. Open calls of a provisionally quarantined one may still clear it.
    bool isCertain(RequestFingerprint request) const;
    /// Time until the request's quarantine ends; zero when there is none.
    Millis timeLeft(RequestFingerprint request, TimePoint now) const;
    /// Number of different crashes with which the request was connected.
    size_t crashCount(RequestFingerprint request) const;
    /// Returns the requests that were quarantined, provisionally or for certain, since the last call.
    std::vector<RequestFingerprint> takeNewlyQuarantined();
    /// Returns the quarantines, the latest crash first, at most `limit`.
    std::vector<QuarantineEntry> quarantines(size_t limit, TimePoint now) const;
    /// Digest of the quarantines; 0 when there are none.
    uint64_t digest() const { return digest_; }
    size_t quarantinedCount() const { return quarantinedCount_; }

private:
    enum class Verdict : uint8_t {
        None,
        /// Crashes in short succession speak against the request. They may be the work of another one that comes as often.
        Provisional,
        /// The request has crashed a replica again after a quarantine.
        Certain,
    };
    struct Crash {
        ReplicaRun replica;
        TimePoint sentAt {};
        TimePoint endedAt {};
    };
    struct Suspect {
        std::vector<Crash> crashes;
        TimePoint lastCrashAt {};
        Verdict verdict = Verdict::None;
        /// A quarantine has ended, so that the request is sent to replicas again.
        bool isOnTrial = false;
        /// Number of certain quarantines so far.
        uint32_t terms = 0;
    };

    /// Adds a report to the evidence. Returns false when it adds nothing.
    bool add(const CrashReport& report, TimePoint now);
    void forgetOldestCrash(RequestFingerprint request, Suspect& suspect);
    /// Quarantines or releases a request as the evidence demands.
    void evaluate(RequestFingerprint request);
    /// Number of crashes that did not overlap: each of their calls was sent clearly after the crash before it.
    static size_t separateCrashes(std::vector<Crash> crashes);
    /// True when another request was lost in at least two separate crashes of this one.
    bool hasRival(RequestFingerprint request, const Suspect& suspect) const;
    bool isVictim(RequestFingerprint request, const ReplicaRun& replica) const;
    /// True when a request that is certain to crash replicas was on the replica.
    bool isExplained(const ReplicaRun& replica) const;
    /// End of the quarantine.
    static TimePoint endOf(const Suspect& suspect);
    void setVerdict(RequestFingerprint request, Suspect& suspect, Verdict verdict);
    /// Ends a quarantine, so that the next crash counts as a relapse.
    void beginTrial(RequestFingerprint request, Suspect& suspect);
    /// Takes the crashes of a certain request off the other requests that were lost with it.
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
