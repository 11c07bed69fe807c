/// Division of searches among instances: who gathers what, and who is passed over.

#include "../src/request/gather_plan.h"
#include "support/routing_bed.h"

#include <catch2/catch.hpp>
#include <set>

using namespace limpettrestle;

namespace {

const TimePoint kNow = TimePoint(std::chrono::hours(1));
constexpr double kSlowCore = 0.12;

std::vector<InstanceInfo> zoneOf(size_t count)
{
    std::vector<InstanceInfo> instances;
    for (size_t i = 0; i < count; ++i)
        instances.push_back({ "n" + std::to_string(100 + i), "north", "10.0.0.1", static_cast<int>(i) + 1 });
    return instances;
}

RouteTable tableOf(size_t shards)
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

/// Plan of one instance of a zone.
GatherPlan planOf(const std::string& self, size_t instances, const RouteTable& table, double share = kSlowCore)
{
    GatherPlan plan({ self, share });
    plan.setFleetSize(static_cast<uint32_t>(instances) * 3);
    plan.setInstances(zoneOf(instances));
    plan.setTable(table);
    return plan;
}

} // namespace

TEST_CASE("a search is divided where its calls would take much of the objective, and only there")
{
    struct Case {
        const char* what;
        size_t shards;
        size_t instances;
        double share;
        bool isDivided;
    };
    for (const Case& entry : { Case { "many shards, slow core", 90, 20, 0.12, true }, Case { "many shards, quick core", 90, 20, 1.0, false },
             Case { "few shards", 20, 20, 0.25, false }, Case { "few instances", 90, 3, 0.12, false } }) {
        INFO(entry.what);
        const RouteTable table = tableOf(entry.shards);
        GatherPlan plan = planOf("n100", entry.instances, table, entry.share);
        CHECK(plan.divide(table.routes()[0], kNow).empty() != entry.isDivided);
        CHECK((plan.sharersOf("s0") != 0) == entry.isDivided);
    }
}

TEST_CASE("groups cover each shard once, at other instances, and are the same for every sender")
{
    const RouteTable table = tableOf(90);
    GatherPlan plan = planOf("n100", 20, table);
    const std::vector<GatherGroup> groups = plan.divide(table.routes()[0], kNow);
    size_t next = 0;
    for (const GatherGroup& group : groups) {
        CHECK(group.first == next);
        CHECK(group.aggregator.name != "n100");
        next += group.count;
    }
    CHECK(next == 90);
    // The instances that gather a shard for anybody are few, so that its replicas keep few connections.
    std::set<std::string> aggregators;
    for (size_t i = 0; i < 20; ++i) {
        const std::string name = "n" + std::to_string(100 + i);
        GatherPlan other = planOf(name, 20, table);
        const std::vector<GatherGroup> otherGroups = other.divide(table.routes()[0], kNow);
        REQUIRE(otherGroups.size() == groups.size());
        CHECK(otherGroups[0].count == groups[0].count);
        aggregators.insert(otherGroups[0].aggregator.name);
        if (other.callsDirectly("s0"))
            aggregators.insert(name);
    }
    CHECK(aggregators.size() <= 3);
    CHECK(plan.sharersOf("s0") < 60);
}

TEST_CASE("an instance that failed gets no groups for a while, a busy one fewer")
{
    const RouteTable table = tableOf(90);
    GatherPlan plan = planOf("n100", 20, table);
    const std::string first = plan.divide(table.routes()[0], kNow)[0].aggregator.name;
    plan.failed(first, kNow);
    const std::string second = plan.divide(table.routes()[0], kNow)[0].aggregator.name;
    CHECK(second != first);
    plan.started(second);
    plan.failed(second, kNow);
    CHECK(plan.divide(table.routes()[0], kNow + Millis(1600))[0].aggregator.name == first);
    plan.started(first);
    plan.started(first);
    CHECK(plan.divide(table.routes()[0], kNow + Millis(1600))[0].aggregator.name != first);
    plan.answered(first, Millis(5));
    plan.answered(first, Millis(5));
    CHECK(plan.divide(table.routes()[0], kNow + Millis(1600))[0].aggregator.name == first);
}

TEST_CASE("shards whose instances all failed are called directly")
{
    const RouteTable table = tableOf(90);
    GatherPlan plan = planOf("n100", 20, table);
    for (const InstanceInfo& instance : zoneOf(20))
        plan.failed(instance.name, kNow);
    CHECK(plan.divide(table.routes()[0], kNow).empty());
}

TEST_CASE("instances are known from those who ask and from what readers tell, for a while")
{
    InstanceDirectory directory;
    const std::vector<InstanceInfo> zone = zoneOf(3);
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
