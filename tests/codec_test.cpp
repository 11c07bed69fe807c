/// Contracts of the codecs: what goes out comes back, damaged input is a numbered code.

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

ResultCode decode(kj::ArrayPtr<const capnp::word> words, PeerMessage& out)
{
    ResultCode code = ResultCode::TruncatedMessage;
    const auto problem = kj::runCatchingExceptions([&] {
        capnp::FlatArrayMessageReader reader(words);
        code = decodePeerMessage(reader.getRoot<wire::Message>(), out);
    });
    return problem == nullptr ? code : ResultCode::TruncatedMessage;
}

} // namespace

TEST_CASE("every peer message comes back as it was sent")
{
    for (const PeerMessage& message : sampleMessages()) {
        INFO("kind " << message.body.index());
        const auto words = flatten(message);
        PeerMessage back;
        REQUIRE(decode(words, back) == ResultCode::Ok);
        CHECK(back.body.index() == message.body.index());
        CHECK(back.from == message.from);
        CHECK(back.time == message.time);
        // Encoding again gives the same bytes: no field was lost.
        CHECK(flatten(back).asBytes() == words.asBytes());
    }
}

TEST_CASE("damaged peer messages are refused or read, never more")
{
    std::mt19937_64 random(1);
    for (const PeerMessage& message : sampleMessages()) {
        const auto words = flatten(message);
        for (int i = 0; i < 400; ++i) {
            auto copy = kj::heapArray<capnp::word>(words.size());
            kj::ArrayPtr<kj::byte> bytes = copy.asBytes();
            memcpy(bytes.begin(), words.asBytes().begin(), bytes.size());
            const size_t flips = 1 + random() % 4;
            for (size_t n = 0; n < flips; ++n)
                bytes[random() % bytes.size()] ^= static_cast<kj::byte>(1U << (random() % 8));
            const size_t length = i % 3 == 0 ? random() % copy.size() : copy.size();
            PeerMessage out;
            decode(copy.slice(0, length), out);
        }
    }
    SUCCEED("no crash");
}

TEST_CASE("a result whose body was changed on the way is not Ok")
{
    capnp::MallocMessageBuilder builder;
    auto out = builder.initRoot<wire::Message>();
    ExecuteItemResult result;
    result.body = makeBody("[{\"id\":\"x\"}]");
    encodePeerMessage({ { 1 }, { 2 }, {}, ExecuteResults { { { 1 }, 1 }, { result } } }, out);
    out.getBody().getExecuteResults().getItems()[0].getBody()[0] ^= 1;
    PeerMessage back;
    REQUIRE(decodePeerMessage(out.asReader(), back) == ResultCode::Ok);
    CHECK(std::get<ExecuteResults>(back.body).items[0].code == ResultCode::ChecksumMismatch);
}

TEST_CASE("backend calls and replies come back as sent; damage has its code")
{
    BackendRequest request;
    request.operation = BackendOperation::Submit;
    request.attempt = { { { 5 }, 6 }, 7 };
    request.service = { 8 };
    request.shard = 9;
    request.budget = Micros(10);
    request.key = "stall 7; \"x\"%\n\xc3\xa4";
    BackendRequest back;
    REQUIRE(backend_protocol::decodeCall(backend_protocol::encodeCall(request), back));
    CHECK(back.key == request.key);
    CHECK(back.attempt == request.attempt);
    CHECK(back.budget == request.budget);
    for (const char* bad : { "", "op=search", "op=walk;attempt=1", "shard=x", "===;;;", "key=%zz" })
        CHECK_FALSE(backend_protocol::decodeCall(bad, back));

    BackendReply reply;
    reply.attempt = request.attempt;
    reply.draining = true;
    const std::string header = backend_protocol::encodeReply(reply, "body");
    BackendReply out;
    CHECK(backend_protocol::decodeReply(header, "body", out) == ResultCode::Ok);
    CHECK(out.draining);
    CHECK(backend_protocol::decodeReply(header, "bod", out) == ResultCode::TruncatedMessage);
    CHECK(backend_protocol::decodeReply(header, "bodx", out) == ResultCode::ChecksumMismatch);
    CHECK(backend_protocol::decodeReply("", "", out) == ResultCode::TruncatedMessage);
    CHECK(backend_protocol::decodeReply(header.substr(0, 20), "body", out) == ResultCode::TruncatedMessage);
}

TEST_CASE("entries of the platform are read or refused")
{
    platform_protocol::Page page;
    CHECK(platform_protocol::parsePage(R"({"revision":3,"entries":[{"key":"config/a","revision":2,"value":"x","deleted":false}]})", page));
    CHECK(page.entries.size() == 1);
    for (const char* bad : { "", "[]", "{}", R"({"revision":-1,"entries":[]})", R"({"revision":1,"entries":[7]})" })
        CHECK_FALSE(platform_protocol::parsePage(bad, page));
    ConfigRecord record { 2, "change", { 4, 0xabc }, "[]", false, 0 };
    ConfigRecord back;
    CHECK(platform_protocol::parseConfigRecord({ "config/change", 2, platform_protocol::formatConfigRecord(record), false }, back));
    CHECK(back.base == record.base);
    for (const char* bad : { "", "7", R"({"change":"x"})", R"({"change":"x","patch":[],"base_digest":"zz"})", R"({"patch":[]})" })
        CHECK_FALSE(platform_protocol::parseConfigRecord({ "config/x", 1, bad, false }, back));
    PlatformMember member;
    CHECK(platform_protocol::parseMember({ "members/a", 1, R"({"address":"127.0.0.1:1","zone":"z","state":"leaving","kind":"backend"})", false }, member));
    CHECK((member.backend && member.leaving && member.name == "a"));
    CHECK_FALSE(platform_protocol::parseMember({ "members/a", 1, R"({"zone":"z"})", false }, member));
}
