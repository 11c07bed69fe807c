/// Late runs of a periodic timer: suspensions, and delays that the process has computed itself.

#include "../src/process/suspension_detector.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

namespace {

constexpr Millis kPeriod { 250 };
constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));
constexpr Micros kCpuTime = std::chrono::seconds(70);

/// A run at `elapsed` after the one before, for which the process has used `cpuTime`.
std::optional<LateRun> runAfter(Millis elapsed, Millis cpuTime, double processorShare = 1)
{
    SuspensionDetector detector(processorShare);
    detector.start(kStart, kCpuTime);
    return detector.recordRun(kStart + elapsed, kCpuTime + cpuTime, kPeriod);
}

} // namespace

TEST_CASE("a run that is on time or a little late is not reported")
{
    CHECK_FALSE(runAfter(kPeriod, Millis(0)));
    CHECK_FALSE(runAfter(kPeriod + Millis(999), Millis(0)));
    CHECK_FALSE(runAfter(Millis(0), Millis(0)));
}

// A reader that had encoded a configuration for seconds read the whole registry again and was the last to put it in force.
TEST_CASE("a delay that the process has computed itself is no suspension")
{
    struct Case {
        const char* description;
        Millis elapsed;
        Millis cpuTime;
        double processorShare;
        bool isSuspension;
    };
    for (const Case& entry : {
             Case { "no CPU time", Millis(1250), Millis(0), 1, true },
             Case { "busy until a suspension", Millis(1250), Millis(250), 1, true },
             Case { "computed all the time", Millis(3500), Millis(3500), 1, false },
             Case { "computed most of the time", Millis(3500), Millis(2600), 1, false },
             Case { "computed and was suspended", Millis(3500), Millis(1500), 1, true },
             Case { "long suspension and a backlog after it", Millis(60000), Millis(800), 1, true },
             Case { "half a processor, computed all the time", Millis(3500), Millis(1750), 0.5, false },
             Case { "half a processor, suspended", Millis(3500), Millis(120), 0.5, true },
             Case { "an eighth of a processor, computed all the time", Millis(3500), Millis(437), 0.125, false },
             Case { "more CPU time than the share", Millis(3500), Millis(3500), 0.125, false },
         }) {
        INFO(entry.description);
        const std::optional<LateRun> late = runAfter(entry.elapsed, entry.cpuTime, entry.processorShare);
        REQUIRE(late);
        CHECK(late->delay == entry.elapsed - kPeriod);
        CHECK(late->cpuTime == entry.cpuTime);
        CHECK(late->isSuspension == entry.isSuspension);
    }
}

TEST_CASE("each run is compared with the one before")
{
    SuspensionDetector detector(1);
    detector.start(kStart, kCpuTime);
    CHECK(detector.recordRun(kStart + Millis(3000), kCpuTime + Millis(3000), kPeriod));
    CHECK_FALSE(detector.recordRun(kStart + Millis(3250), kCpuTime + Millis(3000), kPeriod));
    const std::optional<LateRun> late = detector.recordRun(kStart + Millis(6000), kCpuTime + Millis(3010), kPeriod);
    REQUIRE(late);
    CHECK(late->isSuspension);
    CHECK(late->cpuTime == Millis(10));
}
