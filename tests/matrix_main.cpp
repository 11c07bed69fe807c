/// Runs the fault matrix: single faults at every step, seeded pairs, or one schedule again.
///
///   limpettrestle-matrix --pairs 10000 --seed 1     everything
///   limpettrestle-matrix --replay "7:3/4,5/1"       one schedule
///   limpettrestle-matrix --proofs                   the tables of docs/PROOFS.md

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

    /// Results of a set of schedules.
    struct Tally {
        absl::Mutex mutex;
        std::vector<Failure> failures;
        std::vector<ScheduleResult> results;
        std::atomic<size_t> notFired { 0 };
    };

    void runAll(const std::vector<Schedule>& schedules, Tally& tally)
    {
        tally.results.resize(schedules.size());
        std::atomic<size_t> next { 0 };
        std::vector<std::thread> threads;
        const unsigned count = std::max(1U, std::thread::hardware_concurrency());
        for (unsigned i = 0; i < count; ++i) {
            threads.emplace_back([&] {
                for (size_t n = next++; n < schedules.size(); n = next++) {
                    ScheduleResult result = runSchedule(schedules[n]);
                    if (result.fired < schedules[n].strikes.size())
                        ++tally.notFired;
                    tally.results[n] = std::move(result);
                }
            });
        }
        for (std::thread& thread : threads)
            thread.join();
        for (size_t n = 0; n < schedules.size(); ++n) {
            for (const Violation& violation : tally.results[n].violations)
                tally.failures.push_back({ schedules[n], violation });
        }
    }

    std::vector<Schedule> singles()
    {
        std::vector<Schedule> schedules;
        for (int step = 0; step < kStepCount; ++step) {
            for (size_t fault = 0; fault < faultRows().size(); ++fault) {
                for (uint64_t seed = 1; seed <= kSeedsPerCell; ++seed)
                    schedules.push_back({ seed, { { static_cast<Step>(step), fault } } });
            }
        }
        return schedules;
    }

    std::vector<Schedule> pairs(size_t count, uint64_t seed)
    {
        std::mt19937_64 random(seed);
        std::vector<Schedule> schedules;
        for (size_t i = 0; i < count; ++i) {
            Schedule schedule;
            schedule.seed = random() % 1000000;
            for (int n = 0; n < 2; ++n) {
                const auto step = static_cast<Step>(random() % kStepCount);
                schedule.strikes.push_back({ step, random() % faultRows().size() });
            }
            schedules.push_back(schedule);
        }
        return schedules;
    }

    int report(const std::vector<Schedule>& schedules, const Tally& tally)
    {
        constexpr size_t kMostPrinted = 25;
        size_t failed = 0;
        size_t printed = 0;
        const Schedule* last = nullptr;
        for (const Failure& failure : tally.failures) {
            const std::string text = toString(failure.schedule);
            const bool isNew = !last || toString(*last) != text;
            failed += isNew ? 1 : 0;
            last = &failure.schedule;
            if (printed++ >= kMostPrinted)
                continue;
            std::cout << "FAILED --replay " << text;
            for (const Schedule::Strike& strike : failure.schedule.strikes)
                std::cout << " [" << faultRows()[strike.fault].name << " at " << name(strike.step) << "]";
            std::cout << ": " << name(failure.violation.promise) << ": " << failure.violation.detail << "\n";
        }
        std::cout << schedules.size() << " schedules, " << tally.notFired << " with a step that did not occur\n"
                  << schedules.size() - failed << " passed, " << failed << " failed\n";
        return failed == 0 ? 0 : 1;
    }

    void printProofs(const std::vector<Schedule>& schedules, const Tally& tally)
    {
        std::cout << "| fault \\ step |";
        for (int step = 0; step < kStepCount; ++step)
            std::cout << " " << name(static_cast<Step>(step)) << " |";
        std::cout << "\n|---|";
        for (int step = 0; step < kStepCount; ++step)
            std::cout << "---|";
        std::cout << "\n";
        for (size_t fault = 0; fault < faultRows().size(); ++fault) {
            std::cout << "| " << faultRows()[fault].name << " |";
            for (int step = 0; step < kStepCount; ++step) {
                bool isRed = false;
                bool hasFired = false;
                for (size_t n = 0; n < schedules.size(); ++n) {
                    const Schedule::Strike& strike = schedules[n].strikes[0];
                    if (strike.step != static_cast<Step>(step) || strike.fault != fault)
                        continue;
                    isRed = isRed || !tally.results[n].violations.empty();
                    hasFired = hasFired || tally.results[n].fired > 0;
                }
                std::cout << (isRed ? " red |" : hasFired ? " proved |"
                                                          : " not run |");
            }
            std::cout << "\n";
        }
    }

    int run(int argc, char** argv)
    {
        cxxopts::Options options("limpettrestle-matrix", "Fault matrix of the decision library");
        options.add_options()("pairs", "Number of seeded pairs", cxxopts::value<size_t>()->default_value("0"))(
            "seed", "Seed of the pairs", cxxopts::value<uint64_t>()->default_value("1"))("replay", "Run one schedule", cxxopts::value<std::string>())(
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
            schedules = singles();
            const std::vector<Schedule> more = pairs(parsed["pairs"].as<size_t>(), parsed["seed"].as<uint64_t>());
            schedules.insert(schedules.end(), more.begin(), more.end());
        }
        Tally tally;
        runAll(schedules, tally);
        if (parsed.count("proofs") > 0) {
            printProofs(schedules, tally);
            return 0;
        }
        return report(schedules, tally);
    }

} // namespace

} // namespace limpettrestle::tests

int main(int argc, char** argv)
{
    return limpettrestle::tests::run(argc, argv);
}
