/// Tests of the settings file: every key is checked, and each error has a result code.

#include "../src/daemon/settings.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

namespace {

SettingsError parseError(const std::string& text)
{
    SettingsError error;
    error.code = ResultCode::Ok;
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_CHECK(parseSettings("f.json", text));
            return {};
        },
        [&](const SettingsError& reported) { error = reported; },
        [&] { error.code = ResultCode::Internal; });
    return error;
}

const std::string kAddresses = R"("caller":"127.0.0.1:1","peer":"127.0.0.1:2","admin":"127.0.0.1:3","platform":"127.0.0.1:4")";

} // namespace

TEST_CASE("settings errors name the code, the file, the key and the expected value")
{
    struct Case {
        const char* name;
        std::string text;
        ResultCode code;
        const char* key;
    };
    const std::string requiredSettings = R"("name":"n","zone":"z",)" + kAddresses;
    const Case cases[] = {
        { "valid, with a comment", "{ // comment\n" + requiredSettings + "}", ResultCode::Ok, "" },
        { "valid, with all parts", "{" + requiredSettings + R"(,"limits":{"max_requests":5,"caller_threads":2},"shutdown":{"balancer_lag_ms":1},"seeds":[{"name":"p","address":"127.0.0.1:9","zone":"z"}]})", ResultCode::Ok, "" },
        { "not JSON", "{", ResultCode::SettingsSyntax, "" },
        { "not an object", "[]", ResultCode::SettingsBadValue, "" },
        { "unknown key", "{" + requiredSettings + R"(,"colour":1})", ResultCode::SettingsUnknownKey, "/colour" },
        { "unknown nested key", "{" + requiredSettings + R"(,"limits":{"speed":1}})", ResultCode::SettingsUnknownKey, "/limits/speed" },
        { "missing name", R"({"zone":"z",)" + kAddresses + "}", ResultCode::SettingsMissingKey, "/name" },
        { "empty name", R"({"name":"","zone":"z",)" + kAddresses + "}", ResultCode::SettingsBadValue, "/name" },
        { "missing address", R"({"name":"n","zone":"z","caller":"127.0.0.1:1"})", ResultCode::SettingsMissingKey, "/peer" },
        { "port out of range", R"({"name":"n","zone":"z","caller":"127.0.0.1:99999"})", ResultCode::SettingsBadValue, "/caller" },
        { "wrong type", R"({"name":7,"zone":"z",)" + kAddresses + "}", ResultCode::SettingsBadValue, "/name" },
        { "out of range", "{" + requiredSettings + R"(,"limits":{"caller_threads":0}})", ResultCode::SettingsBadValue, "/limits/caller_threads" },
        { "negative duration", "{" + requiredSettings + R"(,"shutdown":{"balancer_lag_ms":-1}})", ResultCode::SettingsBadValue, "/shutdown/balancer_lag_ms" },
        { "malformed seed address", "{" + requiredSettings + R"(,"seeds":[{"name":"p","address":"nowhere","zone":"z"}]})", ResultCode::SettingsBadValue, "/seeds/0/address" },
    };
    for (const Case& entry : cases) {
        INFO(entry.name);
        const SettingsError error = parseError(entry.text);
        CHECK(error.code == entry.code);
        if (entry.code == ResultCode::Ok)
            continue;
        CHECK(error.file == "f.json");
        CHECK(error.key == entry.key);
        CHECK_FALSE(error.expected.empty());
        CHECK(formatSettingsError(error).find(std::to_string(static_cast<int>(entry.code))) != std::string::npos);
    }
}
