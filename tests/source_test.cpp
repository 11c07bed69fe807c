/// Tests the sources of the cluster state: readers of the registry, their followers, and how each copes with failures
/// of the other.

#include "../src/gateway/peer_messages.h"
#include "../src/process/fleet_size.h"
#include "../src/process/registry_sync.h"
#include "../src/process/source_choice.h"
#include "support/routing_bed.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

namespace {

const TimePoint kStart = TimePoint(std::chrono::hours(1));

RegistryPollTiming timingOf(Millis pause)
{
    RegistryPollTiming timing;
    timing.pause = pause;
    timing.registryHold = Millis(700);
    return timing;
}

} // namespace

TEST_CASE("a follower does not read the registry while its reader has a recent state")
{
    SourceChoice sources(3, false, 1, kStart);
    CHECK(sources.peer(kStart) == 1);
    sources.peerAnswered(1, Millis(500), kStart + Millis(100));
    CHECK_FALSE(sources.readsRegistry(kStart + Millis(1900)));
    CHECK(sources.readsRegistry(kStart + Millis(2200)));
}

TEST_CASE("a follower waits for the usual cycle of its reader, within the reaction time")
{
    for (const Millis reaction : { Millis(1000), Millis(3000), Millis(5000), Millis(20000) }) {
        INFO(reaction.count());
        const RegistryPollTiming timing = RegistryPollTiming::forReactionTime(reaction);
        SourceChoice sources(2, false, 0, kStart, timing.maxAge);
        const TimePoint known = kStart + Millis(100);
        sources.peerAnswered(0, Millis(0), known);
        CHECK_FALSE(sources.readsRegistry(known + timing.pause + timing.followerHold + Millis(200)));
        CHECK(sources.readsRegistry(known + std::chrono::duration_cast<Millis>(reaction * 0.8) + Millis(1)));
    }
}

TEST_CASE("a starting instance waits for a reader for a limited time")
{
    SourceChoice sources(2, false, 0, kStart);
    CHECK_FALSE(sources.readsRegistry(kStart));
    sources.peerFailed(0, kStart);
    sources.peerFailed(1, kStart);
    CHECK_FALSE(sources.readsRegistry(kStart + Millis(200)));
    CHECK(sources.peer(kStart + Millis(60)) == 0);
    sources.peerFailed(0, kStart + Millis(290));
    sources.peerFailed(1, kStart + Millis(290));
    CHECK(sources.readsRegistry(kStart + Millis(300)));
}

TEST_CASE("after a start an old state is accepted only if the registry cannot be read")
{
    struct TestCase {
        Millis age;
        bool isRegistryUnavailable;
        bool isAccepted;
    };
    const std::vector<TestCase> testCases = { { Millis(500), false, true }, { Millis(60000), false, false }, { Millis(60000), true, true }, { Millis(500), true, true } };
    for (const TestCase& testCase : testCases) {
        INFO(testCase.age.count() << " " << testCase.isRegistryUnavailable);
        SourceChoice sources(1, false, 0, kStart);
        const TimePoint now = kStart + Millis(100);
        if (testCase.isRegistryUnavailable)
            sources.registryFailed(now);
        CHECK(sources.acceptsReplicas(false, testCase.age, now) == testCase.isAccepted);
        if (testCase.isAccepted)
            continue;
        sources.peerAnswerRejected(0, testCase.age, now);
        CHECK(sources.readsRegistry(kStart + Millis(300)));
        sources.registryFailed(kStart + Millis(310));
        CHECK(sources.peer(kStart + Millis(310)) == 0);
        CHECK(sources.acceptsReplicas(true, testCase.age, kStart + Millis(310)));
    }
}

TEST_CASE("a follower reads the registry itself when all readers have failed")
{
    SourceChoice sources(2, false, 0, kStart);
    const TimePoint later = kStart + std::chrono::seconds(10);
    sources.peerAnswered(0, Millis(0), later);
    sources.peerFailed(0, later);
    CHECK(sources.peer(later) == 1);
    sources.peerFailed(1, later);
    CHECK(sources.readsRegistry(later));
    CHECK(sources.peer(later + std::chrono::seconds(4)) == 0);
}

TEST_CASE("a follower switches to another reader when its reader has only an old state")
{
    SourceChoice sources(2, false, 0, kStart);
    sources.peerAnswered(0, Millis(5000), kStart + Millis(100));
    CHECK(sources.peer(kStart + Millis(100)) == 1);
}

TEST_CASE("a reader follows another reader only while the registry is unavailable")
{
    SourceChoice sources(2, true, 0, kStart);
    CHECK(sources.readsRegistry(kStart));
    CHECK(sources.peer(kStart) == -1);
    sources.registryFailed(kStart);
    CHECK(sources.peer(kStart) == 0);
    CHECK(sources.readsRegistry(kStart));
    sources.registryAnswered(kStart + Millis(1));
    CHECK(sources.peer(kStart + Millis(1)) == -1);
}

TEST_CASE("a change log returns increments, or a full snapshot for an unknown position")
{
    ChangeLog log(7);
    log.replicaWritten("a");
    log.replicaWritten("b");
    log.configChanged();
    ChangeSet all = log.changesAfter({});
    CHECK(all.isFullSnapshot);
    CHECK(all.written.size() == 2);
    CHECK(all.hasConfig);
    const ChangePosition position = all.upTo;
    log.replicaRemoved("a");
    log.replicaWritten("b");
    const ChangeSet changes = log.changesAfter(position);
    CHECK_FALSE(changes.isFullSnapshot);
    CHECK(changes.written == std::vector<std::string> { "b" });
    CHECK(changes.removed == std::vector<std::string> { "a" });
    CHECK_FALSE(changes.hasConfig);
    CHECK(log.changesAfter({ 8, 1 }).isFullSnapshot);
    CHECK(log.changesAfter({ 7, 1000 }).isFullSnapshot);
}

TEST_CASE("a replica that was removed and added again is reported as written")
{
    ChangeLog log(7);
    log.replicaWritten("a");
    const ChangePosition position = log.position();
    log.replicaRemoved("a");
    log.replicaWritten("a");
    const ChangeSet changes = log.changesAfter(position);
    CHECK(changes.written.size() == 1);
    CHECK(changes.removed.empty());
}

TEST_CASE("messages between instances are unchanged after encoding and decoding")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(3, RepeatPolicy::AtMostOnce);
    ChangesReply reply;
    reply.upTo = { 7, 12 };
    reply.isFullSnapshot = true;
    reply.age = Millis(321);
    reply.sender = "n1";
    reply.following = 4;
    reply.fleet = 12;
    reply.instancesDigest = 9;
    reply.instances = std::vector<InstanceInfo> { { "n2", "north", "10.0.0.7", 9000 } };
    reply.written.push_back(bed.directory.find("s0-a")->entry);
    reply.removed = { "gone" };
    reply.config = bed.dispatcher->table()->document();
    const std::optional<ChangesReply> back = decodeReply(encode(reply));
    REQUIRE(back);
    CHECK(back->upTo == reply.upTo);
    CHECK(back->age == reply.age);
    CHECK(back->fleet == 12);
    CHECK(back->instancesDigest == 9);
    REQUIRE(back->instances);
    CHECK(*back->instances == *reply.instances);
    REQUIRE(back->written.size() == 1);
    CHECK(back->written[0].id == "s0-a");
    CHECK(back->written[0].zone == "north");
    REQUIRE(back->config);
    REQUIRE(back->config->routes.size() == 2);
    CHECK(back->config->routes[0].shards.size() == 3);
    CHECK(back->config->routes[1].repeat == RepeatPolicy::AtMostOnce);
    const std::optional<ChangesRequest> request = decodeTarget(encodeTarget({ { 7, 12 }, Millis(900), Millis(-1), 41, 6, { "n2", "north", "10.0.0.7", 9000 }, 77 }));
    REQUIRE(request);
    CHECK(request->after == ChangePosition { 7, 12 });
    CHECK(request->acceptableAge == Millis(-1));
    CHECK(request->configVersion == 41);
    CHECK(request->era == 6);
    CHECK(request->follower == InstanceInfo { "n2", "north", "10.0.0.7", 9000 });
    CHECK(request->instancesDigest == 77);
}

TEST_CASE("malformed messages between instances are refused")
{
    for (const char* text : { "", "{", "[]", "{\"run\":1}", "{\"run\":\"x\",\"number\":1}", "null" })
        CHECK_FALSE(decodeReply(text));
    CHECK_FALSE(decodeTarget("/other"));
    CHECK_FALSE(decodeTarget("/changes?run=x&after=1"));
    CHECK_FALSE(decodeTarget("/changes?run=1&after=1&hold=-5"));
    CHECK_FALSE(decodeTarget("/changes?run=1&after=1&hold=5&name=n&address=nowhere"));
    CHECK_FALSE(decodeTarget("/changes?run=1&after=1&age=old"));
    CHECK_FALSE(decodeTarget("/changes?run=1&after=1&config=-1"));
    ChangesReply reply;
    std::string text = encode(reply);
    for (size_t cut = 0; cut < text.size(); ++cut)
        CHECK_FALSE(decodeReply(text.substr(0, cut)));
}

TEST_CASE("the size of the fleet is the sum of the followers of all readers")
{
    FleetSize fleet(60);
    CHECK(fleet.size(kStart, true) == 60);
    CHECK(fleet.size(kStart, false) == 60);
    fleet.recordFollower("a", kStart);
    fleet.recordFollower("b", kStart);
    fleet.recordReaderReport("r2", 3, kStart);
    CHECK(fleet.size(kStart, true) == 6);
    fleet.recordReportedSize(6, kStart);
    CHECK(fleet.size(kStart, false) == 6);
    // A follower that moves from one reader to another is not counted twice for long.
    CHECK(fleet.following(kStart + std::chrono::seconds(3)) == 1);
}

TEST_CASE("a full read of the registry reads all pages and then follows changes from the revision of the first")
{
    RegistrySync sync(timingOf(Millis(1000)));
    sync.restart(kStart);
    RegistryResult page;
    page.outcome = RegistryOutcome::Done;
    page.revision = 10;
    page.hasMore = true;
    page.lastKey = "k5";
    sync.onCallFinished(page, kStart);
    CHECK(sync.nextCall().afterKey == "k5");
    page.revision = 12;
    page.hasMore = false;
    sync.onCallFinished(page, kStart);
    CHECK(sync.hasCompletedFullRead());
    CHECK(sync.nextCall().kind == RegistryCall::Kind::Changes);
    CHECK(sync.nextCall().afterRevision == 10);
    CHECK(sync.nextCallAt() == kStart + Millis(1000));
}

TEST_CASE("lost history and a long poll without changes lead to a full read at once")
{
    for (const bool isLost : { true, false }) {
        RegistrySync sync(timingOf(Millis(1000)));
        sync.restart(kStart);
        RegistryResult result;
        result.outcome = RegistryOutcome::Done;
        result.revision = 10;
        sync.onCallFinished(result, kStart);
        result.outcome = isLost ? RegistryOutcome::HistoryLost : RegistryOutcome::Done;
        result.entries = 0;
        sync.onCallFinished(result, kStart + Millis(5));
        CHECK(sync.nextCall().kind == RegistryCall::Kind::Page);
        CHECK(sync.nextCallAt() == kStart + Millis(5));
    }
}

TEST_CASE("a truncated answer is followed by the next call at once")
{
    RegistrySync sync(timingOf(Millis(2000)));
    sync.restart(kStart);
    RegistryResult result;
    result.outcome = RegistryOutcome::Done;
    result.revision = 10;
    sync.onCallFinished(result, kStart);
    result.entries = 500;
    result.revision = 510;
    sync.onCallFinished(result, kStart + Millis(2000));
    CHECK_FALSE(sync.isCaughtUp());
    CHECK(sync.nextCallAt() == kStart + Millis(2000));
    CHECK(sync.nextCall().afterRevision == 510);
    result.entries = 30;
    result.revision = 540;
    sync.onCallFinished(result, kStart + Millis(2010));
    CHECK(sync.isCaughtUp());
    CHECK(sync.nextCallAt() == kStart + Millis(4010));
}

TEST_CASE("after a long outage of the registry everything is read again, after a short one changes are followed")
{
    for (const Millis outage : { Millis(300), Millis(5000) }) {
        RegistrySync sync(timingOf(Millis(1000)));
        sync.restart(kStart);
        RegistryResult result;
        result.outcome = RegistryOutcome::Done;
        result.revision = 10;
        sync.onCallFinished(result, kStart);
        result.outcome = RegistryOutcome::Refused;
        sync.onCallFinished(result, kStart + Millis(1000));
        sync.onCallFinished(result, kStart + Millis(1000) + outage);
        const bool isLong = outage > Millis(1000);
        CHECK((sync.nextCall().kind == RegistryCall::Kind::Page) == isLong);
    }
}

TEST_CASE("a follower accepts a state of the same age as its own; a reader accepts only newer states during an outage")
{
    SourceChoice sources(2, false, 0, kStart);
    const TimePoint first = kStart + std::chrono::seconds(10);
    sources.peerAnswered(0, Millis(500), first);
    // The same state is sent again 600 ms later; this message spends a millisecond less in transit.
    CHECK(sources.acceptsReplicas(false, Millis(1101), first + Millis(600)));
    SourceChoice reader(2, true, 0, kStart);
    reader.registryAnswered(first);
    CHECK_FALSE(reader.acceptsReplicas(true, Millis(0), first + Millis(100)));
    reader.registryFailed(first + Millis(200));
    CHECK(reader.acceptsReplicas(true, Millis(100), first + Millis(300)));
    CHECK_FALSE(reader.acceptsReplicas(true, Millis(1000), first + Millis(300)));
}

TEST_CASE("failures lead to backoff between calls, and the first success reports the recovery")
{
    RegistrySync sync(timingOf(Millis(1000)));
    sync.restart(kStart);
    RegistryResult failed;
    TimePoint now = kStart;
    for (int i = 0; i < 8; ++i) {
        sync.onCallFinished(failed, now);
        CHECK(sync.isUnavailable());
        CHECK(sync.nextCallAt() > now);
        CHECK(sync.nextCallAt() - now <= Millis(1000));
        now = sync.nextCallAt();
    }
    RegistryResult page;
    page.outcome = RegistryOutcome::Done;
    sync.onCallFinished(page, now);
    CHECK(sync.hasRecovered());
    CHECK_FALSE(sync.isUnavailable());
}

TEST_CASE("a replica that restarts under the same id gets a new entry, and older reports are ignored")
{
    int leaveCount = 0;
    ReplicaDirectory directory([&leaveCount](const ReplicaPtr&) { ++leaveCount; });
    ReplicaEntry entry;
    entry.id = "a";
    entry.service = "s";
    entry.host = "10.0.0.1";
    entry.port = 1;
    entry.startedAt = 100;
    entry.sequence = 9;
    directory.apply(entry, kStart);
    const ReplicaPtr first = directory.find("a");
    first->isRetired = true;
    entry.startedAt = 200;
    entry.sequence = 1;
    directory.apply(entry, kStart);
    const ReplicaPtr second = directory.find("a");
    CHECK(first != second);
    CHECK_FALSE(second->isRetired);
    CHECK(leaveCount == 1);
    entry.startedAt = 100;
    entry.sequence = 10;
    entry.state = ReplicaState::Draining;
    directory.apply(entry, kStart);
    CHECK(directory.find("a")->acceptsWork());
}

TEST_CASE("removals after an outage of the registry are deferred until entries had time to come back")
{
    ReplicaDirectory directory([](const ReplicaPtr&) {});
    ReplicaEntry entry;
    entry.service = "s";
    for (const char* id : { "stays", "goes" }) {
        entry.id = id;
        directory.apply(entry, kStart);
    }
    directory.deferRemovals(kStart + Millis(2000));
    directory.remove("stays", kStart);
    directory.remove("goes", kStart);
    CHECK(directory.size() == 2);
    entry.id = "stays";
    entry.sequence = 1;
    directory.apply(entry, kStart + Millis(1500));
    directory.tick(kStart + Millis(2000));
    CHECK(directory.find("stays"));
    CHECK_FALSE(directory.find("goes"));
}

TEST_CASE("when connections are scarce, instances use few replicas, distributed evenly")
{
    std::vector<ReplicaPtr> all;
    ReplicaDirectory directory([](const ReplicaPtr&) {});
    for (int i = 0; i < 3; ++i) {
        ReplicaEntry entry;
        entry.id = "r" + std::to_string(i);
        entry.service = "s";
        entry.zone = "z" + std::to_string(i);
        directory.apply(entry, kStart);
    }
    std::map<std::string, int> users;
    constexpr uint32_t kInstances = 86;
    for (uint32_t i = 0; i < kInstances; ++i) {
        const SubsetRule rule { "instance-" + std::to_string(i), "z" + std::to_string(i % 4), kInstances + kInstances / 10 + 2 };
        const std::vector<ReplicaPtr> used = selectReplicaSubset(directory.replicasOf("s"), 65, rule, kStart);
        CHECK(used.size() == 2);
        for (const ReplicaPtr& replica : used)
            ++users[replica->entry.id];
    }
    for (const auto& [id, count] : users) {
        INFO(id << " is used by " << count);
        CHECK(count <= 65);
    }
    const SubsetRule few { "one", "z0", 8 };
    CHECK(selectReplicaSubset(directory.replicasOf("s"), 26, few, kStart).size() == 3);
    CHECK(connectionShare(26, 10) == 2);
}

TEST_CASE("a follower rejects a state older than its own, such as that of a reader that was suspended")
{
    SourceChoice sources(2, false, 0, kStart);
    sources.peerAnswered(0, Millis(200), kStart + Millis(1000));
    const TimePoint now = kStart + Millis(1500);
    CHECK(sources.acceptsReplicas(false, Millis(700), now));
    CHECK(sources.acceptsReplicas(false, Millis(750), now));
    CHECK_FALSE(sources.acceptsReplicas(false, Millis(1500), now));
    // A rejected state does not reduce the age, and another reader is followed in the meantime.
    sources.peerAnswerRejected(0, Millis(1500), now);
    CHECK(sources.age(now) == Millis(700));
    CHECK(sources.peer(now) == 1);
    CHECK_FALSE(sources.readsRegistry(now));
    CHECK(sources.peer(now + Millis(301)) == 0);
    sources.peerAnswerRejected(0, Millis(4400), now);
    CHECK(sources.peer(now + Millis(301)) == 1);
}

TEST_CASE("after a read of its own a follower waits for the next read of the readers")
{
    SourceChoice sources(2, false, 0, kStart);
    sources.registryAnswered(kStart + Millis(1000));
    const TimePoint now = kStart + Millis(1100);
    sources.peerAnswerRejected(0, Millis(1500), now);
    sources.peerAnswerRejected(1, Millis(900), now);
    CHECK(sources.peer(now) == -1);
    CHECK_FALSE(sources.readsRegistry(now));
    CHECK(sources.readsRegistry(now + Millis(2400)));
}

TEST_CASE("a reader that asks another reader only for numbers keeps the age of its own state")
{
    SourceChoice reader(1, true, 0, kStart);
    reader.registryAnswered(kStart);
    const TimePoint now = kStart + Millis(1500);
    CHECK_FALSE(reader.acceptsReplicas(true, Millis(50), now));
    reader.peerAnswerRejected(0, Millis(50), now);
    CHECK(reader.age(now) == Millis(1500));
}
