/// Removals after an outage of the registry: when they wait, and what instances tell each other meanwhile.

#include "../src/gateway/peer_messages.h"
#include "support/state_bed.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

namespace {

/// State of an instance that has read the replicas a and b.
struct TwoReplicas : StateTestBed {
    TwoReplicas()
    {
        receive(answer(5, 400), { written(entryOf("a", 50)), written(entryOf("b", 50)) });
    }

    void failFor(Millis time)
    {
        for (Millis passed { 0 }; passed < time; passed += Millis(500)) {
            receive(answer(5, 0, RegistryOutcome::Failed));
            wait(Millis(500));
        }
    }
    /// Reads everything; replica a is not listed.
    void readWithoutA(Millis previousAge = Millis(5000))
    {
        sync.restart(clock.now());
        receive(answer(5, 420), { written(entryOf("b", 54)) }, previousAge);
    }
};

} // namespace

TEST_CASE("an outage that reading did not outlast does not put off removals of a later reading")
{
    for (const bool hasStopped : { true, false }) {
        INFO(hasStopped);
        TwoReplicas bed;
        bed.failFor(Millis(2500));
        if (hasStopped)
            bed.sync.stop();
        // Followed a reader, or was suspended.
        bed.wait(Millis(5000));
        bed.readWithoutA(Millis(2500));
        CHECK_FALSE(bed.isUsed("a"));
        CHECK(bed.isUsed("b"));
    }
}

TEST_CASE("a short suspension during an outage does not end the wait for replicas that register again")
{
    TwoReplicas bed;
    bed.failFor(Millis(4000));
    bed.sync.restart(bed.clock.now());
    bed.readWithoutA();
    CHECK(bed.isUsed("a"));
    bed.wait(Millis(1900));
    CHECK(bed.isUsed("a"));
    bed.wait(Millis(200));
    CHECK_FALSE(bed.isUsed("a"));
}
