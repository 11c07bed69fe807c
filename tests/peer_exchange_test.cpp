/// Exchange of changes between instances over sockets: what followers request and what readers send or omit.

#include "../src/gateway/peer_exchange.h"
#include "../src/process/system_clock.h"
#include "support/raw_peer.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

namespace {

/// Reader that sends the same reply to every request.
class FixedReplyServer final : public HttpHandlerI {
public:
    FixedReplyServer(uv_loop_t* loop, const ClockI& clock)
        : server(loop, *this, clock)
    {
    }

    void onRequest(ExchangeId exchange, HttpRequest request) override
    {
        targets.push_back(request.target);
        requests.push_back(decodeTarget(request.target).value());
        ChangesReply reply;
        reply.upTo = { 5, 9 };
        HttpResponse response;
        response.status = 200;
        response.body = encode(reply);
        server.respond(exchange, std::move(response));
    }
    void onCallerDisconnected(ExchangeId /*exchange*/) override { }

    HttpServer server;
    std::vector<std::string> targets;
    std::vector<ChangesRequest> requests;
};

} // namespace

TEST_CASE("a reader polls other readers for replicas only while the registry is unavailable")
{
    for (const bool isRegistryUnavailable : { false, true }) {
        const int port = freePort();
        const SystemClock clock;
        uv_loop_t loop;
        uv_loop_init(&loop);
        FixedReplyServer reader(&loop, clock);
        REQUIRE(reader.server.listen("127.0.0.1", port));
        SourceChoice sourceChoice(1, true, 0, clock.now());
        sourceChoice.registryAnswered(clock.now() - Millis(1000));
        if (isRegistryUnavailable)
            sourceChoice.registryFailed(clock.now());
        PeerFollower follower(&loop, clock, { "n1", "north", "127.0.0.1", 1 }, { { "127.0.0.1", port } }, true, Millis(100), sourceChoice);
        follower.setHandlers([](const ChangesReply&) { return false; }, [](const Endpoint&, const std::string&) {});
        const TimePoint end = clock.now() + Millis(2000);
        while (reader.targets.empty() && clock.now() < end) {
            follower.tick();
            uv_run(&loop, UV_RUN_NOWAIT);
        }
        REQUIRE_FALSE(reader.targets.empty());
        CHECK((reader.targets[0].find("&age=-1") == std::string::npos) == isRegistryUnavailable);
        follower.stop();
        reader.server.stopListening();
        reader.server.closeIdle();
        for (int i = 0; i < 20; ++i)
            uv_run(&loop, UV_RUN_NOWAIT);
    }
}

namespace {

/// Cluster state of one replica with an age of 500 ms.
class FixedClusterState final : public ClusterStateI {
public:
    explicit FixedClusterState(uint64_t era)
        : era_(era)
    {
        changes_.replicaWritten("r1");
    }

    bool hasClusterState() const override { return true; }
    const ChangeLog& changes() const override { return changes_; }
    Millis stateAge() const override { return Millis(500); }
    uint64_t stateEra() const override { return era_; }
    std::shared_ptr<const RouteTable> configuration() const override { return table_; }
    ChangesReply makeChangesReply(const ChangeSet& changes, const ChangesRequest& /*request*/) const override
    {
        ChangesReply reply;
        reply.upTo = changes.upTo;
        reply.isFullSnapshot = changes.isFullSnapshot;
        reply.age = stateAge();
        for (const std::string& id : changes.written) {
            ReplicaEntry entry;
            entry.id = id;
            entry.host = "10.0.0.1";
            entry.port = 80;
            reply.written.push_back(entry);
        }
        return reply;
    }

    void setConfiguration(RoutingDocument document)
    {
        table_ = std::make_shared<const RouteTable>(std::move(document));
        changes_.configChanged();
    }

private:
    const uint64_t era_;
    ChangeLog changes_ { 7 };
    std::shared_ptr<const RouteTable> table_;
};

class IgnoringPeerHandler final : public PeerHandlerI {
public:
    void onGroup(ExchangeId /*exchange*/, GroupRequest /*request*/) override { }
    void onRelay(ExchangeId /*exchange*/, RelayRequest /*request*/) override { }
    void onExchangeCancelled(ExchangeId /*exchange*/) override { }
    void onCrashNotice(const CrashNotice& /*notice*/) override { }
    void onReachNotice(const ReachNotice& /*notice*/) override { }
};

/// Returns the reply of a reader whose cluster state is 500 ms old to an instance whose own state has the age
/// `ownStateAge`. The states belong to the given eras of the registry.
ChangesReply requestFromReader(Millis ownStateAge, bool isRequesterReader, uint64_t readerEra = 0, uint64_t ownEra = 0)
{
    const int port = freePort();
    const SystemClock clock;
    uv_loop_t loop;
    uv_loop_init(&loop);
    const FixedClusterState clusterState(readerEra);
    FleetSize fleet(1);
    InstanceDirectory instances;
    IgnoringPeerHandler handler;
    PeerServer peer(&loop, clock, clusterState, fleet, instances, handler);
    REQUIRE(peer.server.listen("127.0.0.1", port));
    SourceChoice sourceChoice(1, isRequesterReader, 0, clock.now());
    if (isRequesterReader)
        sourceChoice.registryAnswered(clock.now() - ownStateAge);
    else
        sourceChoice.peerAnswered(0, ownStateAge, clock.now());
    PeerFollower follower(&loop, clock, { "n1", "north", "127.0.0.1", 1 }, { { "127.0.0.1", port } }, isRequesterReader, Millis(100), sourceChoice);
    follower.setEra(ownEra);
    std::optional<ChangesReply> received;
    follower.setHandlers([&received](const ChangesReply& reply) { received = reply; return true; }, [](const Endpoint&, const std::string&) {});
    const TimePoint end = clock.now() + Millis(2000);
    while (!received && clock.now() < end) {
        follower.tick();
        uv_run(&loop, UV_RUN_NOWAIT);
    }
    follower.stop();
    peer.server.stopListening();
    peer.server.closeIdle();
    for (int i = 0; i < 20; ++i)
        uv_run(&loop, UV_RUN_NOWAIT);
    return received.value();
}

} // namespace

TEST_CASE("a reader omits replicas that the requester would not accept")
{
    const ChangesReply fullReply = requestFromReader(Millis(2000), false);
    CHECK(fullReply.includesReplicas);
    CHECK(fullReply.isFullSnapshot);
    CHECK(fullReply.written.size() == 1);
    for (const bool isRequesterReader : { false, true }) {
        const ChangesReply replyWithoutReplicas = requestFromReader(Millis(100), isRequesterReader);
        CHECK_FALSE(replyWithoutReplicas.includesReplicas);
        CHECK_FALSE(replyWithoutReplicas.isFullSnapshot);
        CHECK(replyWithoutReplicas.written.empty());
        CHECK(replyWithoutReplicas.age == Millis(500));
    }
}

TEST_CASE("a reader omits replicas of an earlier era than the requester's")
{
    struct TestCase {
        uint64_t readerEra;
        uint64_t ownEra;
        bool includesReplicas;
    };
    for (const TestCase& testCase : { TestCase { 4, 5, false }, TestCase { 5, 5, true }, TestCase { 6, 5, true }, TestCase { 0, 5, true }, TestCase { 5, 0, true } }) {
        INFO(testCase.readerEra << " " << testCase.ownEra);
        CHECK(requestFromReader(Millis(2000), false, testCase.readerEra, testCase.ownEra).includesReplicas == testCase.includesReplicas);
    }
}

TEST_CASE("changes that a follower did not accept are requested again")
{
    for (const bool isAccepted : { true, false }) {
        const int port = freePort();
        const SystemClock clock;
        uv_loop_t loop;
        uv_loop_init(&loop);
        FixedReplyServer reader(&loop, clock);
        REQUIRE(reader.server.listen("127.0.0.1", port));
        SourceChoice sourceChoice(1, false, 0, clock.now());
        PeerFollower follower(&loop, clock, { "n1", "north", "127.0.0.1", 1 }, { { "127.0.0.1", port } }, false, Millis(100), sourceChoice);
        follower.setHandlers([isAccepted](const ChangesReply&) { return isAccepted; }, [](const Endpoint&, const std::string&) {});
        const TimePoint end = clock.now() + Millis(2000);
        while (reader.requests.size() < 2 && clock.now() < end) {
            follower.tick();
            uv_run(&loop, UV_RUN_NOWAIT);
        }
        REQUIRE(reader.requests.size() >= 2);
        CHECK(reader.requests[0].after == ChangePosition {});
        CHECK(reader.requests[1].after == (isAccepted ? ChangePosition { 5, 9 } : ChangePosition {}));
        follower.stop();
        reader.server.stopListening();
        reader.server.closeIdle();
        for (int i = 0; i < 20; ++i)
            uv_run(&loop, UV_RUN_NOWAIT);
    }
}

namespace {

/// Searches of the same shards under many prefixes.
RoutingDocument largeConfiguration(uint64_t version)
{
    RoutingDocument document;
    document.version = version;
    for (int i = 0; i < 200; ++i) {
        RouteSpec& route = document.routes.emplace_back();
        route.name = "r" + std::to_string(i);
        route.host = "app.example";
        route.prefix = "/" + route.name + "/";
        route.repeat = RepeatPolicy::Idempotent;
        for (int shard = 0; shard < 50; ++shard)
            route.shards.push_back("shard" + std::to_string(shard));
    }
    return document;
}

/// Lets a follower of the given features that has no configuration request the state of a server once.
RoutingDocument requestConfiguration(uv_loop_t& loop, const ClockI& clock, int port, uint32_t features)
{
    SourceChoice sourceChoice(1, false, 0, clock.now());
    PeerFollower follower(&loop, clock, { "n1", "north", "127.0.0.1", 1, features }, { { "127.0.0.1", port } }, false, Millis(100), sourceChoice);
    std::optional<RoutingDocument> received;
    follower.setHandlers([&received](const ChangesReply& reply) { received = reply.config; return true; }, [](const Endpoint&, const std::string&) {});
    const TimePoint end = clock.now() + Millis(5000);
    while (!received && clock.now() < end) {
        follower.tick();
        uv_run(&loop, UV_RUN_NOWAIT);
    }
    follower.stop();
    return received.value();
}

} // namespace

// A reader encoded a large configuration anew for each of its followers, and its event loop stood still for seconds.
TEST_CASE("a reader encodes a version of the configuration once for all followers that read the same form")
{
    const int port = freePort();
    const SystemClock clock;
    uv_loop_t loop;
    uv_loop_init(&loop);
    FixedClusterState clusterState(0);
    FleetSize fleet(1);
    InstanceDirectory instances;
    IgnoringPeerHandler handler;
    PeerServer peer(&loop, clock, clusterState, fleet, instances, handler);
    REQUIRE(peer.server.listen("127.0.0.1", port));
    for (const uint64_t version : { 1, 2 }) {
        clusterState.setConfiguration(largeConfiguration(version));
        for (int follower = 0; follower < 5; ++follower)
            CHECK(requestConfiguration(loop, clock, port, kOwnFeatures).version == version);
        CHECK(peer.configEncodings() == version);
    }
    CHECK(requestConfiguration(loop, clock, port, 0).version == 2);
    CHECK(requestConfiguration(loop, clock, port, 0).routes.size() == 200);
    CHECK(peer.configEncodings() == 3);
    peer.server.stopListening();
    peer.server.closeIdle();
    for (int i = 0; i < 20; ++i)
        uv_run(&loop, UV_RUN_NOWAIT);
}
