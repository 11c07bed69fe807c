#pragma once

/// Test bed of a fleet whose instances call the replicas card-a and card-b of one service, on a virtual clock.

#include "routing_bed.h"

#include <functional>
#include <set>

namespace limpettrestle {

/// What the callers of a fleet were refused.
struct RefusalSummary {
    size_t count = 0;
    int status = 0;
    ResultCode code = ResultCode::Ok;
    Micros longest { 0 };
    Millis shortestRetryAfter = Millis::max();
    Millis longestRetryAfter { 0 };
};

/// One instance of the fleet. Its calls are sent at once.
class ColdInstance final : public ReplicaTransportI, public AnswerSinkI {
public:
    using CallHandler = std::function<void(const std::string& replica)>;

    ColdInstance(const ClockI& clock, const InstanceInfo& info, std::shared_ptr<const RouteTable> table, uint64_t seed, CallHandler onCall)
        : directory([](const ReplicaPtr&) {})
        , clock_(clock)
        , onCall_(std::move(onCall))
    {
        DispatcherInit init;
        init.clock = &clock;
        init.transport = this;
        init.answers = this;
        init.directory = &directory;
        init.zone = info.zone;
        init.instance = info.name;
        init.seed = seed;
        init.repeatSlack = 10000;
        init.coldExcess = kExcess;
        init.coldSlack = kSlack;
        dispatcher = std::make_unique<Dispatcher>(init);
        directory.setColdHandler([this](const ReplicaPtr& replica) { dispatcher->replicaTurnedCold(replica); });
        dispatcher->activateTable(std::move(table));
    }

    void startCall(uint64_t call, const ReplicaPtr& replica, const RequestPtr& /*request*/, Millis /*timeLeft*/, bool /*needsLiveConnection*/) override
    {
        onCall_(replica->entry.id);
        open_[call] = clock_.now();
        dispatcher->callSent(call);
    }
    bool isConnected(const ReplicaPtr& /*replica*/) const override { return true; }
    void cancelCall(uint64_t call) override { open_.erase(call); }

    void answer(uint64_t /*request*/, RouteAnswer answer, const RequestReport& report) override
    {
        if (answer.status == 200)
            return;
        ++refusals.count;
        refusals.status = answer.status;
        refusals.code = answer.code;
        refusals.longest = std::max(refusals.longest, report.duration);
        refusals.shortestRetryAfter = std::min(refusals.shortestRetryAfter, answer.retryAfter);
        refusals.longestRetryAfter = std::max(refusals.longestRetryAfter, answer.retryAfter);
    }

    void startRequest()
    {
        ForwardedRequest forwarded;
        forwarded.method = "GET";
        forwarded.target = "/one/x";
        forwarded.host = "test.example";
        forwarded.callerTimeout = Millis(1000);
        dispatcher->start(++lastRequest_, std::move(forwarded));
    }

    /// Ends the calls that have been open for `replyTime`.
    void endCalls(Millis replyTime, bool areLost)
    {
        std::vector<uint64_t> due;
        for (const auto& [call, sentAt] : open_) {
            if (clock_.now() - sentAt >= replyTime)
                due.push_back(call);
        }
        for (const uint64_t call : due) {
            open_.erase(call);
            if (areLost)
                dispatcher->callFailed(call, CallFailure::Lost);
            else
                dispatcher->callAnswered(call, RoutingTestBed::success("sig"));
        }
        if (dispatcher->nextTickAt() <= clock_.now())
            dispatcher->tick();
    }

    static constexpr double kExcess = 1.5;
    static constexpr double kSlack = 5;

    ReplicaDirectory directory;
    std::unique_ptr<Dispatcher> dispatcher;
    RefusalSummary refusals;

private:
    const ClockI& clock_;
    CallHandler onCall_;
    /// Open calls with the time at which they were sent.
    std::map<uint64_t, TimePoint> open_;
    uint64_t lastRequest_ = 0;
};

class ColdFleet {
public:
    using InstanceFilter = std::function<bool(size_t instance)>;
    /// Says whether an instance lists another one.
    using View = std::function<bool(size_t viewer, size_t listed)>;

    ColdFleet(size_t instances, double coldRate)
        : coldRate_(coldRate)
    {
        RoutingDocument document;
        document.version = 1;
        RouteSpec route;
        route.name = "one";
        route.host = "test.example";
        route.prefix = "/one/";
        route.repeat = RepeatPolicy::Idempotent;
        route.timeout = Millis(1500);
        route.latencyTarget = Millis(250);
        route.maxAttempts = 2;
        route.shares.push_back({ "card", 1 });
        document.routes.push_back(route);
        document.services.push_back({ "card", 0, Millis(3000), coldRate });
        table_ = std::make_shared<const RouteTable>(document);
        for (size_t i = 0; i < instances; ++i) {
            infos_.push_back({ "n" + std::to_string(i), "z" + std::to_string(i % kZones), "10.0.0.1", static_cast<int>(i + 1) });
            instances_.push_back(nullptr);
            listedSince_.push_back(clock.now());
            start(i);
        }
        for (const auto& [id, zone] : std::map<std::string, std::string> { { "card-a", "z0" }, { "card-b", "z1" } }) {
            ReplicaEntry& entry = entries_[id];
            entry = { id, "card", "10.0.0.1", 80, zone, 2 };
            entry.startedAt = 1;
            report(id, Millis(0), everyone);
        }
    }

    /// Maximum number of calls to a cold replica within a second.
    size_t bound() const { return static_cast<size_t>(coldRate_ * ColdInstance::kExcess + ColdInstance::kSlack); }

    static bool everyone(size_t /*instance*/) { return true; }

    /// Sends a report of a replica to some instances.
    void makeCold(const std::string& replica, Millis left, const InstanceFilter& filter = everyone) { report(replica, left, filter); }
    /// Reports the start of a later run of a replica to some instances. The others drop its earlier run.
    void restartReplica(const std::string& replica, Millis left, const InstanceFilter& filter)
    {
        entries_[replica].startedAt = 2;
        for (size_t i = 0; i < instances_.size(); ++i) {
            if (!filter(i) && instances_[i]->directory.find(replica)->entry.startedAt == 1)
                instances_[i]->directory.remove(replica, clock.now());
        }
        report(replica, left, filter);
    }

    /// Replaces an instance by a new process, which the others list after a delay.
    void restart(size_t instance)
    {
        start(instance);
        listedSince_[instance] = clock.now() + kListDelay;
        for (const auto& [id, entry] : entries_) {
            ReplicaEntry current = entry;
            current.warmupLeft = std::max(Millis(0), std::chrono::duration_cast<Millis>(coldUntil_[id] - clock.now()));
            instances_[instance]->directory.apply(current, clock.now());
        }
    }

    void setView(View view) { view_ = std::move(view); }
    void setInTouch(InstanceFilter filter) { isInTouch_ = std::move(filter); }
    void setReplyTime(Millis time) { replyTime_ = time; }
    void setLosesCalls(bool losesCalls) { losesCalls_ = losesCalls; }

    void startRequest(size_t instance) { instances_[instance]->startRequest(); }
    void runIdle(Millis time) { run(time, false); }
    /// Each instance receives a request every 10 ms.
    void runLoaded(Millis time) { run(time, true); }

    size_t callsTo(const std::string& replica) const { return calls_.contains(replica) ? calls_.at(replica).size() : 0; }
    /// Largest number of calls to a replica within any second that begins later than `after`.
    size_t mostInOneSecond(const std::string& replica, TimePoint after = {}) const
    {
        if (!calls_.contains(replica))
            return 0;
        const std::vector<TimePoint>& times = calls_.at(replica);
        size_t most = 0;
        size_t first = 0;
        for (size_t last = 0; last < times.size(); ++last) {
            while (first < last && (times[first] <= after || times[last] - times[first] > Millis(1000)))
                ++first;
            if (times[first] > after)
                most = std::max(most, last - first + 1);
        }
        return most;
    }

    RefusalSummary refusals() const
    {
        RefusalSummary all;
        for (const auto& instance : instances_) {
            const RefusalSummary& own = instance->refusals;
            if (own.count == 0)
                continue;
            all.count += own.count;
            all.status = own.status;
            all.code = own.code;
            all.longest = std::max(all.longest, own.longest);
            all.shortestRetryAfter = std::min(all.shortestRetryAfter, own.shortestRetryAfter);
            all.longestRetryAfter = std::max(all.longestRetryAfter, own.longestRetryAfter);
        }
        return all;
    }
    size_t refused() const { return refusals().count; }

    TestClock clock;

private:
    static constexpr size_t kZones = 3;
    static constexpr Millis kStep { 5 };
    /// Period in which instances update their lists, as the gateway's maintenance does.
    static constexpr Millis kListPeriod { 250 };
    /// Time after which a new process is in the lists of the others. It is in its own list at once.
    static constexpr Millis kListDelay { 2500 };

    void start(size_t instance)
    {
        instances_[instance] = std::make_unique<ColdInstance>(clock, infos_[instance], table_, instance + 1, [this](const std::string& replica) { calls_[replica].push_back(clock.now()); });
        instances_[instance]->dispatcher->setFleetSize(static_cast<uint32_t>(infos_.size()));
    }

    void report(const std::string& replica, Millis left, const InstanceFilter& filter)
    {
        ReplicaEntry& entry = entries_[replica];
        entry.warmupLeft = left;
        ++entry.sequence;
        coldUntil_[replica] = clock.now() + left;
        for (size_t i = 0; i < instances_.size(); ++i) {
            if (filter(i))
                instances_[i]->directory.apply(entry, clock.now());
        }
    }

    void updateLists()
    {
        for (size_t viewer = 0; viewer < instances_.size(); ++viewer) {
            std::vector<InstanceInfo> listed;
            for (size_t i = 0; i < infos_.size(); ++i) {
                if ((i == viewer || clock.now() >= listedSince_[i]) && view_(viewer, i))
                    listed.push_back(infos_[i]);
            }
            if (isInTouch_(viewer))
                instances_[viewer]->dispatcher->setCurrentInstances(listed);
            instances_[viewer]->dispatcher->updateColdReplicas();
        }
    }

    void run(Millis time, bool isLoaded)
    {
        for (Millis passed = kStep; passed <= time; passed += kStep) {
            clock.advance(kStep);
            ++steps_;
            if (clock.now() - listsUpdatedAt_ >= kListPeriod) {
                listsUpdatedAt_ = clock.now();
                updateLists();
            }
            for (size_t i = 0; i < instances_.size(); ++i) {
                instances_[i]->endCalls(replyTime_, losesCalls_);
                if (isLoaded && (steps_ + i) % 2 == 0)
                    instances_[i]->startRequest();
            }
        }
    }

    const double coldRate_;
    std::shared_ptr<const RouteTable> table_;
    std::vector<InstanceInfo> infos_;
    std::vector<std::unique_ptr<ColdInstance>> instances_;
    std::vector<TimePoint> listedSince_;
    std::map<std::string, ReplicaEntry> entries_;
    std::map<std::string, TimePoint> coldUntil_;
    std::map<std::string, std::vector<TimePoint>> calls_;
    View view_ = [](size_t, size_t) { return true; };
    InstanceFilter isInTouch_ = everyone;
    Millis replyTime_ { 5 };
    bool losesCalls_ = false;
    TimePoint listsUpdatedAt_ {};
    size_t steps_ = 0;
};

} // namespace limpettrestle
