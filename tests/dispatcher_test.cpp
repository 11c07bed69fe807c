/// Tests of the dispatcher: calls, retries, hedges, merging and answers.

#include "support/routing_bed.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

TEST_CASE("a search is answered as soon as all parts have arrived")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(20, RepeatPolicy::Idempotent);
    bed.start(1, "/all/q");
    REQUIRE(bed.transport.calls.size() == 20);
    bed.runFor(Millis(3));
    bed.replyToAllExcept({});
    const RecordedAnswer& answer = bed.onlyAnswer(1);
    CHECK(answer.answer.status == 200);
    CHECK(answer.answer.partSignatures.size() == 20);
    CHECK(answer.answer.missing.empty());
    CHECK(answer.answer.body.size() == 3 * 16);
}

TEST_CASE("near its latency target a search with the minimum coverage is answered and names the missing parts")
{
    RoutingTestBed bed(0);
    bed.useStandardRoutes(20, RepeatPolicy::Idempotent);
    bed.start(1, "/all/q");
    bed.runFor(Millis(3));
    bed.replyToAllExcept({ "s7-a" });
    CHECK_FALSE(bed.isAnswered(1));
    bed.runFor(Millis(75));
    const RecordedAnswer& answer = bed.onlyAnswer(1);
    CHECK(answer.answer.status == 200);
    REQUIRE(answer.answer.missing.size() == 1);
    CHECK(answer.answer.missing[0].service == "s7");
    CHECK(answer.answer.partSignatures.size() == 19);
}

TEST_CASE("below the minimum coverage a search continues beyond its latency target")
{
    RoutingTestBed bed(0);
    bed.useStandardRoutes(20, RepeatPolicy::Idempotent);
    bed.start(1, "/all/q");
    bed.runFor(Millis(3));
    bed.replyToAllExcept({ "s1-a", "s2-a", "s3-a" });
    bed.runFor(Millis(100));
    CHECK_FALSE(bed.isAnswered(1));
    bed.replyToAllExcept({ "s1-a", "s2-a" });
    CHECK(bed.onlyAnswer(1).answer.status == 200);
    CHECK(bed.onlyAnswer(1).answer.missing.size() == 2);
}

TEST_CASE("a slow call is hedged at another replica and the first reply is used")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(20, RepeatPolicy::Idempotent);
    bed.start(1, "/all/q");
    bed.runFor(Millis(3));
    bed.replyToAllExcept({ "s7-a" });
    bed.runFor(Millis(60));
    REQUIRE(bed.transport.calls.size() == 21);
    CHECK(bed.transport.calls[20].replica == "s7-b");
    bed.reply(20, RoutingTestBed::success("late"));
    CHECK(bed.onlyAnswer(1).answer.missing.empty());
    CHECK(bed.onlyAnswer(1).report.repeats == 1);
}

TEST_CASE("a replica that does not reply gets no new first calls while another one is available")
{
    RoutingTestBed bed(0);
    bed.useStandardRoutes(1, RepeatPolicy::Idempotent, 0);
    bed.start(1, "/all/q");
    bed.runFor(Millis(60));
    bed.start(2, "/all/q");
    REQUIRE(bed.transport.calls.size() == 2);
    CHECK(bed.transport.calls[0].replica == "s0-a");
    CHECK(bed.transport.calls[1].replica == "s0-b");
}

TEST_CASE("a search that cannot reach its minimum coverage is refused before anything is sent")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(20, RepeatPolicy::Idempotent);
    for (int i = 0; i < 3; ++i) {
        bed.directory.remove("s" + std::to_string(i) + "-a", bed.clock.now());
        bed.directory.remove("s" + std::to_string(i) + "-b", bed.clock.now());
    }
    bed.start(1, "/all/q");
    CHECK(bed.transport.calls.empty());
    const RecordedAnswer& answer = bed.onlyAnswer(1);
    CHECK(answer.answer.status == 503);
    CHECK(answer.answer.retryAfter >= Millis(0));
}

TEST_CASE("an at-most-once request is not retried after its connection was lost")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(1, RepeatPolicy::AtMostOnce);
    bed.start(1, "/one/x");
    REQUIRE(bed.transport.calls.size() == 1);
    CHECK(bed.transport.calls[0].needsLiveConnection);
    bed.fail(0, CallFailure::Lost);
    CHECK(bed.transport.calls.size() == 1);
    CHECK(bed.onlyAnswer(1).answer.status == 502);
    CHECK(bed.onlyAnswer(1).answer.code == ResultCode::OutcomeUnknown);
}

TEST_CASE("an at-most-once request is retried if the replica states that it did not execute it")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(1, RepeatPolicy::AtMostOnce);
    bed.start(1, "/one/x");
    ReplicaReply refused;
    refused.status = 503;
    refused.isNotExecuted = true;
    bed.reply(0, refused);
    REQUIRE(bed.transport.calls.size() == 2);
    CHECK(bed.transport.calls[1].replica != bed.transport.calls[0].replica);
    bed.reply(1, RoutingTestBed::success("sig", "body"));
    CHECK(bed.onlyAnswer(1).answer.status == 200);
    CHECK(bed.onlyAnswer(1).answer.body == "body");
}

TEST_CASE("statuses that imply 'not executed' are never passed on for a request that may have been executed")
{
    for (const int status : { 408, 421, 429, 503 }) {
        RoutingTestBed bed;
        bed.useStandardRoutes(1, RepeatPolicy::AtMostOnce);
        bed.start(1, "/one/x");
        ReplicaReply reply;
        reply.status = status;
        reply.signature = "sig";
        reply.isMisdirected = status == 421;
        reply.isNotExecuted = false;
        bed.reply(0, reply);
        INFO("status " << status);
        if (status == 421) {
            // The reply comes from a different replica, which states that it did not execute the request.
            CHECK(bed.transport.calls.size() == 2);
            continue;
        }
        CHECK(bed.onlyAnswer(1).answer.status == 502);
        CHECK_FALSE(bed.onlyAnswer(1).answer.isReplicaReply);
    }
}

TEST_CASE("a replica whose address another replica has taken over gets no more calls")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(1, RepeatPolicy::Idempotent);
    bed.start(1, "/one/x");
    ReplicaReply reply;
    reply.status = 421;
    reply.isMisdirected = true;
    bed.reply(0, reply);
    bed.reply(1, RoutingTestBed::success("sig"));
    const std::string misdirectedReplica = bed.transport.calls[0].replica;
    for (uint64_t request = 2; request < 6; ++request) {
        bed.start(request, "/one/x");
        CHECK(bed.transport.calls.back().replica != misdirectedReplica);
        bed.reply(bed.transport.calls.size() - 1, RoutingTestBed::success("sig"));
    }
}

TEST_CASE("a replica's error reply is passed on if no other replica succeeds")
{
    RoutingTestBed bed(0);
    bed.useStandardRoutes(1, RepeatPolicy::Idempotent);
    bed.start(1, "/one/x");
    ReplicaReply reply;
    reply.status = 500;
    reply.signature = "sig";
    reply.body = "broken";
    bed.reply(0, reply);
    CHECK(bed.onlyAnswer(1).answer.status == 500);
    CHECK(bed.onlyAnswer(1).answer.isReplicaReply);
    CHECK(bed.onlyAnswer(1).answer.body == "broken");
}

TEST_CASE("calls for a caller that has disconnected are cancelled at once")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(5, RepeatPolicy::Idempotent);
    bed.start(1, "/all/q");
    bed.dispatcher->callerDisconnected(1);
    for (const RecordedCall& call : bed.transport.calls)
        CHECK(call.isCancelled);
    bed.runFor(Millis(500));
    CHECK_FALSE(bed.isAnswered(1));
}

TEST_CASE("a request is answered before the time limits of its route and its caller")
{
    RoutingTestBed bed(0);
    bed.useStandardRoutes(1, RepeatPolicy::AtMostOnce);
    bed.start(1, "/one/x", Millis(300));
    bed.runFor(Millis(300));
    CHECK(bed.onlyAnswer(1).answer.status == 504);
    CHECK(bed.transport.calls[0].isCancelled);
    bed.start(2, "/one/x", Millis(60000));
    bed.runFor(Millis(1500));
    CHECK(bed.onlyAnswer(2).answer.status == 504);
}

TEST_CASE("a call that gets no connection is moved to another replica without having been sent")
{
    RoutingTestBed bed(0);
    bed.useStandardRoutes(1, RepeatPolicy::AtMostOnce);
    bed.transport.unconnected["card-a"] = true;
    bed.start(1, "/one/x");
    bed.runFor(Millis(60));
    REQUIRE(bed.transport.calls.size() == 2);
    CHECK(bed.transport.calls[0].isCancelled);
    CHECK(bed.transport.calls[1].replica == "card-b");
    bed.reply(1, RoutingTestBed::success("sig"));
    CHECK(bed.onlyAnswer(1).answer.status == 200);
}

TEST_CASE("repeats stay within the budget of their service")
{
    RoutingTestBed bed(2);
    bed.useStandardRoutes(1, RepeatPolicy::Idempotent, 0);
    constexpr uint64_t kRequests = 500;
    for (uint64_t request = 1; request <= kRequests; ++request) {
        bed.start(request, "/all/q");
        bed.runFor(Millis(80));
    }
    CHECK(bed.dispatcher->stats().repeats <= 2 + kRequests / 5);
}

TEST_CASE("an instance without a configuration rejects requests and asks for a later attempt")
{
    RoutingTestBed bed;
    bed.start(1, "/all/q");
    CHECK(bed.onlyAnswer(1).answer.status == 503);
    CHECK(bed.onlyAnswer(1).answer.code == ResultCode::NotReady);
    CHECK(bed.onlyAnswer(1).answer.retryAfter >= Millis(0));
}

TEST_CASE("a configuration that is not newer is ignored")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(2, RepeatPolicy::Idempotent);
    RoutingDocument older;
    older.version = 1;
    CHECK_FALSE(bed.dispatcher->activateTable(std::make_shared<const RouteTable>(older)));
    bed.start(1, "/nothing/");
    CHECK(bed.onlyAnswer(1).answer.status == 404);
}

TEST_CASE("requests are divided among services in proportion to their weights")
{
    WeightedRoundRobin cycle;
    const std::vector<ServiceShare> shares = { { "a", 70 }, { "b", 25 }, { "c", 5 } };
    std::array<int, 3> counts {};
    for (int i = 0; i < 200; ++i)
        ++counts[cycle.next(shares, 0.4)];
    CHECK(std::abs(counts[0] - 140) <= 2);
    CHECK(std::abs(counts[1] - 50) <= 2);
    CHECK(std::abs(counts[2] - 10) <= 2);
}

// Guards against a service of weight 0 that gets the first request after a change of the weights.
TEST_CASE("each service gets its share of the requests, and none without weight, for all weights and offsets")
{
    constexpr uint32_t kMaxWeight = 6;
    constexpr int kOffsets = 20;
    constexpr size_t kServices = 3;
    for (uint32_t code = 1; code < kMaxWeight * kMaxWeight * kMaxWeight; ++code) {
        const std::vector<ServiceShare> shares = { { "a", code % kMaxWeight }, { "b", code / kMaxWeight % kMaxWeight }, { "c", code / kMaxWeight / kMaxWeight } };
        const uint32_t total = shares[0].weight + shares[1].weight + shares[2].weight;
        for (int step = 0; step < kOffsets; ++step) {
            WeightedRoundRobin cycle;
            std::array<uint32_t, kServices> counts {};
            for (uint32_t i = 0; i < total; ++i) {
                const size_t selected = cycle.next(shares, static_cast<double>(step) / kOffsets);
                REQUIRE(shares[selected].weight > 0);
                ++counts[selected];
            }
            for (size_t i = 0; i < kServices; ++i) {
                INFO(shares[0].weight << "," << shares[1].weight << "," << shares[2].weight << " offset " << step << " service " << i);
                CHECK(counts[i] + 1 >= shares[i].weight);
                CHECK(counts[i] <= shares[i].weight + 1);
            }
        }
    }
}

TEST_CASE("a replica that loses replies is avoided for at-most-once requests")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(1, RepeatPolicy::AtMostOnce);
    // Every third call to card-a is lost; the others are answered as quickly as calls to card-b.
    int callsToLossyReplica = 0;
    int lostCalls = 0;
    for (uint64_t request = 1; request <= 60; ++request) {
        bed.start(request, "/one/x");
        bed.runFor(Millis(60));
        const size_t last = bed.transport.calls.size() - 1;
        const bool isLossyReplica = bed.transport.calls[last].replica == "card-a";
        callsToLossyReplica += isLossyReplica ? 1 : 0;
        if (isLossyReplica && callsToLossyReplica % 3 == 0) {
            bed.fail(last, CallFailure::Lost);
            ++lostCalls;
        } else {
            bed.reply(last, RoutingTestBed::success("sig"));
        }
        bed.runFor(Millis(100));
    }
    INFO("calls to the lossy replica " << callsToLossyReplica << ", lost " << lostCalls);
    CHECK(lostCalls <= 3);
}

TEST_CASE("a search is answered early enough for the transit time to the caller")
{
    RoutingTestBed bed(0);
    bed.useStandardRoutes(20, RepeatPolicy::Idempotent);
    ForwardedRequest forwarded;
    forwarded.target = "/all/q";
    forwarded.host = "test.example";
    forwarded.transitTime = Millis(24);
    bed.dispatcher->start(1, std::move(forwarded));
    bed.runFor(Millis(3));
    bed.replyToAllExcept({ "s7-a" });
    bed.runFor(Millis(48));
    CHECK_FALSE(bed.isAnswered(1));
    bed.runFor(Millis(4));
    REQUIRE(bed.isAnswered(1));
    CHECK(bed.onlyAnswer(1).answer.partSignatures.size() == 19);
}

TEST_CASE("hedges of slow calls leave budget for calls that are never answered")
{
    // In every fourth of 400 searches the first call takes 25 ms, and in every twentieth it is never
    // answered. The other replica answers in 3 ms. The budget allows a hedge for every fifth search.
    RoutingTestBed bed(4);
    bed.useStandardRoutes(1, RepeatPolicy::Idempotent, 0);
    int stuckCalls = 0;
    int missingStuckCalls = 0;
    for (uint64_t request = 1; request <= 400; ++request) {
        bed.directory.find("s0-a")->health = {};
        const bool isStuck = request % 20 == 0;
        const bool isSlow = request % 4 == 1;
        const size_t first = bed.transport.calls.size();
        bed.start(request, "/all/q");
        const int duration = isSlow ? 25 : 3;
        for (int elapsedMs = 1; elapsedMs <= 400 && !bed.isAnswered(request); ++elapsedMs) {
            bed.runFor(Millis(1));
            if (!isStuck && elapsedMs == duration)
                bed.reply(first, RoutingTestBed::success("sig"));
            if (bed.transport.calls.size() > first + 1 && bed.transport.calls.back().isOpen && !bed.isAnswered(request))
                bed.reply(bed.transport.calls.size() - 1, RoutingTestBed::success("sig2"));
        }
        bed.replyToAllExcept({ "s0-a" });
        bed.runFor(Millis(110));
        stuckCalls += isStuck ? 1 : 0;
        missingStuckCalls += isStuck && bed.onlyAnswer(request).answer.status != 200 ? 1 : 0;
    }
    INFO("stuck calls " << stuckCalls << ", of which missing " << missingStuckCalls << ", repeats " << bed.dispatcher->stats().repeats);
    CHECK(missingStuckCalls == 0);
}

TEST_CASE("a replica whose connections are all in use is not considered unreachable")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(1, RepeatPolicy::Idempotent);
    bed.transport.unconnected["card-a"] = true;
    bed.transport.busy["card-a"] = true;
    for (uint64_t request = 1; request <= 5; ++request) {
        bed.directory.find("card-b")->health = {};
        bed.start(request, "/one/x");
        bed.runFor(Millis(60));
        bed.replyToAllExcept({});
        bed.runFor(Millis(100));
    }
    CHECK_FALSE(bed.directory.find("card-a")->health.isUnreachable());
}

TEST_CASE("an instance that takes long to send its answers starts to send them earlier")
{
    RoutingTestBed bed(0);
    bed.useStandardRoutes(20, RepeatPolicy::Idempotent);
    bed.answerDuration = Millis(6);
    constexpr uint64_t kSearches = 10;
    Micros duration { 0 };
    for (uint64_t request = 1; request <= kSearches; ++request) {
        const TimePoint startedAt = bed.clock.now();
        bed.start(request, "/all/q");
        bed.runFor(Millis(3));
        bed.replyToAllExcept({ "s7-a", "s7-b" });
        while (!bed.isAnswered(request))
            bed.runFor(Millis(1));
        duration = std::chrono::duration_cast<Micros>(bed.clock.now() - startedAt);
        CHECK(bed.onlyAnswer(request).answer.missing.size() == 1);
        bed.replyToAllExcept({});
    }
    CHECK(duration <= Millis(80));
}

TEST_CASE("calls that wait for a connection count towards the attempts of their part")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(20, RepeatPolicy::Idempotent);
    bed.addReplica("s0-c", "s0", "south");
    bed.addReplica("s0-d", "s0", "south");
    bed.transport.unconnected = { { "s0-b", true }, { "s0-c", true }, { "s0-d", true } };
    bed.start(1, "/all/q");
    bed.runFor(Millis(3));
    bed.replyToAllExcept({ "s0-a" });
    for (Millis step(0); step < Millis(70); step += Millis(1)) {
        bed.runFor(Millis(1));
        const auto open = std::count_if(bed.transport.calls.begin(), bed.transport.calls.end(),
            [](const RecordedCall& call) { return call.service == "s0" && call.isOpen; });
        REQUIRE(open <= 2);
    }
}
