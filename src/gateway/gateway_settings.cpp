#include "gateway_settings.h"

#include "../json_checks.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    namespace leaf = boost::leaf;
    using nlohmann::json;

    constexpr int kMegabyteShift = 20;
    /// Descriptors that are not available to sockets, but at most a fraction of all.
    constexpr size_t kFileDescriptors = 200;
    constexpr size_t kFileDescriptorsDivisor = 8;
    /// Share of the memory for the requests and responses of clients.
    constexpr size_t kClientBytesDivisor = 4;
    /// Share of the memory that the kernel may need for the unread bytes of all connections, and the most that it needs for one.
    constexpr size_t kKernelBytesDivisor = 2;
    constexpr size_t kKernelBytesPerConnection = 32 << 10;
    /// Shares of the sockets in percent. A reader serves hundreds of other instances; each page has a few operators.
    constexpr size_t kCallerPercent = 50;
    constexpr size_t kPeerPercent = 30;
    constexpr size_t kPagePercent = 1;
    constexpr size_t kMinPageConnections = 8;

    class GatewaySettingsReader {
    public:
        GatewaySettingsReader(std::string file, GatewaySettings& settings)
            : file_(std::move(file))
            , settings_(settings)
        {
        }

        bool read(const json& root)
        {
            ObjectCheck check(root, "");
            check.allow({ "name", "zone", "caller", "readiness", "peer", "metrics", "registry", "seeds", "repeats", "reaction", "shutdown", "seed", "processor_share", "zones", "cold", "limits" });
            check.require("name").text("name", settings_.name);
            check.require("zone").text("zone", settings_.zone);
            check.integer("seed", settings_.seed, 0, UINT64_MAX);
            check.number("processor_share", settings_.processorShare, 0.001, 1000);
            return accept(check) && readZones(root) && readCold(root) && readEndpoint(root, "", "caller", settings_.caller) && readEndpoint(root, "", "readiness", settings_.readiness)
                && readEndpoint(root, "", "peer", settings_.peer) && readEndpoint(root, "", "metrics", settings_.metrics) && readRegistry(root)
                && readSeeds(root) && readReaction(root) && readLimits(root) && readRepeats(root) && readShutdown(root);
        }

        SettingsError error;

    private:
        bool fail(ResultCode code, std::string key, std::string expected)
        {
            error = { code, file_, std::move(key), std::move(expected) };
            return false;
        }

        bool accept(const ObjectCheck& check)
        {
            if (check.ok())
                return true;
            return fail(toSettingsCode(check.code()), check.pointer(), check.expected());
        }

        bool readEndpoint(const json& object, const std::string& pointer, const std::string& key, Endpoint& out)
        {
            std::string text;
            ObjectCheck check(object, pointer);
            check.require(key).text(key, text);
            if (!accept(check))
                return false;
            return parseEndpoint(text, out) || fail(ResultCode::SettingsBadValue, pointer + "/" + key, "an address as ip:port");
        }

        bool readRegistry(const json& root)
        {
            if (!root.contains("registry"))
                return fail(ResultCode::SettingsMissingKey, "/registry", "an object with an address");
            ObjectCheck check(root["registry"], "/registry");
            check.allow({ "address" });
            return accept(check) && readEndpoint(root["registry"], "/registry", "address", settings_.registry);
        }

        bool readSeeds(const json& root)
        {
            if (!root.contains("seeds"))
                return true;
            const json& seeds = root["seeds"];
            if (!seeds.is_array())
                return fail(ResultCode::SettingsBadValue, "/seeds", "a list of addresses");
            for (const json& entry : seeds) {
                Endpoint endpoint;
                if (!entry.is_string() || !parseEndpoint(entry.get<std::string>(), endpoint))
                    return fail(ResultCode::SettingsBadValue, "/seeds/" + std::to_string(settings_.seeds.size()), "an address as ip:port");
                settings_.seeds.push_back(endpoint);
            }
            return true;
        }

        bool readReaction(const json& root)
        {
            if (!root.contains("reaction"))
                return true;
            ObjectCheck check(root["reaction"], "/reaction");
            check.allow({ "drain_ms", "config_ms", "evacuation_ms" });
            check.millis("drain_ms", settings_.drainReaction, 100, 600000);
            check.millis("config_ms", settings_.configReaction, 100, 600000);
            if (root["reaction"].contains("evacuation_ms"))
                check.millis("evacuation_ms", settings_.evacuationReaction.emplace(), 100, 600000);
            return accept(check);
        }

        bool readZones(const json& root)
        {
            if (!root.contains("zones"))
                return true;
            const json& zones = root["zones"];
            if (!zones.is_object())
                return fail(ResultCode::SettingsBadValue, "/zones", "an object with the region of each zone");
            for (const auto& [zone, region] : zones.items()) {
                if (!region.is_string())
                    return fail(ResultCode::SettingsBadValue, "/zones/" + zone, "the name of a region");
                settings_.regions[zone] = region.get<std::string>();
            }
            return true;
        }

        bool readCold(const json& root)
        {
            if (!root.contains("cold"))
                return true;
            ObjectCheck check(root["cold"], "/cold");
            check.allow({ "excess", "slack" });
            check.number("excess", settings_.coldExcess, 0, 100);
            check.number("slack", settings_.coldSlack, 0, 1e6);
            return accept(check);
        }

        bool readLimits(const json& root)
        {
            if (!root.contains("limits"))
                return true;
            ObjectCheck check(root["limits"], "/limits");
            check.allow({ "memory_mb", "descriptors" });
            uint64_t memoryMb = settings_.memoryBytes >> kMegabyteShift;
            check.integer("memory_mb", memoryMb, 32, 1 << 20);
            check.integer("descriptors", settings_.descriptors, 64, 1 << 30);
            settings_.memoryBytes = memoryMb << kMegabyteShift;
            return accept(check);
        }

        bool readRepeats(const json& root)
        {
            if (!root.contains("repeats"))
                return true;
            ObjectCheck check(root["repeats"], "/repeats");
            check.allow({ "ratio", "slack" });
            check.number("ratio", settings_.repeatRatio, 0, 10);
            check.number("slack", settings_.repeatSlack, 0, 1e6);
            return accept(check);
        }

        bool readShutdown(const json& root)
        {
            if (!root.contains("shutdown"))
                return true;
            ObjectCheck check(root["shutdown"], "/shutdown");
            check.allow({ "grace_ms" });
            check.millis("grace_ms", settings_.grace, 100, 600000);
            return accept(check);
        }

        std::string file_;
        GatewaySettings& settings_;
    };

} // namespace

ClientShares shareOut(const GatewaySettings& settings, size_t systemDescriptors)
{
    const size_t descriptors = settings.descriptors == 0 ? systemDescriptors : std::min<size_t>(settings.descriptors, systemDescriptors);
    const size_t forSockets = descriptors - std::min(kFileDescriptors, descriptors / kFileDescriptorsDivisor);
    const size_t sockets = std::min(forSockets, settings.memoryBytes / kKernelBytesDivisor / kKernelBytesPerConnection);
    ClientShares shares;
    shares.bytes = settings.memoryBytes / kClientBytesDivisor;
    shares.callerConnections = sockets * kCallerPercent / 100;
    shares.peerConnections = sockets * kPeerPercent / 100;
    shares.pageConnections = std::max(kMinPageConnections, sockets * kPagePercent / 100);
    return shares;
}

leaf::result<GatewaySettings> loadGatewaySettings(const std::string& file)
{
    BOOST_LEAF_AUTO(text, readSettingsFile(file));
    return parseGatewaySettings(file, text);
}

leaf::result<GatewaySettings> parseGatewaySettings(const std::string& file, const std::string& text)
{
    const json root = json::parse(text, nullptr, false, true);
    if (root.is_discarded())
        return leaf::new_error(SettingsError { ResultCode::SettingsSyntax, file, "", "JSON with comments" });
    GatewaySettings settings;
    GatewaySettingsReader reader(file, settings);
    if (!reader.read(root))
        return leaf::new_error(reader.error);
    return settings;
}

} // namespace limpettrestle
