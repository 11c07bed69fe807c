/// Codecs of the platform's formats with valid, incomplete, mistyped, unrelated and malformed input.

#include "../platform/request_codec.h"
#include "../platform/store_codec.h"

#include <absl/strings/escaping.h>
#include <catch2/catch.hpp>

using namespace limpettrestle;
using namespace limpettrestle::platform;

namespace {

const std::string kReplica = R"({"backend":"s1","address":"10.128.0.9:8080","zone":"z","version":"v1","capacity":2,"state":"ready","warmup_left_ms":5,"seq":4,"born":1700000000000})";
const std::string kConfig = R"({"version":7,"routes":[)"
                            R"({"name":"all","hostname":"A.Example","prefix":"/a/","route_type":"idempotent","timeout_ms":250,"target_latency_ms":40,"priority":2,"gather":["s1","s2"],"max_attempts":2,"top_k":5,"min_coverage":0.75},)"
                            R"({"name":"split","hostname":"a.example","prefix":"/a/b/","route_type":"non_idempotent","timeout_ms":900,"target_latency_ms":90,"traffic_split":[{"backend":"x","weight":3},{"backend":"y","weight":1}]},)"
                            R"({"name":"one","hostname":"a.example","prefix":"/c/","route_type":"idempotent","timeout_ms":900,"target_latency_ms":90,"backend":"x"}],)"
                            R"("backends":[{"name":"x","health_path":"/h","max_conns":26,"protocol":"h1","tls":false}],)"
                            R"("limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

std::string replaceText(std::string text, const std::string& from, const std::string& to)
{
    const size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

template <typename Kind>
bool holds(const StoreItem& item) { return std::holds_alternative<Kind>(item); }

std::string storedItem(const std::string& key, const std::string& value)
{
    return R"({"key":")" + key + R"(","value":")" + absl::Base64Escape(value) + R"(","revision":412,"created":412,"lease":0})";
}

} // namespace

TEST_CASE("all fields of a replica's entry are decoded")
{
    const StoreItem item = decodeItem("servers/i-1", kReplica);
    REQUIRE(holds<ReplicaWritten>(item));
    const ReplicaEntry& entry = std::get<ReplicaWritten>(item).entry;
    CHECK(entry.id == "i-1");
    CHECK(entry.service == "s1");
    CHECK(entry.host == "10.128.0.9");
    CHECK(entry.port == 8080);
    CHECK(entry.slots == 2);
    CHECK(entry.state == ReplicaState::Ready);
    CHECK(entry.warmupLeft == Millis(5));
    CHECK(entry.sequence == 4);
    CHECK(entry.startedAt == 1700000000000);
}

TEST_CASE("an invalid replica entry is reported with its replica ID")
{
    const std::vector<std::string> invalidValues = {
        "",
        "not json",
        "[]",
        "null",
        "\xff\xfe",
        replaceText(kReplica, R"("backend":"s1",)", ""),
        replaceText(kReplica, R"("backend":"s1")", R"("backend":5)"),
        replaceText(kReplica, R"("capacity":2)", R"("capacity":"2")"),
        replaceText(kReplica, R"("capacity":2)", R"("capacity":-2)"),
        replaceText(kReplica, R"("capacity":2)", R"("capacity":2.5)"),
        replaceText(kReplica, R"("state":"ready")", R"("state":"resting")"),
        replaceText(kReplica, R"("seq":4,)", ""),
        replaceText(kReplica, "10.128.0.9:8080", "10.128.0.9"),
        replaceText(kReplica, "10.128.0.9:8080", "10.128.0.9:80800"),
        replaceText(kReplica, "10.128.0.9:8080", ":8080"),
        replaceText(kReplica, R"("born":1700000000000)", R"("born":"yesterday")"),
        replaceText(kReplica, R"("warmup_left_ms":5)", R"("warmup_left_ms":-5)"),
    };
    for (const std::string& value : invalidValues) {
        INFO(value);
        const StoreItem item = decodeItem("servers/i-1", value);
        REQUIRE(holds<InvalidItem>(item));
        CHECK(std::get<InvalidItem>(item).replicaId == "i-1");
        CHECK_FALSE(std::get<InvalidItem>(item).problem.empty());
    }
}

TEST_CASE("a configuration is decoded into routes, services and limits")
{
    const StoreItem item = decodeItem("op/config", kConfig);
    REQUIRE(holds<ConfigWritten>(item));
    const RoutingDocument& document = std::get<ConfigWritten>(item).document;
    CHECK(document.version == 7);
    REQUIRE(document.routes.size() == 3);
    CHECK(document.routes[0].host == "a.example");
    CHECK(document.routes[0].shards.size() == 2);
    CHECK(document.routes[0].repeat == RepeatPolicy::Idempotent);
    CHECK(document.routes[0].topRecords == 5);
    CHECK(document.routes[0].minCoverage == 0.75);
    CHECK(document.routes[1].repeat == RepeatPolicy::AtMostOnce);
    REQUIRE(document.routes[1].shares.size() == 2);
    CHECK(document.routes[1].shares[0].weight == 3);
    CHECK(document.routes[2].shares[0].service == "x");
    CHECK(document.services[0].maxConnections == 26);
    CHECK(document.limits.maxBodyBytes == 1000);
}

TEST_CASE("an invalid or inconsistent configuration is rejected as a whole")
{
    const std::vector<std::string> invalidValues = {
        "",
        "{}",
        replaceText(kConfig, R"("version":7,)", ""),
        replaceText(kConfig, R"("version":7)", R"("version":"7")"),
        replaceText(kConfig, R"("prefix":"/c/")", R"("prefix":"c/")"),
        replaceText(kConfig, R"("timeout_ms":250)", R"("timeout_ms":0)"),
        replaceText(kConfig, R"("gather":["s1","s2"])", R"("gather":[])"),
        replaceText(kConfig, R"("gather":["s1","s2"])", R"("gather":["s1",2])"),
        replaceText(kConfig, R"("min_coverage":0.75)", R"("min_coverage":1.75)"),
        replaceText(kConfig, R"("weight":3},{"backend":"y","weight":1})", R"("weight":0},{"backend":"y","weight":0})"),
        replaceText(kConfig, R"("max_body_bytes":1000)", R"("max_body_bytes":-1)"),
    };
    for (const std::string& value : invalidValues) {
        INFO(value);
        CHECK(holds<InvalidItem>(decodeItem("op/config", value)));
    }
}

TEST_CASE("responses of the store are mapped to outcomes and items")
{
    struct TestCase {
        int status;
        std::string body;
        RegistryOutcome outcome;
        size_t items;
    };
    const std::string page = R"({"items":[)" + storedItem("servers/i-1", kReplica) + "," + storedItem("other/key", "x") + R"(],"has_more":true,"store_revision":530})";
    const std::vector<TestCase> testCases = {
        { 200, page, RegistryOutcome::Done, 1 },
        { 200, R"({"items":[],"has_more":false,"store_revision":1})", RegistryOutcome::Done, 0 },
        { 200, R"({"items":[{"key":"servers/i-2","value":"%%%","revision":1}],"has_more":false,"store_revision":1})", RegistryOutcome::Done, 1 },
        { 200, R"({"items":[{"value":"AAAA"},7,null],"has_more":false,"store_revision":1})", RegistryOutcome::Done, 0 },
        { 200, R"({"items":{},"store_revision":1})", RegistryOutcome::Failed, 0 },
        { 200, R"({"items":[]})", RegistryOutcome::Failed, 0 },
        { 200, page.substr(0, page.size() / 2), RegistryOutcome::Failed, 0 },
        { 410, "", RegistryOutcome::HistoryLost, 0 },
        { 429, "", RegistryOutcome::Refused, 0 },
        { 503, "", RegistryOutcome::Refused, 0 },
        { 500, "", RegistryOutcome::Failed, 0 },
        { 0, "", RegistryOutcome::Failed, 0 },
    };
    for (const TestCase& testCase : testCases) {
        INFO(testCase.status << " " << testCase.body);
        const StoreReply reply = decodeStoreReply(RegistryCall::Kind::Page, HttpResponse { testCase.status, {}, testCase.body });
        CHECK(reply.result.outcome == testCase.outcome);
        CHECK(reply.items.size() == testCase.items);
    }
    const StoreReply reply = decodeStoreReply(RegistryCall::Kind::Page, HttpResponse { 200, {}, page });
    CHECK(reply.result.hasMore);
    CHECK(reply.result.lastKey == "other/key");
    CHECK(reply.result.revision == 530);
}

TEST_CASE("events are decoded into written and removed replicas")
{
    const std::string events = R"({"events":[)" + storedItem("servers/i-1", kReplica) + R"(,{"key":"servers/i-2","revision":413,"deleted":true}],"store_revision":413})";
    const StoreReply reply = decodeStoreReply(RegistryCall::Kind::Changes, HttpResponse { 200, {}, events });
    REQUIRE(reply.items.size() == 2);
    CHECK(holds<ReplicaWritten>(reply.items[0]));
    REQUIRE(holds<ReplicaRemoved>(reply.items[1]));
    CHECK(std::get<ReplicaRemoved>(reply.items[1]).id == "i-2");
}

TEST_CASE("the decoder survives randomly corrupted responses of the store")
{
    const std::string events = R"({"events":[)" + storedItem("servers/i-1", kReplica) + "," + storedItem("op/config", kConfig) + R"(],"store_revision":413})";
    std::mt19937 random(7);
    for (int round = 0; round < 20000; ++round) {
        std::string damaged = events;
        for (int i = 0; i < 1 + round % 4; ++i)
            damaged[random() % damaged.size()] = static_cast<char>(random());
        if (round % 3 == 0)
            damaged.resize(random() % damaged.size());
        decodeStoreReply(RegistryCall::Kind::Changes, HttpResponse { 200, {}, damaged });
        std::string value = round % 2 == 0 ? kReplica : kConfig;
        value[random() % value.size()] = static_cast<char>(random());
        decodeItem(round % 2 == 0 ? "servers/i" : "op/config", value);
    }
    SUCCEED();
}

TEST_CASE("only end-to-end headers of a caller's request are forwarded")
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/a/x?y=1";
    request.host = "a.example";
    request.body = "abc";
    request.headers = { { "Host", "a.example" }, { "X-Request-Id", "r1" }, { "X-Deadline-Ms", "300" }, { "Connection", "keep-alive, X-Private" }, { "X-Private", "1" },
        { "Transfer-Encoding", "chunked" }, { "X-Expect-Instance", "forged" }, { "Accept", "*/*" } };
    const ForwardedRequest forwarded = decodeRequest(request);
    CHECK(forwarded.requestId == "r1");
    CHECK(forwarded.callerTimeout == Millis(300));
    const std::string head = encodeCallHead(encodeCommonHead(forwarded), "i-9", Millis(250));
    CHECK(head == "POST /a/x?y=1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\nAccept: */*\r\nContent-Length: 3\r\nX-Deadline-Ms: 250\r\nX-Expect-Instance: i-9\r\n\r\n");
}

TEST_CASE("an invalid deadline header is ignored")
{
    for (const char* text : { "", "x", "-5", "0", "1e3", "12ms" }) {
        HttpRequest request;
        request.headers = { { "X-Deadline-Ms", text } };
        CHECK(decodeRequest(request).callerTimeout == Millis(0));
    }
}

TEST_CASE("request ID, signature, load and execution status are decoded from a reply")
{
    HttpResponse response;
    response.status = 503;
    response.headers = { { "X-Request-Id", "r1" }, { "X-Not-Executed", "1" }, { "X-Server-Load", "2,5,2,130" }, { "X-Server-Stamp", "st" }, { "Keep-Alive", "timeout=5" } };
    const DecodedReply decoded = platform::decodeReply(response);
    CHECK(decoded.requestId == "r1");
    CHECK(decoded.reply.isNotExecuted);
    CHECK(decoded.reply.running == 2);
    CHECK(decoded.reply.waiting == 5);
    CHECK(decoded.reply.signature == "st");
    for (const char* load : { "", "2", "2,5", "a,b,c", "-1,2,3" }) {
        HttpResponse malformed;
        malformed.headers = { { "X-Server-Load", load } };
        CHECK(platform::decodeReply(malformed).reply.running == -1);
    }
    HttpResponse encoded;
    encoded.headers = { { "Content-Encoding", "gzip" } };
    CHECK(platform::decodeReply(encoded).isEncoded);
}

TEST_CASE("answers carry signatures, the number of missing parts and the time to retry")
{
    RouteAnswer merged;
    merged.status = 200;
    merged.isMerged = true;
    merged.partSignatures = { "a", "b" };
    merged.missing.push_back({ "s3", ResultCode::AttemptTimeout });
    merged.body = "0123456789abcdef";
    const HttpResponse mergedResponse = encodeAnswer(merged, "r1");
    CHECK(*findHeader(mergedResponse.headers, "X-Part-Stamps") == "a, b");
    CHECK(*findHeader(mergedResponse.headers, "X-Missing-Parts") == "1");
    CHECK(mergedResponse.body == merged.body);
    RouteAnswer rejection;
    rejection.status = 503;
    rejection.code = ResultCode::Overloaded;
    rejection.retryAfter = Millis(100);
    const HttpResponse rejectedResponse = encodeAnswer(rejection, "r1");
    CHECK(*findHeader(rejectedResponse.headers, "Retry-After") == "0.100");
    CHECK(findHeader(rejectedResponse.headers, "X-Server-Stamp") == nullptr);
}
