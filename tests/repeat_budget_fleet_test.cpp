/// Load pattern: replicas refuse, lose or delay many calls while searches go on. The calls beyond the first one of each
/// search stay within the ratio and the slack of a service over all instances, whatever their number.

#include "support/repeat_fleet.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

namespace {

/// Budget of a service over all instances, of which the instances use only a part of the ratio.
constexpr double kRatio = 0.2;
constexpr double kUsedRatio = 0.17;
constexpr Millis kWindow { 10000 };
constexpr Millis kCalmTime { 2000 };
constexpr Millis kOverloadTime { 12000 };

RepeatFleet::Options optionsFor(size_t instances, double searchesPerSecond)
{
    RepeatFleet::Options options;
    options.instances = instances;
    options.ratio = kUsedRatio;
    // As in the settings of the deployments: about 2.5 an instance, and 50 for few instances.
    options.slack = std::max(50.0, 2.5 * static_cast<double>(instances));
    options.searchesPerSecond = searchesPerSecond;
    return options;
}

void checkBudget(const RepeatFleet& fleet, const RepeatFleet::Options& options)
{
    INFO("instances " << options.instances << ", searches per second " << options.searchesPerSecond << ", extra arrivals " << fleet.extraArrivals());
    CHECK(fleet.extraArrivals() > 0);
    CHECK(fleet.worstExcess(kWindow, kRatio) <= options.slack);
}

} // namespace

TEST_CASE("repeats stay within the budget of the fleet while replicas refuse calls", "[fleet]")
{
    const size_t instances = GENERATE(1, 8, 63, 300);
    const double rate = GENERATE(100.0, 400.0);
    const RepeatFleet::Options options = optionsFor(instances, rate);
    RepeatFleet fleet(options);
    fleet.runFor(kCalmTime, {});
    fleet.runFor(kOverloadTime, { .shedFraction = 0.3, .stuckFraction = 0.05 });
    checkBudget(fleet, options);
}

TEST_CASE("repeats stay within the budget of the fleet while replicas lose calls", "[fleet]")
{
    const size_t instances = GENERATE(1, 8, 63, 300);
    const RepeatFleet::Options options = optionsFor(instances, 100);
    RepeatFleet fleet(options);
    fleet.runFor(kCalmTime, {});
    fleet.runFor(kOverloadTime, { .stuckFraction = 0.2, .lostFraction = 0.4 });
    checkBudget(fleet, options);
}

TEST_CASE("repeats stay within the budget of the fleet while all instances are restarted in turn", "[fleet]")
{
    const size_t instances = GENERATE(8, 63);
    const RepeatFleet::Options options = optionsFor(instances, 100);
    const ReplicaBehavior overload { .shedFraction = 0.3, .stuckFraction = 0.1 };
    RepeatFleet fleet(options);
    fleet.runFor(kCalmTime, {});
    const auto pause = Millis(8000 / static_cast<int64_t>(instances));
    for (size_t i = 0; i < instances; ++i) {
        fleet.runFor(pause, overload);
        fleet.restart(i);
    }
    fleet.runFor(Millis(2000), overload);
    checkBudget(fleet, options);
}
