/// Numbers in messages between instances that their fields cannot hold. The library converts them without a check, with a
/// result that depends on the processor.

#include "../src/gateway/crash_messages.h"
#include "../src/gateway/gather_messages.h"
#include "../src/gateway/message_pack.h"
#include "../src/gateway/peer_messages.h"
#include "../src/gateway/relay_messages.h"
#include "../src/net/http_message.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <limits>
#include <set>

using namespace limpettrestle;

namespace {

const TimePoint kNow { std::chrono::hours(1000) };

/// Decodes a message and encodes it again; null if it is refused.
using Transcoder = json (*)(const json& message);

struct MessageCase {
    std::string what;
    json message;
    Transcoder transcode;
};

/// Transcodes a MessagePack message with its decoder.
template <auto decode>
json transcodePacked(const json& message)
{
    const auto decoded = decode(toMessagePack(message));
    return decoded ? json::from_msgpack(encode(*decoded)) : json();
}

json transcodeChanges(const json& message)
{
    const std::optional<ChangesReply> reply = decodeReply(message.dump());
    // Entries and configurations that cannot be used are left out, and the rest of the message counts.
    if (!reply || reply->written.empty() || !reply->config)
        return {};
    return json::parse(encode(*reply));
}

json transcodeCrashes(const json& message)
{
    const std::optional<CrashNotice> notice = decodeCrashNotice(message.dump(), kNow);
    return notice ? json::parse(encode(*notice, kNow)) : json();
}

ChangesReply changesReply()
{
    ChangesReply reply;
    reply.upTo = { 7, 12 };
    reply.era = 3;
    reply.age = Millis(321);
    reply.sender = "n1";
    reply.following = 4;
    reply.fleet = 12;
    reply.instancesDigest = 9;
    reply.factsDigest = 8;
    reply.written = { { "i-1", "s0", "10.0.0.1", 80, "north", 2, ReplicaState::Draining, Millis(5), 6, 7 } };
    reply.instances = { { "n2", "north", "10.0.0.7", 9000, 3 } };
    reply.quarantines = { { { 5 }, Micros(1500), 2 } };
    reply.facts = { { FactKind::ZoneEvacuated, "north", true, { 1, 2 }, "n1", Millis(3), Millis(4) } };
    RoutingDocument& document = reply.config.emplace();
    document.version = 41;
    document.services = { { "card", 52, Millis(900), 2.5 } };
    RouteSpec& card = document.routes.emplace_back();
    card.name = "card";
    card.host = "app.example";
    card.prefix = "/card/";
    card.timeout = Millis(900);
    card.latencyTarget = Millis(90);
    card.priority = 2;
    card.maxAttempts = 3;
    card.shares = { { "card", 1 }, { "mail", 9 } };
    return reply;
}

std::vector<MessageCase> messageCases()
{
    const json groupRequest = json::array({ binary("id"), binary("GET"), binary("/q"), binary("host"), binary("GET /q HTTP/1.1\r\n"), "all", json::array({ "s0", "s1" }), 30000, 90, 2, 5, 99,
        json::array({ "east" }), 3 });
    const json groupReply = json::array({ json::array({ binary("sig") }), json::array({ json::array({ "s1", 712, 1, 4 }) }), binary("0123456789abcdef"), 3, 1, json::array({ json::array({ "i-1", 7 }) }),
        json::array({ json::array({ "i-2", 8, 12.5 }) }), nullptr, json::array({ 100, 255 }) });
    const json relayRequest = json::array({ binary("id"), binary("POST"), binary("/card/1"), binary("host"), json::array(), binary("body"), 900, 1200, 41 });
    const json relayReply = json::array({ 302, 200, 250, true, json::array(), binary("card"), false, json::array(), json::array({ json::array({ "s1", 712, 1, 4 }) }), 41, 1, 2 });
    const CrashNotice notice { "n1", "north", { { { "i-1", 7 }, { 5 }, kNow - Micros(100), kNow - Micros(50) } }, { { 6 } } };
    return {
        { "group request", groupRequest, transcodePacked<decodeGroupRequest> },
        { "group reply", groupReply, transcodePacked<decodeGroupReply> },
        { "relay request", relayRequest, transcodePacked<decodeRelayRequest> },
        { "relay reply", relayReply, transcodePacked<decodeRelayReply> },
        { "changes reply", json::parse(encode(changesReply())), transcodeChanges },
        { "crash notice", json::parse(encode(notice, kNow)), transcodeCrashes },
    };
}

/// Pointers to all integers of a message.
std::vector<json::json_pointer> integersOf(const json& message)
{
    std::vector<json::json_pointer> pointers;
    const json flat = message.flatten();
    for (const auto& [pointer, value] : flat.items()) {
        if (value.is_number_integer())
            pointers.emplace_back(pointer);
    }
    return pointers;
}

/// Returns true for ages and remaining times, which are limited, and for the state of a replica, where other numbers mean
/// that it is draining.
bool isLimited(const std::string& pointer)
{
    static const std::set<std::string> kLimited = { "/age_ms", "/facts/0/6", "/facts/0/7", "/quarantines/0/1", "/crashes/0/3", "/crashes/0/4", "/written/0/6" };
    return kLimited.contains(pointer);
}

} // namespace

TEST_CASE("messages with valid numbers stay the same")
{
    for (const MessageCase& test : messageCases()) {
        INFO(test.what);
        CHECK(test.transcode(test.message) == test.message);
    }
}

TEST_CASE("a number with a fraction or beyond all integers is refused in place of an integer")
{
    for (const MessageCase& test : messageCases()) {
        for (const json::json_pointer& pointer : integersOf(test.message)) {
            for (const double number : { 1e300, -1e300, 1.5, 4294967496.0 }) {
                json message = test.message;
                message[pointer] = number;
                INFO(test.what << " " << pointer.to_string() << " " << number);
                CHECK(test.transcode(message).is_null());
            }
        }
    }
}

TEST_CASE("an integer that a field cannot hold is refused and not turned into another")
{
    for (const MessageCase& test : messageCases()) {
        for (const json::json_pointer& pointer : integersOf(test.message)) {
            for (const json& number : { json(std::numeric_limits<uint64_t>::max()), json(std::numeric_limits<int64_t>::min()), json(4294967496), json(65736) }) {
                json message = test.message;
                message[pointer] = number;
                INFO(test.what << " " << pointer.to_string() << " " << number);
                const json result = test.transcode(message);
                if (!result.is_null() && isLimited(pointer.to_string()))
                    message[pointer] = result[pointer];
                CHECK((result.is_null() || result == message));
            }
        }
    }
}

TEST_CASE("rates that are none are refused")
{
    for (const double rate : { -1.0, std::numeric_limits<double>::infinity(), std::nan("") }) {
        GroupReply reply;
        reply.rateLimits = { { { "i-1", 7 }, 12.5 } };
        REQUIRE(decodeGroupReply(encode(reply)));
        reply.rateLimits.front().perSecond = rate;
        INFO(rate);
        CHECK_FALSE(decodeGroupReply(encode(reply)));
    }
}

TEST_CASE("an address with a port beyond the range is refused")
{
    CHECK(decodeTarget("/changes?name=n2&address=10.0.0.7:65535"));
    CHECK_FALSE(decodeTarget("/changes?name=n2&address=10.0.0.7:65536"));
    CHECK_FALSE(decodeTarget("/changes?name=n2&address=10.0.0.7:-1"));
}
