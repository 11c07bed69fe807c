/// An instance of a zone that is cut off finds out from the few replicas that it calls, and from others of its zone.

#include "../src/gateway/gather_links.h"
#include "../src/gateway/peer_exchange.h"
#include "../src/process/reachability.h"
#include "../src/process/system_clock.h"
#include "support/raw_peer.h"
#include "support/routing_bed.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

namespace {

constexpr size_t kShards = 40;

/// Shards s0 to s39 with a replica in two of the zones east, west and south each, and none in the own one, north.
struct CutBed {
    CutBed()
        : plan({ "n0", 0.1 })
        , bed(100, &plan, &groups)
    {
        plan.setInstances(zoneOfEight());
        bed.useStandardRoutes(kShards, RepeatPolicy::Idempotent, 0.9);
        const std::vector<std::string> zones { "east", "west", "south" };
        for (size_t i = 0; i < kShards; ++i) {
            const std::string shard = "s" + std::to_string(i);
            bed.directory.remove(shard + "-a", bed.clock.now());
            bed.directory.remove(shard + "-b", bed.clock.now());
            bed.addReplica(shard + "-c", shard, zones[i % 3]);
            bed.addReplica(shard + "-d", shard, zones[(i + 1) % 3]);
        }
        bed.clock.advance(std::chrono::seconds(2));
    }

    /// Two connections fail to each replica of the first shards.
    void lose(size_t shards)
    {
        for (size_t i = 0; i < shards; ++i) {
            for (const char* suffix : { "-c", "-d" }) {
                const ReplicaPtr replica = bed.directory.find("s" + std::to_string(i) + suffix);
                replica->health.connectFailed(bed.clock.now());
                replica->health.connectFailed(bed.clock.now() + Millis(100));
            }
        }
        bed.clock.advance(Millis(100));
    }

    void hearFrom(const std::string& id)
    {
        const ReplicaPtr replica = bed.directory.find(id);
        replica->health.callSent(1, bed.clock.now(), Micros(1000));
        replica->health.callAnswered(1, bed.clock.now());
    }

    /// State after cuts have lasted for long enough.
    bool isCutOff()
    {
        Reachability reachability;
        for (int i = 0; i < 4; ++i) {
            bed.reach.update(bed.directory, bed.clock.now());
            reachability.update(*bed.dispatcher->table(), bed.directory, bed.reach, bed.clock.now());
            bed.clock.advance(Millis(250));
        }
        return reachability.isCutOff();
    }

    struct NoGroups final : public GroupTransportI {
        void startGroup(uint64_t /*group*/, const InstanceInfo& /*aggregator*/, GroupRequest /*request*/) override { ++sent; }
        void cancelGroup(uint64_t /*group*/) override { }
        int sent = 0;
    };

    GatherPlan plan;
    NoGroups groups;
    RoutingBed bed;
};

} // namespace

TEST_CASE("an instance that calls few of many shards sees that its zone is cut off")
{
    CutBed test;
    test.lose(3);
    CHECK(test.isCutOff());
    CHECK(test.bed.reach.zonesOut() == std::vector<std::string> { "east", "south", "west" });
}

TEST_CASE("an instance that starts in a zone that is cut off does not become ready first")
{
    CutBed test;
    for (const char* other : { "n1", "n2" })
        test.bed.reach.told(other, { "east", "west", "south" }, test.bed.clock.now());
    test.bed.reach.update(test.bed.directory, test.bed.clock.now());
    Reachability reachability;
    reachability.update(*test.bed.dispatcher->table(), test.bed.directory, test.bed.reach, test.bed.clock.now());
    CHECK(reachability.isCutOff());
}

TEST_CASE("a divided search that the zones in reach cannot serve is refused before anything is sent")
{
    CutBed test;
    test.bed.start(1, "/all/q");
    CHECK(test.groups.sent > 1);
    test.bed.dispatcher->callerLeft(1);
    test.groups.sent = 0;
    test.lose(3);
    test.bed.reach.update(test.bed.directory, test.bed.clock.now());
    test.bed.start(2, "/all/q");
    const RecordedAnswer& answer = test.bed.only(2);
    CHECK(answer.answer.status == 503);
    CHECK(answer.answer.retryAfter > Millis(0));
    CHECK(test.groups.sent == 0);
    CHECK(test.bed.transport.calls.empty());
}

TEST_CASE("a zone is in reach while any of its replicas answers, or when a single one has failed")
{
    CutBed test;
    test.lose(1);
    CHECK_FALSE(test.isCutOff());
    for (const char* id : { "s20-c", "s21-c", "s22-c" })
        test.hearFrom(id);
    test.bed.clock.advance(Millis(50));
    test.lose(6);
    test.bed.reach.update(test.bed.directory, test.bed.clock.now());
    CHECK(test.bed.reach.zonesOut().empty());
    test.bed.clock.advance(Millis(600));
    test.bed.reach.update(test.bed.directory, test.bed.clock.now());
    CHECK(test.bed.reach.zonesOut().size() == 3);
    test.hearFrom("s20-c");
    test.bed.reach.update(test.bed.directory, test.bed.clock.now());
    CHECK(test.bed.reach.zonesOut().size() == 2);
}

TEST_CASE("replicas that failed before their zone was last heard are no sign, however long nothing is called")
{
    CutBed test;
    test.lose(3);
    test.bed.clock.advance(Millis(50));
    for (const char* id : { "s20-c", "s21-c", "s22-c" })
        test.hearFrom(id);
    test.bed.clock.advance(std::chrono::seconds(5));
    CHECK_FALSE(test.isCutOff());
    CHECK(test.bed.reach.zonesOut().empty());
}

TEST_CASE("what two other instances tell is taken over for a while, what one tells is not")
{
    CutBed test;
    const std::vector<std::string> zones { "east", "west", "south" };
    test.bed.reach.told("n1", zones, test.bed.clock.now());
    test.bed.reach.told("n1", zones, test.bed.clock.now());
    test.bed.reach.update(test.bed.directory, test.bed.clock.now());
    CHECK(test.bed.reach.zonesOut().empty());
    test.bed.reach.told("n2", zones, test.bed.clock.now());
    test.bed.reach.update(test.bed.directory, test.bed.clock.now());
    CHECK(test.bed.reach.zonesOut().size() == 3);
    CHECK(test.bed.reach.zonesToTell(test.bed.clock.now()).empty());
    // Own evidence goes first.
    test.hearFrom("s0-c");
    test.bed.reach.update(test.bed.directory, test.bed.clock.now());
    CHECK(test.bed.reach.zonesOut() == std::vector<std::string> { "south", "west" });
    test.bed.clock.advance(Millis(1100));
    test.bed.reach.update(test.bed.directory, test.bed.clock.now());
    CHECK(test.bed.reach.zonesOut().empty());
}

TEST_CASE("an instance tells what it found until enough others do")
{
    CutBed test;
    test.lose(3);
    test.bed.reach.update(test.bed.directory, test.bed.clock.now());
    const TimePoint now = test.bed.clock.now();
    CHECK(test.bed.reach.zonesToTell(now).size() == 3);
    for (const char* other : { "n1", "n2" })
        test.bed.reach.told(other, { "east", "west", "south" }, now);
    CHECK(test.bed.reach.zonesToTell(now).size() == 3);
    test.bed.reach.told("n3", { "east" }, now);
    CHECK(test.bed.reach.zonesToTell(now) == std::vector<std::string> { "south", "west" });
}

namespace {

class NoticeTaker final : public PeerHandlerI {
public:
    void onGroup(ExchangeId /*exchange*/, GroupRequest /*request*/) override { }
    void onGroupCancelled(ExchangeId /*exchange*/) override { }
    void onReachNotice(const ReachNotice& notice) override { taken.push_back(notice); }

    std::vector<ReachNotice> taken;
};

class NoKnowledge final : public ClusterStateI {
public:
    bool hasClusterState() const override { return false; }
    const ChangeLog& changes() const override { return changes_; }
    Millis stateAge() const override { return Millis(0); }
    ChangesReply makeChangesReply(const ChangeSet& /*changes*/, const ChangesRequest& /*request*/) const override { return {}; }

private:
    ChangeLog changes_ { 1 };
};

} // namespace

TEST_CASE("a notice reaches another instance, also one after the other on one connection")
{
    const int port = freePort();
    const SystemClock clock;
    uv_loop_t loop;
    uv_loop_init(&loop);
    const NoKnowledge knowledge;
    FleetSize fleet(1);
    InstanceDirectory instances;
    NoticeTaker taker;
    PeerServer peer(&loop, clock, knowledge, fleet, instances, taker);
    REQUIRE(peer.server.listen("127.0.0.1", port));
    GatherLinks links(&loop, clock);
    const InstanceInfo other { "n1", "north", "127.0.0.1", port };
    const std::string notice = encode(ReachNotice { "n0", { "east" } });
    links.notify(other, kReachPath, notice);
    links.notify(other, kReachPath, "no notice");
    links.notify(other, kReachPath, notice);
    const TimePoint end = clock.now() + Millis(2000);
    while (taker.taken.size() < 2 && clock.now() < end)
        uv_run(&loop, UV_RUN_NOWAIT);
    REQUIRE(taker.taken.size() == 2);
    CHECK(taker.taken[0].sender == "n0");
    CHECK(taker.taken[0].zones == std::vector<std::string> { "east" });
    for (int i = 0; i < 20; ++i)
        uv_run(&loop, UV_RUN_NOWAIT);
    links.closeIdle();
    peer.server.stopListening();
    peer.server.closeIdle();
    for (int i = 0; i < 20; ++i)
        uv_run(&loop, UV_RUN_NOWAIT);
}

TEST_CASE("malformed notices are refused")
{
    CHECK(decodeNotice(encode(ReachNotice { "n0", {} })));
    for (const char* text : { "", "{}", "[]", "{\"sender\":1,\"zones\":[]}", "{\"sender\":\"n\",\"zones\":[1]}", "{\"sender\":\"n\"}" })
        CHECK_FALSE(decodeNotice(text));
    CHECK_FALSE(decodeNotice(encode(ReachNotice { "n0", std::vector<std::string>(1000, "east") })));
}
