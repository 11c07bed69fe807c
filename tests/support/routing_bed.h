#pragma once

/// Test bed for the dispatcher with a virtual clock, scripted replicas and recorded answers.

#include "../../src/request/dispatcher.h"

#include <map>

namespace limpettrestle {

class TestClock final : public ClockI {
public:
    TimePoint now() const override { return now_; }
    WallTime wallNow() const override { return WallTime(std::chrono::duration_cast<WallTime::duration>(now_.time_since_epoch())); }
    void advance(Micros by) { now_ += by; }

private:
    TimePoint now_ = TimePoint(std::chrono::hours(1));
};

/// Returns a zone with the eight instances n0 to n7.
inline std::vector<InstanceInfo> zoneOfEight()
{
    constexpr int kInstances = 8;
    std::vector<InstanceInfo> zone;
    zone.reserve(kInstances);
    for (int i = 0; i < kInstances; ++i)
        zone.push_back({ "n" + std::to_string(i), "north", "10.0.0.1", i + 1 });
    return zone;
}

/// Call that the dispatcher passed to the transport.
struct RecordedCall {
    uint64_t id = 0;
    std::string replica;
    std::string service;
    std::string target;
    Millis timeLeft { 0 };
    bool needsLiveConnection = false;
    bool isCancelled = false;
    bool isOpen = true;
};

/// Transport that sends every call at once and leaves the replies to the test.
class TestTransport final : public ReplicaTransportI {
public:
    void startCall(uint64_t call, const ReplicaPtr& replica, const RequestPtr& request, Millis timeLeft, bool needsLiveConnection) override
    {
        calls.push_back({ call, replica->entry.id, replica->entry.service, request->target, timeLeft, needsLiveConnection });
        if (!unconnected.contains(replica->entry.id))
            dispatcher->callSent(call);
    }
    bool isConnected(const ReplicaPtr& replica) const override { return busy.contains(replica->entry.id); }
    void cancelCall(uint64_t call) override
    {
        for (RecordedCall& recorded : calls) {
            if (recorded.id != call)
                continue;
            recorded.isCancelled = true;
            recorded.isOpen = false;
        }
    }

    Dispatcher* dispatcher = nullptr;
    std::vector<RecordedCall> calls;
    /// Replicas to which no connection can be established.
    std::map<std::string, bool> unconnected;
    /// Replicas with established connections that are all in use.
    std::map<std::string, bool> busy;
};

struct RecordedAnswer {
    RouteAnswer answer;
    RequestReport report;
};

/// Records what the dispatcher learns about crashes.
class CrashRecorder final : public CrashObserverI {
public:
    void onCallLost(const Replica& /*replica*/, const ForwardedRequest& /*request*/) override { ++lostCalls; }
    void onReplicaCrashed(const Replica& /*replica*/, CrashEvidence evidence, const std::vector<CrashReport>& found) override
    {
        lastEvidence = evidence;
        reports.insert(reports.end(), found.begin(), found.end());
    }
    void onRequestCleared(RequestFingerprint request) override { cleared.push_back(request); }
    void onRequestQuarantined(RequestFingerprint request) override { quarantined.push_back(request); }

    size_t lostCalls = 0;
    CrashEvidence lastEvidence = CrashEvidence::ConnectionRefused;
    std::vector<CrashReport> reports;
    std::vector<RequestFingerprint> cleared;
    std::vector<RequestFingerprint> quarantined;
};

class RoutingTestBed final : public AnswerSinkI {
public:
    /// `repeatBurst`: capacity of the repeat budget of each service; below 1 there are no repeats.
    explicit RoutingTestBed(double repeatBurst = 100, GatherPlan* plan = nullptr, GroupTransportI* groups = nullptr, RelayTransportI* relays = nullptr)
        : directory([](const ReplicaPtr&) {})
    {
        DispatcherInit init;
        init.clock = &clock;
        init.transport = &transport;
        init.answers = this;
        init.directory = &directory;
        init.regions = &regions;
        init.zone = "north";
        init.plan = plan;
        init.groups = groups;
        init.relays = relays;
        init.instance = "n0";
        init.reach = &reach;
        init.crashes = &crashes;
        init.crashLedger = &crashLedger;
        init.repeatSlack = repeatBurst * kSlackPerBurst;
        init.repeatRatio = repeatBurst < 1 ? 0 : init.repeatRatio;
        dispatcher = std::make_unique<Dispatcher>(init);
        transport.dispatcher = dispatcher.get();
        dispatcher->setFleetSize(1);
    }

    void answer(uint64_t request, RouteAnswer answer, const RequestReport& report) override
    {
        answers[request].push_back({ std::move(answer), report });
        clock.advance(answerDuration);
    }

    void addReplica(const std::string& id, const std::string& service, const std::string& zone = "north")
    {
        ReplicaEntry entry;
        entry.id = id;
        entry.service = service;
        entry.host = "10.0.0.1";
        entry.port = 80;
        entry.zone = zone;
        entry.slots = 2;
        entry.startedAt = 1;
        entry.sequence = 1;
        directory.apply(entry, clock.now());
    }

    /// Configures the route "/all/" over the shards s0 to s(n-1), each with the replicas sK-a and sK-b, and
    /// the route "/one/" to the service "card" with the replicas card-a and card-b.
    void useStandardRoutes(size_t shards, RepeatPolicy oneRepeats, double minCoverage = 0.89)
    {
        RoutingDocument document;
        document.version = 1;
        RouteSpec all;
        all.name = "all";
        all.host = "test.example";
        all.prefix = "/all/";
        all.repeat = RepeatPolicy::Idempotent;
        all.timeout = Millis(400);
        all.latencyTarget = Millis(80);
        all.maxAttempts = 2;
        all.topRecords = 3;
        all.minCoverage = minCoverage;
        for (size_t i = 0; i < shards; ++i) {
            all.shards.push_back("s" + std::to_string(i));
            addReplica(all.shards.back() + "-a", all.shards.back());
            addReplica(all.shards.back() + "-b", all.shards.back(), "south");
        }
        document.routes.push_back(all);
        RouteSpec one = all;
        one.name = "one";
        one.prefix = "/one/";
        one.repeat = oneRepeats;
        one.timeout = Millis(1500);
        one.latencyTarget = Millis(250);
        one.shards.clear();
        one.shares.push_back({ "card", 1 });
        document.routes.push_back(one);
        addReplica("card-a", "card");
        addReplica("card-b", "card", "south");
        dispatcher->activateTable(std::make_shared<const RouteTable>(document));
    }

    void start(uint64_t request, const std::string& target, Millis callerTimeout = Millis(1000))
    {
        ForwardedRequest forwarded;
        forwarded.requestId = "r" + std::to_string(request);
        forwarded.method = "GET";
        forwarded.target = target;
        forwarded.host = "test.example";
        forwarded.callerTimeout = callerTimeout;
        forwarded.fingerprint = fingerprintOf(target);
        dispatcher->start(request, std::move(forwarded));
    }

    /// Fingerprint of the requests for a target.
    static RequestFingerprint fingerprintOf(const std::string& target) { return { std::hash<std::string> {}(target) | 1 }; }

    static ReplicaReply success(const std::string& signature, std::string body = std::string(16, 'x'))
    {
        ReplicaReply reply;
        reply.status = 200;
        reply.signature = signature;
        reply.body = std::move(body);
        return reply;
    }

    /// Answers the recorded call at `index`.
    void reply(size_t index, ReplicaReply response)
    {
        transport.calls.at(index).isOpen = false;
        dispatcher->callAnswered(transport.calls.at(index).id, std::move(response));
    }

    void fail(size_t index, CallFailure failure)
    {
        transport.calls.at(index).isOpen = false;
        dispatcher->callFailed(transport.calls.at(index).id, failure);
    }

    /// Answers all open calls except those to the given replicas.
    void replyToAllExcept(const std::vector<std::string>& unresponsiveReplicas)
    {
        for (size_t i = 0; i < transport.calls.size(); ++i) {
            const RecordedCall& call = transport.calls[i];
            if (call.isOpen && std::find(unresponsiveReplicas.begin(), unresponsiveReplicas.end(), call.replica) == unresponsiveReplicas.end())
                reply(i, success("sig-" + call.replica + "-" + std::to_string(call.id)));
        }
    }

    /// Advances the clock in steps of one millisecond and calls `tick()` when it is due.
    void runFor(Millis time)
    {
        for (Millis step(0); step < time; step += Millis(1)) {
            clock.advance(Millis(1));
            if (dispatcher->nextTickAt() <= clock.now())
                dispatcher->tick();
        }
    }

    const RecordedAnswer& onlyAnswer(uint64_t request) { return answers.at(request).at(0); }
    bool isAnswered(uint64_t request) const { return answers.contains(request); }

    /// Number of instances among which the dispatcher divides `repeatSlack`: one, plus the reserve for
    /// instances that join.
    static constexpr double kSlackPerBurst = 3;

    /// Time by which the clock advances while an answer is sent.
    Micros answerDuration { 0 };
    /// Regions of the zones; a single region unless a test sets them.
    ZoneRegions regions;
    ZoneReach reach;
    CrashRecorder crashes;
    CrashLedger crashLedger;
    TestClock clock;
    TestTransport transport;
    ReplicaDirectory directory;
    std::unique_ptr<Dispatcher> dispatcher;
    std::map<uint64_t, std::vector<RecordedAnswer>> answers;
};

} // namespace limpettrestle
