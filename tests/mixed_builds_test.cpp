/// Instances of an earlier build beside those of this one, while the instances of a deployment are replaced.

#include "../src/request/gather_plan.h"
#include "../src/request/relay_choice.h"
#include "support/gather_bed.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

namespace {

constexpr uint32_t kHomeRegions = static_cast<uint32_t>(InstanceFeature::HomeRegions);
constexpr TimePoint kNow = TimePoint(std::chrono::hours(1));

/// Zone of eight in which only the instance at `newIndex` is of this build.
std::vector<InstanceInfo> zoneWithOneNew(size_t newIndex)
{
    std::vector<InstanceInfo> zone = zoneOfEight();
    zone.at(newIndex).features = kOwnFeatures;
    return zone;
}

} // namespace

TEST_CASE("an aggregator without the required features gets no group")
{
    GatherTestBed test;
    const RouteSpec& route = test.bed.dispatcher->table()->routes()[0];
    const size_t allGroups = test.plan.divide(route, kNow).size();
    REQUIRE(allGroups > 0);
    CHECK(test.plan.divide(route, kNow, kHomeRegions).empty());
    for (size_t newIndex = 1; newIndex < zoneOfEight().size(); ++newIndex) {
        test.plan.setInstances(zoneWithOneNew(newIndex));
        for (const GatherGroup& group : test.plan.divide(route, kNow, kHomeRegions))
            CHECK(group.aggregator.name == "n" + std::to_string(newIndex));
        CHECK(test.plan.divide(route, kNow).size() == allGroups);
    }
}

TEST_CASE("a request that requires features is relayed only to instances that have them")
{
    RelayChoice choice("n0", "north", 1);
    choice.setInstances(zoneOfEight());
    CHECK(choice.choose({}, kNow) != nullptr);
    CHECK(choice.choose({}, kNow, kHomeRegions) == nullptr);
    choice.setInstances(zoneWithOneNew(3));
    REQUIRE(choice.choose({}, kNow, kHomeRegions) != nullptr);
    CHECK(choice.choose({}, kNow, kHomeRegions)->name == "n3");
    CHECK(choice.choose({}, kNow, kHomeRegions | 1U << 31) == nullptr);
}
