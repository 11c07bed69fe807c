/// Commands on the configuration. They read the fleet and check files; publishing is left to the
/// platform's own means.

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

    /// Newest configuration in force at any instance that answers.
    bool fetchNewest(const CommandLine& line, ConfigStamp& stamp, std::string& text)
    {
        const Endpoint* holder = nullptr;
        for (const Endpoint& admin : line.admins) {
            const CallResult status = get(admin, "/v1/status");
            if (status.code != ResultCode::Ok || !status.body.is_object() || !status.body.contains("config"))
                continue;
            const uint64_t version = status.body["config"]["version"];
            if (holder && version <= stamp.version)
                continue;
            holder = &admin;
            stamp.version = version;
            const auto digest = status.body["config"]["digest"].get<std::string>();
            if (!absl::SimpleHexAtoi(digest, &stamp.digest))
                return false;
        }
        if (!holder)
            return false;
        const CallResult config = get(*holder, "/v1/config");
        text = config.text;
        return config.code == ResultCode::Ok && configDigest(text) == stamp.digest;
    }

    ExitCode fail(ResultCode code, const std::string& detail)
    {
        std::cerr << "error " << static_cast<int>(code) << " " << resultCodeInfo(code).name << ": " << detail << "\n";
        return ExitCode::NotAsAsked;
    }

    ExitCode check(const CommandLine& line)
    {
        std::string text;
        if (!readFile(line.file, text))
            return usageError("config check needs --file with a document that can be read");
        const json document = json::parse(text, nullptr, false, true);
        ConfigRecord record;
        record.checkpoint = true;
        record.version = 1;
        record.text = document.is_discarded() ? text : document.dump();
        const ConfigChangeResult verdict = evaluateConfigChange({}, "", record);
        if (verdict.code != ResultCode::Ok)
            return fail(verdict.code, line.file + ": " + verdict.detail);
        std::cout << "ok, digest " << absl::StrFormat("%016x", verdict.stamp.digest) << ", " << verdict.text.size() << " bytes\n";
        return ExitCode::Ok;
    }

    /// Prints what the patch changes, operation by operation, with the value before it.
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

    ExitCode patch(const CommandLine& line)
    {
        std::string text;
        if (line.change.empty() || !readFile(line.file, text))
            return usageError("config patch needs --change NAME and --file with a JSON Patch");
        ConfigStamp stamp;
        std::string current;
        if (!fetchNewest(line, stamp, current))
            return fail(ResultCode::PeerUnreachable, "no instance shows its configuration");
        ConfigRecord record;
        record.change = line.change;
        record.base = stamp;
        record.text = text;
        const ConfigChangeResult verdict = evaluateConfigChange(stamp, current, record);
        if (verdict.code != ResultCode::Ok)
            return fail(verdict.code, verdict.detail);
        const std::string entry = platform_protocol::formatConfigRecord(record);
        if (line.json) {
            std::cout << json { { "key", std::string(platform_protocol::kConfigPrefix) + line.change }, { "value", entry },
                { "version", verdict.stamp.version }, { "digest", absl::StrFormat("%016x", verdict.stamp.digest) } }
                             .dump()
                      << "\n";
            return ExitCode::Ok;
        }
        std::cout << "change    " << line.change << "\nbase      version " << stamp.version << " digest " << absl::StrFormat("%016x", stamp.digest)
                  << "\nresult    version " << verdict.stamp.version << " digest " << absl::StrFormat("%016x", verdict.stamp.digest) << "\n";
        printDiff(json::parse(current, nullptr, false), json::parse(text, nullptr, false));
        std::cout << "publish this value under the key " << platform_protocol::kConfigPrefix << line.change << ":\n"
                  << entry << "\n";
        return ExitCode::Ok;
    }

    ExitCode show(const CommandLine& line)
    {
        ConfigStamp stamp;
        std::string text;
        if (!fetchNewest(line, stamp, text))
            return fail(ResultCode::PeerUnreachable, "no instance shows its configuration");
        if (!line.json)
            std::cout << "version " << stamp.version << " digest " << absl::StrFormat("%016x", stamp.digest) << "\n";
        std::cout << json::parse(text, nullptr, false).dump(line.json ? -1 : 2) << "\n";
        return ExitCode::Ok;
    }

    ExitCode history(const CommandLine& line)
    {
        for (const Endpoint& admin : line.admins) {
            const CallResult status = get(admin, "/v1/status");
            if (status.code != ResultCode::Ok || !status.body.is_object())
                continue;
            const json& entries = status.body["history"];
            if (line.json) {
                std::cout << entries.dump() << "\n";
                return ExitCode::Ok;
            }
            std::cout << "as " << status.body["name"].get<std::string>() << " judged it:\n";
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

ExitCode runConfig(const CommandLine& line)
{
    using Command = ExitCode (*)(const CommandLine&);
    struct Row {
        std::string_view word;
        Command run;
    };
    static constexpr Row kRows[] = { { "check", check }, { "patch", patch }, { "show", show }, { "history", history } };
    const std::string word = line.words.size() > 1 ? line.words[1] : "";
    for (const Row& row : kRows) {
        if (row.word == word)
            return row.run(line);
    }
    return usageError("config needs one of check, patch, show, history");
}

} // namespace limpettrestle::ctl
