#pragma once

/// Behaviour of one backend server stand-in, apart from its transport: slots, snapshots, drain,
/// shedding and faults.

#include "limpettrestle/limpettrestle.h"

#include <absl/container/btree_map.h>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

namespace limpettrestle::standins {

/// Faults of a reply, drawn by share.
struct BackendFaults {
    /// Share of replies that are delayed by `delay`.
    double straggleShare = 0;
    Millis straggleDelay { 0 };
    double shedShare = 0;
    double truncateShare = 0;
    double wrongShardShare = 0;
    double wrongSnapshotShare = 0;
    double corruptShare = 0;
    /// Share of submissions that run and whose reply is lost.
    double loseReplyShare = 0;
    /// Every reply takes this factor of the service time.
    double slowFactor = 1;
    /// A preflight or status says that the server takes work although it is leaving.
    bool liesAboutDrain = false;
    /// Accepts connections and never answers.
    bool hangs = false;
};

/// Shape of one server.
struct BackendShape {
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
    /// Calls that wait for a slot at most; more are shed.
    uint32_t queue = 64;
    uint32_t rows = 3;
};

/// What a server counted.
struct BackendCounts {
    uint64_t calls = 0;
    uint64_t ran = 0;
    uint64_t shed = 0;
    uint64_t cancelled = 0;
    uint64_t preflights = 0;
    /// Calls that arrived while all slots were taken.
    uint64_t slotOverruns = 0;
    /// Work that arrived later than the allowed time after the drain began.
    uint64_t workAfterDrain = 0;
    uint64_t connectionsNow = 0;
    uint64_t connectionsMost = 0;
    uint64_t connectionsOver = 0;
};

/// Verdict on a call that arrives.
struct Arrival {
    ResultCode refusal = ResultCode::Ok;
    /// Time the call takes once it has a slot.
    Micros duration { 0 };
    bool losesReply = false;
};

class BackendModel {
public:
    BackendModel(BackendShape shape, uint64_t incarnation, uint64_t seed);

    /// Decides on a call; `now` is when it arrived.
    Arrival arrive(const BackendRequest& request, TimePoint now);
    bool hasFreeSlot() const { return inUse_ < shape.slots; }
    bool queueIsFull() const { return waiting_ >= shape.queue; }
    void enterQueue() { ++waiting_; }
    void leaveQueue() { --waiting_; }
    void takeSlot() { ++inUse_; }
    void freeSlot() { --inUse_; }

    /// Reply to a call that ran, or its refusal. Fills `body`.
    BackendReply makeReply(const BackendRequest& request, ResultCode code, std::string& body);
    /// Notes that a submission was run.
    void noteRun(const BackendRequest& request);

    void drain(TimePoint now);
    bool isDraining() const { return draining_; }

    BackendShape shape;
    BackendFaults faults;
    BackendCounts counts;
    uint64_t incarnation;
    /// Runs of each idempotency key.
    absl::btree_map<std::string, uint64_t> runs;
    /// Requests whose submission was run, by idempotency key.
    absl::btree_map<std::string, std::vector<RequestId>> runRequests;

private:
    bool draw(double share);

    std::mt19937_64 random_;
    uint32_t inUse_ = 0;
    uint32_t waiting_ = 0;
    bool draining_ = false;
    TimePoint drainSince_ {};
};

/// Applies control settings by name; false on an unknown name or a bad value.
bool applyControl(BackendModel& model, const nlohmann::json& control, TimePoint now);

} // namespace limpettrestle::standins
