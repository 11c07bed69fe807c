/// Replicas of an evacuated zone get nothing new, on whatever path, and the evacuation counts as no cut.

#include "../src/gateway/replica_links.h"
#include "../src/net/http_server.h"
#include "../src/process/reachability.h"
#include "support/gather_bed.h"
#include "support/raw_peer.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

namespace {

constexpr uint32_t kSharedFacts = static_cast<uint32_t>(InstanceFeature::SharedFacts);

/// Returns the number of calls to replicas of zone south, whose names end in "-b".
size_t callsToSouth(const RoutingTestBed& bed)
{
    return static_cast<size_t>(std::count_if(bed.transport.calls.begin(), bed.transport.calls.end(), [](const RecordedCall& call) { return call.replica.ends_with("-b"); }));
}

/// Transport that counts relays.
class CountingRelays final : public RelayTransportI {
public:
    void startRelay(uint64_t /*relay*/, const InstanceInfo& instance, RelayRequest /*request*/) override { targets.push_back(instance.name); }
    void cancelRelay(uint64_t /*relay*/) override { }

    std::vector<std::string> targets;
};

std::vector<InstanceInfo> withFeatures(std::vector<InstanceInfo> instances, uint32_t features)
{
    for (InstanceInfo& instance : instances)
        instance.features = features;
    return instances;
}

} // namespace

TEST_CASE("first calls, retries and hedges go to the other zones only")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(4, RepeatPolicy::Idempotent);
    bed.directory.setEvacuatedZones({ "south" });
    bed.start(1, "/all/q");
    REQUIRE(bed.transport.calls.size() == 4);
    bed.fail(0, CallFailure::Lost);
    bed.fail(1, CallFailure::NotSent);
    bed.runFor(Millis(60));
    CHECK(callsToSouth(bed) == 0);
    CHECK(bed.transport.calls.size() > 4);
    // The same without the evacuation, for comparison.
    RoutingTestBed open;
    open.useStandardRoutes(4, RepeatPolicy::Idempotent);
    open.start(1, "/all/q");
    open.fail(0, CallFailure::Lost);
    open.runFor(Millis(60));
    CHECK(callsToSouth(open) > 0);
}

TEST_CASE("calls that run as their zone is evacuated are finished")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(4, RepeatPolicy::Idempotent);
    bed.start(1, "/all/q");
    bed.directory.setEvacuatedZones({ "north" });
    bed.replyToAllExcept({});
    CHECK(bed.onlyAnswer(1).answer.status == 200);
    CHECK(bed.onlyAnswer(1).answer.partSignatures.size() == 4);
}

TEST_CASE("groups gathered for others, relayed requests and single requests go to the other zones only")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(4, RepeatPolicy::Idempotent);
    bed.directory.setEvacuatedZones({ "south" });
    // The replicas in reach are slower, so that those of the evacuated zone would be preferred.
    for (const auto& [id, replica] : bed.directory.all()) {
        if (id.ends_with("-a"))
            replica->health.recordLoad(20, 20, bed.clock.now());
    }
    GroupRequest group;
    group.forwarded.target = "/all/q";
    group.route = "all";
    group.shards = { "s0", "s1" };
    group.softTimeout = Millis(60);
    group.timeLeft = Millis(300);
    group.maxAttempts = 2;
    bed.dispatcher->gather(1, group);
    RelayRequest relay;
    relay.forwarded.host = "test.example";
    relay.forwarded.target = "/all/q";
    relay.configVersion = 1;
    bed.dispatcher->startRelayed(2, relay);
    bed.start(3, "/one/x");
    bed.runFor(Millis(70));
    CHECK(bed.transport.calls.size() >= 7);
    CHECK(callsToSouth(bed) == 0);
}

TEST_CASE("a request that cannot reach its coverage is refused at once with the time of a retry, and is not relayed")
{
    CountingRelays relays;
    RoutingTestBed bed(100, nullptr, nullptr, &relays);
    bed.useStandardRoutes(4, RepeatPolicy::Idempotent);
    bed.dispatcher->setInstances(withFeatures(zoneOfEight(), kSharedFacts));
    bed.directory.setEvacuatedZones({ "north", "south" });
    bed.start(1, "/all/q");
    bed.start(2, "/one/x");
    CHECK(bed.transport.calls.empty());
    CHECK(relays.targets.empty());
    for (const uint64_t request : { 1, 2 }) {
        REQUIRE(bed.isAnswered(request));
        CHECK(bed.onlyAnswer(request).answer.status == 503);
        CHECK(bed.onlyAnswer(request).answer.retryAfter > Millis(0));
    }
    CHECK(bed.onlyAnswer(1).answer.code == ResultCode::CoverageBelowMinimum);
    REQUIRE(bed.onlyAnswer(1).answer.missing.size() == 4);
    CHECK(bed.onlyAnswer(1).answer.missing[0].reason == ResultCode::ReplicasEvacuated);
    CHECK(bed.onlyAnswer(2).answer.code == ResultCode::ReplicasEvacuated);
}

TEST_CASE("a search with enough shards outside of the evacuated zone is answered without the others")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(10, RepeatPolicy::Idempotent);
    bed.directory.remove("s3-a", bed.clock.now());
    bed.directory.setEvacuatedZones({ "south" });
    bed.start(1, "/all/q");
    CHECK(bed.transport.calls.size() == 9);
    bed.replyToAllExcept({});
    CHECK(bed.onlyAnswer(1).answer.status == 200);
    REQUIRE(bed.onlyAnswer(1).answer.missing.size() == 1);
    CHECK(bed.onlyAnswer(1).answer.missing[0].reason == ResultCode::ReplicasEvacuated);
}

TEST_CASE("an evacuated zone is no zone out of reach, and an instance stays ready whichever zones are evacuated")
{
    for (const absl::flat_hash_set<std::string>& zones : { absl::flat_hash_set<std::string> { "south" }, { "north", "south" } }) {
        RoutingTestBed bed;
        bed.useStandardRoutes(20, RepeatPolicy::Idempotent);
        bed.clock.advance(std::chrono::seconds(2));
        // Connecting to replicas of zone south has failed just before.
        for (const auto& [id, replica] : bed.directory.all()) {
            if (!id.ends_with("-b"))
                continue;
            replica->health.connectFailed(bed.clock.now());
            replica->health.connectFailed(bed.clock.now() + Millis(50));
        }
        bed.directory.setEvacuatedZones(zones);
        Reachability reachability;
        for (int i = 0; i < 8; ++i) {
            bed.clock.advance(Millis(250));
            bed.directory.find("s0-a")->health.connected(bed.clock.now());
            bed.reach.update(bed.directory, bed.clock.now());
            reachability.update(*bed.dispatcher->table(), bed.directory, bed.reach, bed.clock.now());
            CHECK(bed.reach.unreachableZones().empty());
            CHECK(bed.reach.zonesToAnnounce(bed.clock.now()).empty());
            CHECK_FALSE(bed.reach.isIsolated());
            CHECK_FALSE(reachability.isCutOff());
        }
        CHECK(std::count(zones.begin(), zones.end(), "north") + bed.reach.zonesToProbe(bed.directory, bed.clock.now()).size() <= 1);
    }
}

TEST_CASE("an instance that reaches no replica outside of the evacuated zone is isolated")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(20, RepeatPolicy::Idempotent);
    bed.directory.setEvacuatedZones({ "south" });
    bed.clock.advance(std::chrono::seconds(2));
    for (const auto& [id, replica] : bed.directory.all()) {
        replica->health.connectFailed(bed.clock.now() - Millis(100));
        replica->health.connectFailed(bed.clock.now());
    }
    bed.reach.update(bed.directory, bed.clock.now());
    CHECK(bed.reach.isIsolated());
}

TEST_CASE("calls that fail unsent because their zone is evacuated leave the health of the replicas as it is")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(4, RepeatPolicy::Idempotent);
    for (const char* id : { "s0-a", "s1-a", "s2-a", "s3-a" })
        bed.transport.unconnected[id] = true;
    for (uint64_t request = 1; request <= 3; ++request)
        bed.start(request, "/all/q");
    REQUIRE(bed.transport.calls.size() == 12);
    bed.directory.setEvacuatedZones({ "north" });
    for (size_t i = 0; i < 12; ++i)
        bed.fail(i, CallFailure::NotSent);
    CHECK(callsToSouth(bed) == 12);
    for (const char* id : { "s0-a", "s1-a", "s2-a", "s3-a" })
        CHECK_FALSE(bed.directory.find(id)->health.isUnreachable());
    bed.directory.setEvacuatedZones({});
    bed.clock.advance(std::chrono::seconds(2));
    bed.reach.update(bed.directory, bed.clock.now());
    CHECK(bed.reach.unreachableZones().empty());
}

TEST_CASE("while a zone is evacuated, groups go only to instances whose build applies evacuations")
{
    GatherTestBed test;
    std::vector<InstanceInfo> instances = zoneOfEight();
    for (size_t i = 0; i < instances.size(); i += 2)
        instances[i].features = kSharedFacts;
    test.plan.setInstances(instances);
    test.plan.requireFeatures(kSharedFacts);
    test.startDividedSearch(1);
    size_t gathered = 0;
    for (const TestGroupTransport::SentGroup& group : test.groups.sent) {
        CHECK((group.aggregator.back() - '0') % 2 == 0);
        gathered += group.request.shards.size();
    }
    CHECK(gathered + test.bed.transport.calls.size() == kShards);
    // Among instances of the earlier build only, all shards are called directly.
    test.plan.setInstances(zoneOfEight());
    const size_t groups = test.groups.sent.size();
    const size_t calls = test.bed.transport.calls.size();
    test.startDividedSearch(2);
    CHECK(test.groups.sent.size() == groups);
    CHECK(test.bed.transport.calls.size() == calls + kShards);
    test.plan.requireFeatures(0);
    test.startDividedSearch(3);
    CHECK(test.groups.sent.size() > groups);
}

TEST_CASE("while a zone is evacuated, requests are relayed only to instances whose build applies evacuations")
{
    CountingRelays relays;
    RoutingTestBed bed(100, nullptr, nullptr, &relays);
    bed.useStandardRoutes(4, RepeatPolicy::Idempotent);
    std::vector<InstanceInfo> instances = zoneOfEight();
    instances[5].features = kSharedFacts;
    bed.dispatcher->setInstances(instances);
    bed.dispatcher->requireFeatures(kSharedFacts);
    bed.directory.setEvacuatedZones({ "south" });
    bed.clock.advance(std::chrono::seconds(2));
    for (const auto& [id, replica] : bed.directory.all()) {
        replica->health.connectFailed(bed.clock.now() - Millis(100));
        replica->health.connectFailed(bed.clock.now());
    }
    bed.reach.update(bed.directory, bed.clock.now());
    bed.start(1, "/one/x");
    CHECK(relays.targets == std::vector<std::string> { "n5" });
    instances[5].features = 0;
    bed.dispatcher->setInstances(instances);
    bed.start(2, "/one/x");
    CHECK(relays.targets.size() == 1);
    CHECK(bed.onlyAnswer(2).answer.status == 503);
}

namespace {

/// Replica that answers when the test lets it.
class HeldReplica final : public HttpHandlerI {
public:
    HeldReplica(uv_loop_t* loop, const ClockI& clock)
        : port(freePort())
        , server(loop, *this, clock)
    {
        if (!server.listen("127.0.0.1", port))
            throw std::runtime_error("cannot listen on the loopback interface");
    }

    void onRequest(ExchangeId exchange, HttpRequest request) override
    {
        targets.push_back(request.target);
        held_.push_back(exchange);
    }
    void onCallerDisconnected(ExchangeId /*exchange*/) override { }
    void answerAll()
    {
        for (const ExchangeId exchange : std::exchange(held_, {})) {
            HttpResponse response;
            response.status = 200;
            response.headers.push_back({ "X-Server-Stamp", "stamp" });
            response.body = "card";
            server.respond(exchange, std::move(response));
        }
    }

    const int port;
    HttpServer server;
    std::vector<std::string> targets;

private:
    std::vector<ExchangeId> held_;
};

/// Instance of zone north with connections to one replica of each of the zones north and south, one connection each.
class LinksTestBed final : public AnswerSinkI {
public:
    LinksTestBed()
        : directory([this](const ReplicaPtr& replica) { links->retireReplica(replica); })
        , plan({ "n0", 1 })
    {
        uv_loop_init(&loop);
        north = std::make_unique<HeldReplica>(&loop, clock);
        south = std::make_unique<HeldReplica>(&loop, clock);
        links = std::make_unique<ReplicaLinks>(ReplicaLinksInit { &loop, &clock, &directory, &plan });
        DispatcherInit init;
        init.clock = &clock;
        init.transport = links.get();
        init.answers = this;
        init.directory = &directory;
        init.zone = "north";
        init.instance = "n0";
        dispatcher = std::make_unique<Dispatcher>(init);
        dispatcher->setFleetSize(1);
        links->setDispatcher(*dispatcher);
        activateTable();
        addReplica("card-a", "north", north->port);
        addReplica("card-b", "south", south->port);
    }
    ~LinksTestBed() override
    {
        links->closeIdle();
        for (HeldReplica* replica : { north.get(), south.get() }) {
            replica->answerAll();
            replica->server.stopListening();
            replica->server.closeIdle();
        }
        turn();
    }

    void answer(uint64_t request, RouteAnswer answer, const RequestReport& /*report*/) override { statuses[request] = answer.status; }

    void start(uint64_t request)
    {
        ForwardedRequest forwarded;
        forwarded.requestId = "r" + std::to_string(request);
        forwarded.method = "POST";
        forwarded.target = "/one/" + std::to_string(request);
        forwarded.host = "test.example";
        forwarded.commonHead = "POST " + forwarded.target + " HTTP/1.1\r\nHost: test.example\r\nContent-Length: 0\r\n";
        dispatcher->start(request, std::move(forwarded));
    }
    /// Lets all that is under way on the loopback interface arrive.
    void turn()
    {
        constexpr int kTurns = 60;
        for (int i = 0; i < kTurns; ++i) {
            uv_run(&loop, UV_RUN_NOWAIT);
            usleep(500);
        }
    }
    void evacuate(const absl::flat_hash_set<std::string>& zones) { directory.setEvacuatedZones(zones); }
    /// Runs the periodic work, which opens connections in advance.
    void maintain()
    {
        clock.advance(Millis(1000));
        links->maintainConnections();
        turn();
    }
    void addReplica(const std::string& id, const std::string& zone, int port)
    {
        ReplicaEntry entry;
        entry.id = id;
        entry.service = "card";
        entry.host = "127.0.0.1";
        entry.port = port;
        entry.zone = zone;
        entry.slots = 20;
        entry.startedAt = 1;
        directory.apply(entry, clock.now());
    }

    TestClock clock;
    uv_loop_t loop {};
    ReplicaDirectory directory;
    GatherPlan plan;
    std::unique_ptr<HeldReplica> north;
    std::unique_ptr<HeldReplica> south;
    std::unique_ptr<ReplicaLinks> links;
    std::unique_ptr<Dispatcher> dispatcher;
    std::map<uint64_t, int> statuses;

private:
    void activateTable()
    {
        RoutingDocument document;
        document.version = 1;
        RouteSpec route;
        route.name = "one";
        route.host = "test.example";
        route.prefix = "/one/";
        route.repeat = RepeatPolicy::AtMostOnce;
        route.timeout = Millis(60000);
        route.latencyTarget = Millis(50000);
        route.maxAttempts = 2;
        route.shares.push_back({ "card", 1 });
        document.routes.push_back(route);
        // One connection to each replica for this instance and the two that may join.
        document.services.push_back({ "card", 3 });
        dispatcher->activateTable(std::make_shared<const RouteTable>(document));
    }
};

} // namespace

TEST_CASE("as a zone is evacuated, its queued calls move, its running call finishes, and its connections close")
{
    LinksTestBed bed;
    bed.start(1);
    bed.turn();
    REQUIRE(bed.north->targets.size() == 1);
    bed.start(2);
    bed.start(3);
    bed.turn();
    REQUIRE(bed.north->targets.size() == 1);
    REQUIRE(bed.south->targets.empty());
    bed.evacuate({ "north" });
    bed.turn();
    REQUIRE(bed.south->targets.size() == 1);
    bed.south->answerAll();
    bed.turn();
    bed.south->answerAll();
    bed.turn();
    CHECK(bed.statuses[2] == 200);
    CHECK(bed.statuses[3] == 200);
    CHECK(bed.statuses[1] == 0);
    bed.north->answerAll();
    bed.turn();
    CHECK(bed.statuses[1] == 200);
    CHECK(bed.north->targets.size() == 1);
    CHECK(bed.north->server.connections() == 0);
}

TEST_CASE("a connection attempt to an evacuated zone is given up, and its call goes elsewhere")
{
    LinksTestBed bed;
    bed.start(1);
    REQUIRE(bed.links->stats().openConnections == 1);
    bed.evacuate({ "north" });
    bed.turn();
    CHECK(bed.north->targets.empty());
    CHECK(bed.south->targets.size() == 1);
}

TEST_CASE("idle connections to an evacuated zone close, and none is opened until the evacuation ends")
{
    LinksTestBed bed;
    bed.maintain();
    REQUIRE(bed.north->server.connections() == 1);
    REQUIRE(bed.south->server.connections() == 1);
    bed.evacuate({ "north" });
    bed.turn();
    CHECK(bed.north->server.connections() == 0);
    // A retry of an unreachable replica is due as well.
    const ReplicaPtr replica = bed.directory.find("card-a");
    replica->health.connectFailed(bed.clock.now());
    replica->health.connectFailed(bed.clock.now());
    const uint64_t opened = bed.links->stats().connectionsOpened;
    for (int i = 0; i < 3; ++i) {
        bed.maintain();
        bed.links->probeZone("north");
    }
    bed.turn();
    CHECK(bed.links->stats().connectionsOpened == opened);
    CHECK(bed.north->server.connections() == 0);
    CHECK(bed.south->server.connections() == 1);
    bed.evacuate({});
    bed.maintain();
    CHECK(bed.north->server.connections() == 1);
}

TEST_CASE("a call to an evacuated zone that is lost opens no connection there")
{
    for (const bool isEvacuated : { false, true }) {
        INFO(isEvacuated);
        LinksTestBed bed;
        RawPeer peer("", PeerEnd::Reset);
        bed.directory.retire(bed.directory.find("card-a"));
        bed.addReplica("card-c", "north", peer.port());
        bed.start(1);
        while (bed.dispatcher->stats().callsSent == 0)
            uv_run(&bed.loop, UV_RUN_NOWAIT);
        REQUIRE(bed.links->stats().connectionsOpened == 1);
        if (isEvacuated)
            bed.evacuate({ "north" });
        bed.turn();
        REQUIRE(bed.statuses[1] == 502);
        CHECK(bed.links->stats().connectionsOpened == (isEvacuated ? 1 : 2));
    }
}
