/// Tests the contract between the owner of a replica and coordinators, with the peers mocked.

#include "../src/connection/replica_owner.h"
#include "../src/request/one_shot_call.h"
#include "support/bed.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

using namespace limpettrestle;

// The types ensure that a sent call cannot be refused and that a call is sent at most once.
template <typename Call>
concept CanRefuse = requires(Call call)
{
    std::move(call).refuse(ResultCode::Overloaded);
};
static_assert(CanRefuse<UnsentCall>);
static_assert(!CanRefuse<SentCall>);
static_assert(!std::is_copy_constructible_v<UnsentCall>);
static_assert(!std::is_default_constructible_v<SentCall>);
static_assert(!std::is_constructible_v<SubmissionResult, Outcome, ResultCode, std::string>);

namespace {

class MockSender : public trompeloeil::mock_interface<PeerSenderI> {
public:
    IMPLEMENT_MOCK2(sendPeer);
};

class MockListener : public trompeloeil::mock_interface<OwnerListenerI> {
public:
    IMPLEMENT_MOCK2(onServerDraining);
    IMPLEMENT_MOCK2(onServerReturned);
};

const InstanceId kCoordinator { 77 };
const RequestId kRequest { { 5 }, 1 };
const ReplicaId kReplica = idFromName<ReplicaId>("r0");

/// An owner that is the only instance of its zone, with one replica of two slots.
struct OwnerFixture {
    OwnerFixture()
        : context(makeInit())
        , membership(context, sender)
        , ownership(context, membership)
        , owner({ context, sender, membership, ownership, drains, listener })
    {
        context.actions = &actions;
        membership.makeGossip = [] { return Gossip {}; };
        membership.init(makeInit());
        ConfigProblem problem;
        owner.onConfig(parseFleetConfig({ 1, 1 }, makeBody(R"({"services":{"s":{"map_version":1,"snapshot":1,"slots":2,"connections":4,"shards":[[{"name":"r0","address":"r0","zone":"z"}]]}}})"), problem));
        advance(Millis(3000));
    }

    NodeInit makeInit()
    {
        NodeInit init;
        init.name = "o";
        init.zone = "z";
        init.incarnation = { 9 };
        init.clock = &clock;
        return init;
    }

    void advance(Millis time) { clock.advanceTo(clock.now() + time); }

    void execute(uint32_t attempt, Millis budget, bool hedge = false)
    {
        ExecuteBatch batch;
        batch.request = kRequest;
        batch.budget = budget;
        batch.query = makeBody("q");
        batch.items = { { attempt, 0, kReplica, hedge, false } };
        owner.onExecute(kCoordinator, batch);
    }

    std::vector<CallBackend> takeCalls()
    {
        std::vector<CallBackend> calls;
        for (const Action& action : actions) {
            if (const auto* call = std::get_if<CallBackend>(&action))
                calls.push_back(*call);
        }
        actions.clear();
        return calls;
    }

    /// Answers the preflight that the owner sends before the first call.
    void answerPreflight()
    {
        const std::vector<CallBackend> calls = takeCalls();
        REQUIRE(calls.size() == 1);
        REQUIRE(calls[0].request.operation == BackendOperation::Preflight);
        BackendReply reply;
        reply.serverIncarnation = 1;
        owner.onBackendReplied(calls[0].call, reply);
    }

    /// Checks that the next flush sends exactly one result, with this code.
    void expectResult(ResultCode code, bool sent)
    {
        std::vector<ExecuteItemResult> seen;
        ALLOW_CALL(sender, sendPeer(kCoordinator, trompeloeil::_)).LR_SIDE_EFFECT(seen = std::get<ExecuteResults>(_2).items);
        owner.flush();
        REQUIRE(seen.size() == 1);
        CHECK(seen[0].code == code);
        CHECK(seen[0].sent == sent);
    }

    tests::VirtualClock clock;
    MockSender sender;
    MockListener listener;
    std::vector<Action> actions;
    NodeContext context;
    Membership membership;
    Ownership ownership;
    DrainTable drains;
    ReplicaOwner owner;
};

BackendReply okReply(const CallBackend& call)
{
    BackendReply reply;
    reply.attempt = call.request.attempt;
    reply.shard = call.request.shard;
    reply.serverIncarnation = 1;
    reply.body = makeBody("[]");
    return reply;
}

} // namespace

TEST_CASE("the owner never has more calls in flight to a server than the server has slots")
{
    OwnerFixture fixture;
    for (uint32_t i = 1; i <= 5; ++i)
        fixture.execute(i, Millis(500));
    fixture.answerPreflight();
    std::vector<CallBackend> calls = fixture.takeCalls();
    CHECK(calls.size() == 2);
    fixture.owner.onBackendReplied(calls[0].call, okReply(calls[0]));
    CHECK(fixture.takeCalls().size() == 1);
    CHECK(fixture.owner.inFlight() == 2);
    CHECK(fixture.owner.queued() == 2);
    fixture.expectResult(ResultCode::Ok, true);
}

TEST_CASE("a call whose predicted wait exceeds its deadline is refused at once without being sent")
{
    OwnerFixture fixture;
    fixture.execute(1, Millis(500));
    fixture.answerPreflight();
    for (uint32_t i = 2; i <= 10; ++i)
        fixture.execute(i, Millis(500));
    fixture.takeCalls();
    fixture.execute(11, Millis(10));
    fixture.expectResult(ResultCode::PredictedWaitExceedsDeadline, false);
}

TEST_CASE("a hedge is sent only to an idle slot")
{
    OwnerFixture fixture;
    fixture.execute(1, Millis(500));
    fixture.answerPreflight();
    fixture.execute(2, Millis(500));
    fixture.execute(3, Millis(500), true);
    fixture.expectResult(ResultCode::SlotUnavailable, false);
}

TEST_CASE("a reply for another attempt, request or shard does not count as Ok")
{
    struct Case {
        const char* name;
        void (*change)(BackendReply& reply);
        ResultCode expected;
    };
    const Case cases[] = {
        { "other attempt", [](BackendReply& r) { ++r.attempt.number; }, ResultCode::ForeignReply },
        { "other request", [](BackendReply& r) { ++r.attempt.request.sequence; }, ResultCode::ForeignReply },
        { "other shard", [](BackendReply& r) { ++r.shard; }, ResultCode::WrongShard },
        { "refused", [](BackendReply& r) { r.code = ResultCode::SnapshotGone; }, ResultCode::SnapshotGone },
    };
    for (const Case& entry : cases) {
        INFO(entry.name);
        OwnerFixture fixture;
        fixture.execute(1, Millis(500));
        fixture.answerPreflight();
        const std::vector<CallBackend> calls = fixture.takeCalls();
        BackendReply reply = okReply(calls[0]);
        entry.change(reply);
        CHECK(fixture.owner.onBackendReplied(calls[0].call, reply));
        fixture.expectResult(entry.expected, true);
        CHECK_FALSE(fixture.owner.onBackendReplied(calls[0].call, okReply(calls[0])));
    }
}

TEST_CASE("a draining server gets no more calls, and its queued calls are refused without being sent")
{
    OwnerFixture fixture;
    for (uint32_t i = 1; i <= 3; ++i)
        fixture.execute(i, Millis(500));
    fixture.answerPreflight();
    const std::vector<CallBackend> calls = fixture.takeCalls();
    BackendReply reply = okReply(calls[0]);
    reply.draining = true;
    REQUIRE_CALL(fixture.listener, onServerDraining(kReplica, 1U)).LR_SIDE_EFFECT(fixture.drains.drain(kReplica, 1); fixture.owner.onDrained(kReplica));
    fixture.owner.onBackendReplied(calls[0].call, reply);
    CHECK(fixture.owner.queued() == 0);
    CHECK(fixture.takeCalls().empty());
    std::vector<ExecuteItemResult> seen;
    ALLOW_CALL(fixture.sender, sendPeer(kCoordinator, trompeloeil::_)).LR_SIDE_EFFECT(seen = std::get<ExecuteResults>(_2).items);
    fixture.owner.flush();
    REQUIRE(seen.size() == 2);
    CHECK(seen[0].code == ResultCode::ServerDraining);
    CHECK_FALSE(seen[0].sent);
    fixture.execute(9, Millis(500));
    fixture.expectResult(ResultCode::ServerDraining, false);
}

TEST_CASE("when its evidence lease has expired, a server gets a preflight before the next call")
{
    OwnerFixture fixture;
    fixture.execute(1, Millis(500));
    fixture.answerPreflight();
    const std::vector<CallBackend> calls = fixture.takeCalls();
    fixture.owner.onBackendReplied(calls[0].call, okReply(calls[0]));
    fixture.expectResult(ResultCode::Ok, true);
    fixture.advance(config::kNotDrainingLease);
    fixture.execute(2, Millis(500));
    fixture.answerPreflight();
    CHECK(fixture.takeCalls().size() == 1);
}
