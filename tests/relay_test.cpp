/// Requests that an instance relays to another one, because it cannot reach the replicas that they need.

#include "../src/gateway/gather_messages.h"
#include "../src/gateway/relay_messages.h"
#include "support/gather_bed.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

namespace {

/// Transport that records relays and leaves their replies to the test.
class TestRelayTransport final : public RelayTransportI {
public:
    struct SentRelay {
        uint64_t id = 0;
        std::string instance;
        RelayRequest request;
        bool isCancelled = false;
    };

    void startRelay(uint64_t relay, const InstanceInfo& instance, RelayRequest request) override { sent.push_back({ relay, instance.name, std::move(request) }); }
    void cancelRelay(uint64_t relay) override
    {
        for (SentRelay& entry : sent)
            entry.isCancelled = entry.isCancelled || entry.id == relay;
    }

    std::vector<SentRelay> sent;
};

/// Instance n0 of zone north with others in the zones north and south.
struct RelayTestBed {
    explicit RelayTestBed(RepeatPolicy oneRepeats = RepeatPolicy::AtMostOnce)
        : bed(100, nullptr, nullptr, &relays)
    {
        bed.useStandardRoutes(4, oneRepeats);
        std::vector<InstanceInfo> instances;
        for (const char* name : { "n0", "n1", "n2" })
            instances.push_back({ name, "north", "10.0.0.1", 1 });
        for (const char* name : { "s0", "s1", "s2" })
            instances.push_back({ name, "south", "10.0.0.2", 1 });
        bed.dispatcher->setInstances(instances);
    }

    /// Makes connecting to the replica fail twice.
    void failReplica(const ReplicaPtr& replica)
    {
        replica->health.connectFailed(bed.clock.now() - Millis(100));
        replica->health.connectFailed(bed.clock.now());
    }

    /// Makes connecting to all replicas fail, so that the instance is isolated.
    void isolate()
    {
        bed.clock.advance(std::chrono::seconds(2));
        for (const auto& [id, replica] : bed.directory.all())
            failReplica(replica);
        bed.reach.update(bed.directory, bed.clock.now());
    }

    void answer(size_t index, RelayReply reply) { bed.dispatcher->relayAnswered(relays.sent.at(index).id, std::move(reply)); }

    TestRelayTransport relays;
    RoutingTestBed bed;
};

RelayReply mergedReply()
{
    RelayReply reply;
    reply.answer.status = 200;
    reply.answer.isMerged = true;
    reply.answer.partSignatures = { "a", "b", "c" };
    reply.answer.missing = { { "s3", ResultCode::AttemptTimeout, 1 } };
    reply.answer.body = std::string(32, 'z');
    reply.callsSent = 5;
    reply.repeats = 1;
    return reply;
}

RelayReply declined(ResultCode code = ResultCode::NotReady)
{
    RelayReply reply;
    reply.answer.status = 503;
    reply.answer.code = code;
    return reply;
}

} // namespace

// Guards against the incident of the stranded day: callers of instances without a link to any replica were refused, although
// other instances could serve them.
TEST_CASE("an isolated instance relays searches and single requests, and passes the answers on")
{
    RelayTestBed test;
    test.isolate();
    test.bed.start(1, "/all/q");
    test.bed.start(2, "/one/x");
    REQUIRE(test.relays.sent.size() == 2);
    CHECK(test.bed.transport.calls.empty());
    const RelayRequest& search = test.relays.sent[0].request;
    CHECK(search.forwarded.requestId == "r1");
    CHECK(search.forwarded.target == "/all/q");
    CHECK(search.forwarded.callerTimeout < Millis(400));
    CHECK(search.configVersion == 1);
    test.answer(0, mergedReply());
    const RecordedAnswer& answer = test.bed.onlyAnswer(1);
    CHECK(answer.answer.status == 200);
    CHECK(answer.answer.partSignatures == std::vector<std::string> { "a", "b", "c" });
    CHECK(answer.answer.missing.size() == 1);
    CHECK(answer.report.coveredParts == 3);
    CHECK(answer.report.callsSent == 5);
    RelayReply reply;
    reply.answer.status = 404;
    reply.answer.isReplicaReply = true;
    reply.answer.headers = { { "X-A", "b" } };
    reply.answer.body = "no such card";
    test.answer(1, reply);
    CHECK(test.bed.onlyAnswer(2).answer.status == 404);
    CHECK(test.bed.onlyAnswer(2).answer.isReplicaReply);
    CHECK(test.bed.onlyAnswer(2).answer.body == "no such card");
}

TEST_CASE("an instance that lacks only the replicas of one service relays the requests for it")
{
    RelayTestBed test;
    for (const char* id : { "card-a", "card-b" })
        test.failReplica(test.bed.directory.find(id));
    test.bed.reach.update(test.bed.directory, test.bed.clock.now());
    test.bed.start(1, "/all/q");
    CHECK(test.relays.sent.empty());
    CHECK(test.bed.transport.calls.size() == 4);
    test.bed.start(2, "/one/x");
    CHECK(test.relays.sent.size() == 1);
}

TEST_CASE("a request of which something was sent to a replica is not relayed")
{
    RelayTestBed test;
    test.bed.start(1, "/one/x");
    test.bed.fail(0, CallFailure::Lost);
    CHECK(test.relays.sent.empty());
    CHECK(test.bed.onlyAnswer(1).answer.code == ResultCode::OutcomeUnknown);
}

TEST_CASE("a request that replicas have refused for their load is not relayed")
{
    RelayTestBed test;
    for (const char* id : { "card-a", "card-b" })
        test.bed.directory.find(id)->health.recordBackOff(Millis(2000), test.bed.clock.now());
    test.bed.start(1, "/one/x");
    CHECK(test.relays.sent.empty());
    CHECK(test.bed.onlyAnswer(1).answer.code == ResultCode::ServerShed);
}

TEST_CASE("a declined request goes to another zone, and after four instances it is refused with the time of a retry")
{
    RelayTestBed test;
    test.isolate();
    test.bed.start(1, "/one/x");
    CHECK(test.relays.sent.at(0).instance.front() == 'n');
    test.answer(0, declined());
    CHECK(test.relays.sent.at(1).instance.front() == 's');
    test.answer(1, declined());
    test.answer(2, declined(ResultCode::NoReplicaReachable));
    RelayReply incomplete = declined(ResultCode::CoverageBelowMinimum);
    incomplete.answer.missing = { { "s1", ResultCode::NoReplicaReachable, 0 } };
    test.answer(3, incomplete);
    REQUIRE(test.relays.sent.size() == 4);
    CHECK(test.bed.onlyAnswer(1).answer.status == 503);
    CHECK(test.bed.onlyAnswer(1).answer.retryAfter > Millis(0));
    std::vector<std::string> instances;
    for (const auto& relay : test.relays.sent)
        instances.push_back(relay.instance);
    std::sort(instances.begin(), instances.end());
    CHECK(std::unique(instances.begin(), instances.end()) == instances.end());
}

TEST_CASE("a refusal of replicas at the other instance is passed on")
{
    RelayTestBed test;
    test.isolate();
    test.bed.start(1, "/one/x");
    RelayReply reply = declined(ResultCode::ServerShed);
    reply.answer.retryAfter = Millis(700);
    test.answer(0, reply);
    CHECK(test.relays.sent.size() == 1);
    CHECK(test.bed.onlyAnswer(1).answer.status == 503);
    CHECK(test.bed.onlyAnswer(1).answer.retryAfter == Millis(700));
}

TEST_CASE("a relayed request whose reply is lost may have run, and is not relayed again")
{
    struct TestCase {
        RepeatPolicy repeat;
        ResultCode code;
    };
    for (const TestCase& testCase : { TestCase { RepeatPolicy::AtMostOnce, ResultCode::OutcomeUnknown }, TestCase { RepeatPolicy::Idempotent, ResultCode::ConnectionLost } }) {
        RelayTestBed test(testCase.repeat);
        test.isolate();
        test.bed.start(1, "/one/x");
        test.bed.dispatcher->relayFailed(test.relays.sent.at(0).id, true);
        CHECK(test.relays.sent.size() == 1);
        CHECK(test.bed.onlyAnswer(1).answer.status == 502);
        CHECK(test.bed.onlyAnswer(1).answer.code == testCase.code);
    }
}

TEST_CASE("a relay without a reply ends at the deadline, and with its caller's connection")
{
    RelayTestBed test;
    test.isolate();
    test.bed.start(1, "/one/x", Millis(300));
    test.bed.start(2, "/all/q", Millis(300));
    test.bed.start(3, "/one/x", Millis(300));
    test.bed.dispatcher->callerDisconnected(3);
    CHECK(test.relays.sent.at(2).isCancelled);
    test.bed.runFor(Millis(280));
    CHECK_FALSE(test.bed.isAnswered(1));
    test.bed.runFor(Millis(20));
    CHECK(test.bed.onlyAnswer(1).answer.code == ResultCode::OutcomeUnknown);
    CHECK(test.bed.onlyAnswer(1).answer.status == 504);
    CHECK(test.bed.onlyAnswer(2).answer.status == 504);
    CHECK(test.relays.sent.at(0).isCancelled);
    CHECK(test.relays.sent.at(1).isCancelled);
    test.answer(0, mergedReply());
    CHECK(test.bed.answers.at(1).size() == 1);
}

TEST_CASE("a relayed request is served like any other, and never relayed again")
{
    struct TestCase {
        std::string name;
        bool isIsolated;
        uint64_t configVersion;
        std::string target;
        size_t calls;
        ResultCode code;
    };
    const std::vector<TestCase> testCases = {
        { "served", false, 1, "/one/x", 1, ResultCode::Ok },
        { "the sender knows an older configuration", false, 0, "/one/x", 1, ResultCode::Ok },
        { "the sender knows a newer configuration", false, 2, "/one/x", 0, ResultCode::NotReady },
        { "isolated as well", true, 1, "/one/x", 0, ResultCode::NotReady },
        { "no route", false, 1, "/none/", 0, ResultCode::UnknownPath },
    };
    for (const TestCase& testCase : testCases) {
        INFO(testCase.name);
        RelayTestBed test;
        if (testCase.isIsolated)
            test.isolate();
        RelayRequest relayed;
        relayed.forwarded.requestId = "r1";
        relayed.forwarded.method = "POST";
        relayed.forwarded.target = testCase.target;
        relayed.forwarded.host = "test.example";
        relayed.forwarded.callerTimeout = Millis(500);
        relayed.configVersion = testCase.configVersion;
        test.bed.dispatcher->startRelayed(1, relayed);
        CHECK(test.bed.transport.calls.size() == testCase.calls);
        test.bed.replyToAllExcept({});
        CHECK(test.relays.sent.empty());
        CHECK(test.bed.onlyAnswer(1).answer.code == testCase.code);
    }
}

// Guards against callers who see a new configuration through one instance and the old one through the next.
TEST_CASE("after an answer by a newer configuration, instances with an older one are not used")
{
    RelayTestBed test;
    test.isolate();
    test.bed.start(1, "/all/q");
    CHECK(test.relays.sent.at(0).request.configVersion == 1);
    RelayReply reply = mergedReply();
    reply.configVersion = 5;
    test.answer(0, reply);
    test.bed.start(2, "/one/x");
    CHECK(test.relays.sent.at(1).request.configVersion == 5);
}

TEST_CASE("a relayed request that cannot connect to a replica is not relayed again")
{
    RelayTestBed test;
    for (const char* id : { "card-a", "card-b" })
        test.failReplica(test.bed.directory.find(id));
    RelayRequest relayed;
    relayed.forwarded.target = "/one/x";
    relayed.forwarded.host = "test.example";
    relayed.forwarded.callerTimeout = Millis(500);
    test.bed.dispatcher->startRelayed(1, relayed);
    CHECK(test.relays.sent.empty());
    CHECK(test.bed.onlyAnswer(1).answer.status == 503);
    CHECK(test.bed.onlyAnswer(1).answer.code == ResultCode::NoReplicaReachable);
}

TEST_CASE("an isolated instance does not gather groups")
{
    RelayTestBed test;
    test.isolate();
    GroupRequest group;
    group.shards = { "s0", "s1" };
    group.softTimeout = Millis(60);
    group.timeLeft = Millis(300);
    test.bed.dispatcher->gather(1, group);
    CHECK(test.bed.transport.calls.empty());
    CHECK(test.bed.onlyAnswer(1).answer.status == 503);
}

TEST_CASE("relays prefer the own zone, avoid what declined for a second, and spread over the rest")
{
    const std::vector<InstanceInfo> instances = { { "n0", "north", "h", 1 }, { "n1", "north", "h", 1 }, { "n2", "north", "h", 1 }, { "s0", "south", "h", 1 }, { "s1", "south", "h", 1 } };
    RelayChoice choice("n0", "north", 1);
    choice.setInstances(instances);
    TimePoint now(std::chrono::hours(1));
    absl::flat_hash_set<std::string> chosen;
    for (int i = 0; i < 100; ++i)
        chosen.insert(choice.choose({}, now)->name);
    CHECK(chosen == absl::flat_hash_set<std::string> { "n1", "n2" });
    choice.relayStarted(instances[1]);
    choice.relayEnded("n1", RelayEnd::Declined, now);
    CHECK(choice.choose({}, now)->zone == "south");
    // An instance that answers is used although another one of its zone has declined.
    choice.relayStarted(instances[2]);
    choice.relayEnded("n2", RelayEnd::Answered, now);
    CHECK(choice.choose({}, now)->name == "n2");
    choice.relayStarted(instances[2]);
    choice.relayEnded("n2", RelayEnd::Failed, now);
    const std::vector<std::string> tried = { "s0" };
    CHECK(choice.choose(tried, now)->name == "s1");
    for (size_t i : { 3, 4 }) {
        choice.relayStarted(instances[i]);
        choice.relayEnded(instances[i].name, RelayEnd::Declined, now);
    }
    CHECK(choice.choose({}, now) == nullptr);
    CHECK(choice.choose({}, now + Millis(1001))->zone == "north");
}

// Guards against callers of a zone that is cut off from the others, who would wait for one connection after another.
TEST_CASE("a zone of which an instance cannot be reached is left out for a second, except instances that answer")
{
    RelayTestBed test;
    test.isolate();
    test.bed.start(1, "/one/x");
    test.answer(0, declined());
    REQUIRE(test.relays.sent.at(1).instance.front() == 's');
    test.bed.dispatcher->relayFailed(test.relays.sent.at(1).id, false);
    REQUIRE(test.relays.sent.size() == 3);
    CHECK(test.relays.sent.at(2).instance.front() == 'n');
    test.answer(2, declined());
    CHECK(test.bed.onlyAnswer(1).answer.status == 503);
    test.bed.start(2, "/one/x");
    CHECK(test.relays.sent.size() == 3);
    CHECK(test.bed.onlyAnswer(2).answer.status == 503);

    const std::vector<InstanceInfo> instances = { { "s0", "south", "h", 1 }, { "s1", "south", "h", 1 }, { "s2", "south", "h", 1 } };
    RelayChoice choice("n0", "north", 1);
    choice.setInstances(instances);
    const TimePoint now(std::chrono::hours(1));
    choice.relayStarted(instances[0]);
    choice.relayEnded("s0", RelayEnd::Answered, now);
    choice.relayStarted(instances[1]);
    choice.relayEnded("s1", RelayEnd::Failed, now);
    CHECK(choice.choose({}, now)->name == "s0");
    const std::vector<std::string> tried = { "s0" };
    CHECK(choice.choose(tried, now) == nullptr);
    CHECK(choice.choose(tried, now + Millis(1000)) != nullptr);
}

TEST_CASE("messages of relays keep all fields, and malformed ones are refused")
{
    RelayRequest request;
    request.forwarded.requestId = std::string("r\0\xff", 3);
    request.forwarded.method = "POST";
    request.forwarded.target = "/card/7?x=1";
    request.forwarded.host = "app.example";
    request.forwarded.headers = { { "X-A", "1" }, { "X-A", "2" } };
    request.forwarded.body = std::string("\0\x80", 2);
    request.forwarded.callerTimeout = Millis(700);
    request.forwarded.transitTime = Micros(1500);
    request.configVersion = 9;
    const std::string requestBytes = encode(request);
    const std::optional<RelayRequest> decodedRequest = decodeRelayRequest(requestBytes);
    REQUIRE(decodedRequest);
    CHECK(encode(*decodedRequest) == requestBytes);
    CHECK(decodedRequest->forwarded.headers.size() == 2);
    CHECK(decodedRequest->forwarded.body == request.forwarded.body);

    RelayReply reply = mergedReply();
    reply.answer.code = ResultCode::PartialCoverage;
    reply.configVersion = 7;
    reply.answer.retryAfter = Millis(250);
    reply.answer.headers = request.forwarded.headers;
    const std::string replyBytes = encode(reply);
    const std::optional<RelayReply> decodedReply = decodeRelayReply(replyBytes);
    REQUIRE(decodedReply);
    CHECK(encode(*decodedReply) == replyBytes);
    CHECK(decodedReply->answer.missing.at(0).service == "s3");
    CHECK(decodedReply->answer.retryAfter == Millis(250));
    CHECK(decodedReply->configVersion == 7);

    for (const std::string& bytes : { std::string(), std::string("\x91\x01"), std::string("text"), requestBytes.substr(0, requestBytes.size() / 2) })
        CHECK_FALSE(decodeRelayRequest(bytes));
    for (const std::string& bytes : { std::string(), std::string("\x91\x01"), std::string("text"), replyBytes.substr(0, replyBytes.size() / 2) })
        CHECK_FALSE(decodeRelayReply(bytes));
    request.forwarded.callerTimeout = Millis(0);
    CHECK_FALSE(decodeRelayRequest(encode(request)));
    reply.answer.status = 101;
    CHECK_FALSE(decodeRelayReply(encode(reply)));
}

// Guards against replies that an instance of an earlier build has accepted from a replica.
TEST_CASE("a relayed reply whose headers cannot be sent to a caller is refused")
{
    for (const HeaderField& header : { HeaderField { "X Name", "1" }, HeaderField { "X-Name ", "1" }, HeaderField { "", "1" }, HeaderField { "X\x01", "1" }, HeaderField { "X-Name", "1\r\nX-Other: 2" } }) {
        RelayReply reply = mergedReply();
        REQUIRE(decodeRelayReply(encode(reply)));
        reply.answer.headers = { { "X-First", "0" }, header };
        INFO(header.name << ": " << header.value);
        CHECK_FALSE(decodeRelayReply(encode(reply)));
    }
    RelayReply reply = mergedReply();
    reply.answer.partSignatures.push_back("a\r\nX-Other: 2");
    CHECK_FALSE(decodeRelayReply(encode(reply)));
    GroupReply group;
    group.signatures = { "a" };
    REQUIRE(decodeGroupReply(encode(group)));
    group.signatures = { "a\nX-Other: 2" };
    CHECK_FALSE(decodeGroupReply(encode(group)));
}

// Guards against instances that are cut off from all replicas and make others of their zone believe that they are, too.
TEST_CASE("an instance that connects to a zone ignores notices that others cannot reach it")
{
    RelayTestBed test;
    RoutingTestBed& bed = test.bed;
    bed.clock.advance(std::chrono::seconds(2));
    for (const char* other : { "n1", "n2" })
        bed.reach.recordNotice(other, { "north", "south" }, bed.clock.now());
    bed.reach.update(bed.directory, bed.clock.now());
    REQUIRE(bed.reach.isIsolated());
    CHECK(bed.reach.zonesToProbe(bed.directory, bed.clock.now()) == std::vector<std::string> { "north", "south" });
    bed.directory.find("card-a")->health.connected(bed.clock.now());
    bed.reach.update(bed.directory, bed.clock.now());
    CHECK(bed.reach.unreachableZones() == std::vector<std::string> { "south" });
    CHECK_FALSE(bed.reach.isIsolated());
    // The proof expires, so that it is renewed while the notices last.
    CHECK(bed.reach.zonesToProbe(bed.directory, bed.clock.now()) == std::vector<std::string> { "north", "south" });
    bed.clock.advance(Millis(1100));
    CHECK(bed.reach.zonesToProbe(bed.directory, bed.clock.now()).empty());
}

// Guards against instances whose established connections are used up while new ones are refused.
TEST_CASE("an instance that cannot connect relays after a request has failed, and tries its connections again later")
{
    RelayTestBed test;
    RoutingTestBed& bed = test.bed;
    const auto failConnecting = [&] {
        for (const char* id : { "card-a", "card-b", "s0-a" })
            bed.directory.find(id)->health.connectFailed(bed.clock.now());
        bed.reach.update(bed.directory, bed.clock.now());
    };
    failConnecting();
    CHECK_FALSE(bed.reach.isConnectingBlocked());
    CHECK(bed.reach.zonesToProbe(bed.directory, bed.clock.now()) == std::vector<std::string> { "north", "south" });
    bed.clock.advance(Millis(500));
    failConnecting();
    REQUIRE(bed.reach.isConnectingBlocked());
    REQUIRE_FALSE(bed.reach.isIsolated());
    // The established connections suffice.
    bed.start(1, "/all/q");
    CHECK(test.relays.sent.empty());
    bed.replyToAllExcept({});
    // One call was sent, the others found no connection.
    for (int shard = 0; shard < 3; ++shard) {
        for (const char* copy : { "-a", "-b" })
            bed.transport.unconnected["s" + std::to_string(shard) + copy] = true;
    }
    const size_t first = bed.transport.calls.size();
    bed.start(2, "/all/q");
    for (size_t i = first; i < bed.transport.calls.size(); ++i) {
        if (bed.transport.calls[i].isOpen && bed.transport.unconnected.contains(bed.transport.calls[i].replica))
            bed.fail(i, CallFailure::NotSent);
    }
    REQUIRE(bed.onlyAnswer(2).answer.status == 502);
    CHECK(test.relays.sent.empty());
    bed.start(3, "/all/q");
    CHECK(test.relays.sent.size() == 1);
    bed.clock.advance(Millis(3001));
    bed.start(4, "/all/q");
    CHECK(test.relays.sent.size() == 1);
}

TEST_CASE("connecting is not blocked if it succeeds with other replicas, or fails with few")
{
    RelayTestBed test;
    RoutingTestBed& bed = test.bed;
    for (const char* id : { "card-a", "card-b" })
        bed.directory.find(id)->health.connectFailed(bed.clock.now());
    bed.reach.update(bed.directory, bed.clock.now());
    bed.clock.advance(Millis(600));
    bed.reach.update(bed.directory, bed.clock.now());
    CHECK_FALSE(bed.reach.isConnectingBlocked());
    bed.directory.find("s0-a")->health.connectFailed(bed.clock.now());
    bed.reach.update(bed.directory, bed.clock.now());
    bed.clock.advance(Millis(600));
    bed.reach.update(bed.directory, bed.clock.now());
    CHECK(bed.reach.isConnectingBlocked());
    bed.directory.find("s1-b")->health.connected(bed.clock.now());
    bed.reach.update(bed.directory, bed.clock.now());
    CHECK_FALSE(bed.reach.isConnectingBlocked());
    CHECK(bed.reach.zonesToProbe(bed.directory, bed.clock.now()).empty());
}

TEST_CASE("a follower learns all instances of its zone and a few of each other zone")
{
    InstanceDirectory directory;
    const TimePoint now(std::chrono::hours(1));
    constexpr int kInstances = 40;
    std::vector<InstanceInfo> instances;
    instances.reserve(kInstances);
    for (int i = 0; i < kInstances; ++i)
        instances.push_back({ "i" + std::to_string(i), i < 20 ? "north" : i < 38 ? "south"
                                                                                 : "west",
            "10.0.0.1", i + 1 });
    directory.recordReport("r", instances, now);
    absl::flat_hash_set<std::string> selected;
    for (int i = 0; i < 20; ++i) {
        const std::vector<InstanceInfo> selection = directory.selectionFor(instances[static_cast<size_t>(i)], now);
        const auto inZone = [&selection](const std::string& zone) { return std::count_if(selection.begin(), selection.end(), [&zone](const InstanceInfo& entry) { return entry.zone == zone; }); };
        CHECK(inZone("north") == 20);
        CHECK(inZone("south") == 4);
        CHECK(inZone("west") == 2);
        CHECK(digestOf(selection) == digestOf(directory.selectionFor(instances[static_cast<size_t>(i)], now)));
        for (const InstanceInfo& entry : selection)
            selected.insert(entry.name);
    }
    // Different followers learn different instances: together nearly all.
    CHECK(selected.size() >= 35);
    CHECK(directory.all(now).size() == 40);
}
