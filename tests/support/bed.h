#pragma once

/// Test bed that runs real nodes on a virtual clock against simulated callers, network, backend
/// servers and platform. The seed determines a run completely.

#include "../../standins/backend_model.h"
#include "limpettrestle/limpettrestle.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace limpettrestle::tests {

/// Clock that advances only when the test bed sets it.
class VirtualClock final : public ClockI {
public:
    TimePoint now() const override { return now_; }
    WallTime wallNow() const override { return WallTime(std::chrono::duration_cast<WallTime::duration>(now_.time_since_epoch())) + wallOffset; }
    void advanceTo(TimePoint time) { now_ = time; }
    Micros wallOffset { 0 };

private:
    TimePoint now_ { std::chrono::hours(1000) };
};

/// Steps of a request and of the background tasks at which a fault can be injected. The background
/// tasks start with `Config`.
enum class Step : uint8_t {
    Accept,
    Plan,
    ToOwner,
    Queue,
    Send,
    Run,
    Reply,
    Merge,
    Answer,
    Membership,
    Config,
    Drain,
    Shutdown,
    Start,
};
constexpr int kStepCount = 14;
std::string_view name(Step step);

/// A caller's request and its answer.
struct TrackedRequest {
    uint64_t tag = 0;
    std::string instance;
    bool isSubmit = false;
    std::string query;
    std::string key;
    TimePoint sentAt {};
    Millis deadline { 0 };
    /// Number of answers received; more than one is a fault.
    int answers = 0;
    /// The last answer received.
    Answer answer;
    TimePoint answeredAt {};
    /// True if the instance that received the request was down or paused before it answered.
    bool hasInstanceFailed = false;
};

/// One instance: its node, and the state of the simulated process that runs it.
struct TestInstance {
    std::string name;
    std::string zone;
    std::unique_ptr<Node> node;
    VirtualClock clock;
    /// Number of starts so far.
    uint64_t startCount = 0;
    bool isAlive = false;
    bool isPaused = false;
    bool isWatching = false;
    /// Incremented at each start and kill, so that events for an earlier process are dropped.
    uint64_t generation = 0;
    /// Events that arrived while the instance was paused.
    std::vector<Event> inbox;
    TimePoint wakeAt {};
    uint64_t highestConfigVersion = 0;
    bool hasConfigReverted = false;
};

/// Topology and behaviour of the test bed.
struct TestBedOptions {
    uint64_t seed = 1;
    /// Name and zone of each instance.
    std::vector<std::pair<std::string, std::string>> instances = { { "a0", "a" }, { "a1", "a" }, { "a2", "a" }, { "b0", "b" }, { "b1", "b" } };
    uint32_t shards = 6;
    /// JSON of the configuration's `policy` object.
    std::string policy = "{}";
    Millis serviceTime { 6 };
};

class TestBed {
public:
    explicit TestBed(const TestBedOptions& options);

    /// Starts all instances and runs for 3 s, in which they become ready.
    void startAll();
    void startInstance(const std::string& name);
    void killInstance(const std::string& name);
    void pauseInstance(const std::string& name);
    void resumeInstance(const std::string& name);
    void shutdownInstance(const std::string& name);

    uint64_t search(const std::string& instance, Millis deadline = Millis(300), double minCoverage = 0);
    uint64_t submit(const std::string& instance, const std::string& key, const Permit& permit = {}, Millis deadline = Millis(300));
    uint64_t requestPermit(const std::string& instance, const std::string& key);
    const TrackedRequest& request(uint64_t tag) const { return requests_.at(tag); }
    const std::map<uint64_t, TrackedRequest>& requests() const { return requests_; }

    void runFor(Millis time);
    /// Runs an action after a delay on the virtual clock.
    void at(Millis delay, std::function<void()> action);
    TimePoint now() const { return clock_.now(); }

    /// Drops messages from one endpoint to another. An endpoint is an instance, a server, "platform",
    /// "zone:NAME", or "*" for all.
    void cut(const std::string& from, const std::string& to);
    void cutBoth(const std::string& a, const std::string& b);
    void cutZones(const std::string& a, const std::string& b);
    /// Ends all cuts.
    void healAll();

    /// Publishes a configuration patch on top of the given base; returns its revision.
    uint64_t publish(const std::string& change, ConfigStamp base, const std::string& patch);
    /// Publishes a complete configuration document; returns its revision.
    uint64_t publishCheckpoint(const std::string& change, uint64_t version, const std::string& document);
    ConfigStamp configStampOf(const std::string& instance) const;
    /// Sends the platform's state to every instance that watches it.
    void republishPlatformState();
    /// Discards all configuration records newer than the revision.
    void rollBackPlatform(uint64_t revision);
    /// Lists a server on the platform as leaving, or removes it from that list.
    void setLeaving(const std::string& server, bool leaving);

    /// Called at each step with the instance at which it occurs, and the peer or server that it concerns.
    std::function<void(Step, const std::string& instance, const std::string& other)> onStep;

    /// The configuration document of this test bed.
    std::string document() const;
    /// Number of times that the servers executed submissions with the key.
    uint64_t runsOf(const std::string& key) const;
    uint64_t totalSlotOverruns() const;
    uint64_t totalCalls() const;
    std::vector<std::string> liveInstances() const;

    std::map<std::string, std::unique_ptr<standins::BackendModel>> servers;
    std::map<std::string, std::string> serverZone;
    std::map<std::string, bool> isServerDown;
    std::map<std::string, TestInstance> instances;
    bool isPlatformDown = false;
    /// True while the platform serves the configuration records from before it became stale.
    bool isPlatformStale = false;
    bool recordTimeline = false;
    std::vector<std::pair<std::string, TimelineEvent>> timeline;
    /// Shares of peer messages that are duplicated, or delayed by `lateDelay`.
    double duplicateShare = 0;
    double lateShare = 0;
    Millis lateDelay { 150 };
    /// Shares of backend replies that are duplicated, delayed by `lateDelay`, or replaced by the
    /// reply to another call.
    double duplicateReplyShare = 0;
    double lateReplyShare = 0;
    double foreignReplyShare = 0;
    std::set<std::string> leavingServers;
    std::mt19937_64 random;

private:
    struct ScheduledAction {
        std::function<void()> action;
    };
    /// A call that waits for a slot at a server or runs there.
    struct OpenBackendCall {
        std::string instance;
        uint64_t generation = 0;
        BackendCallId call;
        BackendRequest request;
        bool isCancelled = false;
        bool isRunning = false;
    };
    struct ServerQueue {
        std::vector<std::shared_ptr<OpenBackendCall>> waiting;
        /// All calls that have not ended: waiting and running ones.
        std::vector<std::shared_ptr<OpenBackendCall>> open;
    };

    void schedule(TimePoint time, std::function<void()> action);
    void deliver(const std::string& instance, uint64_t generation, Event event);
    void handle(TestInstance& instance, const Event& event);
    void performAction(TestInstance& instance, Action& action);
    void scheduleWakeup(TestInstance& instance);
    void sendPeer(TestInstance& instance, const SendPeer& send);
    void callBackend(TestInstance& instance, const CallBackend& call);
    void receiveAtServer(const std::string& server, std::shared_ptr<OpenBackendCall> call);
    void startRun(const std::string& server, std::shared_ptr<OpenBackendCall> call, const standins::AdmissionResult& admission);
    void finishRun(const std::string& server, std::shared_ptr<OpenBackendCall> call, const standins::AdmissionResult& admission, Micros budget);
    void replyFromServer(const std::string& server, const std::shared_ptr<OpenBackendCall>& call, ResultCode code, bool losesReply);
    void cancelBackend(TestInstance& instance, const CancelBackend& cancel);
    void receiveAnswer(TestInstance& instance, const AnswerCaller& answer);
    void startPlatformRead(TestInstance& instance, const ReadPlatform& read);
    void sendPlatformState(const std::string& instance);
    void notifyWatchers();
    bool isCut(const std::string& from, const std::string& to) const;
    Micros latency(const std::string& zoneA, const std::string& zoneB);
    /// Returns true with the given probability.
    bool randomChance(double share);
    void reportStep(Step step, const std::string& instance, const std::string& other = {});
    std::string instanceByAddress(const std::string& address) const;

    TestBedOptions options_;
    VirtualClock clock_;
    std::multimap<TimePoint, ScheduledAction> queue_;
    std::map<uint64_t, TrackedRequest> requests_;
    std::map<std::string, ServerQueue> serverQueues_;
    std::set<std::pair<std::string, std::string>> cuts_;
    std::vector<ConfigRecord> records_;
    std::vector<ConfigRecord> staleRecords_;
    uint64_t revision_ = 0;
    uint64_t lastTag_ = 0;
};

} // namespace limpettrestle::tests
