#include "settings.h"

#include "../json_checks.h"

#include <absl/strings/numbers.h>
#include <fstream>
#include <sstream>

namespace limpettrestle {

namespace {

    namespace leaf = boost::leaf;
    using nlohmann::json;

    class SettingsReader {
    public:
        SettingsReader(std::string file, DaemonSettings& settings)
            : file_(std::move(file))
            , settings_(settings)
        {
        }

        bool read(const json& root)
        {
            ObjectCheck check(root, "");
            check.allow({ "name", "zone", "caller", "peer", "admin", "platform", "seeds", "limits", "shutdown", "seed" });
            check.require("name").text("name", settings_.name);
            check.require("zone").text("zone", settings_.zone);
            check.integer("seed", settings_.seed, 0, UINT64_MAX);
            if (!verify(check))
                return false;
            if (settings_.name.empty())
                return fail(ResultCode::SettingsBadValue, "/name", "a non-empty name");
            return readEndpoint(root, "caller", settings_.caller) && readEndpoint(root, "peer", settings_.peer)
                && readEndpoint(root, "admin", settings_.admin) && readEndpoint(root, "platform", settings_.platform)
                && readSeeds(root) && readLimits(root) && readShutdown(root);
        }

        SettingsError error;

    private:
        /// Stores the error and returns false.
        bool fail(ResultCode code, std::string key, std::string expected)
        {
            error = { code, file_, std::move(key), std::move(expected) };
            return false;
        }

        /// Returns whether `check` passed; otherwise stores its error.
        bool verify(const ObjectCheck& check)
        {
            if (check.ok())
                return true;
            return fail(toSettingsCode(check.code()), check.pointer(), check.expected());
        }

        bool readEndpoint(const json& root, const std::string& key, Endpoint& out)
        {
            std::string text;
            ObjectCheck check(root, "");
            check.require(key).text(key, text);
            if (!verify(check))
                return false;
            return parseEndpoint(text, out) || fail(ResultCode::SettingsBadValue, "/" + key, "an address as ip:port");
        }

        bool readSeeds(const json& root)
        {
            if (!root.contains("seeds"))
                return true;
            if (!root["seeds"].is_array())
                return fail(ResultCode::SettingsBadValue, "/seeds", "a list of instances");
            for (const json& entry : root["seeds"]) {
                PlatformMember seed;
                Endpoint endpoint;
                const std::string pointer = "/seeds/" + std::to_string(settings_.seeds.size());
                ObjectCheck check(entry, pointer);
                check.allow({ "name", "address", "zone" });
                check.require("name").text("name", seed.name);
                check.require("address").text("address", seed.address);
                check.require("zone").text("zone", seed.zone);
                if (!verify(check))
                    return false;
                if (!parseEndpoint(seed.address, endpoint))
                    return fail(ResultCode::SettingsBadValue, pointer + "/address", "an address as ip:port");
                settings_.seeds.push_back(std::move(seed));
            }
            return true;
        }

        bool readLimits(const json& root)
        {
            if (!root.contains("limits"))
                return true;
            uint64_t maxRequests = settings_.maxRequests;
            ObjectCheck check(root["limits"], "/limits");
            check.allow({ "max_requests", "max_body_bytes", "caller_threads", "default_deadline_ms", "max_deadline_ms" });
            check.integer("max_requests", maxRequests, 1, 1000000);
            check.integer("max_body_bytes", settings_.maxBodyBytes, 64, 16 << 20);
            check.integer("caller_threads", settings_.callerThreads, 1, 4096);
            check.millis("default_deadline_ms", settings_.defaultDeadline, 1, 600000);
            check.millis("max_deadline_ms", settings_.maxDeadline, 1, 600000);
            settings_.maxRequests = static_cast<uint32_t>(maxRequests);
            return verify(check);
        }

        bool readShutdown(const json& root)
        {
            if (!root.contains("shutdown"))
                return true;
            ObjectCheck check(root["shutdown"], "/shutdown");
            check.allow({ "balancer_lag_ms", "drain_limit_ms" });
            check.millis("balancer_lag_ms", settings_.balancerLag, 0, 600000);
            check.millis("drain_limit_ms", settings_.drainLimit, 0, 600000);
            return verify(check);
        }

        std::string file_;
        DaemonSettings& settings_;
    };

} // namespace

std::string formatSettingsError(const SettingsError& error)
{
    const ResultCodeInfo& info = resultCodeInfo(error.code);
    std::string text = "error " + std::to_string(static_cast<int>(error.code)) + " " + std::string(info.name) + ": " + error.file;
    if (!error.key.empty())
        text += ": " + error.key;
    if (!error.expected.empty())
        text += ": expected " + error.expected;
    return text;
}

leaf::result<std::string> readSettingsFile(const std::string& file)
{
    std::ifstream in(file);
    if (!in)
        return leaf::new_error(SettingsError { ResultCode::SettingsUnreadable, file, "", "a readable file" });
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

leaf::result<DaemonSettings> loadSettings(const std::string& file)
{
    BOOST_LEAF_AUTO(text, readSettingsFile(file));
    return parseSettings(file, text);
}

leaf::result<DaemonSettings> parseSettings(const std::string& file, const std::string& text)
{
    const json root = json::parse(text, nullptr, false, true);
    if (root.is_discarded())
        return leaf::new_error(SettingsError { ResultCode::SettingsSyntax, file, "", "JSON with comments" });
    DaemonSettings settings;
    SettingsReader reader(file, settings);
    if (!reader.read(root))
        return leaf::new_error(reader.error);
    return settings;
}

ResultCode toSettingsCode(ResultCode code)
{
    switch (code) {
    case ResultCode::UnknownField:
        return ResultCode::SettingsUnknownKey;
    case ResultCode::MissingField:
        return ResultCode::SettingsMissingKey;
    default:
        return ResultCode::SettingsBadValue;
    }
}

bool parseEndpoint(std::string_view text, Endpoint& out)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return false;
    const std::string port(text.substr(colon + 1));
    out.host = std::string(text.substr(0, colon));
    return absl::SimpleAtoi(port, &out.port) && out.port > 0 && out.port < 65536;
}

} // namespace limpettrestle
