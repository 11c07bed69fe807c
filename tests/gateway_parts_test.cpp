/// Settings, log and clock of the gateway, and routes.

#include "../src/gateway/event_log.h"
#include "../src/gateway/gateway_settings.h"
#include "../src/process/system_clock.h"
#include "../src/request/record_merge.h"
#include "../src/version/route_table.h"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <unistd.h>

using namespace limpettrestle;

namespace {

const std::string kSettings = R"({
    // comment
    "name": "n1", "zone": "z", "caller": "10.0.0.1:1", "readiness": "10.0.0.1:2", "peer": "10.0.0.1:3", "metrics": "10.0.0.1:4",
    "seeds": ["10.0.0.1:3", "10.0.0.2:3"], "registry": { "address": "10.9.0.1:8102" },
    "reaction": { "drain_ms": 3000, "config_ms": 4000 }, "repeats": { "ratio": 0.2, "slack": 54 }, "shutdown": { "grace_ms": 6000 }
})";

/// Code of the settings error; Ok where they are accepted.
ResultCode codeOf(const std::string& text, GatewaySettings* out = nullptr)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<ResultCode> {
            BOOST_LEAF_AUTO(settings, parseGatewaySettings("test", text));
            if (out != nullptr)
                *out = settings;
            return ResultCode::Ok;
        },
        [](const SettingsError& error) { return error.code; }, [] { return ResultCode::Internal; });
}

std::string with(const std::string& from, const std::string& to)
{
    std::string text = kSettings;
    const size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE("gateway settings are read with comments and checked key by key")
{
    GatewaySettings settings;
    REQUIRE(codeOf(kSettings, &settings) == ResultCode::Ok);
    CHECK(settings.name == "n1");
    CHECK(settings.seeds.size() == 2);
    CHECK(settings.configReaction == Millis(4000));
    CHECK(settings.repeatSlack == 54);
    CHECK(codeOf("{") == ResultCode::SettingsSyntax);
    CHECK(codeOf("[]") == ResultCode::SettingsBadValue);
    CHECK(codeOf(with("\"zone\": \"z\",", "")) == ResultCode::SettingsMissingKey);
    CHECK(codeOf(with("\"zone\"", "\"zoen\"")) == ResultCode::SettingsUnknownKey);
    CHECK(codeOf(with("10.0.0.1:1", "10.0.0.1")) == ResultCode::SettingsBadValue);
    CHECK(codeOf(with("10.0.0.2:3", "10.0.0.2:99999")) == ResultCode::SettingsBadValue);
    CHECK(codeOf(with("\"registry\": { \"address\": \"10.9.0.1:8102\" },", "")) == ResultCode::SettingsMissingKey);
    CHECK(codeOf(with("\"drain_ms\": 3000", "\"drain_ms\": -1")) == ResultCode::SettingsBadValue);
    CHECK(codeOf(with("\"ratio\": 0.2", "\"ratio\": \"high\"")) == ResultCode::SettingsBadValue);
}

TEST_CASE("the monotonic clock counts suspensions")
{
    CHECK(SystemClock::kMonotonicSource == CLOCK_BOOTTIME);
    timespec boot {};
    clock_gettime(CLOCK_BOOTTIME, &boot);
    const auto bootNow = std::chrono::seconds(boot.tv_sec) + std::chrono::nanoseconds(boot.tv_nsec);
    CHECK(SystemClock().now().time_since_epoch() - bootNow < std::chrono::seconds(1));
}

TEST_CASE("the log never blocks, stays bounded and counts what it drops")
{
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    BoundedSink sink(ends[1], 4096, 1e9);
    const std::string line(200, 'x');
    for (int i = 0; i < 5000; ++i) {
        sink.log(spdlog::details::log_msg("test", spdlog::level::info, line));
        if (i % 10 == 0)
            sink.writeOut();
    }
    CHECK(sink.dropped() > 0);
    // Nobody has read so far: the pipe holds 64 KiB and the writer went on.
    std::string read(1 << 20, '\0');
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    const ssize_t count = ::read(ends[0], read.data(), read.size());
    CHECK(count > 0);
    sink.writeOut();
    const ssize_t more = ::read(ends[0], read.data(), read.size());
    REQUIRE(more > 0);
    CHECK(read.substr(0, static_cast<size_t>(more)).find("event=log_lines_dropped") != std::string::npos);
    close(ends[0]);
    close(ends[1]);
}

TEST_CASE("the log keeps to its rate")
{
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    BoundedSink sink(ends[1], 1 << 20, 50);
    for (int i = 0; i < 500; ++i)
        sink.log(spdlog::details::log_msg("test", spdlog::level::info, "line"));
    CHECK(sink.dropped() >= 400);
    close(ends[0]);
    close(ends[1]);
}

TEST_CASE("the longest prefix of the host's routes takes a request")
{
    RoutingDocument document;
    for (const char* prefix : { "/", "/a/", "/a/b/" }) {
        RouteSpec route;
        route.name = prefix;
        route.host = "h.example";
        route.prefix = prefix;
        document.routes.push_back(route);
    }
    const RouteTable table(document);
    CHECK(table.match("h.example", "/a/b/c")->name == "/a/b/");
    CHECK(table.match("H.Example:80", "/a/b")->name == "/a/");
    CHECK(table.match("h.example", "/a/?q=/a/b/")->name == "/a/");
    CHECK(table.match("h.example", "/x")->name == "/");
    CHECK(table.match("other.example", "/a/") == nullptr);
}

TEST_CASE("merged records are the greatest of all parts, greatest first")
{
    const auto record = [](char first, char last) { return std::string(1, first) + std::string(14, '.') + std::string(1, last); };
    const std::string a = record('b', '1') + record('\xff', '1') + "rest";
    const std::string b = record('b', '1') + record('a', '9');
    CHECK(mergeRecords({ a, b }, 3) == record('\xff', '1') + record('b', '1') + record('b', '1'));
    CHECK(mergeRecords({ a, b }, 10).size() == 4 * kRecordBytes);
    CHECK(mergeRecords({ "short" }, 3).empty());
}
