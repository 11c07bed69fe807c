/// Entries, keys and messages of other writers that are well formed but out of the ordinary.

#include "../platform/store_codec.h"
#include "../src/gateway/crash_messages.h"
#include "../src/gateway/peer_messages.h"

#include <absl/strings/escaping.h>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <sys/resource.h>

using namespace limpettrestle;
using namespace limpettrestle::platform;

namespace {

std::string replicaValue(std::string_view field = "", std::string_view value = "")
{
    std::vector<std::pair<std::string_view, std::string_view>> fields = { { "backend", R"("s1")" }, { "address", R"("10.128.0.9:8080")" }, { "zone", R"("z")" }, { "capacity", "2" },
        { "state", R"("ready")" }, { "warmup_left_ms", "5" }, { "seq", "4" }, { "born", "1700000000000" } };
    std::string text;
    for (const auto& [name, usual] : fields)
        text += fmt::format(R"({}"{}":{})", text.empty() ? "{" : ",", name, name == field ? value : usual);
    return text + "}";
}

std::string configValue(std::string_view service, std::string_view timeout = "900", std::string_view idleTimeout = "15000")
{
    return fmt::format(R"({{"version":7,"routes":[{{"name":"one","hostname":"a.example","prefix":"/c/","route_type":"idempotent","timeout_ms":{},"target_latency_ms":90,"backend":"x"}}],)"
                       R"("backends":[{{"name":"x"{}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_ms":3000,"idle_timeout_ms":{}}}}})",
        timeout, service, idleTimeout);
}

std::string problemOf(const StoreItem& item)
{
    const auto* invalid = std::get_if<InvalidItem>(&item);
    return invalid == nullptr ? "" : invalid->problem;
}

std::string nested(size_t levels) { return std::string(levels, '['); }

/// Largest resident size of this process so far.
long peakKilobytes()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss;
}

std::string messageWith(std::string_view entries)
{
    return fmt::format(R"({{"run":7,"number":12,"whole":true,"replicas":true,"era":3,"age_ms":321,"sender":"n1","following":4,"fleet":12,"instances_digest":9,"written":[{}],"removed":[]}})", entries);
}

std::string encodedEntry(std::string_view id, std::string_view host, std::string_view port, std::string_view slots, std::string_view warmup)
{
    return fmt::format(R"(["{}","s0","{}",{},"north",{},0,{},5,6])", id, host, port, slots, warmup);
}

/// Decodes "%XX" as the store does.
std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded.push_back(text[i]);
            continue;
        }
        decoded += absl::HexStringToBytes(std::string(text.substr(i + 1, 2)));
        i += 2;
    }
    return decoded;
}

RegistryResult page(std::string lastKey, bool hasMore)
{
    RegistryResult result;
    result.outcome = RegistryOutcome::Done;
    result.revision = 5;
    result.hasMore = hasMore;
    result.lastKey = std::move(lastKey);
    result.entries = 1;
    return result;
}

} // namespace

TEST_CASE("numbers of a replica's entry that are out of range are refused")
{
    struct TestCase {
        std::string_view field;
        std::string_view value;
    };
    const std::vector<TestCase> testCases = {
        { "capacity", "4294967296" },
        { "capacity", "18446744073709551615" },
        { "born", "18446744073709551615" },
        { "warmup_left_ms", "9000000000000000000" },
        { "warmup_left_ms", "18446744073709551615" },
        { "seq", "18446744073709551616" },
        { "seq", "1e400" },
    };
    for (const TestCase& testCase : testCases) {
        INFO(testCase.field << " " << testCase.value);
        CHECK_FALSE(problemOf(decodeItem("servers/i-1", replicaValue(testCase.field, testCase.value))).empty());
    }
    CHECK(problemOf(decodeItem("servers/i-1", replicaValue("capacity", "4294967296"))) == "capacity is out of range");
    for (const char* usable : { "0", "1", "4294967295" })
        CHECK(problemOf(decodeItem("servers/i-1", replicaValue("capacity", usable))).empty());
}

TEST_CASE("addresses that cannot be connected to are refused")
{
    for (const char* address : { "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999999999", "10.0.0.1:-1", "10.0.0.1:+1", "10.0.0.1: 80", "host:80", "10.0.0.256:80", "10.0.0.1\\u0000:80", "[::1]:80", "10.0.0.1:" }) {
        INFO(address);
        CHECK_FALSE(problemOf(decodeItem("servers/i-1", replicaValue("address", fmt::format("\"{}\"", address)))).empty());
    }
    CHECK(problemOf(decodeItem("servers/i-1", replicaValue("address", "\"10.0.0.1:65535\""))).empty());
}

TEST_CASE("replica IDs that cannot be sent in a header are refused")
{
    for (const std::string& id : { std::string("i 1"), std::string("i\r\nX-Other: 1"), std::string("i\n"), std::string("i\t1"), std::string("i\x7f"), std::string("i\0", 2), std::string(300, 'i') }) {
        INFO(id);
        CHECK_FALSE(problemOf(decodeItem("servers/" + id, replicaValue())).empty());
    }
    CHECK(problemOf(decodeItem("servers/i-1:a/b", replicaValue())).empty());
}

TEST_CASE("only the key of the configuration holds a configuration")
{
    CHECK(std::holds_alternative<ConfigWritten>(decodeItem("op/config", configValue(""))));
    CHECK(std::holds_alternative<InvalidItem>(decodeItem("servers/", configValue(""))));
}

TEST_CASE("times and rates of a configuration that are out of range are refused")
{
    for (const char* service : { R"(,"warmup_s":1e300)", R"(,"warmup_s":9.3e15)", R"(,"cold_per_s":1e308)", R"(,"max_conns":4294967296)" }) {
        INFO(service);
        CHECK_FALSE(problemOf(decodeItem("op/config", configValue(service))).empty());
    }
    CHECK_FALSE(problemOf(decodeItem("op/config", configValue("", "9000000000000000000"))).empty());
    CHECK_FALSE(problemOf(decodeItem("op/config", configValue("", "900", "9223372036854775807"))).empty());
    CHECK(problemOf(decodeItem("op/config", configValue(R"(,"warmup_s":2.5,"cold_per_s":10)"))).empty());
}

TEST_CASE("deeply nested values are refused within little memory")
{
    const std::string deep = nested(1000000);
    const std::string closed = std::string(100000, '[') + std::string(100000, ']');
    const long before = peakKilobytes();
    CHECK_FALSE(problemOf(decodeItem("servers/i-1", deep)).empty());
    CHECK_FALSE(problemOf(decodeItem("servers/i-1", replicaValue("seq", closed))).empty());
    CHECK_FALSE(problemOf(decodeItem("op/config", deep)).empty());
    for (const RegistryCall::Kind kind : { RegistryCall::Kind::Page, RegistryCall::Kind::Changes }) {
        const std::string list = fmt::format(R"({{"items":[{}],"events":[{}],"store_revision":3}})", closed, closed);
        CHECK(decodeStoreReply(kind, HttpResponse { 200, {}, list }).result.outcome == RegistryOutcome::Failed);
    }
    CHECK_FALSE(decodeReply(deep));
    CHECK_FALSE(decodeReply(messageWith(closed)));
    CHECK_FALSE(decodeNotice(deep));
    CHECK_FALSE(decodeCrashNotice(deep, TimePoint {}));
    CHECK(peakKilobytes() - before < 16384);
}

TEST_CASE("an odd entry in a reader's message is left out and the others are used")
{
    const std::string usual = encodedEntry("i-1", "10.0.0.1", "80", "2", "0");
    const std::vector<std::string> oddEntries = {
        encodedEntry("i-2", "10.0.0.1", "65536", "2", "0"),
        encodedEntry("i-2", "10.0.0.1", "4294967376", "2", "0"),
        encodedEntry("i-2", "10.0.0.1", "0", "2", "0"),
        encodedEntry("i-2", "10.0.0.1", "-1", "2", "0"),
        encodedEntry("i-2", "10.0.0.1", "80", "4294967296", "0"),
        encodedEntry("i-2", "10.0.0.1", "80", "2", "9000000000000000000"),
        encodedEntry("i-2", "10.0.0.1", "80", "2", "-5"),
        encodedEntry("i 2", "10.0.0.1", "80", "2", "0"),
        encodedEntry("i\\r\\nX: 2", "10.0.0.1", "80", "2", "0"),
        encodedEntry("", "10.0.0.1", "80", "2", "0"),
    };
    for (const std::string& odd : oddEntries) {
        INFO(odd);
        std::string entries = odd;
        entries.append(",").append(usual);
        const std::optional<ChangesReply> reply = decodeReply(messageWith(entries));
        REQUIRE(reply);
        REQUIRE(reply->written.size() == 1);
        CHECK(reply->written[0].id == "i-1");
    }
}

TEST_CASE("a configuration in a reader's message that is out of range is left out and the replicas are used")
{
    const std::string config = R"(,"config":{"version":7,"routes":[],"services":[["x",2,9000000000000000000,0]],"limits":[16384,1000,3000,15000]}})";
    const std::string message = messageWith(encodedEntry("i-1", "10.0.0.1", "80", "2", "0"));
    const std::optional<ChangesReply> reply = decodeReply(message.substr(0, message.size() - 1) + config);
    REQUIRE(reply);
    CHECK(reply->written.size() == 1);
    CHECK_FALSE(reply->config);
}

TEST_CASE("a page begins after exactly the key that ended the last one")
{
    std::string allBytes;
    for (int byte = 1; byte < 256; ++byte)
        allBytes.push_back(static_cast<char>(byte));
    for (const std::string& key : { std::string("servers/i-1"), std::string("a b"), std::string("a&prefix=x"), std::string("100%"), std::string("a%20b"), std::string("a#b"), std::string("a+b"), std::string("a\r\nX: 1"), std::string("\xc3\xa9"), allBytes }) {
        INFO(key);
        RegistryCall call;
        call.afterKey = key;
        const std::string target = encodeStoreTarget(call);
        CHECK(std::all_of(target.begin(), target.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; }));
        CHECK(std::count(target.begin(), target.end(), '&') == 1);
        CHECK(target.find_first_of("#+") == std::string::npos);
        CHECK(percentDecoded(target.substr(target.find("after=") + 6)) == key);
    }
}

TEST_CASE("a page that cannot be continued is a failure and not the end of the list")
{
    const TimePoint start { Millis(1000) };
    RegistrySync sync { RegistryPollTiming {} };
    sync.onCallFinished(page("", true), start);
    CHECK_FALSE(sync.hasCompletedFullRead());
    CHECK(sync.isUnavailable());
    CHECK(sync.isLastAnswerDiscarded());
    CHECK(sync.nextCallAt() > start);

    sync.onCallFinished(page("a", true), start);
    CHECK(sync.nextCall().afterKey == "a");
    sync.onCallFinished(page("a", true), start);
    CHECK_FALSE(sync.hasCompletedFullRead());
    CHECK(sync.isUnavailable());
    CHECK(sync.nextCall().afterKey.empty());

    sync.onCallFinished(page("a", true), start);
    sync.onCallFinished(page("b", false), start);
    CHECK(sync.hasCompletedFullRead());
    CHECK_FALSE(sync.isUnavailable());
}
