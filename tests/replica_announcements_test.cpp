/// What replicas announce in their answers: that they leave, or that they want no requests for a time.

#include "../platform/request_codec.h"
#include "../src/gateway/gather_messages.h"
#include "support/gather_bed.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

namespace {

ReplicaReply refusal(Millis backOff, bool isNotExecuted = true)
{
    ReplicaReply reply;
    reply.status = 503;
    reply.isNotExecuted = isNotExecuted;
    reply.backOff = backOff;
    return reply;
}

size_t callsTo(const RoutingTestBed& bed, const std::string& replica)
{
    return static_cast<size_t>(std::count_if(bed.transport.calls.begin(), bed.transport.calls.end(), [&](const RecordedCall& call) { return call.replica == replica; }));
}

} // namespace

TEST_CASE("announcements in a replica's answer are decoded")
{
    struct TestCase {
        int status;
        std::vector<HeaderField> headers;
        bool isLeaving;
        Millis backOff;
    };
    const std::vector<TestCase> testCases = {
        { 200, {}, false, Millis(-1) },
        { 200, { { "Server-Leaving", "1" } }, true, Millis(-1) },
        { 500, { { "server-leaving", "1" } }, true, Millis(-1) },
        { 421, { { "Server-Leaving", "1" } }, true, Millis(-1) },
        { 200, { { "Server-Leaving", "0" } }, false, Millis(-1) },
        { 200, { { "Server-Leaving", "" } }, false, Millis(-1) },
        { 503, { { "Retry-After", "2" } }, false, Millis(2000) },
        { 503, { { "Retry-After", "0.25" } }, false, Millis(250) },
        { 503, { { "Retry-After", "0" } }, false, Millis(0) },
        { 503, { { "Server-Leaving", "1" }, { "Retry-After", "3" } }, true, Millis(3000) },
        { 503, { { "Retry-After", "-2" } }, false, Millis(-1) },
        { 503, { { "Retry-After", "soon" } }, false, Millis(-1) },
        { 503, { { "Retry-After", "" } }, false, Millis(-1) },
        { 503, { { "Retry-After", "inf" } }, false, Millis(-1) },
        { 503, { { "Retry-After", "nan" } }, false, Millis(-1) },
        { 503, { { "Retry-After", "Fri, 04 Dec 2026 10:00:00 GMT" } }, false, Millis(-1) },
        { 503, { { "Retry-After", "99999999999999999999" } }, false, std::chrono::hours(365 * 24) },
        { 200, { { "Retry-After", "2" } }, false, Millis(-1) },
        { 429, { { "Retry-After", "2" } }, false, Millis(-1) },
    };
    for (const TestCase& testCase : testCases) {
        INFO(testCase.status << " " << (testCase.headers.empty() ? "" : testCase.headers[0].value));
        HttpResponse response;
        response.status = testCase.status;
        response.headers = testCase.headers;
        const platform::DecodedReply decoded = platform::decodeReply(response);
        CHECK(decoded.reply.isLeaving == testCase.isLeaving);
        CHECK(decoded.reply.backOff == testCase.backOff);
        CHECK(findHeader(decoded.reply.headers, "Server-Leaving") == nullptr);
    }
}

TEST_CASE("a replica that announced its leaving gets no further call")
{
    struct TestCase {
        std::string answer;
        int status;
        bool isNotExecuted;
        bool isMisdirected;
    };
    const std::vector<TestCase> testCases = { { "part", 200, false, false }, { "failure", 500, false, false }, { "refusal", 503, true, false }, { "other replica", 421, true, true } };
    for (const TestCase& testCase : testCases) {
        INFO(testCase.answer);
        RoutingTestBed bed;
        bed.useStandardRoutes(4, RepeatPolicy::Idempotent);
        bed.start(1, "/all/q");
        ReplicaReply reply = RoutingTestBed::success("sig");
        reply.status = testCase.status;
        reply.isNotExecuted = testCase.isNotExecuted;
        reply.isMisdirected = testCase.isMisdirected;
        reply.isLeaving = true;
        const std::string leaving = bed.transport.calls[0].replica;
        bed.reply(0, reply);
        bed.replyToAllExcept({});
        for (uint64_t request = 2; request < 20; ++request) {
            bed.start(request, "/all/q");
            bed.replyToAllExcept({});
            CHECK(bed.onlyAnswer(request).answer.missing.empty());
        }
        CHECK(callsTo(bed, leaving) == 1);
        CHECK(bed.directory.find(leaving)->isLeaving);
    }
}

TEST_CASE("calls in flight to a leaving replica end normally, and no repeat goes to it")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(1, RepeatPolicy::Idempotent, 1.0);
    bed.start(1, "/all/q");
    bed.start(2, "/all/q");
    REQUIRE(bed.transport.calls[0].replica == bed.transport.calls[1].replica);
    ReplicaReply reply = RoutingTestBed::success("first");
    reply.isLeaving = true;
    bed.reply(0, reply);
    bed.reply(1, RoutingTestBed::success("second"));
    CHECK(bed.onlyAnswer(2).answer.partSignatures == std::vector<std::string> { "second" });
    const std::string leaving = bed.transport.calls[0].replica;
    bed.start(3, "/all/q");
    bed.runFor(Millis(70));
    CHECK(callsTo(bed, leaving) == 2);
}

TEST_CASE("a leaving replica is used again only after it has restarted")
{
    struct TestCase {
        std::string report;
        int64_t startedAt;
        uint64_t sequence;
        bool isRemovedBefore;
        bool isUsed;
    };
    const std::vector<TestCase> testCases = {
        { "next report", 1, 2, false, false },
        { "registered again by the same run", 1, 2, true, false },
        { "restarted under its id", 2, 1, false, true },
        { "restarted under its id after its entry had gone", 2, 1, true, true },
    };
    for (const TestCase& testCase : testCases) {
        INFO(testCase.report);
        RoutingTestBed bed;
        bed.addReplica("a", "s");
        REQUIRE(bed.directory.markLeaving(bed.directory.find("a")));
        CHECK_FALSE(bed.directory.markLeaving(bed.directory.find("a")));
        ReplicaEntry entry = bed.directory.find("a")->entry;
        if (testCase.isRemovedBefore)
            bed.directory.remove("a", bed.clock.now());
        entry.startedAt = testCase.startedAt;
        entry.sequence = testCase.sequence;
        bed.directory.apply(entry, bed.clock.now());
        CHECK(bed.directory.find("a")->acceptsWork() == testCase.isUsed);
    }
}

TEST_CASE("an aggregator names the leaving replicas of the group, and the sender stops using them")
{
    RoutingTestBed aggregator;
    aggregator.useStandardRoutes(4, RepeatPolicy::Idempotent);
    GroupRequest group;
    group.forwarded.requestId = "r1";
    group.route = "all";
    group.shards = { "s0", "s1" };
    group.softTimeout = Millis(60);
    group.timeLeft = Millis(300);
    group.topRecords = 3;
    aggregator.dispatcher->gather(7, group);
    ReplicaReply leaving = RoutingTestBed::success("sig");
    leaving.isLeaving = true;
    aggregator.reply(0, leaving);
    aggregator.replyToAllExcept({});
    const std::vector<ReplicaRun> named = aggregator.onlyAnswer(7).answer.leavingReplicas;
    REQUIRE(named == std::vector<ReplicaRun> { { "s0-a", 1 } });

    GroupReply reply;
    reply.signatures = { "x", "y" };
    reply.leavingReplicas = named;
    const std::optional<GroupReply> received = decodeGroupReply(encode(reply));
    REQUIRE(received);
    CHECK(received->leavingReplicas == named);

    GatherTestBed sender;
    sender.startDividedSearch(1);
    sender.answerFirstGroup(*received);
    CHECK_FALSE(sender.bed.directory.find("s0-a")->acceptsWork());
    CHECK(sender.bed.directory.find("s0-b")->acceptsWork());
}

TEST_CASE("another run of a replica that an aggregator names is still used")
{
    GatherTestBed sender;
    GroupReply reply;
    reply.signatures = { "x" };
    reply.leavingReplicas = { { "s0-a", 99 }, { "nobody", 1 } };
    sender.startDividedSearch(1);
    sender.answerFirstGroup(reply);
    CHECK(sender.bed.directory.find("s0-a")->acceptsWork());
}

TEST_CASE("a replica that asks for a pause gets nothing until it ends")
{
    struct TestCase {
        std::string refusal;
        ReplicaReply reply;
        Millis pause;
    };
    const std::vector<TestCase> testCases = {
        { "two seconds", refusal(Millis(2000)), Millis(2000) },
        { "half a second", refusal(Millis(500)), Millis(500) },
        { "a day", refusal(std::chrono::hours(24)), Millis(10000) },
        { "without the statement that it was not executed", refusal(Millis(2000), false), Millis(2000) },
    };
    for (const TestCase& testCase : testCases) {
        INFO(testCase.refusal);
        RoutingTestBed bed;
        bed.useStandardRoutes(1, RepeatPolicy::Idempotent, 1.0);
        bed.start(1, "/all/q");
        const std::string pausing = bed.transport.calls[0].replica;
        bed.reply(0, testCase.reply);
        bed.replyToAllExcept({});
        const TimePoint end = bed.clock.now() + testCase.pause;
        uint64_t request = 2;
        for (; bed.clock.now() + Millis(20) < end; ++request) {
            bed.runFor(Millis(10));
            bed.start(request, "/all/q");
            bed.runFor(Millis(2));
            bed.replyToAllExcept({});
            REQUIRE(bed.isAnswered(request));
        }
        CHECK(callsTo(bed, pausing) == 1);
    }
}

TEST_CASE("an answer, a connection and a shorter pause do not end a longer pause")
{
    ReplicaHealth health;
    const TimePoint start = TimePoint(std::chrono::hours(1));
    CHECK(health.recordBackOff(Millis(3000), start));
    CHECK_FALSE(health.recordBackOff(Millis(1000), start + Millis(10)));
    health.callSent(1, start, Millis(5));
    health.callAnswered(1, start + Millis(20));
    health.connected(start + Millis(30));
    CHECK(health.isBackingOff(start + Millis(2999)));
    CHECK_FALSE(health.isBackingOff(start + Millis(3000)));
}

TEST_CASE("without a valid pause the ordinary policy holds")
{
    for (const Millis backOff : { Millis(-1), Millis(0) }) {
        RoutingTestBed bed;
        bed.useStandardRoutes(1, RepeatPolicy::Idempotent, 1.0);
        bed.start(1, "/all/q");
        bed.reply(0, refusal(backOff));
        bed.replyToAllExcept({});
        bed.runFor(Millis(1500));
        CHECK_FALSE(bed.directory.find(bed.transport.calls[0].replica)->health.isBackingOff(bed.clock.now()));
    }
}

TEST_CASE("if all replicas of a service pause, a request is refused at once with the shortest remaining time")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(1, RepeatPolicy::AtMostOnce);
    bed.start(1, "/one/x");
    bed.reply(0, refusal(Millis(3000)));
    bed.reply(1, refusal(Millis(1200)));
    CHECK(bed.onlyAnswer(1).answer.status == 503);
    CHECK(bed.onlyAnswer(1).answer.retryAfter == Millis(1200));
    bed.clock.advance(Millis(200));
    bed.start(2, "/one/x");
    CHECK(bed.transport.calls.size() == 2);
    CHECK(bed.onlyAnswer(2).answer.status == 503);
    CHECK(bed.onlyAnswer(2).answer.code == ResultCode::ServerShed);
    CHECK(bed.onlyAnswer(2).answer.retryAfter == Millis(1000));
}

TEST_CASE("a shard whose replicas all pause is missing at once, and the others are gathered")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(20, RepeatPolicy::Idempotent);
    bed.directory.find("s3-a")->health.recordBackOff(Millis(2000), bed.clock.now());
    bed.directory.find("s3-b")->health.recordBackOff(Millis(2000), bed.clock.now());
    bed.start(1, "/all/q");
    CHECK(bed.transport.calls.size() == 19);
    bed.replyToAllExcept({});
    REQUIRE(bed.onlyAnswer(1).answer.missing.size() == 1);
    CHECK(bed.onlyAnswer(1).answer.missing[0].reason == ResultCode::ServerShed);
}

TEST_CASE("a search that lacks too many pausing shards says when enough of them take requests again")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(4, RepeatPolicy::Idempotent, 0.75);
    const std::vector<Millis> pauses = { Millis(900), Millis(2000), Millis(1500) };
    for (size_t i = 0; i < pauses.size(); ++i) {
        for (const char* copy : { "-a", "-b" })
            bed.directory.find("s" + std::to_string(i) + copy)->health.recordBackOff(pauses[i], bed.clock.now());
    }
    bed.start(1, "/all/q");
    CHECK(bed.transport.calls.empty());
    CHECK(bed.onlyAnswer(1).answer.status == 503);
    // Two of the three have to return.
    CHECK(bed.onlyAnswer(1).answer.retryAfter == Millis(1500));
}

TEST_CASE("calls that wait for a connection to a pausing replica go to another one")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(1, RepeatPolicy::Idempotent, 1.0);
    bed.start(1, "/all/q");
    bed.transport.unconnected["s0-a"] = true;
    bed.start(2, "/all/q");
    REQUIRE(bed.transport.calls[1].replica == "s0-a");
    bed.reply(0, refusal(Millis(2000)));
    CHECK(bed.transport.calls[1].isCancelled);
    CHECK(callsTo(bed, "s0-b") == 2);
}
