/// Removals after an outage of the registry: when they wait, and what instances tell each other meanwhile.

#include "../src/gateway/peer_messages.h"
#include "support/state_bed.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

namespace {

/// State of an instance that has read the replicas a and b.
struct TwoReplicas : StateTestBed {
    TwoReplicas()
    {
        receive(answer(5, 400), { written(entryOf("a", 50)), written(entryOf("b", 50)) });
    }

    void failFor(Millis time)
    {
        for (Millis passed { 0 }; passed < time; passed += Millis(500)) {
            receive(answer(5, 0, RegistryOutcome::Failed));
            wait(Millis(500));
        }
    }
    /// Reads everything; replica a is not listed.
    void readWithoutA(Millis previousAge = Millis(5000))
    {
        sync.restart(clock.now());
        receive(answer(5, 420), { written(entryOf("b", 54)) }, previousAge);
    }
};

} // namespace

TEST_CASE("an outage that reading did not outlast does not put off removals of a later reading")
{
    for (const bool hasStopped : { true, false }) {
        INFO(hasStopped);
        TwoReplicas bed;
        bed.failFor(Millis(2500));
        if (hasStopped)
            bed.sync.stop();
        // Followed a reader, or was suspended.
        bed.wait(Millis(5000));
        bed.readWithoutA(Millis(2500));
        CHECK_FALSE(bed.isUsed("a"));
        CHECK(bed.isUsed("b"));
    }
}

// Guards against a replica that is used again after its removal because another reader's state is older than it claims.
TEST_CASE("a replica that one reader has removed is not used again on another one's word without a later report")
{
    for (const bool isFullSnapshot : { false, true }) {
        INFO(isFullSnapshot);
        TwoReplicas follower;
        ChangesReply removal;
        removal.removed = { "a" };
        follower.state.applyPeer(removal);
        REQUIRE_FALSE(follower.isUsed("a"));
        ChangesReply older;
        older.isFullSnapshot = isFullSnapshot;
        older.written = { entryOf("a", 50), entryOf("b", 50) };
        follower.state.applyPeer(older);
        CHECK_FALSE(follower.isUsed("a"));
        CHECK(follower.isUsed("b"));
        ChangesReply later;
        later.written = { entryOf("a", 51) };
        follower.state.applyPeer(later);
        CHECK(follower.isUsed("a"));
    }
}

TEST_CASE("a replica that one reader has removed is used again when others go on listing it")
{
    TwoReplicas follower;
    ChangesReply removal;
    removal.removed = { "a" };
    follower.state.applyPeer(removal);
    ChangesReply listing;
    listing.written = { entryOf("a", 50) };
    follower.state.applyPeer(listing);
    follower.clock.advance(Millis(3001));
    follower.state.tick();
    CHECK(follower.isUsed("a"));
}

TEST_CASE("a short suspension during an outage does not end the wait for replicas that register again")
{
    TwoReplicas bed;
    bed.failFor(Millis(4000));
    bed.sync.restart(bed.clock.now());
    bed.readWithoutA();
    CHECK(bed.isUsed("a"));
    bed.wait(Millis(1900));
    CHECK(bed.isUsed("a"));
    bed.wait(Millis(200));
    CHECK_FALSE(bed.isUsed("a"));
}

namespace {

/// Full list of the replicas of an instance, as sent to a follower; an earlier build names no deferred removals.
ChangesReply listOf(const StateTestBed& bed, bool isEarlierBuild = false)
{
    ChangesReply reply;
    reply.isFullSnapshot = true;
    for (const auto& [id, replica] : bed.state.directory().all())
        reply.written.push_back(replica->entry);
    if (!isEarlierBuild)
        reply.deferred = bed.state.deferredRemovals();
    return *decodeReply(encode(reply));
}

/// The changes of an instance after `position`.
ChangesReply changesOf(const StateTestBed& bed, ChangePosition position)
{
    const ChangeSet changes = bed.state.changes().changesAfter(position);
    ChangesReply reply;
    for (const std::string& id : changes.written)
        reply.written.push_back(bed.state.directory().find(id)->entry);
    reply.removed = changes.removed;
    reply.deferred = bed.state.deferredRemovals();
    return reply;
}

void waitAll(std::initializer_list<StateTestBed*> beds, Millis time)
{
    for (StateTestBed* bed : beds) {
        bed->clock.advance(time);
        bed->state.tick();
    }
}

/// The seed was cut off alone, and has deferred the removal of replica a, which others have read.
struct SeedAfterCut : TwoReplicas {
    SeedAfterCut()
    {
        failFor(Millis(3500));
        sync.restart(clock.now());
        receive(answer(5, 420), { written(entryOf("b", 54)) }, Millis(3500));
        REQUIRE(isUsed("a"));
    }
};

} // namespace

TEST_CASE("a replica whose removal was read is not used again because a reader defers the removal")
{
    for (const bool isEarlierBuild : { false, true }) {
        INFO(isEarlierBuild);
        SeedAfterCut seed;
        TwoReplicas follower;
        follower.readWithoutA(Millis(1000));
        REQUIRE_FALSE(follower.isUsed("a"));
        follower.state.applyPeer(listOf(seed, isEarlierBuild));
        CHECK_FALSE(follower.isUsed("a"));
        CHECK(follower.isUsed("b"));
        const ChangePosition position = seed.state.changes().position();
        waitAll({ &seed, &follower }, Millis(2100));
        follower.state.applyPeer(changesOf(seed, position));
        waitAll({ &seed, &follower }, Millis(5000));
        CHECK_FALSE(follower.isUsed("a"));
        CHECK_FALSE(seed.isUsed("a"));
    }
}

TEST_CASE("a replica whose removal another reader told is not used again because a reader defers the removal")
{
    SeedAfterCut seed;
    TwoReplicas follower;
    ChangesReply removal;
    removal.removed = { "a" };
    follower.state.applyPeer(removal);
    REQUIRE_FALSE(follower.isUsed("a"));
    follower.state.applyPeer(listOf(seed));
    CHECK_FALSE(follower.isUsed("a"));
}

TEST_CASE("followers use a replica again as soon as its reader has read its return")
{
    SeedAfterCut seed;
    TwoReplicas follower;
    follower.readWithoutA(Millis(1000));
    follower.state.applyPeer(listOf(seed));
    REQUIRE_FALSE(follower.isUsed("a"));
    const ChangePosition position = seed.state.changes().position();
    seed.receive(answer(5, 421), { StateTestBed::written(entryOf("a", 53)) });
    follower.state.applyPeer(changesOf(seed, position));
    CHECK(follower.isUsed("a"));
    CHECK(seed.state.deferredRemovals().empty());
    waitAll({ &seed, &follower }, Millis(2100));
    CHECK(seed.isUsed("a"));
    CHECK(follower.isUsed("a"));
}

TEST_CASE("an instance that has not seen a replica leave uses it while its reader defers the removal, and passes that on")
{
    SeedAfterCut seed;
    StateTestBed starting;
    starting.state.applyPeer(listOf(seed));
    CHECK(starting.isUsed("a"));
    TwoReplicas follower;
    follower.readWithoutA(Millis(1000));
    follower.state.applyPeer(listOf(starting));
    CHECK_FALSE(follower.isUsed("a"));
    const ChangePosition position = seed.state.changes().position();
    seed.wait(Millis(2100));
    starting.state.applyPeer(changesOf(seed, position));
    CHECK_FALSE(starting.isUsed("a"));
}

TEST_CASE("a replica that an earlier build goes on listing is used again after a wait, unless it is removed again")
{
    for (const bool isRemovedAgain : { false, true }) {
        INFO(isRemovedAgain);
        TwoReplicas reader;
        TwoReplicas follower;
        follower.readWithoutA(Millis(1000));
        follower.state.applyPeer(listOf(reader, true));
        waitAll({ &follower }, Millis(2500));
        CHECK_FALSE(follower.isUsed("a"));
        if (isRemovedAgain) {
            ChangesReply removal;
            removal.removed = { "a" };
            follower.state.applyPeer(removal);
        }
        waitAll({ &follower }, Millis(1000));
        CHECK(follower.isUsed("a") != isRemovedAgain);
    }
}

TEST_CASE("a later report that another instance forwards is evidence that a removed replica is back")
{
    TwoReplicas follower;
    follower.readWithoutA(Millis(1000));
    ChangesReply reply;
    reply.written = { entryOf("a", 51) };
    follower.state.applyPeer(reply);
    CHECK(follower.isUsed("a"));
}
