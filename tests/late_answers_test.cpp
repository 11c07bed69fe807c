/// Answers of the registry and of readers that a suspended instance finds in its sockets when it wakes.

#include "../src/gateway/peer_exchange.h"
#include "../src/gateway/registry_client.h"
#include "../src/process/system_clock.h"
#include "support/raw_peer.h"
#include "support/routing_bed.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

namespace {

constexpr Millis kSuspension { 5000 };

/// Server that answers when the test says so.
class HeldServer final : public HttpHandlerI {
public:
    HeldServer(uv_loop_t* loop, const ClockI& clock)
        : server(loop, *this, clock)
        , port(freePort())
    {
        if (!server.listen("127.0.0.1", port))
            throw std::runtime_error("cannot listen on the loopback interface");
    }
    void onRequest(ExchangeId exchange, HttpRequest /*request*/) override { held.push_back(exchange); }
    void onCallerDisconnected(ExchangeId /*exchange*/) override { }
    void answer(const std::string& body) { server.respond(held.back(), { 200, {}, body }); }

    HttpServer server;
    const int port;
    std::vector<ExchangeId> held;
};

struct RegistryRecorder final : RegistryHandlerI {
    void onRegistryItems(std::vector<platform::StoreItem> /*items*/, const RegistrySync& /*sync*/) override { ++answers; }
    void onRegistryEra(uint64_t /*era*/, uint64_t /*before*/) override { }
    void onRegistryAvailability(bool /*isAvailable*/, const std::string& reason) override { reasons.push_back(reason); }

    int answers = 0;
    std::vector<std::string> reasons;
};

/// An event loop on which real sockets and a virtual clock run.
struct SuspendedBed {
    SuspendedBed() { uv_loop_init(&loop); }

    template <typename Condition>
    bool runUntil(Condition condition)
    {
        const SystemClock realClock;
        const TimePoint end = realClock.now() + Millis(3000);
        while (!condition() && realClock.now() < end) {
            uv_run(&loop, UV_RUN_NOWAIT);
            usleep(500);
        }
        return condition();
    }

    uv_loop_t loop;
    TestClock clock;
};

} // namespace

// Guards against a reader that passes on the state of before its suspension as just read: followers use replicas again that have left.
TEST_CASE("an answer of the registry that waited in the socket during a suspension is not used")
{
    SuspendedBed bed;
    HeldServer store(&bed.loop, bed.clock);
    RegistryRecorder recorder;
    RegistryClient client(&bed.loop, bed.clock, { "127.0.0.1", store.port }, RegistryPollTiming::forReactionTime(Millis(3000)), recorder);
    client.start();
    client.setActive(true);
    REQUIRE(bed.runUntil([&] { return store.held.size() == 1; }));
    const std::string page = R"({"items":[],"has_more":false,"store_revision":7})";
    store.answer(page);
    bed.clock.advance(kSuspension);
    REQUIRE(bed.runUntil([&] { return !recorder.reasons.empty() || recorder.answers > 0; }));
    CHECK(recorder.answers == 0);
    CHECK(recorder.reasons == std::vector<std::string> { "timeout" });
    REQUIRE(bed.runUntil([&] { return store.held.size() == 2; }));
    store.answer(page);
    CHECK(bed.runUntil([&] { return recorder.answers == 1; }));
    client.stop();
    store.server.stopListening();
    store.server.closeIdle();
    bed.runUntil([&] { return uv_loop_alive(&bed.loop) == 0; });
}

// Guards against the same at a follower, for which the age of its reader's state counts from the reply.
TEST_CASE("a reply of a reader that waited in the socket during a suspension is not used")
{
    SuspendedBed bed;
    HeldServer reader(&bed.loop, bed.clock);
    SourceChoice sources(1, false, 0, bed.clock.now());
    int replies = 0;
    std::vector<std::string> failures;
    PeerFollower follower(&bed.loop, bed.clock, { "n1", "north", "127.0.0.1", 1 }, { { "127.0.0.1", reader.port } }, false, Millis(400), sources);
    follower.setHandlers([&](const ChangesReply&) { ++replies; return true; }, [&](const Endpoint&, const std::string& reason) { failures.push_back(reason); });
    follower.tick();
    REQUIRE(bed.runUntil([&] { return reader.held.size() == 1; }));
    reader.answer(encode(ChangesReply {}));
    bed.clock.advance(kSuspension);
    REQUIRE(bed.runUntil([&] { return replies > 0 || !failures.empty(); }));
    CHECK(replies == 0);
    CHECK(failures == std::vector<std::string> { "timeout" });
    follower.stop();
    reader.server.stopListening();
    reader.server.closeIdle();
    bed.runUntil([&] { return uv_loop_alive(&bed.loop) == 0; });
}
