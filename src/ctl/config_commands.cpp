/// Subcommands of `config`. They read the configuration from the instances and validate files. They do
/// not publish changes; operators publish with the tools of the platform.

#include "../daemon/platform_protocol.h"
#include "commands.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <fstream>
#include <iostream>
#include <sstream>

namespace limpettrestle::ctl {

namespace {

    using nlohmann::json;

    bool readFile(const std::string& file, std::string& text)
    {
        std::ifstream in(file);
        if (!in)
            return false;
        std::stringstream buffer;
        buffer << in.rdbuf();
        text = buffer.str();
        return true;
    }

    /// Fetches the configuration with the highest version among the instances that answer. Returns false
    /// when no instance answers or the text does not match the digest.
    bool fetchNewestConfig(const CommandLine& args, ConfigStamp& stamp, std::string& text)
    {
        const Endpoint* newestAdmin = nullptr;
        for (const Endpoint& admin : args.admins) {
            const CallResult status = get(admin, "/v1/status");
            if (status.code != ResultCode::Ok || !status.body.is_object() || !status.body.contains("config"))
                continue;
            const uint64_t version = status.body["config"]["version"];
            if (newestAdmin && version <= stamp.version)
                continue;
            newestAdmin = &admin;
            stamp.version = version;
            const auto digest = status.body["config"]["digest"].get<std::string>();
            if (!absl::SimpleHexAtoi(digest, &stamp.digest))
                return false;
        }
        if (!newestAdmin)
            return false;
        const CallResult config = get(*newestAdmin, "/v1/config");
        text = config.text;
        return config.code == ResultCode::Ok && configDigest(text) == stamp.digest;
    }

    ExitCode fail(ResultCode code, const std::string& detail)
    {
        std::cerr << "error " << static_cast<int>(code) << " " << resultCodeInfo(code).name << ": " << detail << "\n";
        return ExitCode::NotFulfilled;
    }

    ExitCode checkDocument(const CommandLine& args)
    {
        std::string text;
        if (!readFile(args.file, text))
            return usageError("config check needs --file with a readable document");
        const json document = json::parse(text, nullptr, false, true);
        ConfigRecord record;
        record.checkpoint = true;
        record.version = 1;
        record.text = document.is_discarded() ? text : document.dump();
        const ConfigChangeResult result = evaluateConfigChange({}, "", record);
        if (result.code != ResultCode::Ok)
            return fail(result.code, args.file + ": " + result.detail);
        std::cout << "ok, digest " << absl::StrFormat("%016x", result.stamp.digest) << ", " << result.text.size() << " bytes\n";
        return ExitCode::Ok;
    }

    /// Prints each operation of the patch with the values before and after it.
    void printDiff(const json& before, const json& patch)
    {
        for (const json& operation : patch) {
            const std::string path = operation.value("path", "");
            std::cout << operation.value("op", "?") << " " << path << "\n";
            const bool isPointer = path.empty() || path[0] == '/';
            if (isPointer && before.contains(json::json_pointer(path)))
                std::cout << "  - " << before[json::json_pointer(path)].dump() << "\n";
            if (operation.contains("value"))
                std::cout << "  + " << operation["value"].dump() << "\n";
        }
    }

    ExitCode previewPatch(const CommandLine& args)
    {
        std::string text;
        if (args.change.empty() || !readFile(args.file, text))
            return usageError("config patch needs --change NAME and --file with a JSON Patch");
        ConfigStamp stamp;
        std::string current;
        if (!fetchNewestConfig(args, stamp, current))
            return fail(ResultCode::PeerUnreachable, "no reachable instance returned its configuration");
        ConfigRecord record;
        record.change = args.change;
        record.base = stamp;
        record.text = text;
        const ConfigChangeResult result = evaluateConfigChange(stamp, current, record);
        if (result.code != ResultCode::Ok)
            return fail(result.code, result.detail);
        const std::string entry = platform_protocol::formatConfigRecord(record);
        if (args.isJson) {
            std::cout << json { { "key", std::string(platform_protocol::kConfigPrefix) + args.change }, { "value", entry },
                { "version", result.stamp.version }, { "digest", absl::StrFormat("%016x", result.stamp.digest) } }
                             .dump()
                      << "\n";
            return ExitCode::Ok;
        }
        std::cout << "change    " << args.change << "\nbase      version " << stamp.version << " digest " << absl::StrFormat("%016x", stamp.digest)
                  << "\nresult    version " << result.stamp.version << " digest " << absl::StrFormat("%016x", result.stamp.digest) << "\n";
        printDiff(json::parse(current, nullptr, false), json::parse(text, nullptr, false));
        std::cout << "publish this value under the key " << platform_protocol::kConfigPrefix << args.change << ":\n"
                  << entry << "\n";
        return ExitCode::Ok;
    }

    ExitCode showConfig(const CommandLine& args)
    {
        ConfigStamp stamp;
        std::string text;
        if (!fetchNewestConfig(args, stamp, text))
            return fail(ResultCode::PeerUnreachable, "no reachable instance returned its configuration");
        if (!args.isJson)
            std::cout << "version " << stamp.version << " digest " << absl::StrFormat("%016x", stamp.digest) << "\n";
        std::cout << json::parse(text, nullptr, false).dump(args.isJson ? -1 : 2) << "\n";
        return ExitCode::Ok;
    }

    ExitCode showHistory(const CommandLine& args)
    {
        for (const Endpoint& admin : args.admins) {
            const CallResult status = get(admin, "/v1/status");
            if (status.code != ResultCode::Ok || !status.body.is_object())
                continue;
            const json& entries = status.body["history"];
            if (args.isJson) {
                std::cout << entries.dump() << "\n";
                return ExitCode::Ok;
            }
            std::cout << "changes evaluated by " << status.body["name"].get<std::string>() << ":\n";
            for (const json& entry : entries) {
                std::cout << "  revision " << entry["revision"] << "  " << entry["change"].get<std::string>() << ": " << entry["code"] << " "
                          << entry["result"].get<std::string>();
                if (entry["code"] == 0)
                    std::cout << ", version " << entry["version"] << " digest " << entry["digest"].get<std::string>();
                else
                    std::cout << ", " << entry["detail"].get<std::string>();
                std::cout << "\n";
            }
            return ExitCode::Ok;
        }
        return fail(ResultCode::PeerUnreachable, "no instance answers");
    }

} // namespace

ExitCode runConfig(const CommandLine& args)
{
    using Handler = ExitCode (*)(const CommandLine&);
    struct Subcommand {
        std::string_view name;
        Handler run;
    };
    static constexpr Subcommand kSubcommands[] = { { "check", checkDocument }, { "patch", previewPatch }, { "show", showConfig }, { "history", showHistory } };
    const std::string name = args.positionals.size() > 1 ? args.positionals[1] : "";
    for (const Subcommand& subcommand : kSubcommands) {
        if (subcommand.name == name)
            return subcommand.run(args);
    }
    return usageError("config needs one of check, patch, show, history");
}

} // namespace limpettrestle::ctl
