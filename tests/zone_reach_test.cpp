/// Tests how an instance detects unreachable zones from the few replicas that it calls and from notices of other
/// instances of its zone.

#include "../src/gateway/instance_links.h"
#include "../src/gateway/peer_exchange.h"
#include "../src/process/reachability.h"
#include "../src/process/system_clock.h"
#include "support/raw_peer.h"
#include "support/routing_bed.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

namespace {

constexpr size_t kShards = 40;

/// Shards s0 to s39, each with replicas in two of the zones east, west and south, and none in the local zone north.
struct ZoneReachBed {
    ZoneReachBed()
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

    /// Makes two connection attempts fail for each replica of the first shards.
    void failReplicas(size_t shards)
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

    void answerFrom(const std::string& id)
    {
        const ReplicaPtr replica = bed.directory.find(id);
        replica->health.callSent(1, bed.clock.now(), Micros(1000));
        replica->health.callAnswered(1, bed.clock.now());
    }

    /// Returns the state after one second, which is longer than a cut must last.
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

    struct CountingGroupTransport final : public GroupTransportI {
        void startGroup(uint64_t /*group*/, const InstanceInfo& /*aggregator*/, GroupRequest /*request*/) override { ++sent; }
        void cancelGroup(uint64_t /*group*/) override { }
        int sent = 0;
    };

    GatherPlan plan;
    CountingGroupTransport groups;
    RoutingTestBed bed;
};

} // namespace

TEST_CASE("an instance that calls few of many shards detects that its zone is cut off")
{
    ZoneReachBed test;
    test.failReplicas(3);
    CHECK(test.isCutOff());
    CHECK(test.bed.reach.unreachableZones() == std::vector<std::string> { "east", "south", "west" });
}

TEST_CASE("an instance that starts in a zone that is cut off does not become ready first")
{
    ZoneReachBed test;
    for (const char* other : { "n1", "n2" })
        test.bed.reach.recordNotice(other, { "east", "west", "south" }, test.bed.clock.now());
    test.bed.reach.update(test.bed.directory, test.bed.clock.now());
    Reachability reachability;
    reachability.update(*test.bed.dispatcher->table(), test.bed.directory, test.bed.reach, test.bed.clock.now());
    CHECK(reachability.isCutOff());
}

TEST_CASE("a divided search that the reachable zones cannot serve is refused before anything is sent")
{
    ZoneReachBed test;
    test.bed.start(1, "/all/q");
    CHECK(test.groups.sent > 1);
    test.bed.dispatcher->callerDisconnected(1);
    test.groups.sent = 0;
    test.failReplicas(3);
    test.bed.reach.update(test.bed.directory, test.bed.clock.now());
    test.bed.start(2, "/all/q");
    const RecordedAnswer& answer = test.bed.onlyAnswer(2);
    CHECK(answer.answer.status == 503);
    CHECK(answer.answer.retryAfter > Millis(0));
    CHECK(test.groups.sent == 0);
    CHECK(test.bed.transport.calls.empty());
}

TEST_CASE("a zone is reachable while any of its replicas answers, or when only a single one has failed")
{
    ZoneReachBed test;
    test.failReplicas(1);
    CHECK_FALSE(test.isCutOff());
    for (const char* id : { "s20-c", "s21-c", "s22-c" })
        test.answerFrom(id);
    test.bed.clock.advance(Millis(50));
    test.failReplicas(6);
    test.bed.reach.update(test.bed.directory, test.bed.clock.now());
    CHECK(test.bed.reach.unreachableZones().empty());
    test.bed.clock.advance(Millis(600));
    test.bed.reach.update(test.bed.directory, test.bed.clock.now());
    CHECK(test.bed.reach.unreachableZones().size() == 3);
    test.answerFrom("s20-c");
    test.bed.reach.update(test.bed.directory, test.bed.clock.now());
    CHECK(test.bed.reach.unreachableZones().size() == 2);
}

TEST_CASE("replicas that failed before the last answer from their zone do not make it unreachable, even without further calls")
{
    ZoneReachBed test;
    test.failReplicas(3);
    test.bed.clock.advance(Millis(50));
    for (const char* id : { "s20-c", "s21-c", "s22-c" })
        test.answerFrom(id);
    test.bed.clock.advance(std::chrono::seconds(5));
    CHECK_FALSE(test.isCutOff());
    CHECK(test.bed.reach.unreachableZones().empty());
}

TEST_CASE("a notice is accepted for one second when two other instances sent it, and ignored when only one did")
{
    ZoneReachBed test;
    const std::vector<std::string> zones { "east", "west", "south" };
    test.bed.reach.recordNotice("n1", zones, test.bed.clock.now());
    test.bed.reach.recordNotice("n1", zones, test.bed.clock.now());
    test.bed.reach.update(test.bed.directory, test.bed.clock.now());
    CHECK(test.bed.reach.unreachableZones().empty());
    test.bed.reach.recordNotice("n2", zones, test.bed.clock.now());
    test.bed.reach.update(test.bed.directory, test.bed.clock.now());
    CHECK(test.bed.reach.unreachableZones().size() == 3);
    CHECK(test.bed.reach.zonesToAnnounce(test.bed.clock.now()).empty());
    // Answers to this instance override notices.
    test.answerFrom("s0-c");
    test.bed.reach.update(test.bed.directory, test.bed.clock.now());
    CHECK(test.bed.reach.unreachableZones() == std::vector<std::string> { "south", "west" });
    test.bed.clock.advance(Millis(1100));
    test.bed.reach.update(test.bed.directory, test.bed.clock.now());
    CHECK(test.bed.reach.unreachableZones().empty());
}

TEST_CASE("an instance announces its findings until enough other instances do")
{
    ZoneReachBed test;
    test.failReplicas(3);
    test.bed.reach.update(test.bed.directory, test.bed.clock.now());
    const TimePoint now = test.bed.clock.now();
    CHECK(test.bed.reach.zonesToAnnounce(now).size() == 3);
    for (const char* other : { "n1", "n2" })
        test.bed.reach.recordNotice(other, { "east", "west", "south" }, now);
    CHECK(test.bed.reach.zonesToAnnounce(now).size() == 3);
    test.bed.reach.recordNotice("n3", { "east" }, now);
    CHECK(test.bed.reach.zonesToAnnounce(now) == std::vector<std::string> { "south", "west" });
}

namespace {

class NoticeRecorder final : public PeerHandlerI {
public:
    void onGroup(ExchangeId /*exchange*/, GroupRequest /*request*/) override { }
    void onRelay(ExchangeId /*exchange*/, RelayRequest /*request*/) override { }
    void onExchangeCancelled(ExchangeId /*exchange*/) override { }
    void onCrashNotice(const CrashNotice& /*notice*/) override { }
    void onReachNotice(const ReachNotice& notice) override { notices.push_back(notice); }

    std::vector<ReachNotice> notices;
};

constexpr Millis kValidity { 1000 };

class NoClusterState final : public ClusterStateI {
public:
    bool hasClusterState() const override { return false; }
    const ChangeLog& changes() const override { return changes_; }
    Millis stateAge() const override { return Millis(0); }
    uint64_t stateEra() const override { return 0; }
    std::shared_ptr<const RouteTable> configuration() const override { return nullptr; }
    ChangesReply makeChangesReply(const ChangeSet& /*changes*/, const ChangesRequest& /*request*/) const override { return {}; }

private:
    ChangeLog changes_ { 1 };
};

} // namespace

TEST_CASE("notices reach another instance, also several in sequence on one connection")
{
    const int port = freePort();
    const SystemClock clock;
    uv_loop_t loop;
    uv_loop_init(&loop);
    const NoClusterState clusterState;
    FleetSize fleet(1);
    InstanceDirectory instances;
    NoticeRecorder recorder;
    PeerServer peer(&loop, clock, clusterState, fleet, instances, recorder);
    REQUIRE(peer.server.listen("127.0.0.1", port));
    InstanceLinks links(&loop, clock);
    const InstanceInfo other { "n1", "north", "127.0.0.1", port };
    const std::string notice = encode(ReachNotice { "n0", { "east" } });
    links.notify(other, kReachPath, notice, kValidity);
    links.notify(other, kReachPath, "no notice", kValidity);
    links.notify(other, kReachPath, notice, kValidity);
    const TimePoint end = clock.now() + Millis(2000);
    while (recorder.notices.size() < 2 && clock.now() < end)
        uv_run(&loop, UV_RUN_NOWAIT);
    REQUIRE(recorder.notices.size() == 2);
    CHECK(recorder.notices[0].sender == "n0");
    CHECK(recorder.notices[0].zones == std::vector<std::string> { "east" });
    for (int i = 0; i < 20; ++i)
        uv_run(&loop, UV_RUN_NOWAIT);
    links.closeIdle();
    peer.server.stopListening();
    peer.server.closeIdle();
    for (int i = 0; i < 20; ++i)
        uv_run(&loop, UV_RUN_NOWAIT);
}

// Guards against instances that never learn of a crash because they were too busy to accept a connection when it was reported.
TEST_CASE("a notice is sent when its instance accepts connections again, unless it is no longer valid")
{
    for (const bool isValid : { true, false }) {
        INFO(isValid);
        const int port = freePort();
        TestClock clock;
        const SystemClock realClock;
        uv_loop_t loop;
        uv_loop_init(&loop);
        const NoClusterState clusterState;
        FleetSize fleet(1);
        InstanceDirectory instances;
        NoticeRecorder recorder;
        PeerServer peer(&loop, clock, clusterState, fleet, instances, recorder);
        InstanceLinks links(&loop, clock);
        const auto runFor = [&](Millis time) {
            const TimePoint end = realClock.now() + time;
            while (recorder.notices.empty() && realClock.now() < end)
                uv_run(&loop, UV_RUN_NOWAIT);
        };
        links.notify({ "n1", "north", "127.0.0.1", port }, kReachPath, encode(ReachNotice { "n0", { "east" } }), kValidity);
        runFor(Millis(100));
        links.checkTimeouts();
        runFor(Millis(100));
        REQUIRE(peer.server.listen("127.0.0.1", port));
        clock.advance(isValid ? kValidity - Millis(1) : kValidity);
        links.checkTimeouts();
        runFor(Millis(500));
        CHECK(recorder.notices.size() == (isValid ? 1 : 0));
        links.closeIdle();
        peer.server.stopListening();
        peer.server.closeIdle();
        for (int i = 0; i < 20; ++i)
            uv_run(&loop, UV_RUN_NOWAIT);
    }
}

TEST_CASE("malformed notices are refused")
{
    CHECK(decodeNotice(encode(ReachNotice { "n0", {} })));
    for (const char* text : { "", "{}", "[]", "{\"sender\":1,\"zones\":[]}", "{\"sender\":\"n\",\"zones\":[1]}", "{\"sender\":\"n\"}" })
        CHECK_FALSE(decodeNotice(text));
    CHECK_FALSE(decodeNotice(encode(ReachNotice { "n0", std::vector<std::string>(1000, "east") })));
}
