/// Evacuated zones: how an instance learns of an evacuation from the registry and from readers, and when it is over.

#include "../src/process/source_choice.h"
#include "support/state_bed.h"

#include <absl/strings/escaping.h>
#include <catch2/catch.hpp>

using namespace limpettrestle;

namespace {

platform::StoreItem evacuated(const std::string& zone, uint64_t revision)
{
    return platform::ZoneEvacuated { zone, revision };
}

platform::StoreItem restored(const std::string& zone, uint64_t revision)
{
    return platform::ZoneRestored { zone, revision };
}

bool isEvacuated(const ClusterState& state, const std::string& zone)
{
    return state.directory().evacuatedZones().contains(zone);
}

/// Full reply of a reader that has read the facts.
ChangesReply replyOf(const ClusterState& reader, TimePoint now)
{
    ChangesReply reply;
    reply.sender = "n1";
    reply.upTo = reader.changes().position();
    reply.isFullSnapshot = true;
    reply.era = reader.era();
    reply.factsDigest = reader.facts().digest();
    for (const SharedFact& fact : reader.facts().all())
        reply.facts.push_back(toEntry(fact, now));
    for (const auto& [id, replica] : reader.directory().all())
        reply.written.push_back(replica->entry);
    return reply;
}

/// Passes the facts of a reader to a follower through an encoded message.
void passFacts(const StateTestBed& reader, StateTestBed& follower)
{
    const std::optional<ChangesReply> reply = decodeReply(encode(replyOf(reader.state, reader.clock.now())));
    REQUIRE(reply);
    follower.state.applyFacts(reply->facts, reply->sender);
}

} // namespace

TEST_CASE("an evacuation is decoded from its key, whatever its value")
{
    const std::string key = "op/evacuate/north";
    const std::vector<std::string> items = {
        R"({"key":"op/evacuate/north","value":")" + absl::Base64Escape("{}") + R"(","revision":41,"created":41,"lease":0})",
        R"({"key":"op/evacuate/north","value":"%%%","revision":41})",
        R"({"key":"op/evacuate/north","revision":41})",
        R"({"key":"op/evacuate/north","value":7,"revision":41,"deleted":false})",
    };
    for (const std::string& item : items) {
        INFO(item);
        const std::string page = R"({"items":[)" + item + R"(],"has_more":false,"store_revision":90})";
        const platform::StoreReply reply = platform::decodeStoreReply(RegistryCall::Kind::Page, HttpResponse { 200, {}, page });
        REQUIRE(reply.items.size() == 1);
        REQUIRE(std::holds_alternative<platform::ZoneEvacuated>(reply.items[0]));
        CHECK(std::get<platform::ZoneEvacuated>(reply.items[0]).zone == "north");
        CHECK(std::get<platform::ZoneEvacuated>(reply.items[0]).revision == 41);
    }
}

TEST_CASE("the removal of an evacuation is decoded with its revision, and keys without a zone are ignored")
{
    const std::string events = R"({"events":[{"key":"op/evacuate/north","revision":43,"deleted":true},{"key":"op/evacuate/","revision":44},{"key":"op/evacuate/south"}],"store_revision":45})";
    const platform::StoreReply reply = platform::decodeStoreReply(RegistryCall::Kind::Changes, HttpResponse { 200, {}, events });
    REQUIRE(reply.items.size() == 2);
    REQUIRE(std::holds_alternative<platform::ZoneRestored>(reply.items[0]));
    CHECK(std::get<platform::ZoneRestored>(reply.items[0]).zone == "north");
    CHECK(std::get<platform::ZoneRestored>(reply.items[0]).revision == 43);
    REQUIRE(std::holds_alternative<platform::ZoneEvacuated>(reply.items[1]));
    // Without a revision of its own, the item is as new as the answer.
    CHECK(std::get<platform::ZoneEvacuated>(reply.items[1]).revision == 45);
}

TEST_CASE("an evacuation lasts from its item to its removal, in events and in full reads")
{
    StateTestBed bed;
    bed.receive(answer(5, 400), { evacuated("north", 300), StateTestBed::written(entryOf("a", 50)) });
    CHECK(bed.state.hasFacts());
    CHECK(isEvacuated(bed.state, "north"));
    CHECK_FALSE(bed.isUsed("a"));
    bed.receive(answer(5, 410), { restored("north", 405) });
    CHECK(bed.isUsed("a"));
    bed.receive(answer(5, 420), { evacuated("north", 412) });
    CHECK_FALSE(bed.isUsed("a"));
    bed.sync.restart(bed.clock.now());
    bed.receive(answer(5, 430), { evacuated("north", 412), StateTestBed::written(entryOf("a", 51)) });
    CHECK_FALSE(bed.isUsed("a"));
    bed.sync.restart(bed.clock.now());
    bed.receive(answer(5, 440), { StateTestBed::written(entryOf("a", 52)) });
    CHECK(bed.isUsed("a"));
    REQUIRE(bed.state.facts().find(FactKind::ZoneEvacuated, "north"));
    CHECK(bed.state.facts().find(FactKind::ZoneEvacuated, "north")->version == FactVersion { 5, 440 });
}

TEST_CASE("a full read that is not complete ends no evacuation")
{
    StateTestBed bed;
    bed.receive(answer(5, 400), { evacuated("north", 300), StateTestBed::written(entryOf("a", 50)) });
    bed.sync.restart(bed.clock.now());
    RegistryResult first = answer(5, 430);
    first.hasMore = true;
    first.lastKey = "m";
    bed.receive(first);
    CHECK(isEvacuated(bed.state, "north"));
    bed.receive(answer(5, 0, RegistryOutcome::Failed));
    CHECK(isEvacuated(bed.state, "north"));
    // The next read lists the zone on its first page only.
    first.revision = 440;
    bed.receive(first, { evacuated("north", 300) });
    bed.receive(answer(5, 441), { StateTestBed::written(entryOf("a", 51)) });
    CHECK(isEvacuated(bed.state, "north"));
}

TEST_CASE("a reader that is behind neither ends an evacuation nor brings one back")
{
    StateTestBed bed;
    bed.receive(answer(5, 400), { evacuated("north", 395) });
    bed.sync.restart(bed.clock.now());
    bed.receive(answer(5, 390));
    CHECK(isEvacuated(bed.state, "north"));
    bed.receive(answer(5, 401), { restored("north", 401) });
    StateTestBed suspended;
    suspended.receive(answer(5, 398), { evacuated("north", 395) });
    passFacts(suspended, bed);
    CHECK_FALSE(isEvacuated(bed.state, "north"));
    passFacts(bed, suspended);
    CHECK_FALSE(isEvacuated(suspended.state, "north"));
}

TEST_CASE("an evacuation that a restored registry lacks ends only after the time in which the operator writes it again")
{
    enum class Rewrite {
        None,
        AsEvent,
        InFullRead,
    };
    for (const Rewrite rewrite : { Rewrite::None, Rewrite::AsEvent, Rewrite::InFullRead }) {
        INFO(static_cast<int>(rewrite));
        StateTestBed bed;
        bed.receive(answer(5, 400), { evacuated("north", 395), StateTestBed::written(entryOf("a", 50)) });
        bed.receive(answer(6, 350));
        bed.receive(answer(6, 350), { StateTestBed::written(entryOf("a", 40)) });
        CHECK(isEvacuated(bed.state, "north"));
        bed.clock.advance(Millis(1900));
        bed.state.tick();
        CHECK(isEvacuated(bed.state, "north"));
        if (rewrite == Rewrite::AsEvent) {
            bed.receive(answer(6, 361), { evacuated("north", 360) });
        } else if (rewrite == Rewrite::InFullRead) {
            bed.sync.restart(bed.clock.now());
            bed.receive(answer(6, 361), { evacuated("north", 360), StateTestBed::written(entryOf("a", 51)) });
        }
        bed.clock.advance(Millis(200));
        bed.state.tick();
        CHECK(isEvacuated(bed.state, "north") == (rewrite != Rewrite::None));
    }
}

TEST_CASE("an evacuation whose removal a restored registry has lost is in force again")
{
    StateTestBed bed;
    bed.receive(answer(5, 400), { evacuated("north", 395) });
    bed.receive(answer(5, 401), { restored("north", 401) });
    bed.receive(answer(6, 396));
    bed.receive(answer(6, 396), { evacuated("north", 395) });
    CHECK(isEvacuated(bed.state, "north"));
    bed.clock.advance(Millis(3000));
    bed.state.tick();
    CHECK(isEvacuated(bed.state, "north"));
    bed.receive(answer(6, 400), { restored("north", 399) });
    CHECK_FALSE(isEvacuated(bed.state, "north"));
}

TEST_CASE("replicas that are registered or return during an evacuation get no work")
{
    StateTestBed bed;
    bed.receive(answer(5, 400), { StateTestBed::written(entryOf("a", 50)) });
    bed.receive(answer(5, 401), { evacuated("north", 401) });
    ReplicaEntry elsewhere = entryOf("d", 1);
    elsewhere.zone = "south";
    bed.receive(answer(5, 402), { StateTestBed::written(entryOf("b", 1)), StateTestBed::written(elsewhere) });
    CHECK_FALSE(bed.isUsed("b"));
    CHECK(bed.isUsed("d"));
    bed.receive(answer(5, 403), { StateTestBed::removed("a"), StateTestBed::removed("b") });
    bed.receive(answer(5, 404), { StateTestBed::written(entryOf("a", 51)), StateTestBed::written(entryOf("b", 2, 2)) });
    CHECK_FALSE(bed.isUsed("a"));
    CHECK_FALSE(bed.isUsed("b"));
    bed.receive(answer(5, 405), { restored("north", 405) });
    CHECK(bed.isUsed("a"));
    CHECK(bed.isUsed("b"));
}

TEST_CASE("an evacuation ends the held requests of followers, and its facts are taken whatever the replicas of the reply")
{
    StateTestBed reader;
    reader.receive(answer(5, 400), { StateTestBed::written(entryOf("a", 50)) });
    StateTestBed follower;
    follower.state.applyPeer(replyOf(reader.state, reader.clock.now()));
    REQUIRE(follower.isUsed("a"));
    const ChangePosition before = reader.state.changes().position();
    reader.receive(answer(5, 401), { evacuated("north", 401) });
    CHECK(reader.state.changes().position() > before);
    CHECK(reader.state.facts().digest() != follower.state.facts().digest());
    passFacts(reader, follower);
    CHECK_FALSE(follower.isUsed("a"));
    CHECK(reader.state.facts().digest() == follower.state.facts().digest());
    const SharedFact* fact = follower.state.facts().find(FactKind::ZoneEvacuated, "north");
    REQUIRE(fact);
    CHECK(fact->source == "registry");
    // The same facts again change nothing.
    const ChangePosition position = follower.state.changes().position();
    passFacts(reader, follower);
    CHECK(follower.state.changes().position() == position);
}

TEST_CASE("facts travel with their versions and ages, and kinds and fields of a later build are passed over")
{
    TestClock clock;
    const SharedFact fact { FactKind::ReplicaCold, "r1", true, { 3, 77 }, "n4", clock.now() - Millis(800), clock.now() + Millis(1500) };
    ChangesReply reply;
    reply.factsDigest = 9;
    reply.facts = { toEntry(fact, clock.now()) };
    nlohmann::json message = nlohmann::json::parse(encode(reply));
    message["facts"][0].push_back("later");
    message["facts"].push_back(nlohmann::json::array({ "moon_phase", "full" }));
    const std::optional<ChangesReply> decoded = decodeReply(message.dump());
    REQUIRE(decoded);
    CHECK(decoded->factsDigest == 9);
    REQUIRE(decoded->facts.size() == 1);
    const SharedFact back = toFact(decoded->facts[0], clock.now());
    CHECK(back.kind == fact.kind);
    CHECK(back.subject == fact.subject);
    CHECK(back.holds == fact.holds);
    CHECK(back.version == fact.version);
    CHECK(back.source == fact.source);
    CHECK(back.learnedAt == fact.learnedAt);
    CHECK(back.endsAt == fact.endsAt);
    message["facts"][0][3] = "x";
    CHECK_FALSE(decodeReply(message.dump()));
}

TEST_CASE("the digest of the facts is optional in requests and replies")
{
    ChangesRequest request;
    CHECK(encodeTarget(request).find("facts") == std::string::npos);
    request.factsDigest = 0;
    REQUIRE(decodeTarget(encodeTarget(request)));
    CHECK(decodeTarget(encodeTarget(request))->factsDigest == 0);
    ChangesReply reply;
    CHECK(encode(reply).find("facts") == std::string::npos);
    CHECK_FALSE(decodeReply(encode(reply))->factsDigest);
}

TEST_CASE("a follower does not rely on a reader that sends no facts")
{
    const TimePoint start = TimePoint(std::chrono::hours(1));
    SourceChoice sources(2, false, 0, start);
    // While it starts it asks the other reader, and then reads the registry itself.
    sources.peerLacksFacts(0, false, Millis(100), start + Millis(10));
    CHECK(sources.peer(start + Millis(10)) == 1);
    CHECK_FALSE(sources.readsRegistry(start + Millis(10)));
    sources.peerLacksFacts(1, false, Millis(100), start + Millis(20));
    CHECK(sources.readsRegistry(start + Millis(300)));
    // A reader of this build is followed again.
    sources.peerAnswered(1, Millis(100), start + Millis(400));
    CHECK_FALSE(sources.readsRegistry(start + Millis(400)));
    sources.peerLacksFacts(0, true, Millis(0), start + Millis(500));
    CHECK(sources.peer(start + Millis(500)) == 1);
    CHECK(sources.peer(start + Millis(2500)) == 1);
}

TEST_CASE("a state from a reader without facts is used while the registry is away, and does not count as recent")
{
    const TimePoint start = TimePoint(std::chrono::hours(1));
    SourceChoice sources(1, false, 0, start);
    sources.registryAnswered(start);
    sources.registryFailed(start + Millis(1000));
    sources.peerLacksFacts(0, true, Millis(100), start + Millis(2000));
    CHECK(sources.age(start + Millis(2000)) == Millis(100));
    CHECK(sources.readsRegistry(start + Millis(2000)));
}

namespace {

/// Returns the longest time from the writing of an evacuation until a follower of a reader applies it. Each step of
/// `kStep` of the reader's cycle is tried.
Millis longestTimeToFollower(Millis reaction)
{
    constexpr Millis kStep { 50 };
    const RegistryPollTiming timing = RegistryPollTiming::forReactionTime(reaction);
    const Millis cycle = timing.pause + timing.registryHold;
    Millis longest { 0 };
    for (Millis offset { 0 }; offset <= cycle; offset += kStep) {
        StateTestBed reader(reaction);
        StateTestBed follower(reaction);
        reader.receive(answer(5, 400), { StateTestBed::written(entryOf("a", 1)) });
        passFacts(reader, follower);
        const TimePoint writtenAt = reader.clock.now() + offset;
        TimePoint heldSince = reader.clock.now();
        ChangePosition sent = reader.state.changes().position();
        std::optional<TimePoint> watchSince;
        while (!isEvacuated(follower.state, "north")) {
            reader.clock.advance(Millis(1));
            follower.clock.advance(Millis(1));
            const TimePoint now = reader.clock.now();
            if (!watchSince && now >= reader.sync.nextCallAt())
                watchSince = now;
            if (watchSince && now >= writtenAt && reader.sync.nextCall().kind == RegistryCall::Kind::Changes) {
                reader.receive(answer(5, 500), { evacuated("north", 500) });
                watchSince.reset();
            } else if (watchSince && now - *watchSince >= reader.sync.nextCall().hold) {
                // Replicas report all the time, so that a watch ends with their reports at the latest.
                reader.receive(answer(5, reader.sync.revision() + 1), { StateTestBed::written(entryOf("a", reader.sync.revision())) });
                watchSince.reset();
            }
            const bool hasChanges = reader.state.changes().position() != sent;
            if (hasChanges || now - heldSince >= timing.followerHold) {
                passFacts(reader, follower);
                sent = reader.state.changes().position();
                heldSince = now;
            }
        }
        longest = std::max(longest, std::chrono::duration_cast<Millis>(reader.clock.now() - writtenAt));
    }
    return longest;
}

} // namespace

TEST_CASE("an evacuation is in force at followers within half of the reaction time")
{
    for (const Millis reaction : { Millis(1000), Millis(3000), Millis(5000), Millis(20000) }) {
        INFO(reaction.count());
        CHECK(longestTimeToFollower(reaction) <= reaction / 2);
    }
}
