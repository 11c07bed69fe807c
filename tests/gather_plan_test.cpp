/// Tests of the division of searches among instances and of the selection of aggregators.

#include "../src/request/gather_plan.h"
#include "support/routing_bed.h"

#include <catch2/catch.hpp>
#include <set>

using namespace limpettrestle;

namespace {

const TimePoint kNow = TimePoint(std::chrono::hours(1));
constexpr double kSlowProcessorShare = 0.12;

std::vector<InstanceInfo> makeZone(size_t count)
{
    std::vector<InstanceInfo> instances;
    for (size_t i = 0; i < count; ++i)
        instances.push_back({ "n" + std::to_string(100 + i), "north", "10.0.0.1", static_cast<int>(i) + 1 });
    return instances;
}

RouteTable makeTable(size_t shards)
{
    RoutingDocument document;
    document.version = 1;
    RouteSpec route;
    route.name = "all";
    route.latencyTarget = Millis(80);
    for (size_t i = 0; i < shards; ++i) {
        route.shards.push_back("s" + std::to_string(i));
        document.services.push_back({ route.shards.back(), 52 });
    }
    document.routes.push_back(route);
    return RouteTable(document);
}

/// Creates the plan of one instance of a zone.
GatherPlan makePlan(const std::string& self, size_t instances, const RouteTable& table, double share = kSlowProcessorShare)
{
    GatherPlan plan({ self, share });
    plan.setFleetSize(static_cast<uint32_t>(instances) * 3);
    plan.setInstances(makeZone(instances));
    plan.setTable(table);
    return plan;
}

} // namespace

TEST_CASE("a search is divided only if its calls would take a large part of the latency target")
{
    struct Case {
        const char* description;
        size_t shards;
        size_t instances;
        double share;
        bool isDivided;
    };
    for (const Case& entry : { Case { "many shards, slow processor", 90, 20, 0.12, true }, Case { "many shards, fast processor", 90, 20, 1.0, false },
             Case { "few shards", 20, 20, 0.25, false }, Case { "few instances", 90, 3, 0.12, false } }) {
        INFO(entry.description);
        const RouteTable table = makeTable(entry.shards);
        GatherPlan plan = makePlan("n100", entry.instances, table, entry.share);
        CHECK(plan.divide(table.routes()[0], kNow).empty() != entry.isDivided);
        CHECK((plan.connectionSharerCount("s0") != 0) == entry.isDivided);
    }
}

TEST_CASE("groups cover each shard once, are sent to other instances, and are the same for every sender")
{
    const RouteTable table = makeTable(90);
    GatherPlan plan = makePlan("n100", 20, table);
    const std::vector<GatherGroup> groups = plan.divide(table.routes()[0], kNow);
    size_t nextShard = 0;
    for (const GatherGroup& group : groups) {
        CHECK(group.firstShard == nextShard);
        CHECK(group.aggregator.name != "n100");
        nextShard += group.shardCount;
    }
    CHECK(nextShard == 90);
    // Few instances gather a given shard, so that its replicas need few connections.
    std::set<std::string> aggregators;
    for (size_t i = 0; i < 20; ++i) {
        const std::string name = "n" + std::to_string(100 + i);
        GatherPlan otherPlan = makePlan(name, 20, table);
        const std::vector<GatherGroup> otherGroups = otherPlan.divide(table.routes()[0], kNow);
        REQUIRE(otherGroups.size() == groups.size());
        CHECK(otherGroups[0].shardCount == groups[0].shardCount);
        aggregators.insert(otherGroups[0].aggregator.name);
        if (otherPlan.callsDirectly("s0"))
            aggregators.insert(name);
    }
    CHECK(aggregators.size() <= 3);
    CHECK(plan.connectionSharerCount("s0") < 60);
}

TEST_CASE("a failed aggregator gets no groups for a while, and a busy one gets fewer")
{
    const RouteTable table = makeTable(90);
    GatherPlan plan = makePlan("n100", 20, table);
    const std::string first = plan.divide(table.routes()[0], kNow)[0].aggregator.name;
    plan.groupFailed(first, kNow);
    const std::string second = plan.divide(table.routes()[0], kNow)[0].aggregator.name;
    CHECK(second != first);
    plan.groupStarted(second);
    plan.groupFailed(second, kNow);
    CHECK(plan.divide(table.routes()[0], kNow + Millis(1600))[0].aggregator.name == first);
    plan.groupStarted(first);
    plan.groupStarted(first);
    CHECK(plan.divide(table.routes()[0], kNow + Millis(1600))[0].aggregator.name != first);
    plan.groupAnswered(first, Millis(5));
    plan.groupAnswered(first, Millis(5));
    CHECK(plan.divide(table.routes()[0], kNow + Millis(1600))[0].aggregator.name == first);
}

TEST_CASE("shards whose aggregator candidates have all failed are called directly")
{
    const RouteTable table = makeTable(90);
    GatherPlan plan = makePlan("n100", 20, table);
    for (const InstanceInfo& instance : makeZone(20))
        plan.groupFailed(instance.name, kNow);
    CHECK(plan.divide(table.routes()[0], kNow).empty());
}

TEST_CASE("instances are known for a while from their own requests and from the reports of readers")
{
    InstanceDirectory directory;
    const std::vector<InstanceInfo> zone = makeZone(3);
    directory.recordInstance(zone[0], kNow);
    directory.recordReport("reader", { zone[1], zone[2], { "far", "south", "10.0.0.2", 1 } }, kNow);
    CHECK(directory.inZone("north", kNow) == zone);
    CHECK(directory.followers(kNow) == std::vector<InstanceInfo> { zone[0] });
    CHECK(directory.inZone("north", kNow + Millis(2500)) == std::vector<InstanceInfo> { zone[1], zone[2] });
    directory.renewReport("reader", kNow + Millis(25000));
    CHECK(directory.inZone("north", kNow + Millis(50000)).size() == 2);
    CHECK(directory.inZone("north", kNow + Millis(60000)).empty());
    CHECK(digestOf(zone) != digestOf({ zone[0] }));
    CHECK(digestOf({}) != 0);
}

// An instance derived its plan and its reachability from each of 1,400 routes, though nearly all had the same shards.
TEST_CASE("routes with the same targets form one group")
{
    RoutingDocument document = makeTable(87).document();
    document.routes.front().homeRegions = { "east" };
    document.routes.resize(700, document.routes.front());
    RouteSpec single;
    single.shares = { { "card", 1 } };
    document.routes.push_back(single);
    single.shares = { { "mail", 1 } };
    document.routes.push_back(single);
    CHECK(RouteTable(document).groups().size() == 3);
    document.routes[2].latencyTarget = Millis(20);
    document.routes[4].homeRegions = {};
    document.routes[6].shards.pop_back();
    document.routes[8].timeout = Millis(20);
    const RouteTable table(document);
    CHECK(table.groups().size() == 6);
    size_t routes = 0;
    for (const std::vector<const RouteSpec*>& group : table.groups())
        routes += group.size();
    CHECK(routes == document.routes.size());
    CHECK(table.groups().front().front() == &table.routes().front());
}
