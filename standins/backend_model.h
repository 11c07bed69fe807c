#pragma once

/// Simulated backend server without its transport: slots, snapshots, drain, load shedding and
/// faults.

#include "limpettrestle/limpettrestle.h"

#include <absl/container/btree_map.h>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

namespace limpettrestle::standins {

/// Faults that a server injects. A share is the probability, from 0 to 1, of a fault in each call.
struct BackendFaults {
    /// Share of calls that take longer by `straggleDelay`.
    double straggleShare = 0;
    Millis straggleDelay { 0 };
    double shedShare = 0;
    double truncateShare = 0;
    double wrongShardShare = 0;
    double wrongSnapshotShare = 0;
    double corruptShare = 0;
    /// Replies with an HTTP status above 599.
    double badStatusShare = 0;
    /// Share of submissions that are executed but whose reply is lost.
    double loseReplyShare = 0;
    /// Factor by which the service time is multiplied.
    double slowFactor = 1;
    /// Replies to preflights do not report that the server is draining.
    bool hidesDrain = false;
    /// The server accepts connections but never replies.
    bool hangs = false;
};

/// Parameters of one server.
struct BackendParameters {
    std::string name;
    int port = 0;
    uint32_t shard = 0;
    uint32_t slots = 2;
    uint32_t connections = 25;
    Millis serviceTime { 6 };
    Millis connectTime { 0 };
    uint64_t mapVersion = 1;
    uint64_t oldestSnapshot = 1;
    uint64_t newestSnapshot = 1;
    /// Maximum number of calls that wait for a slot; further calls are shed.
    uint32_t queueLimit = 64;
    uint32_t rows = 3;
};

/// Counters of a server.
struct BackendCounts {
    uint64_t calls = 0;
    uint64_t executed = 0;
    uint64_t shed = 0;
    uint64_t cancelled = 0;
    uint64_t preflights = 0;
    /// Calls that were accepted while all slots were in use.
    uint64_t slotOverruns = 0;
    /// Calls that arrived more than 3 s after the drain began.
    uint64_t callsAfterDrain = 0;
    uint64_t openConnections = 0;
    uint64_t peakConnections = 0;
    uint64_t rejectedConnections = 0;
};

/// Result of the admission check of a call.
struct AdmissionResult {
    ResultCode refusal = ResultCode::Ok;
    /// Execution time of the call once it has a slot.
    Micros duration { 0 };
    bool losesReply = false;
};

/// State of one simulated server. The caller provides the time and drives the slots and the queue.
class BackendModel {
public:
    BackendModel(BackendParameters parameters, uint64_t incarnation, uint64_t seed);

    /// Admits or refuses a call that arrived at `now`.
    AdmissionResult admit(const BackendRequest& request, TimePoint now);
    bool hasFreeSlot() const { return usedSlots_ < parameters.slots; }
    bool isQueueFull() const { return queuedCalls_ >= parameters.queueLimit; }
    void enterQueue() { ++queuedCalls_; }
    void leaveQueue() { --queuedCalls_; }
    void takeSlot() { ++usedSlots_; }
    void freeSlot() { --usedSlots_; }

    /// Creates the reply to a call that was executed or refused, and fills `body`.
    BackendReply makeReply(const BackendRequest& request, ResultCode code, std::string& body);
    /// Counts an executed call, and records the request if it is a submission.
    void recordRun(const BackendRequest& request);

    void drain(TimePoint now);
    bool isDraining() const { return draining_; }

    BackendParameters parameters;
    BackendFaults faults;
    BackendCounts counts;
    uint64_t incarnation;
    /// Number of executions of each idempotency key.
    absl::btree_map<std::string, uint64_t> runs;
    /// Requests whose submission was executed, by idempotency key.
    absl::btree_map<std::string, std::vector<RequestId>> runRequests;

private:
    /// Returns true with the given probability.
    bool randomChance(double share);

    std::mt19937_64 random_;
    uint32_t usedSlots_ = 0;
    uint32_t queuedCalls_ = 0;
    bool draining_ = false;
    TimePoint drainStartedAt_ {};
};

/// Applies control settings by name. Returns false at the first unknown name or invalid value; the
/// settings before it have been applied.
bool applyControl(BackendModel& model, const nlohmann::json& control, TimePoint now);

} // namespace limpettrestle::standins
