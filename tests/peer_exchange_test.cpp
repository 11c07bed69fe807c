/// Exchange of changes between instances over sockets: what is asked for, told and left out.

#include "../src/gateway/peer_exchange.h"
#include "../src/process/system_clock.h"
#include "support/raw_peer.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

namespace {

/// Reader that always has the same news.
class NewsServer final : public HttpHandlerI {
public:
    NewsServer(uv_loop_t* loop, const ClockI& clock)
        : server(loop, *this, clock)
    {
    }

    void onRequest(ExchangeId exchange, HttpRequest request) override
    {
        targets.push_back(request.target);
        asked.push_back(decodeTarget(request.target).value());
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
    std::vector<ChangesRequest> asked;
};

} // namespace

TEST_CASE("a reader that only asks for numbers wants no replicas, one that the registry left alone does")
{
    for (const bool isAway : { false, true }) {
        const int port = freePort();
        const SystemClock clock;
        uv_loop_t loop;
        uv_loop_init(&loop);
        NewsServer news(&loop, clock);
        REQUIRE(news.server.listen("127.0.0.1", port));
        SourceChoice sources(1, true, 0, clock.now());
        sources.registryAnswered(clock.now() - Millis(1000));
        if (isAway)
            sources.registryFailed(clock.now());
        PeerFollower follower(&loop, clock, { "n1", "north", "127.0.0.1", 1 }, { { "127.0.0.1", port } }, true, Millis(100), sources);
        follower.setHandlers([](const ChangesReply&) { return false; }, [](const Endpoint&, const std::string&) {});
        const TimePoint end = clock.now() + Millis(2000);
        while (news.targets.empty() && clock.now() < end) {
            follower.step();
            uv_run(&loop, UV_RUN_NOWAIT);
        }
        REQUIRE_FALSE(news.targets.empty());
        CHECK((news.targets[0].find("&age=-1") == std::string::npos) == isAway);
        follower.stop();
        news.server.stopListening();
        news.server.closeIdle();
        for (int i = 0; i < 20; ++i)
            uv_run(&loop, UV_RUN_NOWAIT);
    }
}

namespace {

/// Knowledge of one replica and a configuration, of a settable age.
class OldKnowledge final : public ClusterStateI {
public:
    OldKnowledge() { changes_.replicaWritten("r1"); }

    bool hasClusterState() const override { return true; }
    const ChangeLog& changes() const override { return changes_; }
    Millis stateAge() const override { return Millis(500); }
    ChangesReply makeChangesReply(const ChangeSet& changes, const ChangesRequest& /*request*/) const override
    {
        ChangesReply reply;
        reply.upTo = changes.upTo;
        reply.isWhole = changes.isWhole;
        reply.stateAge = stateAge();
        for (const std::string& id : changes.written) {
            ReplicaEntry entry;
            entry.id = id;
            reply.written.push_back(entry);
        }
        return reply;
    }

private:
    ChangeLog changes_ { 7 };
};

class NoGroups final : public PeerHandlerI {
public:
    void onGroup(ExchangeId /*exchange*/, GroupRequest /*request*/) override { }
    void onGroupCancelled(ExchangeId /*exchange*/) override { }
    void onReachNotice(const ReachNotice& /*notice*/) override { }
};

/// Reply of a reader whose knowledge is 500 ms old to an instance that last learnt something `knownFor` ago.
ChangesReply askOldReader(Millis knownFor, bool asksAsReader)
{
    const int port = freePort();
    const SystemClock clock;
    uv_loop_t loop;
    uv_loop_init(&loop);
    const OldKnowledge knowledge;
    FleetSize fleet(1);
    InstanceDirectory instances;
    NoGroups groups;
    PeerServer peer(&loop, clock, knowledge, fleet, instances, groups);
    REQUIRE(peer.server.listen("127.0.0.1", port));
    SourceChoice sources(1, asksAsReader, 0, clock.now());
    if (asksAsReader)
        sources.registryAnswered(clock.now() - knownFor);
    else
        sources.peerAnswered(0, knownFor, clock.now());
    PeerFollower follower(&loop, clock, { "n1", "north", "127.0.0.1", 1 }, { { "127.0.0.1", port } }, asksAsReader, Millis(100), sources);
    std::optional<ChangesReply> received;
    follower.setHandlers([&received](const ChangesReply& reply) { received = reply; return true; }, [](const Endpoint&, const std::string&) {});
    const TimePoint end = clock.now() + Millis(2000);
    while (!received && clock.now() < end) {
        follower.step();
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

TEST_CASE("a reader leaves out replicas that the asking instance would not take over")
{
    const ChangesReply whole = askOldReader(Millis(2000), false);
    CHECK(whole.tellsReplicas);
    CHECK(whole.isWhole);
    CHECK(whole.written.size() == 1);
    for (const bool asksAsReader : { false, true }) {
        const ChangesReply none = askOldReader(Millis(100), asksAsReader);
        CHECK_FALSE(none.tellsReplicas);
        CHECK_FALSE(none.isWhole);
        CHECK(none.written.empty());
        CHECK(none.age == Millis(500));
    }
}

TEST_CASE("what a follower did not take over is asked for again")
{
    for (const bool isTaken : { true, false }) {
        const int port = freePort();
        const SystemClock clock;
        uv_loop_t loop;
        uv_loop_init(&loop);
        NewsServer news(&loop, clock);
        REQUIRE(news.server.listen("127.0.0.1", port));
        SourceChoice sources(1, false, 0, clock.now());
        PeerFollower follower(&loop, clock, { "n1", "north", "127.0.0.1", 1 }, { { "127.0.0.1", port } }, false, Millis(100), sources);
        follower.setHandlers([isTaken](const ChangesReply&) { return isTaken; }, [](const Endpoint&, const std::string&) {});
        const TimePoint end = clock.now() + Millis(2000);
        while (news.asked.size() < 2 && clock.now() < end) {
            follower.step();
            uv_run(&loop, UV_RUN_NOWAIT);
        }
        REQUIRE(news.asked.size() >= 2);
        CHECK(news.asked[0].after == ChangePosition {});
        CHECK(news.asked[1].after == (isTaken ? ChangePosition { 5, 9 } : ChangePosition {}));
        follower.stop();
        news.server.stopListening();
        news.server.closeIdle();
        for (int i = 0; i < 20; ++i)
            uv_run(&loop, UV_RUN_NOWAIT);
    }
}
