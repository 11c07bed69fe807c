#pragma once

/// Simulated fleet on a virtual clock that divides its searches among its instances, with replicas that are overloaded.
/// Counts the calls that arrive at each service for a request beyond the first one.

#include "routing_bed.h"

#include <random>

namespace limpettrestle {

/// How the replicas answer.
struct ReplicaBehavior {
    /// Fraction of the calls that a replica refuses without executing them.
    double shedFraction = 0;
    /// Fraction of the calls that are not answered before their deadline.
    double stuckFraction = 0;
    /// Fraction of the calls whose connection ends without a reply.
    double lostFraction = 0;
};

class RepeatFleet {
public:
    struct Options {
        size_t instances = 8;
        size_t zones = 3;
        size_t shards = 40;
        /// Searches per second of all callers together.
        double searchesPerSecond = 60;
        double ratio = 0.17;
        double slack = 60;
        uint64_t seed = 1;
    };

    explicit RepeatFleet(const Options& options)
        : options_(options)
        , random_(options.seed)
    {
        for (size_t i = 0; i < options.instances; ++i)
            infos_.push_back({ "n" + std::to_string(i), "zone" + std::to_string(i % options.zones), "10.0.0.1", static_cast<int>(i) + 1, kOwnFeatures });
        instances_.resize(options.instances);
        for (size_t i = 0; i < options.instances; ++i)
            restart(i);
    }

    /// Replaces an instance by a new process, which has no memory of its calls. Its open requests are lost.
    void restart(size_t index) { instances_[index] = std::make_unique<Instance>(*this, index); }

    void runFor(Millis time, const ReplicaBehavior& behavior)
    {
        behavior_ = behavior;
        for (Millis step(0); step < time; step += Millis(1)) {
            clock_.advance(Millis(1));
            startRequests();
            while (!events_.empty() && events_.begin()->first <= clock_.now()) {
                const std::function<void()> action = std::move(events_.begin()->second);
                events_.erase(events_.begin());
                action();
            }
            for (const auto& instance : instances_) {
                if (instance->dispatcher->nextTickAt() <= clock_.now())
                    instance->dispatcher->tick();
            }
        }
    }

    size_t instances() const { return options_.instances; }
    /// Greatest number of arrivals beyond the first ones at a service within `window`, less `ratio` times the searches that
    /// callers sent in that window, the one before it or the one half a window before it, whichever has most.
    double worstExcess(Millis window, double ratio) const
    {
        double worst = 0;
        for (const auto& [service, times] : extraArrivals_) {
            size_t first = 0;
            for (size_t last = 0; last < times.size(); ++last) {
                while (times[last] - times[first] > window)
                    ++first;
                const TimePoint end = times[last];
                const size_t searches = std::max({ searchesIn(end - window, end), searchesIn(end - window * 2, end - window), searchesIn(end - window * 3 / 2, end - window / 2) });
                worst = std::max(worst, static_cast<double>(last - first + 1) - ratio * static_cast<double>(searches));
            }
        }
        return worst;
    }
    size_t extraArrivals() const
    {
        size_t total = 0;
        for (const auto& [service, times] : extraArrivals_)
            total += times.size();
        return total;
    }
    size_t served = 0;

private:
    struct Instance final : ReplicaTransportI, GroupTransportI, AnswerSinkI {
        Instance(RepeatFleet& owner, size_t instanceIndex)
            : fleet(owner)
            , index(instanceIndex)
            , run(++owner.runs_)
            , directory([](const ReplicaPtr&) {})
            , plan({ owner.infos_[instanceIndex].name, 0.1 })
        {
            std::vector<InstanceInfo> zone = fleet.infos_;
            std::erase_if(zone, [&](const InstanceInfo& info) { return info.zone != fleet.infos_[index].zone; });
            std::sort(zone.begin(), zone.end(), [](const InstanceInfo& a, const InstanceInfo& b) { return a.name < b.name; });
            plan.setInstances(zone);
            plan.setFleetSize(static_cast<uint32_t>(fleet.infos_.size()));
            DispatcherInit init;
            init.clock = &fleet.clock_;
            init.transport = this;
            init.groups = this;
            init.plan = &plan;
            init.answers = this;
            init.directory = &directory;
            init.zone = fleet.infos_[index].zone;
            init.instance = fleet.infos_[index].name;
            init.seed = fleet.options_.seed + run;
            init.repeatRatio = fleet.options_.ratio;
            init.repeatSlack = fleet.options_.slack;
            dispatcher = std::make_unique<Dispatcher>(init);
            dispatcher->setFleetSize(static_cast<uint32_t>(fleet.infos_.size()));
            addReplicas();
            activateRoute();
        }

        void addReplicas()
        {
            for (size_t shard = 0; shard < fleet.options_.shards; ++shard) {
                for (size_t zone = 0; zone < fleet.options_.zones; ++zone) {
                    ReplicaEntry entry;
                    entry.service = "s" + std::to_string(shard);
                    entry.id = entry.service + "-" + std::to_string(zone);
                    entry.host = "10.0.0.2";
                    entry.port = 80;
                    entry.zone = "zone" + std::to_string(zone);
                    entry.slots = 2;
                    entry.startedAt = 1;
                    entry.sequence = 1;
                    directory.apply(entry, fleet.clock_.now());
                }
            }
        }

        void activateRoute()
        {
            RoutingDocument document;
            document.version = 1;
            RouteSpec route;
            route.name = "all";
            route.host = "test.example";
            route.prefix = "/all/";
            route.repeat = RepeatPolicy::Idempotent;
            route.timeout = Millis(400);
            route.latencyTarget = Millis(80);
            route.maxAttempts = 2;
            route.topRecords = 3;
            route.minCoverage = 0.95;
            for (size_t shard = 0; shard < fleet.options_.shards; ++shard)
                route.shards.push_back("s" + std::to_string(shard));
            document.routes.push_back(route);
            dispatcher->activateTable(std::make_shared<const RouteTable>(document));
        }

        void startCall(uint64_t call, const ReplicaPtr& replica, const RequestPtr& request, Millis /*timeLeft*/, bool /*needsLiveConnection*/) override
        {
            dispatcher->callSent(call);
            fleet.recordArrival(replica->entry.service, request->requestId);
            fleet.answerCall(*this, call);
        }
        bool isConnected(const ReplicaPtr& /*replica*/) const override { return true; }
        void cancelCall(uint64_t /*call*/) override { }

        void startGroup(uint64_t group, const InstanceInfo& aggregator, GroupRequest request) override { fleet.passGroup(*this, group, aggregator, std::move(request)); }
        void cancelGroup(uint64_t /*group*/) override { }

        void answer(uint64_t request, RouteAnswer answer, const RequestReport& report) override
        {
            if ((request & kGroupBit) == 0)
                fleet.served += answer.status == 200 ? 1 : 0;
            else
                fleet.returnGroup(request & ~kGroupBit, std::move(answer), report);
        }

        RepeatFleet& fleet;
        size_t index;
        uint64_t run;
        ReplicaDirectory directory;
        GatherPlan plan;
        std::unique_ptr<Dispatcher> dispatcher;
    };

    struct OpenGroup {
        size_t sender = 0;
        uint64_t senderRun = 0;
        uint64_t group = 0;
    };

    static constexpr uint64_t kGroupBit = 1ULL << 63;
    static constexpr Millis kMessageDelay { 1 };

    void after(Millis delay, std::function<void()> action) { events_.emplace(clock_.now() + delay, std::move(action)); }

    void startRequests()
    {
        dueSearches_ += options_.searchesPerSecond / 1000;
        for (; dueSearches_ >= 1; dueSearches_ -= 1) {
            searches_.push_back(clock_.now());
            ForwardedRequest forwarded;
            forwarded.requestId = "r" + std::to_string(searches_.size());
            forwarded.method = "GET";
            forwarded.target = "/all/q";
            forwarded.host = "test.example";
            forwarded.callerTimeout = Millis(400);
            instances_[random_() % instances_.size()]->dispatcher->start(searches_.size(), std::move(forwarded));
        }
    }

    void recordArrival(const std::string& service, const std::string& requestId)
    {
        if (!arrived_.insert(service + "/" + requestId).second)
            extraArrivals_[service].push_back(clock_.now());
    }

    void answerCall(Instance& instance, uint64_t call)
    {
        const double draw = std::uniform_real_distribution<>(0, 1)(random_);
        const ReplicaBehavior& behavior = behavior_;
        if (draw < behavior.stuckFraction)
            return;
        const bool isLost = draw < behavior.stuckFraction + behavior.lostFraction;
        const bool isShed = !isLost && draw < behavior.stuckFraction + behavior.lostFraction + behavior.shedFraction;
        const Millis delay(isShed ? 1 : 4 + static_cast<int64_t>(random_() % 8));
        after(delay, [this, index = instance.index, run = instance.run, call, isLost, isShed] {
            Instance& current = *instances_[index];
            if (current.run != run)
                return;
            if (isLost) {
                current.dispatcher->callFailed(call, CallFailure::Lost);
                return;
            }
            ReplicaReply reply = RoutingTestBed::success("sig-" + std::to_string(index) + "-" + std::to_string(call));
            reply.status = isShed ? 503 : 200;
            reply.isNotExecuted = isShed;
            current.dispatcher->callAnswered(call, std::move(reply));
        });
    }

    void passGroup(Instance& sender, uint64_t group, const InstanceInfo& aggregator, GroupRequest request)
    {
        const auto receiver = static_cast<size_t>(std::find(infos_.begin(), infos_.end(), aggregator) - infos_.begin());
        const uint64_t id = ++groups_;
        openGroups_[id] = { sender.index, sender.run, group };
        after(kMessageDelay, [this, receiver, id, request = std::move(request)] { instances_[receiver]->dispatcher->gather(id | kGroupBit, request); });
    }

    void returnGroup(uint64_t id, RouteAnswer answer, const RequestReport& report)
    {
        const OpenGroup open = openGroups_.at(id);
        GroupReply reply { std::move(answer.partSignatures), std::move(answer.missing), std::move(answer.body), report.callsSent, report.repeats };
        const bool hasContent = answer.isMerged || !reply.missing.empty();
        after(kMessageDelay, [this, open, hasContent, reply = std::move(reply)] {
            Instance& sender = *instances_[open.sender];
            if (sender.run != open.senderRun)
                return;
            if (hasContent)
                sender.dispatcher->groupAnswered(open.group, reply);
            else
                sender.dispatcher->groupFailed(open.group, false);
        });
    }

    size_t searchesIn(TimePoint from, TimePoint to) const
    {
        return static_cast<size_t>(std::lower_bound(searches_.begin(), searches_.end(), to) - std::lower_bound(searches_.begin(), searches_.end(), from));
    }

    const Options options_;
    TestClock clock_;
    std::mt19937_64 random_;
    ReplicaBehavior behavior_;
    std::vector<InstanceInfo> infos_;
    uint64_t runs_ = 0;
    uint64_t groups_ = 0;
    std::vector<std::unique_ptr<Instance>> instances_;
    std::multimap<TimePoint, std::function<void()>> events_;
    absl::flat_hash_map<uint64_t, OpenGroup> openGroups_;
    std::vector<TimePoint> searches_;
    double dueSearches_ = 0;
    absl::flat_hash_set<std::string> arrived_;
    std::map<std::string, std::vector<TimePoint>> extraArrivals_;
};

} // namespace limpettrestle
