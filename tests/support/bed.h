#pragma once

/// Test bed on a virtual clock: real nodes between fakes of the interfaces (callers, network,
/// backend servers, platform). Every run is determined by its seed.

#include "../../standins/backend_model.h"
#include "limpettrestle/limpettrestle.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace limpettrestle::tests {

class VirtualClock final : public ClockI {
public:
    TimePoint now() const override { return now_; }
    WallTime wallNow() const override { return WallTime(std::chrono::duration_cast<WallTime::duration>(now_.time_since_epoch())) + wallOffset; }
    void advanceTo(TimePoint time) { now_ = time; }
    Micros wallOffset { 0 };

private:
    TimePoint now_ { std::chrono::hours(1000) };
};

/// Steps of a request and of the background duties at which a fault can strike.
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

/// A caller's request and what came of it.
struct TrackedRequest {
    uint64_t tag = 0;
    std::string host;
    bool isSubmit = false;
    std::string query;
    std::string key;
    TimePoint sentAt {};
    Millis deadline { 0 };
    int answers = 0;
    Answer answer;
    TimePoint answeredAt {};
    /// The instance that took it died or was paused meanwhile.
    bool hostFailed = false;
};

struct Host {
    std::string name;
    std::string zone;
    std::unique_ptr<Node> node;
    VirtualClock clock;
    uint64_t runs = 0;
    bool alive = false;
    bool paused = false;
    bool isWatching = false;
    uint64_t generation = 0;
    std::vector<Event> inbox;
    TimePoint wakeAt {};
    uint64_t highestConfig = 0;
    bool configWentBack = false;
};

/// Shape and behaviour of the bed.
struct BedOptions {
    uint64_t seed = 1;
    std::vector<std::pair<std::string, std::string>> hosts = { { "a0", "a" }, { "a1", "a" }, { "a2", "a" }, { "b0", "b" }, { "b1", "b" } };
    uint32_t shards = 6;
    std::string policy = "{}";
    Millis serviceTime { 6 };
};

class Bed {
public:
    explicit Bed(const BedOptions& options);

    /// Starts all instances and runs until they are ready.
    void startAll();
    void startHost(const std::string& name);
    void killHost(const std::string& name);
    void pauseHost(const std::string& name);
    void resumeHost(const std::string& name);
    void shutdownHost(const std::string& name);

    uint64_t search(const std::string& host, Millis deadline = Millis(300), double minCoverage = 0);
    uint64_t submit(const std::string& host, const std::string& key, const Permit& permit = {}, Millis deadline = Millis(300));
    uint64_t requestPermit(const std::string& host, const std::string& key);
    const TrackedRequest& request(uint64_t tag) const { return requests_.at(tag); }
    const std::map<uint64_t, TrackedRequest>& requests() const { return requests_; }

    void runFor(Millis time);
    void at(Millis delay, std::function<void()> action);
    TimePoint now() const { return clock_.now(); }

    /// Cuts messages from one host or server to another; "*" names all.
    void cut(const std::string& from, const std::string& to);
    void cutBoth(const std::string& a, const std::string& b);
    void cutZones(const std::string& a, const std::string& b);
    void healAll();

    /// Publishes a patch with the given base; returns its revision.
    uint64_t publish(const std::string& change, ConfigStamp base, const std::string& patch);
    uint64_t publishCheckpoint(const std::string& change, uint64_t version, const std::string& document);
    ConfigStamp stampAt(const std::string& host) const;
    void publishMembers();
    void platformGoBack(uint64_t revision);
    void setLeaving(const std::string& server, bool leaving);

    /// Called at each step with the hosts and server it concerns.
    std::function<void(Step, const std::string& host, const std::string& other)> onStep;

    std::string document() const;
    uint64_t runsOf(const std::string& key) const;
    uint64_t totalSlotOverruns() const;
    uint64_t totalCalls() const;
    std::vector<std::string> liveHosts() const;

    std::map<std::string, std::unique_ptr<standins::BackendModel>> servers;
    std::map<std::string, std::string> serverZone;
    std::map<std::string, bool> serverDown;
    std::map<std::string, Host> hosts;
    bool platformDown = false;
    bool platformStale = false;
    bool recordTimeline = false;
    std::vector<std::pair<std::string, TimelineEvent>> timeline;
    /// Shares of peer messages that are doubled or delayed.
    double duplicateShare = 0;
    double lateShare = 0;
    Millis lateDelay { 150 };
    /// Share of backend replies that are doubled, delayed or handed to another call.
    double duplicateReplyShare = 0;
    double lateReplyShare = 0;
    double foreignReplyShare = 0;
    std::set<std::string> leavingServers;
    std::mt19937_64 random;

private:
    struct Timed {
        std::function<void()> action;
    };
    struct OpenBackendCall {
        std::string host;
        uint64_t generation = 0;
        BackendCallId call;
        BackendRequest request;
        bool cancelled = false;
        bool running = false;
    };
    struct ServerQueue {
        std::vector<std::shared_ptr<OpenBackendCall>> waiting;
        std::vector<std::shared_ptr<OpenBackendCall>> open;
    };

    void schedule(TimePoint time, std::function<void()> action);
    void deliver(const std::string& host, uint64_t generation, Event event);
    void handle(Host& host, const Event& event);
    void route(Host& host, Action& action);
    void armWakeup(Host& host);
    void sendPeer(Host& host, const SendPeer& send);
    void callBackend(Host& host, const CallBackend& call);
    void arriveAtServer(const std::string& server, std::shared_ptr<OpenBackendCall> call);
    void startRun(const std::string& server, std::shared_ptr<OpenBackendCall> call, const standins::Arrival& arrival);
    void finishRun(const std::string& server, std::shared_ptr<OpenBackendCall> call, const standins::Arrival& arrival, Micros budget);
    void replyFromServer(const std::string& server, const std::shared_ptr<OpenBackendCall>& call, ResultCode code, bool losesReply);
    void cancelBackend(Host& host, const CancelBackend& cancel);
    void onAnswer(Host& host, const AnswerCaller& answer);
    void readPlatform(Host& host, const ReadPlatform& read);
    void sendPlatformState(const std::string& host);
    void platformChanged();
    bool isCut(const std::string& from, const std::string& to) const;
    Micros latency(const std::string& zoneA, const std::string& zoneB);
    bool draw(double share);
    void step(Step step, const std::string& host, const std::string& other = {});
    std::string hostByAddress(const std::string& address) const;

    BedOptions options_;
    VirtualClock clock_;
    std::multimap<TimePoint, Timed> queue_;
    std::map<uint64_t, TrackedRequest> requests_;
    std::map<std::string, ServerQueue> serverQueues_;
    std::set<std::pair<std::string, std::string>> cuts_;
    std::vector<ConfigRecord> records_;
    std::vector<ConfigRecord> staleRecords_;
    uint64_t revision_ = 0;
    uint64_t lastTag_ = 0;
};

} // namespace limpettrestle::tests
