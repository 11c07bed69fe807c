/// Configurations of many routes: the forms in which instances send them to each other.

#include "../src/gateway/config_messages.h"
#include "../src/gateway/peer_messages.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace limpettrestle;

namespace {

using nlohmann::json;

constexpr size_t kSearches = 700;
constexpr size_t kShards = 87;

/// Searches over the same shards and routes to one of two services, under different prefixes.
RoutingDocument manyRoutes()
{
    RoutingDocument document;
    document.version = 41;
    document.services = { { "card", 52, Millis(900), 2.5 } };
    for (size_t i = 0; i < 2 * kSearches; ++i) {
        RouteSpec& route = document.routes.emplace_back();
        route.name = "r" + std::to_string(i);
        route.host = "app.example";
        route.prefix = "/" + route.name + "/";
        if (i % 2 != 0) {
            route.shares = { { i % 4 == 1 ? "card" : "mail", 1 } };
            continue;
        }
        route.repeat = RepeatPolicy::Idempotent;
        route.topRecords = 20;
        route.minCoverage = 0.9;
        route.homeRegions = { "east" };
        for (size_t shard = 0; shard < kShards; ++shard)
            route.shards.push_back("shard" + std::to_string(shard));
    }
    return document;
}

RoutingDocument decoded(const std::string& text)
{
    return decodeConfig(json::parse(text));
}

} // namespace

TEST_CASE("both forms of the configuration carry every field")
{
    RoutingDocument document = manyRoutes();
    document.routes[1].maxAttempts = 3;
    document.routes[2].timeout = Millis(77);
    document.routes[3].shares = { { "card", 1 }, { "mail", 9 } };
    document.routes[4].priority = 2;
    const json expected = json::parse(encodeConfig(document, ConfigForm::Plain));
    for (const ConfigForm form : { ConfigForm::Plain, ConfigForm::Shared }) {
        const RoutingDocument back = decoded(encodeConfig(document, form));
        CHECK(json::parse(encodeConfig(back, ConfigForm::Plain)) == expected);
        CHECK(back.routes[3].shares == document.routes[3].shares);
        CHECK(back.routes[4].homeRegions == document.routes[4].homeRegions);
    }
}

// Replies with a large configuration filled the link of a reader for seconds.
TEST_CASE("the list of shards that many routes share is sent once")
{
    const RoutingDocument document = manyRoutes();
    const std::string text = encodeConfig(document, ConfigForm::Shared);
    CHECK(text.find("\"shard86\"") == text.rfind("\"shard86\""));
    CHECK(json::parse(text).at("route_fields").size() == 3);
    CHECK(json::parse(text).at("routes").size() == document.routes.size());
}

TEST_CASE("only an instance that announces it receives routes with shared fields")
{
    InstanceInfo instance { "n1", "north", "10.0.0.1", 9000 };
    CHECK(configFormFor(instance) == ConfigForm::Plain);
    instance.features = static_cast<uint32_t>(InstanceFeature::SharedFacts) | static_cast<uint32_t>(InstanceFeature::HomeRegions);
    CHECK(configFormFor(instance) == ConfigForm::Plain);
    instance.features = kOwnFeatures;
    CHECK(configFormFor(instance) == ConfigForm::Shared);
}

TEST_CASE("a reply with an encoded configuration is the same message as one with a configuration")
{
    ChangesReply reply;
    reply.sender = "n1";
    const std::string text = encodeConfig(manyRoutes(), ConfigForm::Plain);
    const std::string sent = encode(reply, text);
    CHECK_FALSE(json::parse(encode(reply)).contains("config"));
    reply.config = manyRoutes();
    CHECK(json::parse(sent) == json::parse(encode(reply)));
    CHECK(decodeReply(sent)->config->routes.size() == 2 * kSearches);
}

TEST_CASE("a reply whose routes refer to fields that are missing is rejected")
{
    ChangesReply reply;
    const json valid = json::parse(encodeConfig(manyRoutes(), ConfigForm::Shared));
    REQUIRE(decodeReply(encode(reply, valid.dump())));
    for (const json& bad : { json(3), json(-1), json("0"), json(nullptr), json(1e300) }) {
        json config = valid;
        config["routes"][5][3] = bad;
        INFO(bad.dump());
        CHECK_FALSE(decodeReply(encode(reply, config.dump())));
    }
    json config = valid;
    config["route_fields"] = 5;
    CHECK_FALSE(decodeReply(encode(reply, config.dump())));
}
