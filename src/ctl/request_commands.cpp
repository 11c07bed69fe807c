/// Commands that send a request to the caller port: search, permit and submit.

#include "commands.h"

#include <iostream>

namespace limpettrestle::ctl {

namespace {

    using nlohmann::json;

    void printAnswer(const json& answer)
    {
        std::cout << "request   " << answer.value("request_id", "-") << "\n"
                  << "outcome   " << answer.value("outcome", "-") << " (" << answer.value("code", 0) << " " << answer.value("result", "-") << ")\n";
        if (answer.contains("meaning"))
            std::cout << "          " << answer["meaning"].get<std::string>() << "\n";
        if (answer.contains("detail"))
            std::cout << "detail    " << answer["detail"].get<std::string>() << "\n";
        if (answer.contains("retry_after_ms"))
            std::cout << "retry     after " << answer["retry_after_ms"] << " ms\n";
        if (answer.contains("permit"))
            std::cout << "permit    " << answer["permit"].get<std::string>() << "\n";
        if (answer.contains("body"))
            std::cout << "body      " << answer["body"].get<std::string>() << "\n";
        if (!answer.contains("coverage"))
            return;
        const json& coverage = answer["coverage"];
        std::cout << "snapshot  " << answer["snapshot"] << ", partition map " << answer["map_version"] << ", configuration " << answer["config_version"] << "\n"
                  << "coverage  " << coverage["answered"] << " of " << coverage["shards"] << " shards"
                  << (coverage["complete"].get<bool>() ? ", complete" : ", PARTIAL") << "\n";
        for (const json& missing : coverage["missing"])
            std::cout << "  missing shard " << missing["shard"] << ": " << missing["code"] << " " << missing["reason"].get<std::string>() << "\n";
        for (const json& row : answer["rows"])
            std::cout << "  " << row["score"] << "  " << row["id"].get<std::string>() << "\n";
    }

    /// Sends the request to each instance in turn until one answers. Unless `isRepeatable`, it is sent only
    /// once, because an instance that does not answer may still have received it.
    CallResult sendToAny(const CommandLine& args, const std::string& path, const json& body, bool isRepeatable)
    {
        CallResult result;
        result.code = ResultCode::PeerUnreachable;
        for (const Endpoint& endpoint : args.callers) {
            result = post(endpoint, path, body);
            if (result.code == ResultCode::Ok || !isRepeatable)
                return result;
        }
        return result;
    }

    ExitCode printResult(const CommandLine& args, const CallResult& result)
    {
        if (result.code != ResultCode::Ok || result.body.is_discarded()) {
            std::cerr << "error " << static_cast<int>(ResultCode::PeerUnreachable) << " peer_unreachable: no instance answered\n";
            return ExitCode::Unreachable;
        }
        if (args.isJson)
            std::cout << result.body.dump() << "\n";
        else
            printAnswer(result.body);
        return result.body.value("code", 1) == 0 ? ExitCode::Ok : ExitCode::NotFulfilled;
    }

} // namespace

ExitCode runSearch(const CommandLine& args)
{
    if (args.service.empty())
        return usageError("search needs --service");
    json body = { { "service", args.service }, { "query", args.query }, { "limit", args.limit }, { "min_coverage", args.minCoverage } };
    if (args.deadlineMs > 0)
        body["deadline_ms"] = args.deadlineMs;
    if (!args.priority.empty())
        body["class"] = args.priority;
    return printResult(args, sendToAny(args, "/v1/search", body, true));
}

ExitCode runPermit(const CommandLine& args)
{
    if (args.service.empty() || args.key.empty())
        return usageError("permit needs --service and --key");
    return printResult(args, sendToAny(args, "/v1/permit", { { "service", args.service }, { "key", args.key } }, true));
}

ExitCode runSubmit(const CommandLine& args)
{
    if (args.service.empty() || args.key.empty())
        return usageError("submit needs --service and --key");
    json body = { { "service", args.service }, { "key", args.key }, { "body", args.body } };
    if (!args.permit.empty())
        body["permit"] = args.permit;
    if (args.deadlineMs > 0)
        body["deadline_ms"] = args.deadlineMs;
    // Resending is safe only with a permit: the query tier then runs the submission at most once.
    return printResult(args, sendToAny(args, "/v1/submit", body, !args.permit.empty()));
}

} // namespace limpettrestle::ctl
