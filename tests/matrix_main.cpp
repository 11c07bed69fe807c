/// Runs the fault matrix: all single faults at every step plus seeded pairs, or one schedule.
///
///   limpettrestle-matrix --pairs 10000 --seed 1     single faults and 10000 pairs
///   limpettrestle-matrix --replay "7:3/4,5/1"       only this schedule
///   limpettrestle-matrix --proofs                   prints the table of docs/PROOFS.md

#include "support/fault_matrix.h"

#include <absl/synchronization/mutex.h>
#include <atomic>
#include <cxxopts.hpp>
#include <iostream>
#include <thread>

namespace limpettrestle::tests {

namespace {

    constexpr int kSeedsPerCell = 3;

    struct Failure {
        Schedule schedule;
        Violation violation;
    };

    /// Results of a set of schedules, in their order.
    struct RunResults {
        absl::Mutex mutex;
        std::vector<Failure> failures;
        std::vector<ScheduleResult> results;
        /// Schedules with an injection whose step did not occur.
        std::atomic<size_t> incompleteSchedules { 0 };
    };

    void runAll(const std::vector<Schedule>& schedules, RunResults& runResults)
    {
        runResults.results.resize(schedules.size());
        std::atomic<size_t> next { 0 };
        std::vector<std::thread> threads;
        const unsigned count = std::max(1U, std::thread::hardware_concurrency());
        for (unsigned i = 0; i < count; ++i) {
            threads.emplace_back([&] {
                for (size_t n = next++; n < schedules.size(); n = next++) {
                    ScheduleResult result = runSchedule(schedules[n]);
                    if (result.injectedCount < schedules[n].injections.size())
                        ++runResults.incompleteSchedules;
                    runResults.results[n] = std::move(result);
                }
            });
        }
        for (std::thread& thread : threads)
            thread.join();
        for (size_t n = 0; n < schedules.size(); ++n) {
            for (const Violation& violation : runResults.results[n].violations)
                runResults.failures.push_back({ schedules[n], violation });
        }
    }

    std::vector<Schedule> singleFaultSchedules()
    {
        std::vector<Schedule> schedules;
        for (int step = 0; step < kStepCount; ++step) {
            for (size_t fault = 0; fault < faultTypes().size(); ++fault) {
                for (uint64_t seed = 1; seed <= kSeedsPerCell; ++seed)
                    schedules.push_back({ seed, { { static_cast<Step>(step), fault } } });
            }
        }
        return schedules;
    }

    std::vector<Schedule> faultPairSchedules(size_t count, uint64_t seed)
    {
        std::mt19937_64 random(seed);
        std::vector<Schedule> schedules;
        for (size_t i = 0; i < count; ++i) {
            Schedule schedule;
            schedule.seed = random() % 1000000;
            for (int n = 0; n < 2; ++n) {
                const auto step = static_cast<Step>(random() % kStepCount);
                schedule.injections.push_back({ step, random() % faultTypes().size() });
            }
            schedules.push_back(schedule);
        }
        return schedules;
    }

    int report(const std::vector<Schedule>& schedules, const RunResults& runResults)
    {
        constexpr size_t kMaxPrintedFailures = 25;
        size_t failed = 0;
        size_t printed = 0;
        const Schedule* previous = nullptr;
        for (const Failure& failure : runResults.failures) {
            const std::string text = toString(failure.schedule);
            const bool isNew = !previous || toString(*previous) != text;
            failed += isNew ? 1 : 0;
            previous = &failure.schedule;
            if (printed++ >= kMaxPrintedFailures)
                continue;
            std::cout << "FAILED --replay " << text;
            for (const Schedule::Injection& injection : failure.schedule.injections)
                std::cout << " [" << faultTypes()[injection.fault].name << " at " << name(injection.step) << "]";
            std::cout << ": " << name(failure.violation.promise) << ": " << failure.violation.detail << "\n";
        }
        std::cout << schedules.size() << " schedules, " << runResults.incompleteSchedules << " with a step that did not occur\n"
                  << schedules.size() - failed << " passed, " << failed << " failed\n";
        return failed == 0 ? 0 : 1;
    }

    void printProofs(const std::vector<Schedule>& schedules, const RunResults& runResults)
    {
        std::cout << "| fault \\ step |";
        for (int step = 0; step < kStepCount; ++step)
            std::cout << " " << name(static_cast<Step>(step)) << " |";
        std::cout << "\n|---|";
        for (int step = 0; step < kStepCount; ++step)
            std::cout << "---|";
        std::cout << "\n";
        for (size_t fault = 0; fault < faultTypes().size(); ++fault) {
            std::cout << "| " << faultTypes()[fault].name << " |";
            for (int step = 0; step < kStepCount; ++step) {
                bool hasFailed = false;
                bool wasInjected = false;
                for (size_t n = 0; n < schedules.size(); ++n) {
                    const Schedule::Injection& injection = schedules[n].injections[0];
                    if (injection.step != static_cast<Step>(step) || injection.fault != fault)
                        continue;
                    hasFailed = hasFailed || !runResults.results[n].violations.empty();
                    wasInjected = wasInjected || runResults.results[n].injectedCount > 0;
                }
                std::cout << (hasFailed ? " red |" : wasInjected ? " proved |"
                                                                 : " not run |");
            }
            std::cout << "\n";
        }
    }

    int run(int argc, char** argv)
    {
        cxxopts::Options options("limpettrestle-matrix", "Fault matrix of the decision library");
        options.add_options()("pairs", "Number of random pairs of faults", cxxopts::value<size_t>()->default_value("0"))(
            "seed", "Seed of the random pairs", cxxopts::value<uint64_t>()->default_value("1"))("replay", "Run only this schedule", cxxopts::value<std::string>())(
            "proofs", "Print the table of single faults")("h,help", "Print this help");
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        std::vector<Schedule> schedules;
        if (parsed.count("replay") > 0) {
            schedules = { parseSchedule(parsed["replay"].as<std::string>()) };
        } else {
            schedules = singleFaultSchedules();
            const std::vector<Schedule> pairSchedules = faultPairSchedules(parsed["pairs"].as<size_t>(), parsed["seed"].as<uint64_t>());
            schedules.insert(schedules.end(), pairSchedules.begin(), pairSchedules.end());
        }
        RunResults runResults;
        runAll(schedules, runResults);
        if (parsed.count("proofs") > 0) {
            printProofs(schedules, runResults);
            return 0;
        }
        return report(schedules, runResults);
    }

} // namespace

} // namespace limpettrestle::tests

int main(int argc, char** argv)
{
    return limpettrestle::tests::run(argc, argv);
}
