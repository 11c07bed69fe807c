/// limpettrestlectl: command-line tool for operators.

#include "commands.h"

#include <cxxopts.hpp>
#include <iostream>

namespace limpettrestle::ctl {

namespace {

    struct Command {
        std::string_view name;
        ExitCode (*run)(const CommandLine&);
    };

    constexpr Command kCommands[] = {
        { "search", runSearch },
        { "permit", runPermit },
        { "submit", runSubmit },
        { "status", runStatus },
        { "config", runConfig },
        { "explain", runExplain },
        { "timeline", runTimeline },
    };

    constexpr const char* kExamples = R"(Commands:
  search    --service S --query Q       run a search and print rows and coverage
  permit    --service S --key K         get a permit for one non-repeatable request
  submit    --service S --key K --body B [--permit P]
                                        run a submission once; resend it only with the
                                        same permit
  status                                summary of the fleet
  config check   --file F               check a document
  config patch   --file F --change N    check a JSON Patch against the version in force, show the
                                        diff and the value to publish
  config show | config history
  explain REQUEST-ID                    print how the answer was produced
  timeline [--format text|json|chrome]  events of all instances in causal order

Examples:
  limpettrestlectl search --caller 127.0.0.1:8100 --service yard-desk --query "stall with paddock"
  limpettrestlectl status --admin 127.0.0.1:8300 --admin 127.0.0.1:8301
  limpettrestlectl timeline --admin 127.0.0.1:8300 --format chrome > trace.json

Exit codes: 0 success, 1 answered but not fulfilled, 2 usage, 3 unreachable.
)";

    cxxopts::Options makeOptions()
    {
        cxxopts::Options options("limpettrestlectl", "Command-line tool for operators of the limpettrestle query tier");
        options.add_options()("words", "Command", cxxopts::value<std::vector<std::string>>())("caller", "Caller port ip:port, repeatable", cxxopts::value<std::vector<std::string>>())(
            "admin", "Admin port ip:port, repeatable", cxxopts::value<std::vector<std::string>>())("json", "Print JSON")(
            "service", "Service", cxxopts::value<std::string>()->default_value(""))("query", "Query text", cxxopts::value<std::string>()->default_value(""))(
            "key", "Idempotency key", cxxopts::value<std::string>()->default_value(""))("body", "Body of a submission", cxxopts::value<std::string>()->default_value(""))(
            "permit", "Permit", cxxopts::value<std::string>()->default_value(""))("class", "urgent, normal or deferrable", cxxopts::value<std::string>()->default_value(""))(
            "deadline-ms", "Deadline in milliseconds", cxxopts::value<uint64_t>()->default_value("0"))("limit", "Rows to return", cxxopts::value<uint64_t>()->default_value("10"))(
            "min-coverage", "Minimum coverage, 0 to 1", cxxopts::value<double>()->default_value("0"))("file", "Input file", cxxopts::value<std::string>()->default_value(""))(
            "change", "Name of the configuration change", cxxopts::value<std::string>()->default_value(""))("format", "text, json or chrome", cxxopts::value<std::string>()->default_value("text"))(
            "h,help", "Print this help");
        options.parse_positional({ "words" });
        options.positional_help("COMMAND");
        return options;
    }

    bool readEndpoints(const cxxopts::ParseResult& parsed, const char* name, std::vector<Endpoint>& out)
    {
        if (parsed.count(name) == 0)
            return true;
        for (const std::string& text : parsed[name].as<std::vector<std::string>>()) {
            Endpoint endpoint;
            if (!parseEndpoint(text, endpoint))
                return false;
            out.push_back(endpoint);
        }
        return true;
    }

    int run(int argc, char** argv)
    {
        cxxopts::Options options = makeOptions();
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0 || parsed.count("words") == 0) {
            std::cout << options.help() << "\n"
                      << kExamples;
            return parsed.count("help") > 0 ? 0 : static_cast<int>(ExitCode::Usage);
        }
        CommandLine args;
        args.positionals = parsed["words"].as<std::vector<std::string>>();
        if (!readEndpoints(parsed, "caller", args.callers) || !readEndpoints(parsed, "admin", args.admins))
            return static_cast<int>(usageError("--caller and --admin take ip:port"));
        args.isJson = parsed.count("json") > 0;
        args.service = parsed["service"].as<std::string>();
        args.query = parsed["query"].as<std::string>();
        args.key = parsed["key"].as<std::string>();
        args.body = parsed["body"].as<std::string>();
        args.permit = parsed["permit"].as<std::string>();
        args.priority = parsed["class"].as<std::string>();
        args.file = parsed["file"].as<std::string>();
        args.change = parsed["change"].as<std::string>();
        args.format = parsed["format"].as<std::string>();
        args.deadlineMs = parsed["deadline-ms"].as<uint64_t>();
        args.limit = parsed["limit"].as<uint64_t>();
        args.minCoverage = parsed["min-coverage"].as<double>();
        for (const Command& command : kCommands) {
            if (command.name == args.positionals[0])
                return static_cast<int>(command.run(args));
        }
        return static_cast<int>(usageError("unknown command " + args.positionals[0]));
    }

} // namespace

ExitCode usageError(const std::string& detail)
{
    std::cerr << "error " << static_cast<int>(ResultCode::Usage) << " usage: " << detail << "\n";
    return ExitCode::Usage;
}

} // namespace limpettrestle::ctl

int main(int argc, char** argv)
{
    try {
        return limpettrestle::ctl::run(argc, argv);
    } catch (const cxxopts::exceptions::exception& error) {
        return static_cast<int>(limpettrestle::ctl::usageError(error.what()));
    }
}
