/// Tests of divided searches: how the sender handles groups that are complete, incomplete, late or lost,
/// and how an aggregator gathers a group.

#include "../src/gateway/gather_messages.h"
#include "support/gather_bed.h"

#include <catch2/catch.hpp>
#include <set>

using namespace limpettrestle;

namespace {

constexpr uint64_t kRequest = 1;

} // namespace

TEST_CASE("a divided search is complete when all groups have been answered")
{
    GatherTestBed test;
    test.bed.start(kRequest, "/all/q");
    REQUIRE(test.groups.sent.size() > 1);
    CHECK(test.bed.transport.calls.empty());
    CHECK(test.groups.sent[0].request.softTimeout < Millis(80));
    CHECK(test.groups.sent[0].request.maxAttempts == 2);
    test.answerAllExcept(kShards);
    const RecordedAnswer& answer = test.bed.onlyAnswer(kRequest);
    CHECK(answer.answer.status == 200);
    CHECK(answer.answer.partSignatures.size() == kShards);
    CHECK(answer.answer.partSignatures[0] == "sig-s0");
    CHECK(answer.answer.body == std::string(48, 'y'));
}

TEST_CASE("a part that was not gathered is called directly if time and attempts remain")
{
    GatherTestBed test;
    test.bed.start(kRequest, "/all/q");
    test.answerAllExcept(0);
    const TestGroupTransport::SentGroup& group = test.groups.sent[0];
    const std::string& uncalledShard = group.request.shards[0];
    const std::string& calledShard = group.request.shards[1];
    test.bed.dispatcher->groupAnswered(group.id, GatherTestBed::replyTo(group.request, { { uncalledShard, ResultCode::NoReplicaReachable, 0 }, { calledShard, ResultCode::AttemptTimeout, 2 } }));
    REQUIRE(test.bed.transport.calls.size() == 1);
    CHECK(test.bed.transport.calls[0].service == uncalledShard);
    test.bed.reply(0, RoutingTestBed::success("direct"));
    const RecordedAnswer& answer = test.bed.onlyAnswer(kRequest);
    CHECK(answer.answer.partSignatures.size() == kShards - 1);
    REQUIRE(answer.answer.missing.size() == 1);
    CHECK(answer.answer.missing[0].service == calledShard);
}

TEST_CASE("a divided search is never reported as not executed if parts of it were executed")
{
    GatherTestBed test(1.0);
    test.bed.start(kRequest, "/all/q");
    test.answerAllExcept(0);
    const TestGroupTransport::SentGroup& group = test.groups.sent[0];
    // The part was not executed and cannot be retried, since its replicas have been removed.
    const std::string& shard = group.request.shards[0];
    test.bed.directory.remove(shard + "-a", test.bed.clock.now());
    test.bed.directory.remove(shard + "-b", test.bed.clock.now());
    test.bed.dispatcher->groupAnswered(group.id, GatherTestBed::replyTo(group.request, { { shard, ResultCode::NoReplicaReachable, 0 } }));
    REQUIRE(test.bed.isAnswered(kRequest));
    CHECK(test.bed.onlyAnswer(kRequest).answer.status == 502);
}

TEST_CASE("the shards of a group that was not sent are called directly")
{
    GatherTestBed test;
    test.bed.start(kRequest, "/all/q");
    const size_t shards = test.groups.sent[0].request.shards.size();
    test.bed.dispatcher->groupFailed(test.groups.sent[0].id, false);
    CHECK(test.bed.transport.calls.size() == shards);
    test.answerAllExcept(0);
    test.bed.replyToAllExcept({});
    CHECK(test.bed.onlyAnswer(kRequest).answer.partSignatures.size() == kShards);
}

TEST_CASE("the shards of a lost group are not called again, since its aggregator may have used all attempts")
{
    for (const double coverage : { 0.5, 0.95 }) {
        GatherTestBed test(coverage);
        test.bed.start(kRequest, "/all/q");
        test.answerAllExcept(0);
        test.bed.dispatcher->groupFailed(test.groups.sent[0].id, true);
        CHECK(test.bed.transport.calls.empty());
        const RecordedAnswer& answer = test.bed.onlyAnswer(kRequest);
        CHECK(answer.answer.status == (coverage < 0.9 ? 200 : 502));
        CHECK(answer.answer.missing.size() == test.groups.sent[0].request.shards.size());
    }
}

TEST_CASE("an aggregator that does not reply affects one search and gets no further groups")
{
    GatherTestBed test(0.95);
    test.bed.start(kRequest, "/all/q");
    test.answerAllExcept(0);
    const std::string unresponsiveAggregator = test.groups.sent[0].aggregator;
    const uint64_t unresponsiveGroup = test.groups.sent[0].id;
    test.bed.runFor(Millis(110));
    CHECK_FALSE(test.bed.isAnswered(kRequest));
    test.bed.start(2, "/all/q");
    for (size_t i = 1; i < test.groups.sent.size(); ++i) {
        if (test.groups.sent[i].id > unresponsiveGroup + kShards)
            CHECK(test.groups.sent[i].aggregator != unresponsiveAggregator);
    }
    // The error is sent before the caller's time limit, so that a retry of the caller may still succeed.
    test.bed.runFor(Millis(60));
    REQUIRE(test.bed.isAnswered(kRequest));
    CHECK(test.bed.onlyAnswer(kRequest).answer.status == 502);
    CHECK(test.groups.sent[0].isCancelled);
}

TEST_CASE("groups are cancelled when the caller disconnects but not when the search is answered")
{
    GatherTestBed test(0.5);
    test.bed.start(kRequest, "/all/q");
    test.bed.dispatcher->callerDisconnected(kRequest);
    CHECK(test.groups.sent[0].isCancelled);
    const size_t before = test.groups.sent.size();
    test.bed.start(2, "/all/q");
    for (size_t i = before + 1; i < test.groups.sent.size(); ++i)
        test.bed.dispatcher->groupAnswered(test.groups.sent[i].id, GatherTestBed::replyTo(test.groups.sent[i].request));
    test.bed.runFor(Millis(78));
    CHECK(test.bed.onlyAnswer(2).answer.status == 200);
    CHECK_FALSE(test.groups.sent[before].isCancelled);
    test.bed.dispatcher->groupAnswered(test.groups.sent[before].id, GatherTestBed::replyTo(test.groups.sent[before].request));
    CHECK(test.bed.answers[2].size() == 1);
}

TEST_CASE("an aggregator answers at the soft deadline with the gathered parts and the executions of the missing ones")
{
    RoutingTestBed bed(0);
    bed.useStandardRoutes(10, RepeatPolicy::Idempotent);
    GroupRequest group;
    group.forwarded.requestId = "r1";
    group.route = "all";
    group.shards = { "s0", "s1", "s2", "unknown" };
    group.softTimeout = Millis(50);
    group.timeLeft = Millis(300);
    group.maxAttempts = 2;
    group.topRecords = 3;
    bed.dispatcher->gather(kRequest, group);
    REQUIRE(bed.transport.calls.size() == 3);
    bed.runFor(Millis(3));
    bed.replyToAllExcept({ "s1-a", "s1-b" });
    bed.runFor(Millis(46));
    const RecordedAnswer& answer = bed.onlyAnswer(kRequest);
    CHECK(answer.report.isGroup);
    CHECK(answer.answer.partSignatures.size() == 2);
    REQUIRE(answer.answer.missing.size() == 2);
    CHECK(answer.answer.missing[0].service == "s1");
    CHECK(answer.answer.missing[0].runs == 1);
    CHECK(answer.answer.missing[1].service == "unknown");
    CHECK(answer.answer.missing[1].runs == 0);
}

TEST_CASE("an instance without a configuration refuses to gather a group")
{
    RoutingTestBed bed;
    GroupRequest group;
    group.shards = { "s0" };
    group.timeLeft = Millis(100);
    bed.dispatcher->gather(kRequest, group);
    CHECK(bed.onlyAnswer(kRequest).answer.status == 503);
    CHECK(bed.onlyAnswer(kRequest).answer.missing.empty());
}

TEST_CASE("group messages survive encoding and decoding, and corrupt ones are rejected")
{
    GroupRequest request;
    request.forwarded.requestId = "id";
    request.forwarded.target = std::string("/q?\xff", 4);
    request.forwarded.commonHead = "GET / HTTP/1.1\r\n";
    request.route = "all";
    request.shards = { "s0", "s1" };
    request.softTimeout = Micros(1234);
    request.timeLeft = Millis(90);
    request.maxAttempts = 2;
    request.topRecords = 5;
    const std::optional<GroupRequest> decodedRequest = decodeGroupRequest(encode(request));
    REQUIRE(decodedRequest);
    CHECK(decodedRequest->forwarded.target == request.forwarded.target);
    CHECK(decodedRequest->forwarded.commonHead == request.forwarded.commonHead);
    CHECK(decodedRequest->shards == request.shards);
    CHECK(decodedRequest->softTimeout == request.softTimeout);
    GroupReply reply;
    reply.signatures = { "a", "b" };
    reply.missing = { { "s2", ResultCode::AttemptTimeout, 1 } };
    reply.records = std::string("\0\xff", 2);
    const std::optional<GroupReply> decodedReply = decodeGroupReply(encode(reply));
    REQUIRE(decodedReply);
    CHECK(decodedReply->signatures == reply.signatures);
    CHECK(decodedReply->records == reply.records);
    CHECK(decodedReply->missing[0].reason == ResultCode::AttemptTimeout);
    CHECK(decodedReply->missing[0].runs == 1);

    std::mt19937_64 random(1);
    for (int round = 0; round < 20000; ++round) {
        std::string damaged = round % 2 == 0 ? encode(request) : encode(reply);
        for (uint64_t i = 0; i <= random() % 3; ++i)
            damaged[random() % damaged.size()] = static_cast<char>(random());
        if (random() % 4 == 0)
            damaged.resize(random() % damaged.size());
        const std::optional<GroupRequest> decoded = decodeGroupRequest(damaged);
        if (decoded)
            CHECK((!decoded->shards.empty() && decoded->maxAttempts > 0));
        decodeGroupReply(damaged);
    }
}

TEST_CASE("parts that a group reply does not mention count as missing")
{
    GatherTestBed test(0.5);
    test.bed.start(kRequest, "/all/q");
    test.answerAllExcept(0);
    GroupReply reply = GatherTestBed::replyTo(test.groups.sent[0].request);
    reply.signatures.resize(1);
    test.bed.dispatcher->groupAnswered(test.groups.sent[0].id, reply);
    const RecordedAnswer& answer = test.bed.onlyAnswer(kRequest);
    CHECK(answer.answer.partSignatures.size() + answer.answer.missing.size() == kShards);
    CHECK(answer.answer.missing.size() == test.groups.sent[0].request.shards.size() - 1);
}

TEST_CASE("aggregators of a shard have the larger part of its repeat budget, and the total is not exceeded")
{
    constexpr double kSlack = 200;
    constexpr uint32_t kFleet = 24;
    GatherPlan plan({ "n1", 0.1 });
    TestGroupTransport groups;
    RoutingTestBed bed(kSlack / RoutingTestBed::kSlackPerBurst, &plan, &groups);
    plan.setFleetSize(kFleet);
    bed.dispatcher->setFleetSize(kFleet);
    plan.setInstances(zoneOfEight());
    bed.useStandardRoutes(kShards, RepeatPolicy::Idempotent);
    std::map<bool, size_t> repeats;
    for (const bool isAggregator : { true, false }) {
        std::string shard;
        for (size_t i = 0; i < kShards; ++i) {
            if (plan.isAggregatorOf("s" + std::to_string(i)) == isAggregator)
                shard = "s" + std::to_string(i);
        }
        REQUIRE_FALSE(shard.empty());
        // Every first call is lost, and a repeat follows as long as the budget allows.
        constexpr size_t kSearches = 30;
        const size_t before = bed.transport.calls.size();
        for (uint64_t request = 1; request <= kSearches; ++request) {
            GroupRequest group;
            group.shards = { shard };
            group.softTimeout = Millis(50);
            group.timeLeft = Millis(100);
            group.maxAttempts = 2;
            bed.dispatcher->gather(request + (isAggregator ? 100 : 200), group);
            bed.fail(bed.transport.calls.size() - 1, CallFailure::Lost);
        }
        repeats[isAggregator] = bed.transport.calls.size() - before - kSearches;
    }
    const double earnedRepeats = 30 * 0.2;
    CHECK(static_cast<double>(repeats[true]) >= earnedRepeats + 7);
    CHECK(static_cast<double>(repeats[false]) <= earnedRepeats + 5);
    // The bursts of all instances together stay within the configured slack.
    const uint32_t aggregators = plan.aggregatorCount("s0");
    const double totalSavedRepeats = aggregators * (static_cast<double>(repeats[true]) - earnedRepeats) + (kFleet - aggregators) * (static_cast<double>(repeats[false]) - earnedRepeats);
    CHECK(totalSavedRepeats <= kSlack);
}
