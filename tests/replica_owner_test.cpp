/// Contract of a replica's owner towards coordinators, with the other side mocked.

#include "../src/connection/replica_owner.h"
#include "../src/request/one_shot_call.h"
#include "support/bed.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

using namespace limpettrestle;

// A call that was sent has no way to be refused, and a call is sent once at most.
template <typename Call>
concept CanRefuse = requires(Call call)
{
    std::move(call).refuse(ResultCode::Overloaded);
};
static_assert(CanRefuse<UnsentCall>);
static_assert(!CanRefuse<SentCall>);
static_assert(!std::is_copy_constructible_v<UnsentCall>);
static_assert(!std::is_default_constructible_v<SentCall>);
static_assert(!std::is_constructible_v<SubmitVerdict, Outcome, ResultCode, std::string>);

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

/// An owner that is alone in its zone, with one replica of two slots.
struct OwnerRig {
    OwnerRig()
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

    /// Answers the preflight that a first call is preceded by.
    void answerPreflight()
    {
        const std::vector<CallBackend> calls = takeCalls();
        REQUIRE(calls.size() == 1);
        REQUIRE(calls[0].request.operation == BackendOperation::Preflight);
        BackendReply reply;
        reply.serverIncarnation = 1;
        owner.onBackendReplied(calls[0].call, reply);
    }

    /// Expects one result with the code at the next flush.
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

TEST_CASE("the owner never has more calls at a server than it has slots")
{
    OwnerRig rig;
    for (uint32_t i = 1; i <= 5; ++i)
        rig.execute(i, Millis(500));
    rig.answerPreflight();
    std::vector<CallBackend> calls = rig.takeCalls();
    CHECK(calls.size() == 2);
    rig.owner.onBackendReplied(calls[0].call, okReply(calls[0]));
    CHECK(rig.takeCalls().size() == 1);
    CHECK(rig.owner.inFlight() == 2);
    CHECK(rig.owner.queued() == 2);
    rig.expectResult(ResultCode::Ok, true);
}

TEST_CASE("a wait that cannot end in time is refused at once, unsent")
{
    OwnerRig rig;
    rig.execute(1, Millis(500));
    rig.answerPreflight();
    for (uint32_t i = 2; i <= 10; ++i)
        rig.execute(i, Millis(500));
    rig.takeCalls();
    rig.execute(11, Millis(10));
    rig.expectResult(ResultCode::PredictedWaitExceedsDeadline, false);
}

TEST_CASE("a hedge runs only in an idle slot")
{
    OwnerRig rig;
    rig.execute(1, Millis(500));
    rig.answerPreflight();
    rig.execute(2, Millis(500));
    rig.execute(3, Millis(500), true);
    rig.expectResult(ResultCode::SlotUnavailable, false);
}

TEST_CASE("replies that are not to the call are not Ok")
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
        OwnerRig rig;
        rig.execute(1, Millis(500));
        rig.answerPreflight();
        const std::vector<CallBackend> calls = rig.takeCalls();
        BackendReply reply = okReply(calls[0]);
        entry.change(reply);
        CHECK(rig.owner.onBackendReplied(calls[0].call, reply));
        rig.expectResult(entry.expected, true);
        CHECK_FALSE(rig.owner.onBackendReplied(calls[0].call, okReply(calls[0])));
    }
}

TEST_CASE("a draining server gets nothing more, and its queue goes back unsent")
{
    OwnerRig rig;
    for (uint32_t i = 1; i <= 3; ++i)
        rig.execute(i, Millis(500));
    rig.answerPreflight();
    const std::vector<CallBackend> calls = rig.takeCalls();
    BackendReply reply = okReply(calls[0]);
    reply.draining = true;
    REQUIRE_CALL(rig.listener, onServerDraining(kReplica, 1U)).LR_SIDE_EFFECT(rig.drains.drain(kReplica, 1); rig.owner.onDrained(kReplica));
    rig.owner.onBackendReplied(calls[0].call, reply);
    CHECK(rig.owner.queued() == 0);
    CHECK(rig.takeCalls().empty());
    std::vector<ExecuteItemResult> seen;
    ALLOW_CALL(rig.sender, sendPeer(kCoordinator, trompeloeil::_)).LR_SIDE_EFFECT(seen = std::get<ExecuteResults>(_2).items);
    rig.owner.flush();
    REQUIRE(seen.size() == 2);
    CHECK(seen[0].code == ResultCode::ServerDraining);
    CHECK_FALSE(seen[0].sent);
    rig.execute(9, Millis(500));
    rig.expectResult(ResultCode::ServerDraining, false);
}

TEST_CASE("after a quiet time a server is asked before it gets work")
{
    OwnerRig rig;
    rig.execute(1, Millis(500));
    rig.answerPreflight();
    const std::vector<CallBackend> calls = rig.takeCalls();
    rig.owner.onBackendReplied(calls[0].call, okReply(calls[0]));
    rig.expectResult(ResultCode::Ok, true);
    rig.advance(config::kNotDrainingLease);
    rig.execute(2, Millis(500));
    rig.answerPreflight();
    CHECK(rig.takeCalls().size() == 1);
}
