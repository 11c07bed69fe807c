/// Instances of an earlier build beside those of this one, while the instances of a deployment are replaced.

#include "../src/gateway/peer_messages.h"
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

/// Passes the list of a reader of this build on to a follower.
std::vector<InstanceInfo> sentList(const InstanceDirectory& reader, const InstanceInfo& follower)
{
    ChangesReply reply;
    reply.sender = "reader";
    reply.instances = reader.selectionFor(follower, kNow);
    return *decodeReply(encode(reply))->instances;
}

/// The list as the earlier build reads and sends it: the first four places of an entry.
std::vector<InstanceInfo> throughEarlierReader(std::vector<InstanceInfo> instances)
{
    for (InstanceInfo& instance : instances)
        instance.features = 0;
    return instances;
}

uint32_t featuresOf(const std::vector<InstanceInfo>& instances, const std::string& name)
{
    const auto found = std::find_if(instances.begin(), instances.end(), [&name](const InstanceInfo& instance) { return instance.name == name; });
    REQUIRE(found != instances.end());
    return found->features;
}

} // namespace

TEST_CASE("features travel from an instance over a reader to the followers of its own and of other zones")
{
    const InstanceInfo announced { "n1", "north", "10.0.0.1", 9000, kOwnFeatures };
    ChangesRequest request;
    request.follower = announced;
    const std::optional<ChangesRequest> received = decodeTarget(encodeTarget(request));
    REQUIRE(received);
    CHECK(received->follower == announced);
    InstanceDirectory reader;
    reader.recordInstance(received->follower, kNow);
    reader.recordInstance({ "n2", "north", "10.0.0.2", 9000 }, kNow);
    for (const char* zone : { "north", "south" }) {
        const InstanceInfo follower { "f", zone, "10.0.0.3", 9000, kOwnFeatures };
        InstanceDirectory directory;
        directory.recordReport("reader", sentList(reader, follower), kNow);
        CHECK(featuresOf(directory.all(kNow), "n1") == kOwnFeatures);
        CHECK(featuresOf(directory.all(kNow), "n2") == 0);
    }
}

TEST_CASE("features that a reader of the earlier build drops count as missing, whatever other readers report")
{
    InstanceDirectory reader;
    reader.recordInstance({ "n1", "north", "10.0.0.1", 9000, kOwnFeatures }, kNow);
    const std::vector<InstanceInfo> list = sentList(reader, { "f", "north", "10.0.0.3", 9000 });
    InstanceDirectory directory;
    directory.recordReport("earlier", throughEarlierReader(list), kNow);
    CHECK(featuresOf(directory.all(kNow), "n1") == 0);
    directory.recordReport("reader", list, kNow);
    CHECK(featuresOf(directory.all(kNow), "n1") == 0);
    directory.recordReport("earlier", list, kNow);
    CHECK(featuresOf(directory.all(kNow), "n1") == kOwnFeatures);
}

TEST_CASE("the digest of a list changes with the features, so that followers learn of a replaced instance")
{
    const InstanceInfo before { "n1", "north", "10.0.0.1", 9000 };
    InstanceInfo after = before;
    after.features = kOwnFeatures;
    CHECK(digestOf({ before }) != digestOf({ after }));
}

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
