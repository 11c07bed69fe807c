/// Open-loop load generator: sends each request at its scheduled time, whether or not earlier ones
/// were answered, and measures latency from that time.
///
/// Input (a file): {"seconds": 10, "seed": 1, "workers": 48, "targets": ["ip:port"],
///   "streams": [{"service", "class", "rate", "deadline_ms", "pattern": "poisson" | "burst" | "ramp"}]}
/// Output: JSON with latencies (ms), outcomes and coverage of each stream and of each second.

#include "../src/daemon/settings.h"
#include "../src/json_checks.h"

#include <absl/synchronization/mutex.h>
#include <cmath>
#include <cxxopts.hpp>
#include <fstream>
#include <httplib.h>
#include <iostream>
#include <map>
#include <random>
#include <thread>

namespace limpettrestle::bench {

namespace {

    using nlohmann::json;
    using Clock = std::chrono::steady_clock;

    enum class Pattern : uint8_t { Poisson,
        Burst,
        Ramp };

    /// A stream of similar requests. `rate` is in requests per second.
    struct Stream {
        std::string service;
        std::string priority;
        double rate = 0;
        Millis deadline { 230 };
        Pattern pattern = Pattern::Poisson;
    };

    struct Plan {
        double seconds = 10;
        uint64_t seed = 1;
        uint64_t workers = 48;
        std::vector<Endpoint> targets;
        std::vector<Stream> streams;
    };

    struct ScheduledRequest {
        Micros offset { 0 };
        size_t stream = 0;
    };

    /// Result of one request. `code` is -1 if there was no valid answer.
    struct Sample {
        size_t stream = 0;
        double offsetSeconds = 0;
        double latencyMs = 0;
        int code = -1;
        std::string outcome;
        double coverage = 0;
    };

    bool parsePattern(const std::string& text, Pattern& out)
    {
        static const std::map<std::string, Pattern> kNames = { { "poisson", Pattern::Poisson }, { "burst", Pattern::Burst }, { "ramp", Pattern::Ramp } };
        const auto it = kNames.find(text);
        if (it == kNames.end())
            return false;
        out = it->second;
        return true;
    }

    bool parsePlan(const json& root, Plan& plan)
    {
        ObjectCheck check(root, "");
        check.allow({ "seconds", "seed", "workers", "targets", "streams" });
        check.number("seconds", plan.seconds, 0.1, 600).integer("seed", plan.seed, 0, INT64_MAX).integer("workers", plan.workers, 1, 1024);
        if (!check.ok() || !root.contains("targets") || !root.contains("streams"))
            return false;
        for (const json& target : root["targets"]) {
            Endpoint endpoint;
            if (!target.is_string() || !parseEndpoint(target.get<std::string>(), endpoint))
                return false;
            plan.targets.push_back(endpoint);
        }
        for (const json& streamEntry : root["streams"]) {
            Stream stream;
            std::string pattern = "poisson";
            ObjectCheck streamCheck(streamEntry, "/streams");
            streamCheck.allow({ "service", "class", "rate", "deadline_ms", "pattern" });
            streamCheck.require("service").text("service", stream.service).text("class", stream.priority).text("pattern", pattern);
            streamCheck.require("rate").number("rate", stream.rate, 0.01, 100000).millis("deadline_ms", stream.deadline, 1, 60000);
            if (!streamCheck.ok() || !parsePattern(pattern, stream.pattern))
                return false;
            plan.streams.push_back(stream);
        }
        return !plan.targets.empty() && !plan.streams.empty();
    }

    /// Returns the rate at a time. A burst has three times the rate in the first of every four seconds
    /// and a third of it in the others; a ramp rises linearly from a fifth of the rate to twice the rate.
    double rateAt(const Stream& stream, double second, double seconds)
    {
        switch (stream.pattern) {
        case Pattern::Burst:
            return std::fmod(second, 4.0) < 1.0 ? stream.rate * 3 : stream.rate / 3;
        case Pattern::Ramp:
            return stream.rate * (0.2 + 1.8 * second / seconds);
        case Pattern::Poisson:
            break;
        }
        return stream.rate;
    }

    std::vector<ScheduledRequest> makeSchedule(const Plan& plan)
    {
        std::vector<ScheduledRequest> schedule;
        for (size_t i = 0; i < plan.streams.size(); ++i) {
            std::mt19937_64 random(plan.seed * 100 + i);
            double offset = 0;
            while (true) {
                const double rate = rateAt(plan.streams[i], offset, plan.seconds);
                offset += std::exponential_distribution<double>(rate)(random);
                if (offset >= plan.seconds)
                    break;
                schedule.push_back({ Micros(static_cast<int64_t>(offset * 1e6)), i });
            }
        }
        std::sort(schedule.begin(), schedule.end(), [](const ScheduledRequest& a, const ScheduledRequest& b) { return a.offset < b.offset; });
        return schedule;
    }

    Sample sendRequest(httplib::Client& client, const Plan& plan, const ScheduledRequest& request, Clock::time_point start)
    {
        const Stream& stream = plan.streams[request.stream];
        json body = { { "service", stream.service }, { "query", "q" + std::to_string(request.offset.count()) }, { "deadline_ms", stream.deadline.count() } };
        if (!stream.priority.empty())
            body["class"] = stream.priority;
        const httplib::Result result = client.Post("/v1/search", body.dump(), "application/json");
        Sample sample;
        sample.stream = request.stream;
        sample.offsetSeconds = std::chrono::duration<double>(request.offset).count();
        sample.latencyMs = std::chrono::duration<double, std::milli>(Clock::now() - start - request.offset).count();
        if (!result)
            return sample;
        const json answer = json::parse(result->body, nullptr, false);
        if (answer.is_discarded())
            return sample;
        sample.code = answer.value("code", -1);
        sample.outcome = answer.value("outcome", "");
        if (answer.contains("coverage"))
            sample.coverage = answer["coverage"]["answered"].get<double>() / answer["coverage"]["shards"].get<double>();
        return sample;
    }

    std::vector<Sample> run(const Plan& plan)
    {
        const std::vector<ScheduledRequest> schedule = makeSchedule(plan);
        std::vector<Sample> samples(schedule.size());
        std::atomic<size_t> next { 0 };
        const Clock::time_point start = Clock::now() + Millis(50);
        std::vector<std::thread> threads;
        for (size_t worker = 0; worker < plan.workers * plan.targets.size(); ++worker) {
            threads.emplace_back([&, worker] {
                const Endpoint& target = plan.targets[worker % plan.targets.size()];
                httplib::Client client(target.host, target.port);
                client.set_keep_alive(true);
                client.set_tcp_nodelay(true);
                client.set_read_timeout(std::chrono::seconds(5));
                for (size_t i = next++; i < schedule.size(); i = next++) {
                    std::this_thread::sleep_until(start + schedule[i].offset);
                    samples[i] = sendRequest(client, plan, schedule[i], start);
                }
            });
        }
        for (std::thread& thread : threads)
            thread.join();
        return samples;
    }

    double quantile(std::vector<double>& values, double q)
    {
        if (values.empty())
            return 0;
        const auto index = static_cast<size_t>(std::lround(q * static_cast<double>(values.size() - 1)));
        std::nth_element(values.begin(), values.begin() + static_cast<ptrdiff_t>(index), values.end());
        return values[index];
    }

    /// Summarizes samples. Latencies and coverage are those of admitted searches only.
    json summarize(const std::vector<const Sample*>& samples)
    {
        std::vector<double> latencies;
        double coverage = 0;
        size_t complete = 0;
        size_t admitted = 0;
        size_t withinTarget = 0;
        size_t refused = 0;
        size_t failed = 0;
        constexpr double kLatencyTargetMs = 230;
        for (const Sample* sample : samples) {
            if (sample->code < 0) {
                ++failed;
                continue;
            }
            if (sample->outcome == "refused") {
                ++refused;
                continue;
            }
            ++admitted;
            latencies.push_back(sample->latencyMs);
            coverage += sample->coverage;
            complete += sample->code == 0 ? 1 : 0;
            withinTarget += sample->latencyMs <= kLatencyTargetMs ? 1 : 0;
        }
        const double count = std::max<double>(1, static_cast<double>(admitted));
        json out;
        out["sent"] = samples.size();
        out["admitted"] = admitted;
        out["complete"] = complete;
        out["refused"] = refused;
        out["failed"] = failed;
        out["coverage"] = coverage / count;
        out["within_230"] = static_cast<double>(withinTarget) / count;
        out["p50"] = quantile(latencies, 0.5);
        out["p99"] = quantile(latencies, 0.99);
        out["p999"] = quantile(latencies, 0.999);
        return out;
    }

    json report(const Plan& plan, const std::vector<Sample>& samples)
    {
        json out;
        out["streams"] = json::array();
        for (size_t i = 0; i < plan.streams.size(); ++i) {
            std::vector<const Sample*> selected;
            for (const Sample& sample : samples) {
                if (sample.stream == i)
                    selected.push_back(&sample);
            }
            json streamEntry = summarize(selected);
            streamEntry["service"] = plan.streams[i].service;
            streamEntry["class"] = plan.streams[i].priority;
            out["streams"].push_back(std::move(streamEntry));
        }
        out["series"] = json::array();
        for (int second = 0; second < static_cast<int>(plan.seconds); ++second) {
            std::vector<const Sample*> selected;
            for (const Sample& sample : samples) {
                if (static_cast<int>(sample.offsetSeconds) == second)
                    selected.push_back(&sample);
            }
            out["series"].push_back(summarize(selected));
        }
        return out;
    }

} // namespace

} // namespace limpettrestle::bench

int main(int argc, char** argv)
{
    using namespace limpettrestle::bench;
    cxxopts::Options options("limpettrestle-load", "Open-loop load generator for instances that take callers' requests");
    options.add_options()("plan", "Plan file (JSON)", cxxopts::value<std::string>())("h,help", "Print this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("plan") == 0) {
        std::cout << options.help();
        return parsed.count("help") > 0 ? 0 : 2;
    }
    std::ifstream in(parsed["plan"].as<std::string>());
    const auto root = nlohmann::json::parse(in, nullptr, false, true);
    Plan plan;
    if (root.is_discarded() || !parsePlan(root, plan)) {
        std::cerr << "error: the plan file cannot be read or is not a valid plan\n";
        return 2;
    }
    std::cout << report(plan, run(plan)).dump() << "\n";
    return 0;
}
