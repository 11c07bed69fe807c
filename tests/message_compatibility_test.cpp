/// Messages between instances of this build and of the one before it, which run side by side while instances are replaced.
/// The messages of the earlier build are spelled out as that build sends them.

#include "../src/gateway/crash_messages.h"
#include "../src/gateway/gather_messages.h"
#include "../src/gateway/message_pack.h"
#include "../src/gateway/peer_messages.h"
#include "../src/gateway/relay_messages.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

namespace {

json earlierGroupRequest()
{
    return json::array({ binary("id"), binary("GET"), binary("/q"), binary("host"), binary("GET /q HTTP/1.1\r\n"), "all", json::array({ "s0", "s1" }), 30000, 90, 2, 5 });
}

json earlierGroupReply()
{
    return json::array({ json::array({ binary("sig") }), json::array({ json::array({ "s1", 712, 1 }) }), binary("0123456789abcdef"), 3, 1, json::array({ json::array({ "i-1", 7 }) }),
        json::array({ json::array({ "i-2", 8, 12.5 }) }) });
}

json earlierRelayRequest()
{
    return json::array({ binary("id"), binary("POST"), binary("/card/1"), binary("host"), json::array({ json::array({ binary("Accept"), binary("*/*") }) }), binary("body"), 900, 1200, 41 });
}

json earlierRelayReply()
{
    return json::array({ 0, 200, -1, true, json::array({ json::array({ binary("X-A"), binary("b") }) }), binary("card"), false, json::array(), json::array(), 41, 1, 0 });
}

/// Entry of an instance in a list as the earlier build sends and reads it.
json earlierInstance()
{
    return json::array({ "n2", "north", "10.0.0.7", 9000 });
}

constexpr std::string_view kEarlierChangesTarget = "/changes?run=7&after=12&hold=900&age=2400&config=41&era=6&instances=77&name=n2&zone=north&address=10.0.0.7:9000";
constexpr std::string_view kEarlierChangesReply = R"({"run":7,"number":12,"whole":false,"replicas":true,"era":3,"age_ms":321,"sender":"n1","following":4,"fleet":12,)"
                                                  R"("instances_digest":9,"written":[["i-1","s0","10.0.0.1",80,"north",2,0,0,5,6]],"removed":["gone"]})";

} // namespace

TEST_CASE("messages of the earlier build are understood, and have no fingerprint and no quarantines")
{
    const std::optional<GroupRequest> group = decodeGroupRequest(toMessagePack(earlierGroupRequest()));
    REQUIRE(group);
    CHECK(group->shards == std::vector<std::string> { "s0", "s1" });
    CHECK_FALSE(group->forwarded.fingerprint.isValid());
    const std::optional<GroupReply> groupReply = decodeGroupReply(toMessagePack(earlierGroupReply()));
    REQUIRE(groupReply);
    CHECK(groupReply->missing.at(0).reason == ResultCode::AttemptTimeout);
    CHECK(groupReply->leavingReplicas.size() == 1);
    CHECK(groupReply->rateLimits.at(0).perSecond == 12.5);
    const std::optional<RelayRequest> relay = decodeRelayRequest(toMessagePack(earlierRelayRequest()));
    REQUIRE(relay);
    CHECK(relay->forwarded.body == "body");
    const std::optional<RelayReply> relayReply = decodeRelayReply(toMessagePack(earlierRelayReply()));
    REQUIRE(relayReply);
    CHECK(relayReply->answer.body == "card");
    const std::optional<ChangesRequest> changes = decodeTarget(std::string(kEarlierChangesTarget));
    REQUIRE(changes);
    CHECK(changes->follower.name == "n2");
    CHECK_FALSE(changes->quarantineDigest);
    const std::optional<ChangesReply> reply = decodeReply(std::string(kEarlierChangesReply));
    REQUIRE(reply);
    CHECK(reply->written.size() == 1);
    CHECK(reply->quarantines.empty());
}

TEST_CASE("messages of this build begin with all that the earlier build reads, at the same places")
{
    GroupRequest group = *decodeGroupRequest(toMessagePack(earlierGroupRequest()));
    group.forwarded.fingerprint = { 99 };
    const json sentGroup = json::from_msgpack(encode(group));
    REQUIRE(sentGroup.size() == earlierGroupRequest().size() + 1);
    for (size_t i = 0; i < earlierGroupRequest().size(); ++i)
        CHECK(sentGroup.at(i) == earlierGroupRequest().at(i));
    CHECK(decodeGroupRequest(encode(group))->forwarded.fingerprint == RequestFingerprint { 99 });
    CHECK(json::from_msgpack(encode(*decodeGroupReply(toMessagePack(earlierGroupReply())))) == earlierGroupReply());
    CHECK(json::from_msgpack(encode(*decodeRelayRequest(toMessagePack(earlierRelayRequest())))) == earlierRelayRequest());
    CHECK(json::from_msgpack(encode(*decodeRelayReply(toMessagePack(earlierRelayReply())))) == earlierRelayReply());

    ChangesReply reply = *decodeReply(std::string(kEarlierChangesReply));
    CHECK(json::parse(encode(reply)) == json::parse(kEarlierChangesReply));
    reply.quarantines = { { { 5 }, Micros(1500), 2 } };
    json sentReply = json::parse(encode(reply));
    sentReply.erase("quarantines");
    CHECK(sentReply == json::parse(kEarlierChangesReply));
    const std::optional<ChangesReply> back = decodeReply(encode(reply));
    REQUIRE(back);
    REQUIRE(back->quarantines.size() == 1);
    CHECK(back->quarantines[0].request == RequestFingerprint { 5 });
    CHECK(back->quarantines[0].age == Micros(1500));
    CHECK(back->quarantines[0].term == 2);

    ChangesRequest changes = *decodeTarget(std::string(kEarlierChangesTarget));
    CHECK(encodeTarget(changes) == kEarlierChangesTarget);
    changes.quarantineDigest = 5;
    CHECK(decodeTarget(encodeTarget(changes))->quarantineDigest == 5);
}

TEST_CASE("the home regions of a group and the features of an instance are optional, and come after all that the earlier build reads")
{
    GroupRequest group = *decodeGroupRequest(toMessagePack(earlierGroupRequest()));
    CHECK(group.homeRegions.empty());
    group.homeRegions = { "east", "west" };
    group.forwarded.fingerprint = { 99 };
    const json sentGroup = json::from_msgpack(encode(group));
    REQUIRE(sentGroup.size() == earlierGroupRequest().size() + 2);
    for (size_t i = 0; i < earlierGroupRequest().size(); ++i)
        CHECK(sentGroup.at(i) == earlierGroupRequest().at(i));
    CHECK(sentGroup.at(11) == 99);
    CHECK(sentGroup.at(12) == json::array({ "east", "west" }));
    CHECK(decodeGroupRequest(encode(group))->homeRegions == group.homeRegions);
    json badGroup = sentGroup;
    badGroup.at(12) = 5;
    CHECK_FALSE(decodeGroupRequest(toMessagePack(badGroup)));

    json sent = json::parse(kEarlierChangesReply);
    sent["instances"] = json::array({ earlierInstance() });
    std::optional<ChangesReply> reply = decodeReply(sent.dump());
    REQUIRE(reply);
    REQUIRE(reply->instances->size() == 1);
    CHECK(reply->instances->front() == InstanceInfo { "n2", "north", "10.0.0.7", 9000, 0 });
    reply->instances->front().features = 3;
    json entry = json::parse(encode(*reply)).at("instances").at(0);
    CHECK(entry.at(4) == 3);
    entry.erase(4);
    CHECK(entry == earlierInstance());
    CHECK(decodeReply(encode(*reply))->instances->front().features == 3);

    ChangesRequest changes = *decodeTarget(std::string(kEarlierChangesTarget));
    CHECK(changes.follower.features == 0);
    changes.follower.features = 3;
    CHECK(encodeTarget(changes) == std::string(kEarlierChangesTarget) + "&features=3");
    CHECK(decodeTarget(encodeTarget(changes))->follower.features == 3);
    CHECK_FALSE(decodeTarget(std::string(kEarlierChangesTarget) + "&features=x"));
}

TEST_CASE("home regions of a route travel with the configuration, which an earlier build sends without them")
{
    ChangesReply reply = *decodeReply(std::string(kEarlierChangesReply));
    RouteSpec route;
    route.name = "card";
    route.host = "test.example";
    route.prefix = "/card/";
    route.shares.push_back({ "card", 1 });
    route.homeRegions = { "west" };
    reply.config = RoutingDocument { 41, { route }, { { "card", 63 } }, {} };
    json sent = json::parse(encode(reply));
    CHECK(decodeReply(sent.dump())->config->routes.at(0).homeRegions == std::vector<std::string> { "west" });
    // The earlier build reads these fields of a route and of a service, by name and by place.
    for (const char* field : { "name", "host", "prefix", "once", "timeout", "target", "priority", "attempts", "shares", "shards", "top", "coverage" })
        CHECK(sent["config"]["routes"][0].contains(field));
    CHECK(sent["config"]["services"][0].at(0) == "card");
    CHECK(sent["config"]["services"][0].at(1) == 63);
    sent["config"]["routes"][0].erase("homes");
    sent["config"]["services"][0] = json::array({ "card", 63 });
    const std::optional<ChangesReply> earlier = decodeReply(sent.dump());
    REQUIRE(earlier);
    CHECK(earlier->config->routes.at(0).homeRegions.empty());
    CHECK(earlier->config->services.at(0).maxConnections == 63);
}

TEST_CASE("messages of a later build with more fields are understood")
{
    json group = earlierGroupRequest();
    group.push_back(99);
    group.push_back(json::array({ "east" }));
    group.push_back(1);
    group.push_back("later");
    CHECK(decodeGroupRequest(toMessagePack(group)));
    group.at(13) = "later";
    CHECK_FALSE(decodeGroupRequest(toMessagePack(group)));
    json relay = earlierRelayRequest();
    relay.push_back("later");
    CHECK(decodeRelayRequest(toMessagePack(relay)));
    CHECK(decodeTarget(std::string(kEarlierChangesTarget) + "&later=1"));
    json reply = json::parse(kEarlierChangesReply);
    reply["later"] = json::array({ 1 });
    CHECK(decodeReply(reply.dump()));
}

TEST_CASE("crash notices survive encoding and decoding, and malformed or too long ones are refused")
{
    const TimePoint now = TimePoint(std::chrono::hours(5));
    CrashNotice notice { "n1", "north", { { { "i-1", 7 }, { UINT64_MAX }, now - Millis(40), now - Millis(10) } }, { { 3 } } };
    const TimePoint later = now + std::chrono::hours(1);
    const std::optional<CrashNotice> decoded = decodeCrashNotice(encode(notice, now), later);
    REQUIRE(decoded);
    CHECK(decoded->zone == "north");
    REQUIRE(decoded->reports.size() == 1);
    CHECK(decoded->reports[0].replica == ReplicaRun { "i-1", 7 });
    CHECK(decoded->reports[0].request.value == UINT64_MAX);
    CHECK(later - decoded->reports[0].sentAt == Millis(40));
    CHECK(later - decoded->reports[0].endedAt == Millis(10));
    CHECK(decoded->cleared == std::vector<RequestFingerprint> { { 3 } });
    for (const char* text : { "", "{", "[]", "{}", R"({"sender":"n","zone":"z","crashes":[[1]],"cleared":[]})", R"({"sender":"n","zone":"z","crashes":[],"cleared":["x"]})" })
        CHECK_FALSE(decodeCrashNotice(text, now));
    notice.reports.resize(kMaxNoticeEntries + 1, notice.reports[0]);
    CHECK_FALSE(decodeCrashNotice(encode(notice, now), now));
}

TEST_CASE("calls that replicas refused are reported with a missing part, and assumed if the earlier build reports none")
{
    const std::vector<MissingPart> missing { { "s0", ResultCode::ServerShed, 0, 2 }, { "s1", ResultCode::AttemptTimeout, 1, 1 }, { "s2", ResultCode::NoReplicaReachable, 0, 0 } };
    const std::vector<MissingPart> decoded = decodeMissing(encodeMissing(missing));
    REQUIRE(decoded.size() == missing.size());
    for (size_t i = 0; i < missing.size(); ++i)
        CHECK(decoded[i].sentCalls == missing[i].sentCalls);
    const std::vector<MissingPart> earlier = decodeMissing(json::array({ json::array({ "s0", static_cast<int>(ResultCode::ServerShed), 0 }), json::array({ "s1", static_cast<int>(ResultCode::AttemptTimeout), 2 }) }));
    CHECK(earlier.at(0).sentCalls == 1);
    CHECK(earlier.at(1).sentCalls == 2);
}
