/// Requests that crash the replicas that run them, beside innocent ones: how many replicas they take, who is refused, and
/// what innocent requests go through when replicas crash for other reasons.

#include "../src/request/request_fingerprint.h"
#include "support/crash_fleet.h"
#include "support/gather_bed.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

namespace {

/// Crashes after which a request must be known, and retries that are allowed once it is.
constexpr size_t kAllowedCrashes = 3;
constexpr size_t kAllowedRetries = 3;
/// Requests that a replica has at once under this load.
constexpr size_t kCallsPerReplica = 4;

/// Result of a load of which one request crashes its replicas.
struct LoadOutcome {
    size_t crashes = 0;
    size_t served = 0;
    size_t others = 0;
    /// Other requests that were refused as crashing.
    size_t wronglyRefused = 0;
    /// Other requests that were sent five seconds after the first crash or later, and not served.
    size_t lostLate = 0;
};

bool isRefusedAsCrashing(const RouteAnswer& answer)
{
    return answer.code == ResultCode::RequestQuarantined || answer.code == ResultCode::RequestSuspended;
}

/// Sends the crashing request every 150 ms at each instance in turn, beside a different other request every 10 ms.
LoadOutcome runBesideOthers(CrashFleet& fleet, const std::string& prefix, Millis time)
{
    constexpr Millis kStep { 10 };
    constexpr int kStepsPerCrash = 15;
    constexpr Millis kSettled { 5000 };
    std::vector<std::pair<size_t, uint64_t>> others;
    size_t firstLate = 0;
    for (int step = 0; kStep * step < time; ++step) {
        const size_t instance = static_cast<size_t>(step) % fleet.beds.size();
        if (step % kStepsPerCrash == 0)
            fleet.start(instance, prefix + std::string(CrashFleet::kCrash));
        firstLate += kStep * step < kSettled ? 1 : 0;
        others.emplace_back(instance, fleet.start(instance, prefix + "other" + std::to_string(step)));
        fleet.runFor(kStep);
    }
    fleet.runFor(Millis(2000));
    LoadOutcome outcome;
    outcome.crashes = fleet.crashes;
    outcome.others = others.size();
    for (size_t i = 0; i < others.size(); ++i) {
        const RouteAnswer* answer = fleet.answerOf(others[i].first, others[i].second);
        REQUIRE(answer != nullptr);
        outcome.lostLate += i >= firstLate && answer->status != 200 ? 1 : 0;
        outcome.served += answer->status == 200 ? 1 : 0;
        outcome.wronglyRefused += isRefusedAsCrashing(*answer) ? 1 : 0;
    }
    return outcome;
}

/// Sends a popular request every 20 ms and a different one between, while `crashNow` decides when replicas crash.
template <typename CrashNow>
size_t countWronglyRefused(CrashFleet& fleet, CrashNow crashNow)
{
    constexpr int kSteps = 400;
    for (int step = 0; step < kSteps; ++step) {
        const size_t instance = static_cast<size_t>(step) % fleet.beds.size();
        const std::string prefix = step % 3 == 0 ? "/all/" : "/one/";
        fleet.start(instance, prefix + (step % 2 == 0 ? "popular" : "rare" + std::to_string(step)));
        crashNow(step);
        fleet.runFor(Millis(10));
    }
    size_t refused = 0;
    for (const auto& bed : fleet.beds)
        refused += bed->dispatcher->stats().quarantinedRequests;
    return refused;
}

} // namespace

// Guards against the incident of the request that ended its replicas: it was sent to one after the other, and the other
// requests of its route were refused.
TEST_CASE("a request that crashes its replicas takes a few of them, and the others are served")
{
    for (const RepeatPolicy repeats : { RepeatPolicy::AtMostOnce, RepeatPolicy::Idempotent }) {
        CrashFleet fleet({ .oneRepeats = repeats });
        const LoadOutcome outcome = runBesideOthers(fleet, "/one/", Millis(8000));
        CHECK(outcome.crashes <= kAllowedCrashes + kAllowedRetries);
        CHECK(fleet.lateCrashes() <= kAllowedRetries);
        CHECK(outcome.wronglyRefused == 0);
        // Requests that were on a crashing replica, and whose repeat was too.
        CHECK(outcome.others - outcome.served <= kCallsPerReplica * outcome.crashes);
        CHECK(outcome.lostLate == 0);
    }
}

// Guards against the same for a search, which asks all shards at once.
TEST_CASE("a search that crashes its replicas is asked for once, and the others are served")
{
    CrashFleet fleet({});
    const LoadOutcome outcome = runBesideOthers(fleet, "/all/", Millis(8000));
    // The first search is hedged before anything is known of it.
    CHECK(outcome.crashes <= 2 * CrashFleet::kShards + kAllowedRetries);
    CHECK(fleet.lateCrashes() <= kAllowedRetries);
    CHECK(outcome.lostLate == 0);
    CHECK(outcome.wronglyRefused == 0);
}

// Guards against instances that hear of a crash after a quarantine before they have ended the quarantine themselves: they took the
// crash for an early one, and tried the request again two seconds later.
TEST_CASE("a request that crashes a replica after its quarantine is refused for good by all instances, whenever each ends quarantines")
{
    constexpr Millis kStep { 20 };
    constexpr size_t kMaxSteps = 300;
    // The time of a notice, rounded up.
    constexpr Millis kNoticeTime { 10 };
    for (const std::string prefix : { "/one/", "/all/" }) {
        INFO(prefix);
        CrashFleet fleet({ .instances = 8, .maintenancePeriod = Millis(250) });
        const std::string target = prefix + std::string(CrashFleet::kCrash);
        const auto isCertain = [request = RoutingTestBed::fingerprintOf(target)](const auto& bed) { return bed->crashLedger.isCertain(request); };
        for (size_t step = 0; step < kMaxSteps && std::none_of(fleet.beds.begin(), fleet.beds.end(), isCertain); ++step) {
            fleet.start(step % fleet.beds.size(), target);
            fleet.runFor(kStep);
        }
        fleet.runFor(kNoticeTime);
        CHECK(std::all_of(fleet.beds.begin(), fleet.beds.end(), isCertain));
    }
}

TEST_CASE("instances that hear from nobody each stop sending a crashing request after the allowed crashes and retries")
{
    CrashFleet fleet({ .instances = 2, .noticeDelay = Millis(-1) });
    const LoadOutcome outcome = runBesideOthers(fleet, "/one/", Millis(8000));
    CHECK(outcome.crashes <= (kAllowedCrashes + kAllowedRetries) * fleet.beds.size());
    CHECK(outcome.wronglyRefused == 0);
}

TEST_CASE("replicas that crash for other reasons make no request guilty, popular or not")
{
    for (uint64_t seed = 1; seed <= 40; ++seed) {
        CrashFleet fleet({ .oneRepeats = seed % 2 == 0 ? RepeatPolicy::Idempotent : RepeatPolicy::AtMostOnce, .seed = seed });
        CHECK(countWronglyRefused(fleet, [&fleet](int step) {
            if (step % 50 == 25)
                fleet.crashRandomReplicas(6);
        }) == 0);
        CHECK(fleet.crashes > 20);
    }
}

TEST_CASE("three crashing requests are found, and a popular one that was lost with them is served again soon")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        CrashFleet fleet({ .oneRepeats = RepeatPolicy::Idempotent, .seed = seed });
        countWronglyRefused(fleet, [&](int step) {
            if (step % 7 == 0)
                fleet.start((static_cast<size_t>(step) + seed) % fleet.beds.size(), "/one/" + std::string(CrashFleet::kCrash) + std::to_string(step % 21));
        });
        fleet.runFor(Millis(3000));
        const uint64_t request = fleet.start(0, "/one/popular");
        fleet.runFor(Millis(100));
        REQUIRE(fleet.answerOf(0, request) != nullptr);
        CHECK(fleet.answerOf(0, request)->status == 200);
        for (const auto& bed : fleet.beds) {
            for (const char* number : { "0", "7", "14" })
                CHECK(bed->crashLedger.isCertain(RoutingTestBed::fingerprintOf("/one/" + std::string(CrashFleet::kCrash) + number)));
            CHECK(bed->crashLedger.standing(RoutingTestBed::fingerprintOf("/one/popular")) == RequestStanding::Clear);
        }
    }
}

TEST_CASE("a provisionally quarantined request is refused as not run, with the time until it is tried again")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(4, RepeatPolicy::Idempotent);
    bed.start(1, "/one/x");
    bed.crashLedger.adopt({ RoutingTestBed::fingerprintOf("/one/x"), std::chrono::milliseconds(500), 0 }, bed.clock.now());
    bed.dispatcher->applyQuarantines();
    bed.start(2, "/one/x");
    CHECK(bed.onlyAnswer(2).answer.code == ResultCode::RequestSuspended);
    CHECK(bed.onlyAnswer(2).answer.status == 503);
    CHECK(bed.onlyAnswer(2).answer.retryAfter == Millis(1500));
    // The open call goes on, and its answer clears the request.
    bed.reply(0, RoutingTestBed::success("sig"));
    CHECK(bed.onlyAnswer(1).answer.status == 200);
    bed.start(3, "/one/x");
    CHECK_FALSE(bed.isAnswered(3));
}

TEST_CASE("a quarantined request is refused at once, with a status that callers do not repeat")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(4, RepeatPolicy::Idempotent);
    bed.crashLedger.adopt({ RoutingTestBed::fingerprintOf("/one/x"), Micros(0), 1 }, bed.clock.now());
    bed.start(1, "/one/x");
    CHECK(bed.transport.calls.empty());
    CHECK(bed.onlyAnswer(1).answer.code == ResultCode::RequestQuarantined);
    CHECK(bed.onlyAnswer(1).answer.status == 400);
    CHECK(bed.onlyAnswer(1).answer.retryAfter < Millis::zero());
    CHECK(bed.onlyAnswer(1).report.trail.find("quarantined") != std::string::npos);
    bed.start(2, "/one/y");
    CHECK(bed.transport.calls.size() == 1);
}

TEST_CASE("open calls of a request end when it is quarantined elsewhere, and the answer does not say that it has not run")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(4, RepeatPolicy::Idempotent);
    bed.start(1, "/one/x");
    bed.start(2, "/all/x");
    bed.start(3, "/one/y");
    bed.crashLedger.adopt({ RoutingTestBed::fingerprintOf("/one/x"), Micros(0), 1 }, bed.clock.now());
    bed.crashLedger.adopt({ RoutingTestBed::fingerprintOf("/all/x"), Micros(0), 1 }, bed.clock.now());
    bed.dispatcher->applyQuarantines();
    CHECK(bed.onlyAnswer(1).answer.status == 502);
    CHECK(bed.onlyAnswer(2).answer.status == 502);
    CHECK_FALSE(bed.isAnswered(3));
    CHECK(std::count_if(bed.transport.calls.begin(), bed.transport.calls.end(), [](const RecordedCall& call) { return call.isOpen; }) == 1);
    CHECK(bed.dispatcher->stats().quarantinedRequests == 2);
}

TEST_CASE("a suspect search asks one replica first, and the others after its answer")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(4, RepeatPolicy::Idempotent);
    bed.crashLedger.record({ { { "gone", 1 }, RoutingTestBed::fingerprintOf("/all/x"), bed.clock.now() - Millis(130), bed.clock.now() - Millis(100) } }, bed.clock.now());
    bed.start(1, "/all/x");
    REQUIRE(bed.transport.calls.size() == 1);
    bed.runFor(Millis(30));
    CHECK(bed.transport.calls.size() == 1);
    bed.reply(0, RoutingTestBed::success("sig"));
    CHECK(bed.transport.calls.size() == 4);
    CHECK(bed.crashes.cleared == std::vector<RequestFingerprint> { RoutingTestBed::fingerprintOf("/all/x") });
    bed.replyToAllExcept({});
    CHECK(bed.onlyAnswer(1).answer.partSignatures.size() == 4);
    CHECK(bed.onlyAnswer(1).report.repeats == 0);
}

TEST_CASE("a suspect search whose first replica crashes asks no other one")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(4, RepeatPolicy::Idempotent);
    bed.crashLedger.record({ { { "gone", 1 }, RoutingTestBed::fingerprintOf("/all/x"), bed.clock.now() - Millis(130), bed.clock.now() - Millis(100) } }, bed.clock.now());
    bed.start(1, "/all/x");
    bed.fail(0, CallFailure::Lost);
    CHECK(bed.transport.calls.size() == 1);
    CHECK(bed.onlyAnswer(1).answer.status == 502);
    bed.dispatcher->replicaRefusedConnection(bed.directory.find(bed.transport.calls[0].replica));
    CHECK(bed.crashLedger.standing(RoutingTestBed::fingerprintOf("/all/x")) == RequestStanding::Quarantined);
}

TEST_CASE("a search that loses calls to reset connections repeats them once a replica has answered")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(4, RepeatPolicy::Idempotent);
    bed.start(1, "/all/x");
    for (size_t i = 0; i < 3; ++i)
        bed.fail(i, CallFailure::Lost);
    // The first lost part is repeated at once.
    CHECK(bed.transport.calls.size() == 5);
    bed.reply(3, RoutingTestBed::success("sig-3"));
    CHECK(bed.transport.calls.size() == 7);
    bed.replyToAllExcept({});
    CHECK(bed.onlyAnswer(1).answer.partSignatures.size() == 4);
    CHECK(bed.crashes.reports.empty());
}

TEST_CASE("lost calls tell nothing while the replica may live")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(1, RepeatPolicy::AtMostOnce);
    bed.start(1, "/one/x");
    const ReplicaPtr replica = bed.directory.find(bed.transport.calls.at(0).replica);
    bed.fail(0, CallFailure::Lost);
    CHECK(bed.crashes.lostCalls == 1);
    // Leaves the replica as the only one of its service.
    bed.directory.remove(replica->entry.id == "card-a" ? "card-b" : "card-a", bed.clock.now());
    bed.clock.advance(Millis(100));
    CHECK(bed.crashes.reports.empty());

    SECTION("an answer of the replica proves that it lives")
    {
        bed.start(2, "/one/y");
        REQUIRE(bed.transport.calls.back().replica == replica->entry.id);
        bed.reply(bed.transport.calls.size() - 1, RoutingTestBed::success("sig"));
        bed.dispatcher->replicaRefusedConnection(replica);
        CHECK(bed.crashes.reports.empty());
    }
    SECTION("a refused connection proves that it has ended")
    {
        bed.dispatcher->replicaRefusedConnection(replica);
        REQUIRE(bed.crashes.reports.size() == 1);
        CHECK(bed.crashes.reports[0].request == RoutingTestBed::fingerprintOf("/one/x"));
        bed.dispatcher->replicaRefusedConnection(replica);
        CHECK(bed.crashes.reports.size() == 1);
    }
    SECTION("a later start under its ID proves the same")
    {
        ReplicaEntry entry = replica->entry;
        entry.startedAt = 2;
        bed.directory.apply(entry, bed.clock.now());
        bed.dispatcher->checkCrashes();
        REQUIRE(bed.crashes.reports.size() == 1);
        CHECK(bed.crashes.lastEvidence == CrashEvidence::Restarted);
        CHECK(bed.crashes.reports[0].replica.startedAt == 1);
    }
    SECTION("another replica at its address proves the same")
    {
        bed.start(2, "/one/y");
        REQUIRE(bed.transport.calls.back().replica == replica->entry.id);
        ReplicaReply taken;
        taken.status = 421;
        taken.isMisdirected = true;
        bed.reply(bed.transport.calls.size() - 1, taken);
        REQUIRE(bed.crashes.reports.size() == 1);
        CHECK(bed.crashes.lastEvidence == CrashEvidence::AddressTaken);
    }
    SECTION("nothing else does in six seconds")
    {
        bed.clock.advance(Millis(6001));
        bed.dispatcher->checkCrashes();
        bed.dispatcher->replicaRefusedConnection(replica);
        CHECK(bed.crashes.reports.empty());
    }
}

TEST_CASE("an aggregator refuses the group of a quarantined request, and its sender ends the search")
{
    GatherTestBed test;
    test.startDividedSearch(1);
    REQUIRE_FALSE(test.groups.sent.empty());
    GroupRequest request = test.groups.sent[0].request;
    CHECK(request.forwarded.fingerprint == RoutingTestBed::fingerprintOf("/all/q"));

    RoutingTestBed aggregator;
    aggregator.useStandardRoutes(kShards, RepeatPolicy::Idempotent);
    aggregator.crashLedger.adopt({ request.forwarded.fingerprint, Micros(0), 1 }, aggregator.clock.now());
    aggregator.dispatcher->gather(1, request);
    CHECK(aggregator.transport.calls.empty());
    const std::vector<MissingPart>& missing = aggregator.onlyAnswer(1).answer.missing;
    REQUIRE(missing.size() == request.shards.size());
    CHECK(missing[0].reason == ResultCode::RequestQuarantined);

    const size_t calls = test.bed.transport.calls.size();
    test.answerFirstGroup(GatherTestBed::replyTo(request, missing));
    CHECK(test.bed.onlyAnswer(1).answer.status == 502);
    CHECK(test.bed.transport.calls.size() == calls);
    CHECK(std::all_of(test.groups.sent.begin() + 1, test.groups.sent.end(), [](const auto& group) { return group.isCancelled; }));
}

TEST_CASE("a relayed request that is quarantined is refused")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(1, RepeatPolicy::Idempotent);
    bed.crashLedger.adopt({ RoutingTestBed::fingerprintOf("/one/x"), Micros(0), 1 }, bed.clock.now());
    RelayRequest relayed;
    relayed.forwarded.host = "test.example";
    relayed.forwarded.target = "/one/x";
    relayed.forwarded.callerTimeout = Millis(300);
    relayed.forwarded.fingerprint = RoutingTestBed::fingerprintOf("/one/x");
    bed.dispatcher->startRelayed(1, relayed);
    CHECK(bed.onlyAnswer(1).answer.status == 400);
    CHECK(bed.transport.calls.empty());
}

TEST_CASE("the fingerprint of a request depends on what is asked and who asks, not on the attempt")
{
    constexpr std::array<std::string_view, 2> kAttemptHeaders = { "X-Id", "X-Left" };
    ForwardedRequest request;
    request.requestId = "a";
    request.method = "POST";
    request.host = "h";
    request.target = "/x?page=1";
    request.body = "body";
    request.headers = { { "X-Id", "a" }, { "Authorization", "caller" }, { "Accept", "*/*" } };
    const RequestFingerprint first = fingerprintOf(request, kAttemptHeaders);
    CHECK(first.isValid());

    ForwardedRequest again = request;
    again.requestId = "b";
    again.callerTimeout = Millis(5);
    again.headers[0] = { "x-id", "b" };
    again.headers[1].name = "authorization";
    again.headers.push_back({ "x-left", "7" });
    CHECK(fingerprintOf(again, kAttemptHeaders) == first);
    const std::vector<std::function<void(ForwardedRequest&)>> changes = {
        [](ForwardedRequest& other) { other.method = "PUT"; },
        [](ForwardedRequest& other) { other.host = "g"; },
        [](ForwardedRequest& other) { other.target = "/x?page=2"; },
        [](ForwardedRequest& other) { other.body = "bodz"; },
        [](ForwardedRequest& other) { other.headers[1].value = "other caller"; },
        [](ForwardedRequest& other) { other.target = "/x?page=1b", other.body = "ody"; },
    };
    for (const auto& change : changes) {
        ForwardedRequest other = request;
        change(other);
        CHECK_FALSE(fingerprintOf(other, kAttemptHeaders) == first);
    }
}
