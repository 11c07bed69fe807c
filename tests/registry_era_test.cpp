/// A registry that is restored from an older copy: revisions go back and are issued again, and old entries return.

#include "support/state_bed.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

TEST_CASE("the era is decoded from every answer of the store")
{
    const std::string page = R"({"items":[],"has_more":false,"store_revision":9})";
    struct TestCase {
        int status;
        std::vector<HeaderField> headers;
        uint64_t era;
    };
    const std::vector<TestCase> testCases = { { 200, { { "Store-Era", "7" } }, 7 }, { 410, { { "store-era", "8" } }, 8 }, { 503, { { "Store-Era", "9" } }, 9 }, { 200, {}, 0 },
        { 200, { { "Store-Era", "soon" } }, 0 }, { 200, { { "Store-Era", "-1" } }, 0 }, { 0, {}, 0 } };
    for (const TestCase& testCase : testCases) {
        INFO(testCase.status << " " << testCase.era);
        CHECK(platform::decodeStoreReply(RegistryCall::Kind::Page, HttpResponse { testCase.status, testCase.headers, page }).result.era == testCase.era);
    }
}

TEST_CASE("a new era discards the answer and everything is read again, whatever the answer says")
{
    struct TestCase {
        std::string what;
        RegistryResult result;
        bool isReadAtOnce;
    };
    const std::vector<TestCase> testCases = {
        { "changes with revisions issued again", answer(6, 500), true },
        { "changes with a lower revision", answer(6, 100), true },
        { "no changes", answer(6, 500, RegistryOutcome::Done, 0), true },
        { "history not available", answer(6, 0, RegistryOutcome::HistoryLost), true },
        { "refused", answer(6, 0, RegistryOutcome::Refused), false },
    };
    for (const TestCase& testCase : testCases) {
        INFO(testCase.what);
        StateTestBed bed;
        bed.receive(answer(5, 400));
        REQUIRE(bed.sync.nextCall().kind == RegistryCall::Kind::Changes);
        bed.receive(testCase.result);
        CHECK(bed.sync.isLastAnswerDiscarded());
        CHECK(bed.sync.era() == 6);
        CHECK(bed.sync.nextCall().kind == RegistryCall::Kind::Page);
        CHECK(bed.sync.nextCall().afterKey.empty());
        CHECK((bed.sync.nextCallAt() <= bed.clock.now()) == testCase.isReadAtOnce);
        bed.receive(answer(6, 90));
        CHECK(bed.sync.nextCall().afterRevision == 90);
    }
}

TEST_CASE("an answer of an earlier era is not used")
{
    StateTestBed bed;
    bed.receive(answer(6, 90));
    bed.receive(answer(5, 900), { StateTestBed::written(entryOf("old", 1)) });
    CHECK(bed.sync.era() == 6);
    CHECK(bed.sync.revision() == 90);
    CHECK_FALSE(bed.isUsed("old"));
}

TEST_CASE("an era that rises between two pages starts the read again")
{
    StateTestBed bed;
    RegistryResult first = answer(5, 400);
    first.hasMore = true;
    first.lastKey = "servers/m";
    bed.receive(first, { StateTestBed::written(entryOf("a", 1)) });
    REQUIRE(bed.sync.nextCall().afterKey == "servers/m");
    bed.receive(answer(6, 90), { StateTestBed::written(entryOf("z", 1)) });
    CHECK(bed.sync.nextCall().afterKey.empty());
    CHECK_FALSE(bed.isUsed("z"));
    CHECK_FALSE(bed.state.isComplete());
}

TEST_CASE("a replica that left is not used again when its old registration returns in a copy")
{
    struct TestCase {
        std::string report;
        ReplicaEntry entry;
        bool isUsed;
    };
    const std::vector<TestCase> testCases = {
        { "the entry of the copy", entryOf("a", 40), false },
        { "the last entry before it left", entryOf("a", 50), false },
        { "a later report", entryOf("a", 51), true },
        { "a restart under its id", entryOf("a", 1, 2), true },
        { "an earlier run", entryOf("a", 99, 0), false },
    };
    for (const TestCase& testCase : testCases) {
        INFO(testCase.report);
        StateTestBed bed;
        bed.receive(answer(5, 400), { StateTestBed::written(entryOf("a", 50)), StateTestBed::written(entryOf("b", 50)) });
        bed.receive(answer(5, 401), { StateTestBed::removed("a") });
        REQUIRE_FALSE(bed.isUsed("a"));
        bed.receive(answer(6, 390));
        bed.receive(answer(6, 390), { StateTestBed::written(testCase.entry), StateTestBed::written(entryOf("b", 40)) });
        CHECK(bed.isUsed("a") == testCase.isUsed);
        CHECK(bed.isUsed("b"));
    }
}

TEST_CASE("a replica that drains is not ready again in a copy")
{
    StateTestBed bed;
    bed.receive(answer(5, 400), { StateTestBed::written(entryOf("a", 50, 1, ReplicaState::Draining)) });
    bed.receive(answer(6, 390));
    bed.receive(answer(6, 390), { StateTestBed::written(entryOf("a", 45)) });
    CHECK_FALSE(bed.isUsed("a"));
}

TEST_CASE("a replica that is missing from a copy serves until it could have registered again")
{
    for (const bool registersAgain : { true, false }) {
        INFO(registersAgain);
        StateTestBed bed;
        bed.receive(answer(5, 400), { StateTestBed::written(entryOf("a", 50)), StateTestBed::written(entryOf("b", 50)) });
        bed.receive(answer(6, 390));
        bed.receive(answer(6, 390), { StateTestBed::written(entryOf("b", 40)) });
        CHECK(bed.isUsed("a"));
        bed.wait(Millis(1900));
        CHECK(bed.isUsed("a"));
        if (registersAgain)
            bed.receive(answer(6, 391), { StateTestBed::written(entryOf("a", 52)) });
        bed.wait(Millis(200));
        CHECK(bed.isUsed("a") == registersAgain);
        CHECK(bed.isUsed("b"));
    }
}

TEST_CASE("a follower takes a higher era over any state of a lower one")
{
    StateTestBed bed;
    ChangesReply reply;
    reply.era = 5;
    reply.isFullSnapshot = true;
    reply.written = { entryOf("a", 50), entryOf("b", 50) };
    bed.state.applyPeer(reply);
    CHECK(bed.state.acceptsEra(5));
    CHECK(bed.state.acceptsEra(0));
    CHECK_FALSE(bed.state.acceptsEra(4));
    reply.era = 6;
    reply.written = { entryOf("b", 40) };
    bed.state.applyPeer(reply);
    CHECK(bed.state.era() == 6);
    CHECK(bed.isUsed("a"));
    bed.wait(Millis(2100));
    CHECK_FALSE(bed.isUsed("a"));
    CHECK(bed.isUsed("b"));
    CHECK_FALSE(bed.state.acceptsEra(5));
}

TEST_CASE("a configuration that a copy has lost stays active")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(1, RepeatPolicy::Idempotent);
    RoutingDocument newer = bed.dispatcher->table()->document();
    newer.version = 9;
    REQUIRE(bed.dispatcher->activateTable(std::make_shared<const RouteTable>(newer)));
    newer.version = 5;
    CHECK_FALSE(bed.dispatcher->activateTable(std::make_shared<const RouteTable>(newer)));
    CHECK(bed.dispatcher->table()->version() == 9);
}

TEST_CASE("replicas of a full read that was interrupted do not count for the next one")
{
    StateTestBed bed;
    bed.receive(answer(5, 400), { StateTestBed::written(entryOf("a", 50)), StateTestBed::written(entryOf("z", 50)) });
    bed.sync.restart(bed.clock.now());
    RegistryResult first = answer(5, 410);
    first.hasMore = true;
    first.lastKey = "servers/m";
    bed.receive(first, { StateTestBed::written(entryOf("a", 51)) });
    bed.receive(answer(5, 0, RegistryOutcome::Failed));
    // Replica a has left in the meantime.
    RegistryResult again = answer(5, 420);
    bed.receive(again, { StateTestBed::written(entryOf("z", 52)) });
    bed.wait(Millis(2100));
    CHECK_FALSE(bed.isUsed("a"));
    CHECK(bed.isUsed("z"));
}

TEST_CASE("after an outage removals wait only if the registry was unavailable to all")
{
    struct TestCase {
        std::string outage;
        Millis previousAge;
        bool isDeferred;
    };
    const std::vector<TestCase> testCases = {
        { "this instance alone was turned away, another reader had read 1.3 s ago", Millis(1300), false },
        { "nobody could read for five seconds", Millis(5000), true },
    };
    for (const TestCase& testCase : testCases) {
        INFO(testCase.outage);
        StateTestBed bed;
        bed.receive(answer(5, 400), { StateTestBed::written(entryOf("a", 50)), StateTestBed::written(entryOf("b", 50)) });
        for (int failure = 0; failure < 5; ++failure) {
            bed.receive(answer(5, 0, RegistryOutcome::Refused));
            bed.wait(Millis(1000));
        }
        bed.receive(answer(5, 420), { StateTestBed::written(entryOf("b", 54)) }, testCase.previousAge);
        CHECK(bed.isUsed("a") == testCase.isDeferred);
        bed.wait(Millis(2000));
        CHECK_FALSE(bed.isUsed("a"));
    }
}

TEST_CASE("a replica that one snapshot lacks returns with the same report from another")
{
    // Readers that have just started know different parts of the registry, and a follower changes between them.
    StateTestBed bed;
    ChangesReply reply;
    reply.isFullSnapshot = true;
    reply.written = { entryOf("a", 1), entryOf("b", 1) };
    bed.state.applyPeer(reply);
    reply.written = { entryOf("b", 1) };
    bed.state.applyPeer(reply);
    REQUIRE_FALSE(bed.isUsed("a"));
    reply.written = { entryOf("a", 1), entryOf("b", 1) };
    bed.state.applyPeer(reply);
    CHECK(bed.isUsed("a"));
}

TEST_CASE("the first era that is seen is no restoration")
{
    StateTestBed bed;
    ChangesReply reply;
    reply.isFullSnapshot = true;
    reply.written = { entryOf("a", 1), entryOf("b", 1) };
    bed.state.applyPeer(reply);
    reply.era = 5;
    reply.written = { entryOf("b", 1) };
    bed.state.applyPeer(reply);
    CHECK_FALSE(bed.isUsed("a"));
    CHECK(bed.state.era() == 5);
}
