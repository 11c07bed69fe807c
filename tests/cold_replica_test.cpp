/// Replicas that are cold after their start, or become cold again, and the limit on calls to them from all instances.

#include "../src/gateway/cluster_state.h"
#include "../src/process/cold_replicas.h"
#include "../src/request/cold_limits.h"
#include "support/cold_fleet.h"
#include "support/state_bed.h"

#include <catch2/catch.hpp>
#include <spdlog/sinks/null_sink.h>

using namespace limpettrestle;

namespace {

constexpr Millis kWarmup { 3000 };
/// Time after which every instance of a new fleet may be an owner.
constexpr Millis kFleetSettles { 6000 };

ReplicaEntry entryOf(Millis warmupLeft, uint64_t sequence)
{
    ReplicaEntry entry;
    entry.id = "r1";
    entry.service = "card";
    entry.startedAt = 7;
    entry.sequence = sequence;
    entry.warmupLeft = warmupLeft;
    return entry;
}

/// State of a reader that serves its changes to others.
struct ReaderState {
    ReaderState()
        : log("test", std::make_shared<spdlog::sinks::null_sink_mt>())
        , state(
              clock, log, [](const ReplicaPtr&) {}, [](RoutingDocument) {})
    {
    }

    /// Applies a report and returns whether followers get it.
    bool report(Millis warmupLeft, uint64_t sequence)
    {
        const ChangePosition before = state.changes().position();
        ChangesReply reply;
        reply.written.push_back(entryOf(warmupLeft, sequence));
        state.applyPeer(reply);
        return state.changes().position() != before;
    }
    bool isCold() { return state.directory().find("r1")->warmup.isCold(clock.now()); }

    TestClock clock;
    spdlog::logger log;
    ClusterState state;
};

/// Makes all replicas cold when the lists have had their effect, and compares the calls with the limit.
void checkLimitWhenCold(ColdFleet& fleet)
{
    fleet.runIdle(Millis(12000));
    fleet.makeCold("card-a", Millis(5000));
    fleet.makeCold("card-b", Millis(5000));
    fleet.runLoaded(Millis(4999));
    CHECK(fleet.mostInOneSecond("card-a") <= fleet.bound());
    CHECK(fleet.mostInOneSecond("card-b") <= fleet.bound());
    CHECK(fleet.callsTo("card-a") + fleet.callsTo("card-b") > 0);
}

ReplicaReply coldReply(Millis left)
{
    ReplicaReply reply = RoutingTestBed::success("sig");
    reply.warmupLeft = left;
    return reply;
}

} // namespace

TEST_CASE("a warm-up that begins again is passed on to followers, its regular reports are not")
{
    ReaderState reader;
    CHECK(reader.report(kWarmup, 1));
    CHECK(reader.isCold());
    reader.clock.advance(Millis(1200));
    CHECK_FALSE(reader.report(Millis(1810), 2));
    reader.clock.advance(Millis(1900));
    CHECK_FALSE(reader.isCold());
    CHECK_FALSE(reader.report(Millis(0), 3));
    reader.clock.advance(Millis(1200));
    CHECK(reader.report(kWarmup, 4));
    CHECK(reader.isCold());
}

TEST_CASE("a later end prolongs a warm-up, an earlier one does not shorten it")
{
    ReaderState reader;
    reader.report(Millis(2000), 1);
    CHECK(reader.report(Millis(5000), 2));
    CHECK_FALSE(reader.report(Millis(1000), 3));
    reader.clock.advance(Millis(4900));
    CHECK(reader.isCold());
    reader.clock.advance(Millis(101));
    CHECK_FALSE(reader.isCold());
}

TEST_CASE("a later report without remaining time ends a warm-up, an earlier one does not")
{
    ReaderState reader;
    reader.report(kWarmup, 5);
    CHECK_FALSE(reader.report(Millis(0), 5));
    CHECK(reader.isCold());
    CHECK_FALSE(reader.report(Millis(0), 4));
    CHECK(reader.isCold());
    CHECK(reader.report(Millis(0), 6));
    CHECK_FALSE(reader.isCold());
}

TEST_CASE("a report that was under way does not end a warm-up that a reply has stated")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(1, RepeatPolicy::Idempotent);
    bed.start(1, "/one/x");
    bed.reply(0, coldReply(kWarmup));
    const ReplicaPtr replica = bed.directory.find(bed.transport.calls[0].replica);
    REQUIRE(replica->warmup.isCold(bed.clock.now()));
    ReplicaEntry report = replica->entry;
    report.sequence += 1;
    bed.directory.apply(report, bed.clock.now());
    CHECK(replica->warmup.isCold(bed.clock.now()));
    SECTION("a reply without remaining time does")
    {
        bed.start(2, "/one/x");
        while (bed.transport.calls.back().replica != replica->entry.id) {
            bed.reply(bed.transport.calls.size() - 1, RoutingTestBed::success("sig"));
            bed.directory.retire(bed.directory.find(bed.transport.calls.back().replica));
            bed.start(3, "/one/x");
        }
        bed.reply(bed.transport.calls.size() - 1, coldReply(Millis(0)));
        CHECK_FALSE(replica->warmup.isCold(bed.clock.now()));
    }
    SECTION("and neither does a reply that says nothing")
    {
        bed.directory.noteReply(replica, Millis(-1), bed.clock.now());
        CHECK(replica->warmup.isCold(bed.clock.now()));
    }
}

TEST_CASE("what one instance has seen of a cold replica reaches the others as a fact about the same run")
{
    TestClock clock;
    ReplicaDirectory learned([](const ReplicaPtr&) {});
    ReplicaDirectory other([](const ReplicaPtr&) {});
    ReplicaDirectory restarted([](const ReplicaPtr&) {});
    learned.apply(entryOf(Millis(0), 1), clock.now());
    other.apply(entryOf(Millis(0), 1), clock.now());
    ReplicaEntry laterRun = entryOf(Millis(0), 1);
    laterRun.startedAt = 8;
    restarted.apply(laterRun, clock.now());
    CHECK(coldReplicaFacts(learned, clock.now()).empty());
    learned.noteReply(learned.find("r1"), kWarmup, clock.now());
    const std::vector<SharedFact> facts = coldReplicaFacts(learned, clock.now());
    REQUIRE(facts.size() == 1);
    CHECK(facts[0].subject == "r1");
    CHECK(facts[0].version.number == 7);
    applyColdReplicaFacts(facts, other, clock.now());
    applyColdReplicaFacts(facts, restarted, clock.now());
    CHECK(other.find("r1")->warmup.until() == clock.now() + kWarmup);
    CHECK_FALSE(restarted.find("r1")->warmup.isCold(clock.now()));
    // Its own end is no news.
    SharedFacts table;
    CHECK(table.merge(facts[0], clock.now()));
    CHECK_FALSE(table.merge(coldReplicaFacts(other, clock.now()).at(0), clock.now()));
}

TEST_CASE("a follower receives from its reader what a reply has said of a cold replica")
{
    StateTestBed reader;
    StateTestBed follower;
    for (StateTestBed* bed : { &reader, &follower })
        bed->receive(answer(1, 10), { StateTestBed::written(limpettrestle::entryOf("r1", 1)) });
    const TimePoint now = reader.clock.now();
    reader.state.directory().noteObservedWarmup(reader.state.directory().find("r1"), now + Millis(3000), now);
    const uint64_t before = reader.state.changes().position().number;
    reader.state.tick();
    CHECK(reader.state.changes().position().number > before);
    std::vector<FactEntry> entries;
    for (const SharedFact& fact : reader.state.facts().all())
        entries.push_back(toEntry(fact, now));
    REQUIRE(entries.size() == 1);
    const ReplicaPtr replica = follower.state.directory().find("r1");
    CHECK_FALSE(replica->warmup.isCold(now));
    follower.state.applyFacts(entries, "reader");
    CHECK(replica->warmup.isCold(now + Millis(2900)));
    CHECK_FALSE(replica->warmup.isCold(now + Millis(3100)));
}

TEST_CASE("the monitor names replicas that have become cold or warm, but not those that have left")
{
    TestClock clock;
    ReplicaDirectory directory([](const ReplicaPtr&) {});
    ColdReplicaMonitor monitor;
    ReplicaEntry leaving = entryOf(kWarmup, 1);
    leaving.id = "r2";
    directory.apply(entryOf(kWarmup, 1), clock.now());
    directory.apply(leaving, clock.now());
    CHECK(monitor.update(directory, clock.now()).begun.size() == 2);
    CHECK(monitor.count() == 2);
    directory.remove("r2", clock.now());
    CHECK(monitor.update(directory, clock.now()).ended.empty());
    clock.advance(kWarmup);
    const ColdReplicaMonitor::Changes changes = monitor.update(directory, clock.now());
    REQUIRE(changes.ended.size() == 1);
    CHECK(changes.ended[0]->entry.id == "r1");
    CHECK(monitor.count() == 0);
}

TEST_CASE("a fleet under full load keeps the limit of a cold replica, and uses it")
{
    for (const size_t instances : { 1, 8, 63, 300 }) {
        for (const double coldRate : { 1.0, 4.0, 20.0 }) {
            INFO(instances << " instances, cold rate " << coldRate);
            ColdFleet fleet(instances, coldRate);
            fleet.runIdle(kFleetSettles);
            fleet.makeCold("card-a", kWarmup);
            fleet.makeCold("card-b", kWarmup);
            fleet.runLoaded(kWarmup - Millis(1));
            for (const char* replica : { "card-a", "card-b" }) {
                CHECK(fleet.mostInOneSecond(replica) <= fleet.bound());
                CHECK(fleet.callsTo(replica) >= 1);
            }
        }
    }
}

TEST_CASE("the limit holds while a third of the instances restart")
{
    for (const size_t instances : { 8, 63, 300 }) {
        INFO(instances << " instances");
        ColdFleet fleet(instances, 4);
        fleet.runIdle(kFleetSettles);
        fleet.makeCold("card-a", Millis(20000));
        fleet.makeCold("card-b", Millis(20000));
        for (size_t round = 0; round < 3; ++round) {
            fleet.runLoaded(Millis(1500));
            for (size_t i = round; i < instances; i += 3)
                fleet.restart(i);
        }
        fleet.runLoaded(Millis(9000));
        CHECK(fleet.mostInOneSecond("card-a") <= fleet.bound());
        CHECK(fleet.mostInOneSecond("card-b") <= fleet.bound());
        // The owners of the last round have settled.
        CHECK(fleet.callsTo("card-a") > 4);
    }
}

TEST_CASE("the limit holds while half of the instances have an old list")
{
    for (const size_t instances : { 8, 63, 300 }) {
        for (const double coldRate : { 4.0, 20.0 }) {
            INFO(instances << " instances, cold rate " << coldRate);
            ColdFleet fleet(instances, coldRate);
            fleet.runIdle(kFleetSettles);
            fleet.setView([&](size_t viewer, size_t listed) { return viewer % 2 == 0 || listed < instances / 2; });
            checkLimitWhenCold(fleet);
        }
    }
}

TEST_CASE("the limit holds while the instances are in two halves that do not list each other")
{
    for (const size_t instances : { 8, 63, 300 }) {
        for (const double coldRate : { 4.0, 20.0 }) {
            INFO(instances << " instances, cold rate " << coldRate);
            ColdFleet fleet(instances, coldRate);
            fleet.setView([](size_t viewer, size_t listed) { return viewer % 2 == listed % 2; });
            checkLimitWhenCold(fleet);
        }
    }
}

TEST_CASE("the owner of a divided search's shard is one of its aggregators, and a new division has no owner for a while")
{
    TestClock clock;
    const auto tableOf = [](uint64_t version, size_t shards) {
        RoutingDocument document;
        document.version = version;
        RouteSpec all { "all", "test.example", "/all/" };
        all.latencyTarget = Millis(80);
        for (size_t i = 0; i < shards; ++i) {
            all.shards.push_back("s" + std::to_string(i));
            document.services.push_back({ all.shards.back(), 0, kWarmup, 4 });
        }
        document.routes.push_back(all);
        return RouteTable(document);
    };
    struct Member {
        explicit Member(const std::string& name)
            : plan({ name, 0.1 })
            , limits({ name, "north", 1.5, 5, &plan })
        {
        }
        GatherPlan plan;
        ColdLimits limits;
    };
    std::vector<std::unique_ptr<Member>> members;
    for (const InstanceInfo& info : zoneOfEight())
        members.push_back(std::make_unique<Member>(info.name));
    const auto use = [&](const RouteTable& table) {
        for (const auto& member : members) {
            member->plan.setInstances(zoneOfEight());
            member->plan.setTable(table);
            member->limits.setTable(table, clock.now());
        }
    };
    const auto runFor = [&](Millis time) {
        for (Millis passed(0); passed < time; passed += Millis(250)) {
            clock.advance(Millis(250));
            for (const auto& member : members) {
                member->limits.setInstances(zoneOfEight(), clock.now());
                member->limits.update(clock.now());
            }
        }
    };
    const auto ownersOf = [&](size_t shard) {
        ReplicaEntry entry;
        entry.id = "replica-" + std::to_string(shard);
        entry.service = "s" + std::to_string(shard);
        entry.zone = "north";
        size_t owners = 0;
        for (const auto& member : members) {
            if (!member->limits.intervalFor(entry, clock.now()))
                continue;
            ++owners;
            CHECK(member->plan.isAggregatorOf(entry.service));
        }
        return owners;
    };
    use(tableOf(1, 40));
    runFor(kFleetSettles);
    for (size_t shard = 0; shard < 40; ++shard)
        CHECK(ownersOf(shard) == 1);
    use(tableOf(2, 42));
    size_t owned = 0;
    for (size_t shard = 0; shard < 40; ++shard)
        owned += ownersOf(shard);
    CHECK(owned < 40);
    runFor(kFleetSettles);
    for (size_t shard = 0; shard < 42; ++shard)
        CHECK(ownersOf(shard) == 1);
}

TEST_CASE("an instance that is out of touch does not call cold replicas")
{
    ColdFleet fleet(8, 4);
    fleet.runIdle(kFleetSettles);
    fleet.setInTouch([](size_t) { return false; });
    fleet.runIdle(Millis(2000));
    fleet.makeCold("card-a", kWarmup);
    fleet.makeCold("card-b", kWarmup);
    fleet.runLoaded(kWarmup - Millis(1));
    CHECK(fleet.callsTo("card-a") + fleet.callsTo("card-b") == 0);
    fleet.runLoaded(Millis(1000));
    CHECK(fleet.callsTo("card-a") + fleet.callsTo("card-b") > 0);
}

TEST_CASE("the limit holds from the moment at which a replica is cold again")
{
    for (const size_t instances : { 1, 8, 63, 300 }) {
        INFO(instances << " instances");
        ColdFleet fleet(instances, 4);
        fleet.runIdle(kFleetSettles);
        fleet.makeCold("card-a", Millis(1500));
        fleet.makeCold("card-b", Millis(1500));
        fleet.runLoaded(Millis(1000));
        // Prolonged before it ends, and once more after it has ended.
        fleet.makeCold("card-a", Millis(2500));
        fleet.makeCold("card-b", Millis(2500));
        fleet.runLoaded(Millis(2499));
        CHECK(fleet.mostInOneSecond("card-a") <= fleet.bound());
        fleet.runLoaded(Millis(1000));
        CHECK(fleet.mostInOneSecond("card-a") > 0);
        fleet.makeCold("card-a", kWarmup);
        fleet.makeCold("card-b", kWarmup);
        const TimePoint coldAt = fleet.clock.now();
        fleet.runLoaded(kWarmup - Millis(1));
        CHECK(fleet.mostInOneSecond("card-a", coldAt) <= fleet.bound());
    }
}

TEST_CASE("an instance that learns late exceeds the limit at most until it has learned")
{
    ColdFleet fleet(63, 4);
    fleet.runIdle(kFleetSettles);
    SECTION("of a new replica: it has nothing to call")
    {
        const auto isEarly = [](size_t instance) { return instance % 3 != 0; };
        fleet.restartReplica("card-a", kWarmup, isEarly);
        fleet.restartReplica("card-b", kWarmup, isEarly);
        const TimePoint startedAt = fleet.clock.now();
        fleet.runLoaded(Millis(800));
        fleet.restartReplica("card-a", kWarmup - Millis(800), [&](size_t instance) { return !isEarly(instance); });
        fleet.restartReplica("card-b", kWarmup - Millis(800), [&](size_t instance) { return !isEarly(instance); });
        fleet.runLoaded(kWarmup - Millis(801));
        CHECK(fleet.mostInOneSecond("card-a", startedAt) <= fleet.bound());
        CHECK(fleet.mostInOneSecond("card-b", startedAt) <= fleet.bound());
    }
    SECTION("of a replica that is cold again: its own calls go on until then")
    {
        const auto isEarly = [](size_t instance) { return instance != 5; };
        fleet.makeCold("card-a", kWarmup, isEarly);
        fleet.makeCold("card-b", kWarmup, isEarly);
        fleet.runLoaded(Millis(500));
        fleet.makeCold("card-a", kWarmup - Millis(500));
        fleet.makeCold("card-b", kWarmup - Millis(500));
        const TimePoint learnedAt = fleet.clock.now();
        fleet.runLoaded(kWarmup - Millis(501));
        CHECK(fleet.mostInOneSecond("card-a", learnedAt) <= fleet.bound());
        CHECK(fleet.mostInOneSecond("card-b", learnedAt) <= fleet.bound());
    }
}

TEST_CASE("warm replicas take the load while another one of the service is cold")
{
    ColdFleet fleet(8, 4);
    fleet.runIdle(kFleetSettles);
    fleet.makeCold("card-a", kWarmup);
    fleet.runLoaded(kWarmup - Millis(1));
    CHECK(fleet.callsTo("card-a") == 0);
    CHECK(fleet.callsTo("card-b") > 0);
    CHECK(fleet.refused() == 0);
    fleet.runLoaded(Millis(500));
    CHECK(fleet.callsTo("card-a") > 0);
}

TEST_CASE("what the cold replicas of a service cannot take is refused at once with a Retry-After")
{
    ColdFleet fleet(8, 4);
    fleet.runIdle(kFleetSettles);
    fleet.makeCold("card-a", kWarmup);
    fleet.makeCold("card-b", kWarmup);
    fleet.runLoaded(kWarmup - Millis(1));
    REQUIRE(fleet.refused() > 0);
    CHECK(fleet.refusals().status == 503);
    CHECK(fleet.refusals().code == ResultCode::ServerShed);
    CHECK(fleet.refusals().longest == Micros(0));
    CHECK(fleet.refusals().shortestRetryAfter > Millis(0));
    CHECK(fleet.refusals().longestRetryAfter <= kWarmup);
}

TEST_CASE("hedges and retries go to a warm replica rather than to a cold one")
{
    ColdFleet fleet(1, 4);
    fleet.runIdle(kFleetSettles);
    fleet.makeCold("card-a", kWarmup);
    SECTION("hedge")
    {
        fleet.setReplyTime(Millis(300));
        fleet.startRequest(0);
        fleet.runIdle(Millis(400));
        CHECK(fleet.callsTo("card-b") == 1);
    }
    SECTION("retry after a failed call")
    {
        fleet.setLosesCalls(true);
        fleet.startRequest(0);
        fleet.runIdle(Millis(60));
        CHECK(fleet.callsTo("card-b") == 2);
    }
    CHECK(fleet.callsTo("card-a") == 0);
}

TEST_CASE("without a cold rate, cold replicas are used as before")
{
    ColdFleet fleet(1, 0);
    fleet.runIdle(kFleetSettles);
    fleet.makeCold("card-a", kWarmup);
    fleet.makeCold("card-b", kWarmup);
    fleet.runLoaded(Millis(1000));
    CHECK(fleet.refused() == 0);
    CHECK(fleet.callsTo("card-a") + fleet.callsTo("card-b") == 100);
}

TEST_CASE("a call that waits for a connection delays the next one by a full interval")
{
    const TimePoint start { std::chrono::hours(1) };
    RateShare share;
    share.restrict(Millis(250), start + kWarmup, start);
    CHECK_FALSE(share.mayCall(start));
    CHECK(share.nextCallAt(start) == start + Millis(250));
    share.callStarted(start + Millis(250));
    CHECK_FALSE(share.mayCall(start + Millis(900)));
    share.callSent(start + Millis(1000));
    CHECK_FALSE(share.mayCall(start + Millis(1249)));
    CHECK(share.mayCall(start + Millis(1250)));
    // Unused time is not stored.
    share.callStarted(start + Millis(2000));
    share.callSent(start + Millis(2000));
    CHECK_FALSE(share.mayCall(start + Millis(2249)));
    share.restrict(std::nullopt, start + kWarmup, start + Millis(2400));
    CHECK_FALSE(share.mayCall(start + Millis(2900)));
    CHECK(share.nextCallAt(start + Millis(2900)) == start + kWarmup);
    CHECK(share.mayCall(start + kWarmup));
}
