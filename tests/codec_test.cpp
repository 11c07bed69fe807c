/// Tests of the codecs: messages survive a round trip, and damaged input yields a result code.

#include "../src/daemon/backend_protocol.h"
#include "../src/daemon/peer_codec.h"
#include "../src/daemon/platform_protocol.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <catch2/catch.hpp>
#include <cstring>
#include <random>

using namespace limpettrestle;

namespace {

std::vector<PeerMessage> sampleMessages()
{
    const RequestId request { { 7 }, 9 };
    Gossip gossip;
    gossip.members.push_back({ { 1 }, "a0", "127.0.0.1:1", { 2 }, { 3 }, 4, MemberState::Suspect });
    gossip.drains.push_back({ { 5 }, 6, true });
    gossip.config = { 8, 9 };
    ExecuteBatch batch;
    batch.request = request;
    batch.budget = Micros(12345);
    batch.priority = PriorityClass::Deferrable;
    batch.query = makeBody("query");
    batch.items = { { 1, 2, { 3 }, true, false }, { 4, 5, { 6 }, false, true } };
    ExecuteItemResult result;
    result.attempt = 3;
    result.code = ResultCode::ServerShed;
    result.sent = true;
    result.predictedWait = Micros(77);
    result.body = makeBody("[1]");
    std::vector<PeerBody> bodies = { Probe { 1, gossip }, ProbeAck { 2, gossip }, ProbeRequest { 3, { 4 } }, Notice { gossip },
        ConfigNews { { 5, "change", { 1, 2 }, "[]", false, 0 }, { 6, 7 } }, StateRequest { { 1, 2 } },
        StateReply { { 3, 4 }, 5, makeBody("{}"), gossip.drains, gossip.members }, batch, ExecuteResults { request, { result } },
        CancelBatch { request, { 1, 2, 3 } }, SlotRequest { request, { 4 }, Micros(5) },
        SlotReply { request, { 4 }, ResultCode::NotOwner, Micros(6), { 7 } }, SlotRelease { request, { 4 } },
        SubmitForward { request, { { 1 }, { 2 }, 3, 4 }, "yard", "key", "body", Micros(8) },
        SubmitOutcome { request, Outcome::Unknown, ResultCode::OutcomeUnknown, Millis(9), "body" } };
    std::vector<PeerMessage> messages;
    messages.reserve(bodies.size());
    for (PeerBody& body : bodies)
        messages.push_back({ { 11 }, { 12 }, { 13, 14 }, std::move(body) });
    return messages;
}

kj::Array<capnp::word> flatten(const PeerMessage& message)
{
    capnp::MallocMessageBuilder builder;
    encodePeerMessage(message, builder.initRoot<wire::Message>());
    return capnp::messageToFlatArray(builder);
}

ResultCode decode(kj::ArrayPtr<const capnp::word> words, PeerMessage& decoded)
{
    ResultCode code = ResultCode::TruncatedMessage;
    const auto problem = kj::runCatchingExceptions([&] {
        capnp::FlatArrayMessageReader reader(words);
        code = decodePeerMessage(reader.getRoot<wire::Message>(), decoded);
    });
    return problem == nullptr ? code : ResultCode::TruncatedMessage;
}

} // namespace

TEST_CASE("peer messages survive a round trip")
{
    for (const PeerMessage& message : sampleMessages()) {
        INFO("kind " << message.body.index());
        const auto words = flatten(message);
        PeerMessage decoded;
        REQUIRE(decode(words, decoded) == ResultCode::Ok);
        CHECK(decoded.body.index() == message.body.index());
        CHECK(decoded.from == message.from);
        CHECK(decoded.time == message.time);
        // Encoding the decoded message again gives the same bytes, so no field was lost.
        CHECK(flatten(decoded).asBytes() == words.asBytes());
    }
}

TEST_CASE("damaged peer messages are refused or decoded without a crash")
{
    std::mt19937_64 random(1);
    for (const PeerMessage& message : sampleMessages()) {
        const auto words = flatten(message);
        for (int i = 0; i < 400; ++i) {
            auto copy = kj::heapArray<capnp::word>(words.size());
            kj::ArrayPtr<kj::byte> bytes = copy.asBytes();
            memcpy(bytes.begin(), words.asBytes().begin(), bytes.size());
            const size_t flipCount = 1 + random() % 4;
            for (size_t n = 0; n < flipCount; ++n)
                bytes[random() % bytes.size()] ^= static_cast<kj::byte>(1U << (random() % 8));
            const size_t length = i % 3 == 0 ? random() % copy.size() : copy.size();
            PeerMessage decoded;
            decode(copy.slice(0, length), decoded);
        }
    }
    SUCCEED("no crash");
}

TEST_CASE("a result with a corrupted body has the code ChecksumMismatch")
{
    capnp::MallocMessageBuilder builder;
    auto encoded = builder.initRoot<wire::Message>();
    ExecuteItemResult result;
    result.body = makeBody("[{\"id\":\"x\"}]");
    encodePeerMessage({ { 1 }, { 2 }, {}, ExecuteResults { { { 1 }, 1 }, { result } } }, encoded);
    encoded.getBody().getExecuteResults().getItems()[0].getBody()[0] ^= 1;
    PeerMessage decoded;
    REQUIRE(decodePeerMessage(encoded.asReader(), decoded) == ResultCode::Ok);
    CHECK(std::get<ExecuteResults>(decoded.body).items[0].code == ResultCode::ChecksumMismatch);
}

TEST_CASE("backend calls and replies survive a round trip, and damaged replies yield a result code")
{
    BackendRequest request;
    request.operation = BackendOperation::Submit;
    request.attempt = { { { 5 }, 6 }, 7 };
    request.service = { 8 };
    request.shard = 9;
    request.budget = Micros(10);
    request.key = "stall 7; \"x\"%\n\xc3\xa4";
    BackendRequest decoded;
    REQUIRE(backend_protocol::decodeCall(backend_protocol::encodeCall(request), decoded));
    CHECK(decoded.key == request.key);
    CHECK(decoded.attempt == request.attempt);
    CHECK(decoded.budget == request.budget);
    for (const char* malformed : { "", "op=search", "op=walk;attempt=1", "shard=x", "===;;;", "key=%zz" })
        CHECK_FALSE(backend_protocol::decodeCall(malformed, decoded));

    BackendReply reply;
    reply.attempt = request.attempt;
    reply.draining = true;
    const std::string header = backend_protocol::encodeReply(reply, "body");
    BackendReply decodedReply;
    CHECK(backend_protocol::decodeReply(header, "body", decodedReply) == ResultCode::Ok);
    CHECK(decodedReply.draining);
    CHECK(backend_protocol::decodeReply(header, "bod", decodedReply) == ResultCode::TruncatedMessage);
    CHECK(backend_protocol::decodeReply(header, "bodx", decodedReply) == ResultCode::ChecksumMismatch);
    CHECK(backend_protocol::decodeReply("", "", decodedReply) == ResultCode::TruncatedMessage);
    CHECK(backend_protocol::decodeReply(header.substr(0, 20), "body", decodedReply) == ResultCode::TruncatedMessage);
}

TEST_CASE("platform entries are parsed, and malformed entries are refused")
{
    platform_protocol::Page page;
    CHECK(platform_protocol::parsePage(R"({"revision":3,"entries":[{"key":"config/a","revision":2,"value":"x","deleted":false}]})", page));
    CHECK(page.entries.size() == 1);
    for (const char* malformed : { "", "[]", "{}", R"({"revision":-1,"entries":[]})", R"({"revision":1,"entries":[7]})" })
        CHECK_FALSE(platform_protocol::parsePage(malformed, page));
    ConfigRecord record { 2, "change", { 4, 0xabc }, "[]", false, 0 };
    ConfigRecord decoded;
    CHECK(platform_protocol::parseConfigRecord({ "config/change", 2, platform_protocol::formatConfigRecord(record), false }, decoded));
    CHECK(decoded.base == record.base);
    for (const char* malformed : { "", "7", R"({"change":"x"})", R"({"change":"x","patch":[],"base_digest":"zz"})", R"({"patch":[]})" })
        CHECK_FALSE(platform_protocol::parseConfigRecord({ "config/x", 1, malformed, false }, decoded));
    PlatformMember member;
    CHECK(platform_protocol::parseMember({ "members/a", 1, R"({"address":"127.0.0.1:1","zone":"z","state":"leaving","kind":"backend"})", false }, member));
    CHECK((member.backend && member.leaving && member.name == "a"));
    CHECK_FALSE(platform_protocol::parseMember({ "members/a", 1, R"({"zone":"z"})", false }, member));
}
