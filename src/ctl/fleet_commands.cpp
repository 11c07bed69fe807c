/// Commands that show the state of the fleet: status, explain and timeline.

#include "commands.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <map>

namespace limpettrestle::ctl {

namespace {

    using nlohmann::json;

    /// Fetches the timelines of all instances that answer and merges them into causal order.
    std::vector<json> fetchEvents(const CommandLine& args, const std::string& path)
    {
        std::vector<json> events;
        for (const Endpoint& admin : args.admins) {
            const CallResult result = get(admin, path);
            if (result.code != ResultCode::Ok || !result.body.is_array())
                continue;
            for (const json& event : result.body)
                events.push_back(event);
        }
        // Hybrid logical clock: an event sorts after the events that caused it.
        std::stable_sort(events.begin(), events.end(), [](const json& a, const json& b) {
            if (a["wall_us"] != b["wall_us"])
                return a["wall_us"] < b["wall_us"];
            return a["counter"] < b["counter"];
        });
        return events;
    }

    void printEvent(const json& event, int64_t startMicros)
    {
        const double millis = static_cast<double>(event["wall_us"].get<int64_t>() - startMicros) / 1000;
        std::cout << std::setw(12) << std::fixed << std::setprecision(3) << millis << " ms  " << std::left << std::setw(18)
                  << event["instance"].get<std::string>() << std::setw(20) << event["event"].get<std::string>() << std::right;
        if (event["code"] != 0)
            std::cout << " [" << event["code"] << " " << event["result"].get<std::string>() << "]";
        if (event.contains("request"))
            std::cout << " " << event["request"].get<std::string>();
        if (event["attempt"] != 0)
            std::cout << " shard=" << event["shard"] << " attempt=" << event["attempt"];
        if (!event["subject"].get<std::string>().empty())
            std::cout << " " << event["subject"].get<std::string>();
        if (event["number"] != 0)
            std::cout << " (" << event["number"] << ")";
        std::cout << "\n";
    }

    /// Converts events to the Chrome trace event format, with one process per instance.
    json toChromeTrace(const std::vector<json>& events)
    {
        json trace;
        trace["traceEvents"] = json::array();
        std::map<std::string, int> processes;
        for (const json& event : events) {
            const auto instance = event["instance"].get<std::string>();
            const bool isNew = !processes.contains(instance);
            if (isNew)
                processes[instance] = static_cast<int>(processes.size()) + 1;
            const int pid = processes[instance];
            if (isNew)
                trace["traceEvents"].push_back({ { "ph", "M" }, { "pid", pid }, { "name", "process_name" }, { "args", { { "name", instance } } } });
            trace["traceEvents"].push_back({ { "ph", "i" }, { "s", "p" }, { "pid", pid }, { "tid", 0 }, { "ts", event["wall_us"] },
                { "name", event["event"] }, { "args", event } });
        }
        return trace;
    }

    ExitCode printEvents(const CommandLine& args, const std::vector<json>& events)
    {
        if (args.format == "chrome") {
            std::cout << toChromeTrace(events).dump() << "\n";
            return ExitCode::Ok;
        }
        if (args.isJson || args.format == "json") {
            std::cout << json(events).dump() << "\n";
            return ExitCode::Ok;
        }
        const int64_t startMicros = events.empty() ? 0 : events.front()["wall_us"].get<int64_t>();
        for (const json& event : events)
            printEvent(event, startMicros);
        return ExitCode::Ok;
    }

} // namespace

ExitCode runStatus(const CommandLine& args)
{
    json statuses = json::array();
    bool isAnyUnreachable = false;
    for (const Endpoint& admin : args.admins) {
        const CallResult result = get(admin, "/v1/status");
        const bool isAnswered = result.code == ResultCode::Ok && result.body.is_object() && result.status == 200;
        isAnyUnreachable = isAnyUnreachable || !isAnswered;
        statuses.push_back(isAnswered ? result.body : json { { "admin", admin.toString() }, { "phase", "unreachable" } });
    }
    if (args.isJson) {
        std::cout << statuses.dump() << "\n";
        return isAnyUnreachable ? ExitCode::NotFulfilled : ExitCode::Ok;
    }
    std::cout << std::left << std::setw(18) << "INSTANCE" << std::setw(16) << "ZONE" << std::setw(12) << "PHASE" << std::setw(8) << "CONFIG"
              << std::setw(8) << "ALIVE" << std::setw(8) << "OWNS" << std::setw(8) << "QUEUED" << std::setw(9) << "INFLIGHT"
              << "DRAINED\n";
    for (const json& status : statuses) {
        if (status["phase"] == "unreachable") {
            std::cout << std::setw(18) << status["admin"].get<std::string>() << std::setw(16) << "-"
                      << "unreachable\n";
            continue;
        }
        const json& stats = status["stats"];
        std::cout << std::setw(18) << status["name"].get<std::string>() << std::setw(16) << status["zone"].get<std::string>()
                  << std::setw(12) << status["phase"].get<std::string>() << std::setw(8) << status["config"]["version"].dump()
                  << std::setw(8) << stats["members_alive"].dump() << std::setw(8) << stats["owned_replicas"].dump()
                  << std::setw(8) << stats["queued"].dump() << std::setw(9) << stats["in_flight"].dump() << status["drained_servers"].size() << "\n";
    }
    return isAnyUnreachable ? ExitCode::NotFulfilled : ExitCode::Ok;
}

ExitCode runExplain(const CommandLine& args)
{
    const std::string id = args.positionals.size() > 1 ? args.positionals[1] : args.request;
    if (!parseRequestId(id).isValid())
        return usageError("explain needs a request id as printed with an answer");
    const std::vector<json> events = fetchEvents(args, "/v1/timeline?request=" + id);
    if (events.empty()) {
        std::cerr << "no events of request " << id << " are retained\n";
        return ExitCode::NotFulfilled;
    }
    if (!args.isJson) {
        std::map<std::string, int> eventCounts;
        for (const json& event : events)
            ++eventCounts[event["event"].get<std::string>()];
        std::cout << "request " << id << ":";
        for (const auto& [eventName, count] : eventCounts)
            std::cout << " " << eventName << "=" << count;
        std::cout << "\n";
    }
    return printEvents(args, events);
}

ExitCode runTimeline(const CommandLine& args)
{
    return printEvents(args, fetchEvents(args, "/v1/timeline"));
}

} // namespace limpettrestle::ctl
