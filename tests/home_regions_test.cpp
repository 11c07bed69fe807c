/// Routes with home regions: which replicas and instances may process their requests.

#include "../src/process/reachability.h"
#include "support/gather_bed.h"

#include <catch2/catch.hpp>
#include <set>

using namespace limpettrestle;

namespace {

constexpr uint32_t kHomeRegions = static_cast<uint32_t>(InstanceFeature::HomeRegions);
constexpr Millis kHedgeTime { 200 };

/// Three regions with two zones each. The instance under test is in zone north.
std::map<std::string, std::string> threeRegions()
{
    return { { "north", "east" }, { "north-2", "east" }, { "south", "west" }, { "south-2", "west" }, { "mid", "central" }, { "mid-2", "central" } };
}

/// Transport that records relays and leaves their replies to the test.
class RecordingRelayTransport final : public RelayTransportI {
public:
    void startRelay(uint64_t relay, const InstanceInfo& instance, RelayRequest /*request*/) override { sent.emplace_back(relay, instance); }
    void cancelRelay(uint64_t /*relay*/) override { }

    std::vector<std::pair<uint64_t, InstanceInfo>> sent;
};

/// Instance with routes to the service "card", which has a replica in each of the six zones: "/free/" has no home regions,
/// "/one/" the home west, "/two/" the homes west and central, and "/unsafe/" the home west and no repeats.
struct HomeTestBed {
    explicit HomeTestBed(uint32_t maxConnections = 0)
        : bed(100, nullptr, nullptr, &relays)
    {
        bed.regions = ZoneRegions(threeRegions());
        RoutingDocument document;
        document.version = 1;
        document.routes = { route("free", {}), route("one", { "west" }), route("two", { "west", "central" }), route("unsafe", { "west" }) };
        document.routes.back().repeat = RepeatPolicy::AtMostOnce;
        document.services.push_back({ "card", maxConnections });
        for (const auto& [zone, region] : threeRegions())
            bed.addReplica("card-" + zone, "card", zone);
        bed.dispatcher->activateTable(std::make_shared<const RouteTable>(document));
    }

    static RouteSpec route(const std::string& name, std::vector<std::string> homes)
    {
        RouteSpec route;
        route.name = name;
        route.host = "test.example";
        route.prefix = "/" + name + "/";
        route.repeat = RepeatPolicy::Idempotent;
        route.timeout = Millis(1500);
        route.latencyTarget = Millis(250);
        route.maxAttempts = 4;
        route.shares.push_back({ "card", 1 });
        route.homeRegions = std::move(homes);
        return route;
    }

    ReplicaPtr replicaIn(const std::string& zone) const { return bed.directory.find("card-" + zone); }

    /// Starts requests one after the other, fails or answers their calls and returns the zones that were called.
    std::set<std::string> zonesCalledBy(const std::string& target, CallFailure failure = CallFailure::Malformed)
    {
        constexpr uint64_t kRequests = 40;
        for (uint64_t request = 1; request <= kRequests; ++request) {
            bed.start(request, target);
            const size_t open = bed.transport.calls.size() - 1;
            if (request % 3 == 0)
                bed.fail(open, failure);
            bed.replyToAllExcept({});
            bed.clock.advance(Millis(20));
        }
        return calledZones();
    }

    std::set<std::string> calledZones() const
    {
        std::set<std::string> zones;
        for (const RecordedCall& call : bed.transport.calls)
            zones.insert(bed.directory.find(call.replica)->entry.zone);
        return zones;
    }

    void drain(const std::string& zone)
    {
        ReplicaEntry entry = replicaIn(zone)->entry;
        entry.state = ReplicaState::Draining;
        ++entry.sequence;
        bed.directory.apply(entry, bed.clock.now());
    }

    void failConnecting(const std::string& zone)
    {
        replicaIn(zone)->health.connectFailed(bed.clock.now() - Millis(100));
        replicaIn(zone)->health.connectFailed(bed.clock.now());
    }

    void isolate()
    {
        bed.clock.advance(std::chrono::seconds(2));
        for (const auto& [zone, region] : threeRegions())
            failConnecting(zone);
        bed.reach.update(bed.directory, bed.clock.now());
    }

    void checkRefusedAtOnce(uint64_t request) const
    {
        REQUIRE(bed.isAnswered(request));
        const RecordedAnswer& answer = bed.answers.at(request).at(0);
        CHECK(answer.answer.status == 503);
        CHECK(answer.answer.code == ResultCode::NoReplicaReachable);
        CHECK(answer.answer.retryAfter > Millis::zero());
        CHECK(answer.report.callsSent == 0);
        CHECK(answer.report.duration == Micros::zero());
        CHECK(bed.transport.calls.empty());
    }

    RecordingRelayTransport relays;
    RoutingTestBed bed;
};

/// One instance of this build and one of an earlier build in each zone.
std::vector<InstanceInfo> twoInstancesPerZone()
{
    std::vector<InstanceInfo> instances;
    for (const auto& [zone, region] : threeRegions()) {
        instances.push_back({ zone + "-new", zone, "10.0.0.1", 1, kOwnFeatures });
        instances.push_back({ zone + "-old", zone, "10.0.0.1", 2 });
    }
    return instances;
}

/// Gives the searches of the bed home regions.
void setHomes(GatherTestBed& test, std::vector<std::string> homes)
{
    test.bed.regions = ZoneRegions(threeRegions());
    RoutingDocument document = test.bed.dispatcher->table()->document();
    ++document.version;
    document.routes[0].homeRegions = std::move(homes);
    test.bed.dispatcher->activateTable(std::make_shared<const RouteTable>(document));
}

void setFeatures(GatherTestBed& test, uint32_t features)
{
    std::vector<InstanceInfo> zone = zoneOfEight();
    for (InstanceInfo& instance : zone)
        instance.features = features;
    test.plan.setInstances(zone);
}

GroupRequest groupOf(std::vector<std::string> homes)
{
    GroupRequest group;
    group.forwarded.requestId = "g1";
    group.forwarded.method = "GET";
    group.forwarded.target = "/all/q";
    group.forwarded.host = "test.example";
    group.route = "all";
    group.shards = { "s0", "s1", "s2" };
    group.softTimeout = Millis(60);
    group.timeLeft = Millis(300);
    group.maxAttempts = 2;
    group.topRecords = 3;
    group.homeRegions = std::move(homes);
    return group;
}

std::set<std::string> calledReplicaSuffixes(const RoutingTestBed& bed)
{
    std::set<std::string> suffixes;
    for (const RecordedCall& call : bed.transport.calls)
        suffixes.insert(call.replica.substr(call.replica.size() - 2));
    return suffixes;
}

} // namespace

TEST_CASE("zones are allowed by the region in which they are")
{
    const std::vector<std::string> none;
    const std::vector<std::string> west = { "west" };
    const std::vector<std::string> unknown = { "moon" };
    const ZoneRegions regions(threeRegions());
    CHECK(regions.allows(none, "north"));
    CHECK(regions.allows(none, "no-such-zone"));
    CHECK_FALSE(regions.allows(west, "north"));
    CHECK(regions.allows(west, "south"));
    CHECK(regions.allows(west, "south-2"));
    CHECK_FALSE(regions.allows(west, "no-such-zone"));
    CHECK_FALSE(regions.allows(unknown, "south"));
    CHECK(regions.excludedZones(none) == 0);
    CHECK(regions.excludedZones(west) == 4);
    CHECK(regions.restricts(west));
    CHECK_FALSE(regions.restricts(none));
    const ZoneRegions oneRegion;
    CHECK(oneRegion.allows(west, "north"));
    CHECK_FALSE(oneRegion.restricts(west));
    CHECK(AllowedZones().contains("north"));
    CHECK(AllowedZones(nullptr, west).contains("north"));
    CHECK_FALSE(AllowedZones(&regions, west).contains("north"));
}

TEST_CASE("requests reach only replicas in the home regions of their route, repeats too")
{
    for (const CallFailure failure : { CallFailure::NotSent, CallFailure::Lost, CallFailure::Malformed }) {
        INFO(name(failure));
        CHECK(HomeTestBed().zonesCalledBy("/free/x", failure).contains("north"));
        const std::set<std::string> one = HomeTestBed().zonesCalledBy("/one/x", failure);
        CHECK(one == std::set<std::string> { "south", "south-2" });
        const std::set<std::string> two = HomeTestBed().zonesCalledBy("/two/x", failure);
        CHECK_FALSE(two.empty());
        CHECK_FALSE(two.contains("north"));
        CHECK_FALSE(two.contains("north-2"));
    }
}

TEST_CASE("hedges stay within the home regions")
{
    HomeTestBed test;
    test.bed.start(1, "/one/x");
    test.bed.runFor(kHedgeTime);
    CHECK(test.bed.transport.calls.size() >= 2);
    CHECK(test.calledZones() == std::set<std::string> { "south", "south-2" });

    HomeTestBed alone;
    alone.drain("south-2");
    alone.bed.start(1, "/one/x");
    alone.bed.runFor(kHedgeTime);
    CHECK(alone.calledZones() == std::set<std::string> { "south" });
}

TEST_CASE("a request is refused at once when no replica of its home regions can be reached")
{
    HomeTestBed draining;
    draining.drain("south");
    draining.drain("south-2");
    draining.bed.start(1, "/one/x");
    draining.checkRefusedAtOnce(1);
    draining.bed.start(2, "/unsafe/x");
    draining.checkRefusedAtOnce(2);

    HomeTestBed gone;
    gone.bed.directory.remove("card-south", gone.bed.clock.now());
    gone.bed.directory.remove("card-south-2", gone.bed.clock.now());
    gone.bed.start(1, "/one/x");
    gone.checkRefusedAtOnce(1);

    HomeTestBed unreachable;
    unreachable.bed.clock.advance(std::chrono::seconds(2));
    unreachable.failConnecting("south");
    unreachable.failConnecting("south-2");
    unreachable.bed.start(1, "/one/x");
    unreachable.checkRefusedAtOnce(1);

    // The second home serves.
    draining.bed.start(3, "/two/x");
    const std::set<std::string> zones = draining.calledZones();
    CHECK((zones == std::set<std::string> { "mid" } || zones == std::set<std::string> { "mid-2" }));
}

TEST_CASE("an unsafe request that no home replica can have executed is tried in the home regions, and refused as not run")
{
    HomeTestBed test;
    for (const auto& [zone, region] : threeRegions())
        test.bed.transport.unconnected["card-" + zone] = true;
    test.bed.start(1, "/unsafe/x");
    for (size_t i = 0; !test.bed.isAnswered(1); ++i)
        test.bed.fail(i, CallFailure::NotSent);
    CHECK(test.calledZones() == std::set<std::string> { "south", "south-2" });
    CHECK(test.bed.onlyAnswer(1).answer.status == 503);
    CHECK(test.bed.onlyAnswer(1).answer.retryAfter > Millis::zero());
    CHECK(test.bed.onlyAnswer(1).report.callsSent == 0);

    HomeTestBed lost;
    lost.bed.start(1, "/unsafe/x");
    lost.bed.fail(0, CallFailure::Lost);
    CHECK(lost.bed.transport.calls.size() == 1);
    CHECK(lost.bed.onlyAnswer(1).answer.status == 502);
    CHECK(lost.bed.onlyAnswer(1).answer.code == ResultCode::OutcomeUnknown);
}

TEST_CASE("a replica in a zone without a region gets no request of a route with home regions")
{
    HomeTestBed test;
    test.bed.addReplica("card-x", "card", "no-such-zone");
    test.drain("south");
    test.drain("south-2");
    test.bed.start(1, "/one/x");
    test.checkRefusedAtOnce(1);
}

TEST_CASE("home regions have no effect where the settings name no regions")
{
    HomeTestBed test;
    test.bed.regions = ZoneRegions();
    test.bed.start(1, "/one/x");
    CHECK(test.calledZones() == std::set<std::string> { "north" });
}

TEST_CASE("the subset of replicas is formed from those of the home regions, and those of other routes keep their own")
{
    constexpr uint32_t kConnections = 2;
    constexpr uint32_t kInstances = 40;
    HomeTestBed test(kConnections);
    test.bed.dispatcher->setFleetSize(kInstances);
    test.bed.start(1, "/free/x");
    CHECK(test.calledZones() == std::set<std::string> { "north" });
    test.bed.start(2, "/one/x");
    REQUIRE(test.bed.transport.calls.size() == 2);
    CHECK(test.bed.directory.find(test.bed.transport.calls[1].replica)->entry.zone.starts_with("south"));
    const std::vector<ReplicaPtr> used = test.bed.dispatcher->usedReplicas("card");
    CHECK(std::find(used.begin(), used.end(), test.replicaIn("north")) != used.end());
    CHECK(std::find(used.begin(), used.end(), test.replicaIn("south")) != used.end());
    CHECK(std::find(used.begin(), used.end(), test.replicaIn("south-2")) != used.end());
}

TEST_CASE("the time of a retry and the reason of a refusal follow from the replicas of the home regions")
{
    constexpr Millis kBackOff { 700 };
    HomeTestBed test;
    for (const char* zone : { "south", "south-2" })
        test.replicaIn(zone)->health.recordBackOff(kBackOff, test.bed.clock.now());
    test.bed.start(1, "/one/x");
    CHECK(test.bed.onlyAnswer(1).answer.status == 503);
    CHECK(test.bed.onlyAnswer(1).answer.retryAfter == kBackOff);
    CHECK(test.bed.onlyAnswer(1).report.trail.empty());

    HomeTestBed others;
    for (const char* zone : { "north", "north-2", "mid", "mid-2" })
        others.replicaIn(zone)->health.recordBackOff(kBackOff, others.bed.clock.now());
    others.drain("south");
    others.drain("south-2");
    others.bed.start(1, "/one/x");
    others.checkRefusedAtOnce(1);
    CHECK(others.bed.onlyAnswer(1).answer.retryAfter < kBackOff);
}

TEST_CASE("requests of a route with home regions are relayed only there, and only to builds that keep to them")
{
    HomeTestBed test;
    test.isolate();
    test.bed.dispatcher->setInstances(twoInstancesPerZone());
    test.bed.start(1, "/unsafe/x");
    for (size_t i = 0; i < test.relays.sent.size(); ++i)
        test.bed.dispatcher->relayFailed(test.relays.sent[i].first, false);
    std::set<std::string> targets;
    for (const auto& [id, instance] : test.relays.sent)
        targets.insert(instance.name);
    CHECK_FALSE(targets.empty());
    for (const std::string& target : targets)
        CHECK((target == "south-new" || target == "south-2-new"));
    CHECK(test.bed.onlyAnswer(1).answer.status == 503);
    CHECK(test.bed.onlyAnswer(1).answer.retryAfter > Millis::zero());

    HomeTestBed free;
    free.isolate();
    free.bed.dispatcher->setInstances({ { "north-old", "north", "10.0.0.1", 1 } });
    free.bed.start(1, "/free/x");
    CHECK(free.relays.sent.size() == 1);
    free.bed.start(2, "/one/x");
    CHECK(free.relays.sent.size() == 1);
    free.checkRefusedAtOnce(2);
}

TEST_CASE("a relayed request is checked by the receiver")
{
    HomeTestBed test;
    RelayRequest relayed;
    relayed.configVersion = 1;
    relayed.forwarded.requestId = "r1";
    relayed.forwarded.method = "GET";
    relayed.forwarded.target = "/one/x";
    relayed.forwarded.host = "test.example";
    relayed.forwarded.callerTimeout = Millis(300);
    test.bed.dispatcher->startRelayed(1, relayed);
    REQUIRE(test.bed.transport.calls.size() == 1);
    CHECK(test.calledZones().begin()->starts_with("south"));
}

TEST_CASE("groups of a route with home regions are sent only within them, and only to builds that keep to them")
{
    GatherTestBed test;
    setFeatures(test, kOwnFeatures);
    setHomes(test, { "east", "west" });
    test.startDividedSearch(1);
    REQUIRE_FALSE(test.groups.sent.empty());
    CHECK(test.bed.transport.calls.empty());
    for (const TestGroupTransport::SentGroup& group : test.groups.sent)
        CHECK(group.request.homeRegions == std::vector<std::string> { "east", "west" });

    GatherTestBed foreign;
    setFeatures(foreign, kOwnFeatures);
    setHomes(foreign, { "west" });
    foreign.startDividedSearch(1);
    CHECK(foreign.groups.sent.empty());
    CHECK(foreign.bed.transport.calls.size() == kShards);
    CHECK(calledReplicaSuffixes(foreign.bed) == std::set<std::string> { "-b" });

    GatherTestBed old;
    setFeatures(old, kOwnFeatures & ~kHomeRegions);
    setHomes(old, { "east" });
    old.startDividedSearch(1);
    CHECK(old.groups.sent.empty());
    CHECK(old.bed.transport.calls.size() == kShards);
    CHECK(calledReplicaSuffixes(old.bed) == std::set<std::string> { "-a" });
}

TEST_CASE("an aggregator keeps to the home regions of the group, or of its own configuration when the sender's build sends none")
{
    GatherTestBed test;
    setHomes(test, {});
    test.bed.dispatcher->gather(1, groupOf({ "west" }));
    CHECK(test.bed.transport.calls.size() == 3);
    CHECK(calledReplicaSuffixes(test.bed) == std::set<std::string> { "-b" });

    GatherTestBed earlier;
    setHomes(earlier, { "west" });
    earlier.bed.dispatcher->gather(1, groupOf({}));
    CHECK(earlier.bed.transport.calls.size() == 3);
    CHECK(calledReplicaSuffixes(earlier.bed) == std::set<std::string> { "-b" });

    GatherTestBed free;
    setHomes(free, {});
    free.bed.dispatcher->gather(1, groupOf({}));
    CHECK(calledReplicaSuffixes(free.bed) == std::set<std::string> { "-a" });
}

TEST_CASE("shards whose aggregator fails are called in the home regions")
{
    GatherTestBed test;
    setFeatures(test, kOwnFeatures);
    setHomes(test, { "east" });
    test.startDividedSearch(1);
    REQUIRE(test.groups.sent.size() > 1);
    test.bed.dispatcher->groupFailed(test.groups.sent[0].id, false);
    const size_t calls = test.bed.transport.calls.size();
    CHECK(calls == test.groups.sent[0].request.shards.size());
    CHECK(calledReplicaSuffixes(test.bed) == std::set<std::string> { "-a" });
    for (const auto& [id, replica] : test.bed.directory.all()) {
        if (replica->entry.zone == "north")
            replica->health.recordBackOff(Millis(700), test.bed.clock.now());
    }
    test.bed.dispatcher->groupFailed(test.groups.sent[1].id, false);
    CHECK(test.bed.transport.calls.size() == calls);
}

TEST_CASE("a search fails at once when its home regions are out of reach, although others are not")
{
    GatherTestBed test;
    setFeatures(test, kOwnFeatures);
    setHomes(test, { "east" });
    test.bed.clock.advance(std::chrono::seconds(2));
    for (const auto& [id, replica] : test.bed.directory.all()) {
        if (replica->entry.zone != "north")
            continue;
        replica->health.connectFailed(test.bed.clock.now() - Millis(100));
        replica->health.connectFailed(test.bed.clock.now());
    }
    test.bed.reach.update(test.bed.directory, test.bed.clock.now());
    test.startDividedSearch(1);
    CHECK(test.groups.sent.empty());
    CHECK(test.bed.transport.calls.empty());
    CHECK(test.bed.onlyAnswer(1).answer.status == 503);
    CHECK(test.bed.onlyAnswer(1).answer.retryAfter > Millis::zero());
}

TEST_CASE("an instance counts as cut off from a route by the replicas of the home regions")
{
    GatherTestBed test;
    setHomes(test, { "west" });
    Reachability reachability(&test.bed.regions);
    Reachability withoutRegions;
    test.bed.clock.advance(std::chrono::seconds(2));
    for (const auto& [id, replica] : test.bed.directory.all()) {
        if (replica->entry.zone != "south")
            continue;
        replica->health.connectFailed(test.bed.clock.now() - Millis(100));
        replica->health.connectFailed(test.bed.clock.now());
    }
    test.bed.reach.update(test.bed.directory, test.bed.clock.now());
    reachability.update(*test.bed.dispatcher->table(), test.bed.directory, test.bed.reach, test.bed.clock.now());
    withoutRegions.update(*test.bed.dispatcher->table(), test.bed.directory, test.bed.reach, test.bed.clock.now());
    CHECK(reachability.isCutOff());
    CHECK_FALSE(withoutRegions.isCutOff());
}

TEST_CASE("routes that share shards keep their own division, and share connections with those who call directly")
{
    const ZoneRegions regions(threeRegions());
    const auto planFor = [&regions](std::vector<std::string> homes) {
        RoutingDocument document;
        document.version = 1;
        RouteSpec free = HomeTestBed::route("free", {});
        free.shares.clear();
        for (size_t i = 0; i < kShards; ++i)
            free.shards.push_back("s" + std::to_string(i));
        free.latencyTarget = Millis(80);
        RouteSpec bound = free;
        bound.name = "bound";
        bound.prefix = "/bound/";
        bound.homeRegions = std::move(homes);
        document.routes = { free, bound };
        GatherPlan plan({ "n0", 0.1, &regions });
        std::vector<InstanceInfo> zone = zoneOfEight();
        for (InstanceInfo& instance : zone)
            instance.features = kOwnFeatures;
        plan.setInstances(zone);
        plan.setFleetSize(48);
        const RouteTable table(document);
        plan.setTable(table);
        const TimePoint now(std::chrono::hours(1));
        const AllowedZones boundZones(&regions, table.routes()[1].homeRegions);
        return std::tuple(plan.divide(table.routes()[0], now).size(), plan.divide(table.routes()[1], now, kHomeRegions, boundZones).size(), plan.connectionSharerCount("s0"));
    };
    const auto [freeGroups, boundGroups, sharers] = planFor({});
    CHECK(freeGroups > 0);
    CHECK(boundGroups == freeGroups);
    const auto [freeBesideEast, eastGroups, eastSharers] = planFor({ "east" });
    CHECK(freeBesideEast == freeGroups);
    CHECK(eastGroups == freeGroups);
    CHECK(eastSharers == sharers + 4 * 8);
    const auto [freeBesideWest, westGroups, westSharers] = planFor({ "west" });
    CHECK(freeBesideWest == freeGroups);
    CHECK(westGroups == 0);
    CHECK(westSharers == sharers + 4 * 8);
}
