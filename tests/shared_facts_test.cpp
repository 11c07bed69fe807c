/// Facts that instances pass on to each other: newer versions replace older ones, in any order of arrival.

#include "../src/process/shared_facts.h"
#include "support/routing_bed.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

namespace {

SharedFact evacuation(const std::string& zone, bool holds, FactVersion version)
{
    return { FactKind::ZoneEvacuated, zone, holds, version, "registry" };
}

} // namespace

TEST_CASE("a fact is replaced by newer versions only, in whatever order they arrive")
{
    const TestClock clock;
    SharedFacts facts;
    CHECK(facts.merge(evacuation("north", true, { 1, 10 }), clock.now()));
    CHECK(facts.holds(FactKind::ZoneEvacuated, "north", clock.now()));
    CHECK(facts.merge(evacuation("north", false, { 1, 12 }), clock.now()));
    CHECK_FALSE(facts.merge(evacuation("north", true, { 1, 10 }), clock.now()));
    CHECK_FALSE(facts.holds(FactKind::ZoneEvacuated, "north", clock.now()));
    CHECK(facts.merge(evacuation("north", true, { 2, 3 }), clock.now()));
    CHECK(facts.holds(FactKind::ZoneEvacuated, "north", clock.now()));
    CHECK_FALSE(facts.holds(FactKind::ZoneEvacuated, "south", clock.now()));
}

TEST_CASE("a fact that ends by itself is prolonged by a later end, and removed after it")
{
    TestClock clock;
    SharedFacts facts;
    SharedFact cold { FactKind::ReplicaCold, "r1", true, { 0, 77 }, "replica", clock.now(), clock.now() + Millis(2000) };
    CHECK(facts.merge(cold, clock.now()));
    CHECK_FALSE(facts.merge(cold, clock.now()));
    cold.endsAt += Millis(1000);
    CHECK(facts.merge(cold, clock.now()));
    clock.advance(Millis(2500));
    CHECK(facts.holds(FactKind::ReplicaCold, "r1", clock.now()));
    clock.advance(Millis(600));
    CHECK_FALSE(facts.holds(FactKind::ReplicaCold, "r1", clock.now()));
    facts.expire(clock.now());
    CHECK(facts.size() == 0);
    CHECK(facts.digest() == 0);
}

TEST_CASE("instances that know the same facts have the same digest")
{
    TestClock clock;
    SharedFacts first;
    SharedFacts second;
    first.merge(evacuation("north", true, { 1, 10 }), clock.now());
    first.merge(evacuation("south", false, { 1, 11 }), clock.now());
    clock.advance(Millis(40));
    second.merge(evacuation("south", false, { 1, 11 }), clock.now());
    CHECK(first.digest() != second.digest());
    second.merge(evacuation("north", true, { 1, 10 }), clock.now());
    CHECK(first.digest() == second.digest());
}
