/// Tests of admission control: what is served beyond the room of the replicas, who is refused, and how refusals reach the
/// instance that divides a search.

#include "../src/connection/replica_load.h"
#include "../src/gateway/gather_messages.h"
#include "support/gather_bed.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

namespace {

const std::string kService = "s0";
constexpr uint32_t kSlots = 2;
constexpr Millis kTarget { 80 };

RouteTable tableOfOneService()
{
    RoutingDocument document;
    document.version = 1;
    RouteSpec route;
    route.name = "all";
    route.latencyTarget = kTarget;
    route.shards.push_back(kService);
    document.routes.push_back(route);
    return RouteTable(document);
}

/// A replica that serves `kSlots` requests at a time and turns requests away when its queue is full.
struct SimulatedReplica {
    struct Work {
        TimePoint arrivedAt {};
        size_t instance = 0;
    };
    static constexpr size_t kMaxQueue = 12;
    static constexpr Micros kServiceTime { 7500 };

    std::vector<std::pair<TimePoint, Work>> running;
    std::deque<Work> queue;
};

/// Instances that send requests to two replicas; each of them decides by the replies that it gets.
class SimulatedPool {
public:
    static constexpr size_t kInstances = 4;
    static constexpr Micros kStep { 250 };
    /// Time until a reply is noticed.
    static constexpr Millis kReplyDelay { 1 };

    SimulatedPool()
    {
        for (Admission& admission : admissions)
            admission.setTable(tableOfOneService());
    }

    /// Runs for `time` with `perSecond` requests and returns how many were served within the latency target.
    int run(Millis time, double perSecond)
    {
        int served = 0;
        const TimePoint end = clock.now() + time;
        while (clock.now() < end) {
            clock.advance(kStep);
            for (due_ += perSecond * std::chrono::duration<double>(kStep).count(); due_ >= 1; --due_)
                arrive();
            for (size_t i = 0; i < replicas.size(); ++i)
                served += finish(i);
        }
        return served;
    }

    TestClock clock;
    std::array<Admission, kInstances> admissions;
    std::array<SimulatedReplica, 2> replicas;
    std::array<std::array<ReplicaLoad, 2>, kInstances> loads;

private:
    void arrive()
    {
        const TimePoint now = clock.now();
        const size_t instance = random_() % kInstances;
        Admission& admission = admissions[instance];
        admission.addRequest(kService, 1, now);
        const size_t best = waitFor(instance, 0) < waitFor(instance, 1) ? 0 : 1;
        if (admission.isDue(kService, now))
            admission.recordWait(kService, { waitFor(instance, best), loads[instance][best].serviceTime() }, now);
        if (!admission.admits(kService, 1, Admission::positionOf(std::to_string(random_())), now))
            return;
        SimulatedReplica& replica = replicas[best];
        if (replica.queue.size() >= SimulatedReplica::kMaxQueue)
            loads[instance][best].recordShed({ static_cast<int>(replica.queue.size()), kSlots }, now);
        else
            replica.queue.push_back({ now, instance });
    }

    Micros waitFor(size_t instance, size_t replica) { return loads[instance][replica].wait(kSlots, 0, 0, clock.now()); }

    int finish(size_t index)
    {
        SimulatedReplica& replica = replicas[index];
        const TimePoint now = clock.now();
        int served = 0;
        for (const auto& [endsAt, work] : replica.running) {
            if (endsAt > now)
                continue;
            const Micros duration = std::chrono::duration_cast<Micros>(now - work.arrivedAt) + kReplyDelay;
            loads[work.instance][index].recordAnswer(duration, { static_cast<int>(replica.queue.size()), kSlots }, now);
            served += static_cast<int>(duration <= kTarget);
        }
        std::erase_if(replica.running, [now](const auto& entry) { return entry.first <= now; });
        while (replica.running.size() < kSlots && !replica.queue.empty()) {
            replica.running.emplace_back(now + SimulatedReplica::kServiceTime, replica.queue.front());
            replica.queue.pop_front();
        }
        return served;
    }

    std::mt19937_64 random_ { 5 };
    double due_ = 0;
};

/// Requests per second that the two replicas serve.
constexpr double kRoom = 533;

ReplicaReply replyWithQueue(const std::string& replica, int waiting)
{
    ReplicaReply reply = RoutingTestBed::success("sig-" + replica);
    reply.running = 2;
    reply.waiting = waiting;
    return reply;
}

/// Sends requests, each of which is answered after `duration`, until the replicas have reported full queues for a while.
void fillQueues(RoutingTestBed& bed, const std::string& target, uint64_t& next, Millis duration = Millis(50))
{
    constexpr int kRounds = 120;
    constexpr Millis kRound { 12 };
    constexpr int kWaiting = 12;
    std::vector<TimePoint> startedAt;
    for (int round = 0; round < kRounds; ++round) {
        bed.start(next++, target);
        startedAt.resize(bed.transport.calls.size(), bed.clock.now());
        bed.clock.advance(kRound);
        for (size_t i = 0; i < startedAt.size(); ++i) {
            if (bed.transport.calls[i].isOpen && bed.clock.now() - startedAt[i] >= duration)
                bed.reply(i, replyWithQueue(bed.transport.calls[i].replica, kWaiting));
        }
    }
}

/// Returns the answer of the first request that is refused.
const RecordedAnswer& refuseOne(RoutingTestBed& bed, const std::string& target, uint64_t& next)
{
    constexpr int kTries = 200;
    for (int i = 0; i < kTries; ++i) {
        const uint64_t request = next++;
        bed.start(request, target);
        if (bed.isAnswered(request))
            return bed.onlyAnswer(request);
    }
    FAIL("no request was refused");
    return bed.onlyAnswer(0);
}

} // namespace

TEST_CASE("what is served in time does not fall when more requests come than there is room for")
{
    const double factor = GENERATE(1.2, 2.0, 4.0, 8.0, 15.0);
    CAPTURE(factor);
    SimulatedPool pool;
    const int before = pool.run(Millis(1000), kRoom / 2);
    CHECK(before >= 260);
    pool.run(Millis(1000), kRoom * factor);
    const int served = pool.run(Millis(4000), kRoom * factor);
    CHECK(served >= static_cast<int>(0.9 * kRoom * 4));
    pool.run(Millis(1500), kRoom / 2);
    CHECK(pool.run(Millis(1000), kRoom / 2) >= 265);
}

TEST_CASE("within the room nothing is refused")
{
    SimulatedPool pool;
    CHECK(pool.run(Millis(10000), kRoom * 0.8) >= 4255);
    for (const Admission& admission : pool.admissions)
        CHECK(admission.fractionFor(kService, 1, pool.clock.now()) == 1);
}

TEST_CASE("without reports the admitted fraction returns to all")
{
    TestClock clock;
    AdmittedFraction fraction;
    fraction.update(0, clock.now());
    for (int i = 0; i < 200; ++i) {
        clock.advance(Millis(10));
        fraction.update(10, clock.now());
    }
    CHECK(fraction.value() == AdmittedFraction::kMinimum);
    for (int i = 0; i < 15; ++i) {
        clock.advance(Millis(100));
        fraction.update(0, clock.now());
    }
    CHECK(fraction.value() == 1);
}

TEST_CASE("requests of a higher priority are admitted first, and none is left out")
{
    TestClock clock;
    PriorityMix mix;
    for (int i = 0; i < 100; ++i) {
        mix.add(0, clock.now());
        mix.add(2, clock.now());
        mix.add(2, clock.now());
        mix.add(2, clock.now());
    }
    for (const double total : { 0.02, 0.1, 0.3, 0.7, 0.99 }) {
        CAPTURE(total);
        CHECK(mix.shareOf(0, total) >= mix.shareOf(2, total));
        CHECK(mix.shareOf(2, total) >= 0.25 * total);
    }
    CHECK(mix.shareOf(0, 0.3) == 1);
    CHECK(mix.shareOf(0, 0.1) == Approx(0.4));
    CHECK(mix.shareOf(2, 1) == 1);
}

TEST_CASE("the position of a request depends on its ID only, and positions are spread")
{
    constexpr int kRequests = 10000;
    int low = 0;
    for (int i = 0; i < kRequests; ++i)
        low += static_cast<int>(Admission::positionOf("r" + std::to_string(i)) < 0.1);
    CHECK(low > 900);
    CHECK(low < 1100);
    CHECK(Admission::positionOf("r1") == Admission::positionOf(std::string("r") + "1"));
}

TEST_CASE("a search without room is refused at once, and nothing of it is sent")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(20, RepeatPolicy::AtMostOnce);
    uint64_t next = 1;
    fillQueues(bed, "/all/q", next);
    const RecordedAnswer& refusal = refuseOne(bed, "/all/q", next);
    CHECK(refusal.answer.status == 503);
    CHECK(refusal.answer.code == ResultCode::PredictedWaitExceedsDeadline);
    CHECK(refusal.answer.retryAfter > Millis(100));
    CHECK(refusal.report.callsSent == 0);
    CHECK(refusal.report.duration == Micros(0));
    CHECK(bed.dispatcher->stats().refusedWithoutRoom > 0);
}

TEST_CASE("a submission without room is refused at once, and others are served")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(20, RepeatPolicy::AtMostOnce);
    uint64_t next = 1;
    fillQueues(bed, "/one/q", next, Millis(150));
    CHECK(refuseOne(bed, "/one/q", next).answer.status == 503);
    const uint64_t search = next++;
    const size_t calls = bed.transport.calls.size();
    bed.start(search, "/all/q");
    CHECK(bed.transport.calls.size() == calls + 20);
}

TEST_CASE("callers that are refused come back at different times")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(20, RepeatPolicy::AtMostOnce);
    uint64_t next = 1;
    fillQueues(bed, "/all/q", next);
    const Millis first = refuseOne(bed, "/all/q", next).answer.retryAfter;
    Millis shortest = first;
    Millis longest = first;
    for (int i = 0; i < 20; ++i) {
        const Millis time = refuseOne(bed, "/all/q", next).answer.retryAfter;
        shortest = std::min(shortest, time);
        longest = std::max(longest, time);
    }
    CHECK(longest > shortest * 3 / 2);
}

TEST_CASE("after the queues have drained, all are admitted")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(20, RepeatPolicy::AtMostOnce);
    uint64_t next = 1;
    fillQueues(bed, "/all/q", next);
    for (int i = 0; i < 100; ++i) {
        bed.runFor(Millis(20));
        bed.start(next++, "/all/q");
        bed.replyToAllExcept({});
    }
    const uint64_t refused = bed.dispatcher->stats().refusedWithoutRoom;
    for (int i = 0; i < 100; ++i) {
        bed.runFor(Millis(20));
        bed.start(next++, "/all/q");
        bed.replyToAllExcept({});
    }
    CHECK(bed.dispatcher->stats().refusedWithoutRoom == refused);
}

TEST_CASE("hedges stop before retries, and both before first calls")
{
    TestClock clock;
    Admission admission;
    admission.setTable(tableOfOneService());
    const auto predict = [&](Millis wait) { admission.recordWait(kService, { wait, Micros(7500) }, clock.now()); };
    predict(Millis(0));
    CHECK(admission.allowsHedge(kService));
    predict(Millis(15));
    CHECK_FALSE(admission.allowsHedge(kService));
    CHECK(admission.allowsRetry(kService));
    CHECK(admission.fractionFor(kService, 1, clock.now()) == 1);
    predict(Millis(30));
    CHECK_FALSE(admission.allowsHedge(kService));
    CHECK_FALSE(admission.allowsRetry(kService));
    CHECK(admission.fractionFor(kService, 1, clock.now()) < 1);
}

TEST_CASE("a search is not divided if its aggregators have refused such searches")
{
    GatherTestBed test;
    test.startDividedSearch(1);
    const std::vector<TestGroupTransport::SentGroup> sent = test.groups.sent;
    for (const TestGroupTransport::SentGroup& group : sent) {
        GroupReply reply = GatherTestBed::replyTo(group.request);
        reply.admittedFractions.assign(group.request.shards.size(), 0.05);
        test.bed.dispatcher->groupAnswered(group.id, std::move(reply));
    }
    uint64_t next = 2;
    const RecordedAnswer& refusal = refuseOne(test.bed, "/all/q", next);
    CHECK(refusal.answer.status == 503);
    CHECK(refusal.answer.code == ResultCode::PredictedWaitExceedsDeadline);
    CHECK(test.bed.transport.calls.empty());
    test.bed.clock.advance(Millis(3000));
    const size_t groups = test.groups.sent.size();
    test.startDividedSearch(next);
    CHECK(test.groups.sent.size() > groups);
}

TEST_CASE("a few shards without room do not make other instances refuse a search")
{
    GatherTestBed test;
    test.startDividedSearch(1);
    const std::vector<TestGroupTransport::SentGroup> sent = test.groups.sent;
    for (const TestGroupTransport::SentGroup& group : sent) {
        GroupReply reply = GatherTestBed::replyTo(group.request);
        if (&group == &sent.front()) {
            reply.admittedFractions.assign(group.request.shards.size(), 1);
            reply.admittedFractions.front() = 0.02;
        }
        test.bed.dispatcher->groupAnswered(group.id, std::move(reply));
    }
    for (uint64_t request = 2; request < 50; ++request) {
        test.startDividedSearch(request);
        CHECK_FALSE(test.bed.isAnswered(request));
    }
}

TEST_CASE("shards that an aggregator refuses are not called directly")
{
    GatherTestBed test;
    test.startDividedSearch(1);
    const std::vector<TestGroupTransport::SentGroup> sent = test.groups.sent;
    for (const TestGroupTransport::SentGroup& group : sent) {
        std::vector<MissingPart> missing;
        for (const std::string& shard : group.request.shards)
            missing.push_back({ shard, ResultCode::PredictedWaitExceedsDeadline, 0 });
        test.bed.dispatcher->groupAnswered(group.id, GatherTestBed::replyTo(group.request, missing));
    }
    CHECK(test.bed.transport.calls.empty());
    const RecordedAnswer& answer = test.bed.onlyAnswer(1);
    CHECK(answer.answer.status == (sent.size() == 1 ? 503 : 502));
}

TEST_CASE("an aggregator refuses a group without room, and names the fractions that it admits")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(5, RepeatPolicy::AtMostOnce);
    uint64_t next = 1;
    fillQueues(bed, "/all/q", next);
    GroupRequest group;
    group.route = "all";
    group.shards = { "s0", "s1" };
    group.softTimeout = Millis(60);
    group.timeLeft = Millis(300);
    group.maxAttempts = 2;
    group.rank = 0;
    uint64_t refused = 0;
    for (int i = 0; i < 100 && refused == 0; ++i) {
        group.forwarded.requestId = "g" + std::to_string(i);
        const uint64_t request = next++;
        const size_t calls = bed.transport.calls.size();
        bed.dispatcher->gather(request, group);
        if (bed.isAnswered(request) && bed.transport.calls.size() == calls)
            refused = request;
    }
    REQUIRE(refused != 0);
    const RouteAnswer& answer = bed.onlyAnswer(refused).answer;
    REQUIRE(answer.missing.size() == 2);
    CHECK(answer.missing[0].reason == ResultCode::PredictedWaitExceedsDeadline);
    CHECK(answer.missing[0].runs == 0);
    REQUIRE(answer.admittedFractions.size() == 2);
    CHECK(answer.admittedFractions[0] < 1);
}

TEST_CASE("priorities and admitted fractions pass between instances")
{
    GroupRequest request;
    request.forwarded.requestId = "id";
    request.shards = { "s0" };
    request.timeLeft = Millis(10);
    request.rank = 3;
    const std::optional<GroupRequest> decoded = decodeGroupRequest(encode(request));
    REQUIRE(decoded);
    CHECK(decoded->rank == 3);
    GroupReply reply;
    reply.admittedFractions = { 1, 0.2 };
    const std::optional<GroupReply> decodedReply = decodeGroupReply(encode(reply));
    REQUIRE(decodedReply);
    REQUIRE(decodedReply->admittedFractions.size() == 2);
    CHECK(decodedReply->admittedFractions[0] == 1);
    CHECK(decodedReply->admittedFractions[1] == Approx(0.2).margin(0.01));
}
