/// Checks the guarantees of the dispatcher under random delays, errors and losses of calls.

#include "support/routing_bed.h"

#include <catch2/catch.hpp>
#include <set>

using namespace limpettrestle;

namespace {

/// Replicas per shard: more than `maxAttempts`, so that spare ones exist while calls wait for a connection.
constexpr int kReplicas = 5;

/// Transport that sends, answers, refuses or loses calls at random times.
class ChaosTransport final : public ReplicaTransportI {
public:
    ChaosTransport(const TestClock& clock, uint64_t seed)
        : random(seed)
        , clock_(clock)
    {
    }

    void startCall(uint64_t call, const ReplicaPtr& replica, const RequestPtr& request, Millis /*timeLeft*/, bool /*needsLiveConnection*/) override
    {
        const Millis wait = chance(30) ? Millis(random() % 60) : Millis(0);
        calls_[call] = { replica->entry.id, replica->entry.service, request->requestId, clock_.now() + wait, {}, false };
        if (wait == Millis(0))
            send(call);
    }
    bool isConnected(const ReplicaPtr& /*replica*/) const override { return true; }
    void cancelCall(uint64_t call) override { calls_.erase(call); }

    /// Sends and ends the calls that are due.
    void step()
    {
        std::vector<uint64_t> due;
        for (const auto& [id, call] : calls_) {
            if ((call.isSent ? call.endsAt : call.sendAt) <= clock_.now())
                due.push_back(id);
        }
        for (const uint64_t id : due) {
            const auto found = calls_.find(id);
            if (found == calls_.end())
                continue;
            if (found->second.isSent)
                end(id);
            else
                send(id);
        }
    }

    /// Replicas that executed a request, by request and service.
    std::map<std::pair<std::string, std::string>, std::set<std::string>> runs;
    std::map<std::string, int> runsByRequest;
    Dispatcher* dispatcher = nullptr;
    std::mt19937_64 random;

private:
    struct PendingCall {
        std::string replica;
        std::string service;
        std::string request;
        TimePoint sendAt {};
        TimePoint endsAt {};
        bool isSent = false;
    };

    bool chance(uint64_t percent) { return random() % 100 < percent; }

    void send(uint64_t id)
    {
        PendingCall& call = calls_.at(id);
        call.isSent = true;
        call.endsAt = clock_.now() + (chance(20) ? Millis(random() % 200) : Millis(1 + random() % 10));
        dispatcher->callSent(id);
    }

    void end(uint64_t id)
    {
        const PendingCall call = calls_.at(id);
        calls_.erase(id);
        const uint64_t draw = random() % 100;
        ReplicaReply reply;
        reply.signature = call.replica + call.request;
        reply.body = std::string(16, 'x');
        if (draw < 10) {
            reply.status = 503;
            reply.isNotExecuted = true;
            dispatcher->callAnswered(id, reply);
            return;
        }
        runs[{ call.request, call.service }].insert(call.replica);
        ++runsByRequest[call.request];
        if (draw < 20) {
            dispatcher->callFailed(id, CallFailure::Lost);
            return;
        }
        reply.status = draw < 28 ? 500 : 200;
        dispatcher->callAnswered(id, reply);
    }

    const TestClock& clock_;
    std::map<uint64_t, PendingCall> calls_;
};

class ChaosBed final : public AnswerSinkI {
public:
    explicit ChaosBed(uint64_t seed, GatherPlan* plan = nullptr, GroupTransportI* groups = nullptr)
        : transport(clock, seed)
        , directory([](const ReplicaPtr&) {})
    {
        DispatcherInit init;
        init.clock = &clock;
        init.transport = &transport;
        init.answers = this;
        init.directory = &directory;
        init.zone = "z0";
        init.plan = plan;
        init.groups = groups;
        init.repeatSlack = 1e6;
        init.seed = seed;
        dispatcher = std::make_unique<Dispatcher>(init);
        dispatcher->setFleetSize(1);
        transport.dispatcher = dispatcher.get();
        RoutingDocument document;
        document.version = 1;
        for (const bool isMerged : { true, false }) {
            RouteSpec route;
            route.name = isMerged ? "all" : "one";
            route.host = "h";
            route.prefix = "/" + route.name + "/";
            route.repeat = isMerged ? RepeatPolicy::Idempotent : RepeatPolicy::AtMostOnce;
            route.timeout = Millis(400);
            route.latencyTarget = Millis(80);
            route.maxAttempts = 2;
            route.topRecords = 3;
            route.minCoverage = 0.6;
            if (isMerged)
                route.shards = { "s0", "s1", "s2", "s3", "s4" };
            else
                route.shares = { { "s0", 1 } };
            document.routes.push_back(route);
        }
        for (int shard = 0; shard < 5; ++shard) {
            for (int copy = 0; copy < kReplicas; ++copy) {
                ReplicaEntry entry;
                entry.service = "s" + std::to_string(shard);
                entry.id = entry.service + "-" + std::to_string(copy);
                entry.zone = "z" + std::to_string(copy);
                directory.apply(entry, clock.now());
            }
        }
        dispatcher->activateTable(std::make_shared<const RouteTable>(document));
    }

    void answer(uint64_t request, RouteAnswer answer, const RequestReport& /*report*/) override { answers[request].push_back(std::move(answer)); }

    void start(uint64_t request, bool isMerged)
    {
        ForwardedRequest forwarded;
        forwarded.requestId = (isMerged ? "m" : "o") + std::to_string(request);
        forwarded.target = isMerged ? "/all/" : "/one/";
        forwarded.host = "h";
        dispatcher->start(request, std::move(forwarded));
    }

    void runFor(Millis time)
    {
        for (Millis step(0); step < time; step += Millis(1)) {
            clock.advance(Millis(1));
            transport.step();
            if (dispatcher->nextTickAt() <= clock.now())
                dispatcher->tick();
        }
    }

    TestClock clock;
    ChaosTransport transport;
    ReplicaDirectory directory;
    std::unique_ptr<Dispatcher> dispatcher;
    std::map<uint64_t, std::vector<RouteAnswer>> answers;
};

/// One instance that divides its searches among others. Groups are delayed, lost, or never sent.
class ChaosFleet final : public GroupTransportI {
public:
    explicit ChaosFleet(uint64_t seed)
        : plan({ "n0", 0.001 })
        , sender(seed, &plan, this)
        , random_(seed + 1)
    {
        std::vector<InstanceInfo> zone = { { "n0", "z0", "", 0 } };
        for (int i = 1; i <= kAggregators; ++i) {
            zone.push_back({ "n" + std::to_string(i), "z0", "", i });
            aggregators.push_back(std::make_unique<ChaosBed>(seed * 100 + static_cast<uint64_t>(i)));
        }
        plan.setInstances(zone);
    }

    void startGroup(uint64_t group, const InstanceInfo& aggregator, GroupRequest request) override
    {
        const bool isSent = random_() % 10 != 0;
        groups_[group] = { static_cast<size_t>(aggregator.port - 1), std::move(request), randomDeliveryTime(), isSent, isSent && random_() % 10 == 0, false };
    }
    void cancelGroup(uint64_t group) override { groups_.erase(group); }

    void runFor(Millis time)
    {
        for (Millis step(0); step < time; step += Millis(1)) {
            sender.runFor(Millis(1));
            for (const auto& aggregator : aggregators)
                aggregator->runFor(Millis(1));
            const std::map<uint64_t, PendingGroup> due = groups_;
            for (const auto& [id, group] : due)
                advanceGroup(id);
        }
    }

    GatherPlan plan;
    ChaosBed sender;
    std::vector<std::unique_ptr<ChaosBed>> aggregators;

private:
    static constexpr int kAggregators = 5;

    struct PendingGroup {
        size_t aggregator = 0;
        GroupRequest request;
        TimePoint nextStepAt {};
        bool isSent = false;
        bool isLost = false;
        bool hasArrived = false;
    };

    TimePoint randomDeliveryTime() { return sender.clock.now() + Millis(random_() % 8); }

    void advanceGroup(uint64_t id)
    {
        const auto found = groups_.find(id);
        if (found == groups_.end() || sender.clock.now() < found->second.nextStepAt)
            return;
        PendingGroup& group = found->second;
        ChaosBed& bed = *aggregators[group.aggregator];
        if (!group.isSent) {
            groups_.erase(found);
            sender.dispatcher->groupFailed(id, false);
        } else if (!group.hasArrived) {
            group.hasArrived = true;
            bed.dispatcher->gather(id, group.request);
        } else if (group.isLost) {
            groups_.erase(found);
            sender.dispatcher->groupFailed(id, true);
        } else if (bed.answers.contains(id)) {
            const RouteAnswer& answer = bed.answers[id].at(0);
            groups_.erase(found);
            sender.dispatcher->groupAnswered(id, { answer.partSignatures, answer.missing, answer.body, 0, 0 });
        }
    }

    std::mt19937_64 random_;
    std::map<uint64_t, PendingGroup> groups_;
};

} // namespace

TEST_CASE("under random losses every request is answered once, in time, and executed no more often than allowed")
{
    for (uint64_t seed = 1; seed <= 300; ++seed) {
        ChaosBed bed(seed);
        for (uint64_t request = 1; request <= 40; ++request) {
            bed.start(request, request % 4 != 0);
            bed.runFor(Millis(bed.transport.random() % 30));
        }
        bed.runFor(Millis(600));
        INFO("seed " << seed);
        for (uint64_t request = 1; request <= 40; ++request)
            REQUIRE(bed.answers[request].size() == 1);
        for (const auto& [key, replicas] : bed.transport.runs) {
            INFO("request " << key.first << " service " << key.second);
            REQUIRE(replicas.size() <= (key.first[0] == 'o' ? 1U : 2U));
        }
        for (const auto& [request, runs] : bed.transport.runsByRequest) {
            INFO("request " << request);
            if (request[0] != 'o')
                continue;
            REQUIRE(runs == 1);
            const int status = bed.answers[std::stoull(request.substr(1))][0].status;
            REQUIRE((status != 503 && status != 429 && status != 408 && status != 421));
        }
    }
}

TEST_CASE("divided searches are answered once and executed no more often than allowed by sender and aggregators")
{
    uint64_t completeSearches = 0;
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        ChaosFleet fleet(seed);
        for (uint64_t request = 1; request <= 20; ++request) {
            fleet.sender.start(request, true);
            fleet.runFor(Millis(fleet.sender.transport.random() % 30));
        }
        fleet.runFor(Millis(600));
        INFO("seed " << seed);
        std::map<std::pair<std::string, std::string>, std::set<std::string>> runs = fleet.sender.transport.runs;
        for (const auto& aggregator : fleet.aggregators) {
            for (const auto& [key, replicas] : aggregator->transport.runs)
                runs[key].insert(replicas.begin(), replicas.end());
        }
        for (uint64_t request = 1; request <= 20; ++request) {
            REQUIRE(fleet.sender.answers[request].size() == 1);
            completeSearches += fleet.sender.answers[request][0].partSignatures.size() == 5 ? 1 : 0;
        }
        for (const auto& [key, replicas] : runs) {
            INFO("request " << key.first << " service " << key.second);
            REQUIRE(replicas.size() <= 2);
        }
    }
    CHECK(completeSearches > 1000);
}
