/// Searches divided among instances: what the sender makes of groups that come back whole, in part,
/// late or not at all, and what an instance does that gathers one.

#include "../src/gateway/gather_messages.h"
#include "support/routing_bed.h"

#include <catch2/catch.hpp>
#include <set>

using namespace limpettrestle;

namespace {

constexpr size_t kShards = 40;
constexpr uint64_t kRequest = 1;

/// Records groups and leaves their answers to the test.
class TestGroups final : public GroupTransportI {
public:
    struct Sent {
        uint64_t id = 0;
        std::string aggregator;
        GroupRequest request;
        bool isCancelled = false;
    };

    void startGroup(uint64_t group, const InstanceInfo& aggregator, GroupRequest request) override { sent.push_back({ group, aggregator.name, std::move(request) }); }
    void cancelGroup(uint64_t group) override
    {
        for (Sent& entry : sent)
            entry.isCancelled = entry.isCancelled || entry.id == group;
    }

    std::vector<Sent> sent;
};

/// Bed of an instance that has others in its zone.
struct GatherBed {
    explicit GatherBed(double minCoverage = 0.89)
        : plan({ "n0", 0.1 })
        , bed(100, &plan, &groups)
    {
        plan.setInstances(zoneOfEight());
        bed.useStandardRoutes(kShards, RepeatPolicy::Idempotent, minCoverage);
    }

    /// Reply with all parts but those named.
    static GroupReply replyTo(const GroupRequest& request, const std::vector<MissingPart>& missing = {})
    {
        GroupReply reply;
        for (const std::string& shard : request.shards) {
            const bool isMissing = std::any_of(missing.begin(), missing.end(), [&shard](const MissingPart& part) { return part.service == shard; });
            if (!isMissing)
                reply.signatures.push_back("sig-" + shard);
        }
        reply.missing = missing;
        reply.records = std::string(16, 'y');
        return reply;
    }

    void answerAllBut(size_t index)
    {
        for (size_t i = 0; i < groups.sent.size(); ++i) {
            if (i != index)
                bed.dispatcher->groupAnswered(groups.sent[i].id, replyTo(groups.sent[i].request));
        }
    }

    GatherPlan plan;
    TestGroups groups;
    RoutingTestBed bed;
};

} // namespace

TEST_CASE("a divided search is whole when its groups are in")
{
    GatherBed test;
    test.bed.start(kRequest, "/all/q");
    REQUIRE(test.groups.sent.size() > 1);
    CHECK(test.bed.transport.calls.empty());
    CHECK(test.groups.sent[0].request.softTimeout < Millis(80));
    CHECK(test.groups.sent[0].request.maxAttempts == 2);
    test.answerAllBut(kShards);
    const RecordedAnswer& answer = test.bed.onlyAnswer(kRequest);
    CHECK(answer.answer.status == 200);
    CHECK(answer.answer.partSignatures.size() == kShards);
    CHECK(answer.answer.partSignatures[0] == "sig-s0");
    CHECK(answer.answer.body == std::string(48, 'y'));
}

TEST_CASE("a part that was not gathered is called directly while there is time, as often as it may still run")
{
    GatherBed test;
    test.bed.start(kRequest, "/all/q");
    test.answerAllBut(0);
    const TestGroups::Sent& group = test.groups.sent[0];
    const std::string& untried = group.request.shards[0];
    const std::string& tried = group.request.shards[1];
    test.bed.dispatcher->groupAnswered(group.id, GatherBed::replyTo(group.request, { { untried, ResultCode::NoReplicaReachable, 0 }, { tried, ResultCode::AttemptTimeout, 2 } }));
    REQUIRE(test.bed.transport.calls.size() == 1);
    CHECK(test.bed.transport.calls[0].service == untried);
    test.bed.reply(0, RoutingTestBed::success("direct"));
    const RecordedAnswer& answer = test.bed.onlyAnswer(kRequest);
    CHECK(answer.answer.partSignatures.size() == kShards - 1);
    REQUIRE(answer.answer.missing.size() == 1);
    CHECK(answer.answer.missing[0].service == tried);
}

TEST_CASE("a divided search of which parts have run is never said not to have run")
{
    GatherBed test(1.0);
    test.bed.start(kRequest, "/all/q");
    test.answerAllBut(0);
    const TestGroups::Sent& group = test.groups.sent[0];
    // Nothing ran for this part, and nothing can: its replicas have left.
    const std::string& shard = group.request.shards[0];
    test.bed.directory.remove(shard + "-a", test.bed.clock.now());
    test.bed.directory.remove(shard + "-b", test.bed.clock.now());
    test.bed.dispatcher->groupAnswered(group.id, GatherBed::replyTo(group.request, { { shard, ResultCode::NoReplicaReachable, 0 } }));
    REQUIRE(test.bed.isAnswered(kRequest));
    CHECK(test.bed.onlyAnswer(kRequest).answer.status == 502);
}

TEST_CASE("a group that did not reach its instance is called directly")
{
    GatherBed test;
    test.bed.start(kRequest, "/all/q");
    const size_t shards = test.groups.sent[0].request.shards.size();
    test.bed.dispatcher->groupFailed(test.groups.sent[0].id, false);
    CHECK(test.bed.transport.calls.size() == shards);
    test.answerAllBut(0);
    test.bed.replyToAllExcept({});
    CHECK(test.bed.onlyAnswer(kRequest).answer.partSignatures.size() == kShards);
}

TEST_CASE("a lost group is not called again, since its instance may have used every attempt")
{
    for (const double coverage : { 0.5, 0.95 }) {
        GatherBed test(coverage);
        test.bed.start(kRequest, "/all/q");
        test.answerAllBut(0);
        test.bed.dispatcher->groupFailed(test.groups.sent[0].id, true);
        CHECK(test.bed.transport.calls.empty());
        const RecordedAnswer& answer = test.bed.onlyAnswer(kRequest);
        CHECK(answer.answer.status == (coverage < 0.9 ? 200 : 502));
        CHECK(answer.answer.missing.size() == test.groups.sent[0].request.shards.size());
    }
}

TEST_CASE("a silent instance costs one search and gets no further groups")
{
    GatherBed test(0.95);
    test.bed.start(kRequest, "/all/q");
    test.answerAllBut(0);
    const std::string silent = test.groups.sent[0].aggregator;
    const uint64_t silentGroup = test.groups.sent[0].id;
    test.bed.pass(Millis(110));
    CHECK_FALSE(test.bed.isAnswered(kRequest));
    test.bed.start(2, "/all/q");
    for (size_t i = 1; i < test.groups.sent.size(); ++i) {
        if (test.groups.sent[i].id > silentGroup + kShards)
            CHECK(test.groups.sent[i].aggregator != silent);
    }
    // Another try may succeed within the caller's patience, so the error comes before its end.
    test.bed.pass(Millis(60));
    REQUIRE(test.bed.isAnswered(kRequest));
    CHECK(test.bed.onlyAnswer(kRequest).answer.status == 502);
    CHECK(test.groups.sent[0].isCancelled);
}

TEST_CASE("groups of a caller that has left are ended, those of an answered one are not")
{
    GatherBed test(0.5);
    test.bed.start(kRequest, "/all/q");
    test.bed.dispatcher->callerLeft(kRequest);
    CHECK(test.groups.sent[0].isCancelled);
    const size_t before = test.groups.sent.size();
    test.bed.start(2, "/all/q");
    for (size_t i = before + 1; i < test.groups.sent.size(); ++i)
        test.bed.dispatcher->groupAnswered(test.groups.sent[i].id, GatherBed::replyTo(test.groups.sent[i].request));
    test.bed.pass(Millis(78));
    CHECK(test.bed.onlyAnswer(2).answer.status == 200);
    CHECK_FALSE(test.groups.sent[before].isCancelled);
    test.bed.dispatcher->groupAnswered(test.groups.sent[before].id, GatherBed::replyTo(test.groups.sent[before].request));
    CHECK(test.bed.answers[2].size() == 1);
}

TEST_CASE("an instance that gathers a group answers when it is wanted, with what is in and what was tried")
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
    bed.pass(Millis(3));
    bed.replyToAllExcept({ "s1-a", "s1-b" });
    bed.pass(Millis(46));
    const RecordedAnswer& answer = bed.onlyAnswer(kRequest);
    CHECK(answer.report.isGroup);
    CHECK(answer.answer.partSignatures.size() == 2);
    REQUIRE(answer.answer.missing.size() == 2);
    CHECK(answer.answer.missing[0].service == "s1");
    CHECK(answer.answer.missing[0].runs == 1);
    CHECK(answer.answer.missing[1].service == "unknown");
    CHECK(answer.answer.missing[1].runs == 0);
}

TEST_CASE("an instance without a configuration gathers nothing")
{
    RoutingTestBed bed;
    GroupRequest group;
    group.shards = { "s0" };
    group.timeLeft = Millis(100);
    bed.dispatcher->gather(kRequest, group);
    CHECK(bed.onlyAnswer(kRequest).answer.status == 503);
    CHECK(bed.onlyAnswer(kRequest).answer.missing.empty());
}

TEST_CASE("messages about groups keep what they say, and damaged ones are refused")
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
    const std::optional<GroupRequest> back = decodeGroupRequest(encode(request));
    REQUIRE(back);
    CHECK(back->forwarded.target == request.forwarded.target);
    CHECK(back->forwarded.commonHead == request.forwarded.commonHead);
    CHECK(back->shards == request.shards);
    CHECK(back->softTimeout == request.softTimeout);
    GroupReply reply;
    reply.signatures = { "a", "b" };
    reply.missing = { { "s2", ResultCode::AttemptTimeout, 1 } };
    reply.records = std::string("\0\xff", 2);
    const std::optional<GroupReply> replyBack = decodeGroupReply(encode(reply));
    REQUIRE(replyBack);
    CHECK(replyBack->signatures == reply.signatures);
    CHECK(replyBack->records == reply.records);
    CHECK(replyBack->missing[0].reason == ResultCode::AttemptTimeout);
    CHECK(replyBack->missing[0].runs == 1);

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

TEST_CASE("a reply that names fewer parts than it was asked for adds nothing that is not there")
{
    GatherBed test(0.5);
    test.bed.start(kRequest, "/all/q");
    test.answerAllBut(0);
    GroupReply reply = GatherBed::replyTo(test.groups.sent[0].request);
    reply.signatures.resize(1);
    test.bed.dispatcher->groupAnswered(test.groups.sent[0].id, reply);
    const RecordedAnswer& answer = test.bed.onlyAnswer(kRequest);
    CHECK(answer.answer.partSignatures.size() + answer.answer.missing.size() == kShards);
    CHECK(answer.answer.missing.size() == test.groups.sent[0].request.shards.size() - 1);
}

TEST_CASE("instances that gather a shard for all have the larger share of its repeats, within the whole")
{
    constexpr double kSlack = 200;
    constexpr uint32_t kFleet = 24;
    GatherPlan plan({ "n1", 0.1 });
    TestGroups groups;
    RoutingTestBed bed(kSlack / RoutingTestBed::kSlackPerBurst, &plan, &groups);
    plan.setFleetSize(kFleet);
    bed.dispatcher->setFleetSize(kFleet);
    plan.setInstances(zoneOfEight());
    bed.useStandardRoutes(kShards, RepeatPolicy::Idempotent);
    std::map<bool, size_t> repeats;
    for (const bool isAggregator : { true, false }) {
        std::string shard;
        for (size_t i = 0; i < kShards; ++i) {
            if (plan.aggregates("s" + std::to_string(i)) == isAggregator)
                shard = "s" + std::to_string(i);
        }
        REQUIRE_FALSE(shard.empty());
        // Every first call is lost; a repeat follows as long as the budget lasts.
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
    const double ratio = 30 * 0.2;
    CHECK(static_cast<double>(repeats[true]) >= ratio + 7);
    CHECK(static_cast<double>(repeats[false]) <= ratio + 5);
    // What all may save up together stays within what is allowed.
    const uint32_t aggregators = plan.aggregatorsOf("s0");
    const double all = aggregators * (static_cast<double>(repeats[true]) - ratio) + (kFleet - aggregators) * (static_cast<double>(repeats[false]) - ratio);
    CHECK(all <= kSlack);
}
