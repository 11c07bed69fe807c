/// Planned stop of an instance: which requests it still processes, and when it answers the open ones.

#include "../src/process/stop_schedule.h"
#include "support/routing_bed.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

namespace {

constexpr Millis kGrace { 6000 };
constexpr Millis kSubmissionTimeout { 1500 };
/// Four latency targets of the route.
constexpr Millis kSubmissionNeeds { 1000 };
constexpr Millis kSearchTarget { 80 };

/// A bed with a search over two shards, and single requests that may run once at most.
void useRoutes(RoutingTestBed& bed)
{
    bed.useStandardRoutes(2, RepeatPolicy::AtMostOnce, 1.0);
}

} // namespace

TEST_CASE("a stop leaves time between the last answers, the end of the process and the end of the grace period")
{
    for (const Millis grace : { Millis(100), Millis(1000), Millis(6000), Millis(60000) }) {
        StopSchedule stop;
        const TimePoint start {};
        CHECK_FALSE(stop.mustExit(start + grace));
        stop.begin(start, grace);
        CHECK(stop.answerBy() > start);
        CHECK_FALSE(stop.mustExit(stop.answerBy()));
        CHECK(stop.mustExit(start + grace - Millis(1)));
        CHECK(stop.mayStopAccepting(stop.answerBy()));
    }
}

TEST_CASE("a stopping instance refuses at once a submission that is likely to outlast the stop")
{
    RoutingTestBed bed;
    useRoutes(bed);
    const TimePoint answerBy = bed.clock.now() + Millis(2000);
    bed.dispatcher->beginStop(answerBy);
    bed.start(1, "/one/a", kSubmissionTimeout);
    CHECK_FALSE(bed.isAnswered(1));
    CHECK(bed.transport.calls.size() == 1);
    bed.runFor(Millis(2000) - kSubmissionNeeds + Millis(1));
    bed.start(2, "/one/b", kSubmissionTimeout);
    REQUIRE(bed.isAnswered(2));
    CHECK(bed.onlyAnswer(2).answer.status == 503);
    CHECK(bed.onlyAnswer(2).answer.code == ResultCode::ShuttingDown);
    CHECK(bed.onlyAnswer(2).answer.retryAfter >= Millis::zero());
    CHECK(bed.transport.calls.size() == 1);
    // A shorter timeout of the caller fits.
    bed.start(3, "/one/c", kSubmissionNeeds - Millis(1));
    CHECK_FALSE(bed.isAnswered(3));
}

TEST_CASE("a stopping instance processes a search while its latency target fits")
{
    RoutingTestBed bed;
    useRoutes(bed);
    bed.dispatcher->beginStop(bed.clock.now() + Millis(200));
    bed.runFor(Millis(100));
    bed.start(1, "/all/a", Millis(400));
    CHECK_FALSE(bed.isAnswered(1));
    bed.replyToAllExcept({});
    CHECK(bed.onlyAnswer(1).answer.status == 200);
    bed.runFor(Millis(200) - Millis(100) - kSearchTarget + Millis(1));
    bed.start(2, "/all/b", Millis(400));
    REQUIRE(bed.isAnswered(2));
    CHECK(bed.onlyAnswer(2).answer.status == 503);
    CHECK(bed.onlyAnswer(2).answer.code == ResultCode::ShuttingDown);
}

TEST_CASE("all requests that are open when a stop ends are answered by then, and truly")
{
    RoutingTestBed bed;
    useRoutes(bed);
    // Nothing can be sent for the third one.
    bed.start(1, "/one/a", kSubmissionTimeout);
    bed.start(2, "/all/a", Millis(400));
    bed.transport.unconnected = { { "card-a", true }, { "card-b", true } };
    bed.transport.busy = bed.transport.unconnected;
    bed.start(3, "/one/b", kSubmissionTimeout);
    bed.dispatcher->beginStop(bed.clock.now() + Millis(300));
    bed.runFor(Millis(299));
    CHECK(bed.answers.empty());
    bed.runFor(Millis(1));
    REQUIRE(bed.answers.size() == 3);
    CHECK(bed.dispatcher->openRequests() == 0);
    CHECK(bed.onlyAnswer(1).answer.status == 504);
    CHECK(bed.onlyAnswer(1).answer.code == ResultCode::OutcomeUnknown);
    CHECK(bed.onlyAnswer(2).answer.status == 504);
    CHECK(bed.onlyAnswer(2).answer.code == ResultCode::AttemptTimeout);
    CHECK(bed.onlyAnswer(3).answer.status == 503);
    CHECK(bed.onlyAnswer(3).answer.code == ResultCode::ShuttingDown);
}

TEST_CASE("a search that has enough coverage when a stop ends is answered with its parts")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(4, RepeatPolicy::Idempotent, 0.75);
    bed.start(1, "/all/a", Millis(400));
    bed.replyToAllExcept({ "s0-a" });
    bed.dispatcher->beginStop(bed.clock.now() + Millis(10));
    bed.runFor(Millis(10));
    REQUIRE(bed.isAnswered(1));
    CHECK(bed.onlyAnswer(1).answer.status == 200);
    CHECK(bed.onlyAnswer(1).answer.missing.size() == 1);
}

TEST_CASE("a stop does not prolong a request's own deadline")
{
    RoutingTestBed bed;
    useRoutes(bed);
    bed.dispatcher->beginStop(bed.clock.now() + kGrace);
    bed.start(1, "/one/a", Millis(500));
    bed.runFor(Millis(500));
    REQUIRE(bed.isAnswered(1));
    CHECK(bed.onlyAnswer(1).answer.code == ResultCode::OutcomeUnknown);
}
