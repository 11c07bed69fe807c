/// Tests that an instance detects when it is cut off from its replicas, and when it no longer is.

#include "../src/process/reachability.h"
#include "support/routing_bed.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

namespace {

/// All zones are reachable.
const ZoneReach kAllZones;

void failConnections(RoutingTestBed& bed, const std::string& suffix)
{
    for (const auto& [id, replica] : bed.directory.all()) {
        if (!id.ends_with(suffix))
            continue;
        replica->health.connectFailed(bed.clock.now());
        replica->health.connectFailed(bed.clock.now() + Millis(100));
    }
}

} // namespace

TEST_CASE("an instance counts as cut off when all replicas have been unreachable for 500 ms, and recovers at once")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(20, RepeatPolicy::Idempotent);
    Reachability reachability;
    reachability.update(*bed.dispatcher->table(), bed.directory, kAllZones, bed.clock.now());
    failConnections(bed, "");
    reachability.update(*bed.dispatcher->table(), bed.directory, kAllZones, bed.clock.now());
    CHECK_FALSE(reachability.isCutOff());
    bed.clock.advance(Millis(600));
    reachability.update(*bed.dispatcher->table(), bed.directory, kAllZones, bed.clock.now());
    CHECK(reachability.isCutOff());
    for (const auto& [id, replica] : bed.directory.all())
        replica->health.connected(bed.clock.now());
    reachability.update(*bed.dispatcher->table(), bed.directory, kAllZones, bed.clock.now());
    CHECK_FALSE(reachability.isCutOff());
}

TEST_CASE("an instance that reaches one replica of each shard is not cut off")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(20, RepeatPolicy::Idempotent);
    Reachability reachability;
    failConnections(bed, "-a");
    reachability.update(*bed.dispatcher->table(), bed.directory, kAllZones, bed.clock.now());
    bed.clock.advance(Millis(600));
    reachability.update(*bed.dispatcher->table(), bed.directory, kAllZones, bed.clock.now());
    CHECK_FALSE(reachability.isCutOff());
}

TEST_CASE("shards without any registered replica do not make an instance count as cut off")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(2, RepeatPolicy::Idempotent);
    for (const char* id : { "s0-a", "s0-b", "s1-a", "s1-b" })
        bed.directory.remove(id, bed.clock.now());
    Reachability reachability;
    reachability.update(*bed.dispatcher->table(), bed.directory, kAllZones, bed.clock.now());
    bed.clock.advance(Millis(600));
    reachability.update(*bed.dispatcher->table(), bed.directory, kAllZones, bed.clock.now());
    CHECK_FALSE(reachability.isCutOff());
}

TEST_CASE("an unreachable replica gets no calls until a connection is established")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(1, RepeatPolicy::Idempotent, 0);
    failConnections(bed, "s0-a");
    bed.clock.advance(std::chrono::seconds(10));
    for (uint64_t request = 1; request < 4; ++request) {
        bed.start(request, "/all/q");
        CHECK(bed.transport.calls.back().replica == "s0-b");
        bed.replyToAllExcept({});
    }
    CHECK(bed.directory.find("s0-a")->health.isRetryDue(bed.clock.now()));
    bed.directory.find("s0-a")->health.connected(bed.clock.now());
    CHECK_FALSE(bed.directory.find("s0-a")->health.isAvoided(bed.clock.now()));
}

TEST_CASE("routes are weighted by their number of requests")
{
    RoutingTestBed bed;
    bed.useStandardRoutes(4, RepeatPolicy::Idempotent, 0.75);
    RoutingDocument document;
    document.version = 2;
    document.routes = bed.dispatcher->table()->routes();
    RouteSpec strict = document.routes[0];
    strict.name = "strict";
    strict.prefix = "/strict/";
    strict.minCoverage = 1.0;
    document.routes.push_back(strict);
    const RouteTable table(document);
    failConnections(bed, "s0-a");
    failConnections(bed, "s0-b");
    const auto isCutOff = [&](int strictRequests, int otherRequests) {
        Reachability reachability;
        for (int i = 0; i < strictRequests; ++i)
            reachability.countRequest("strict");
        for (int i = 0; i < otherRequests; ++i)
            reachability.countRequest("all");
        reachability.update(table, bed.directory, kAllZones, bed.clock.now());
        reachability.update(table, bed.directory, kAllZones, bed.clock.now() + Millis(600));
        return reachability.isCutOff();
    };
    CHECK(isCutOff(30, 10));
    CHECK_FALSE(isCutOff(10, 30));
}

TEST_CASE("replicas that stop answering on open connections count as unreachable")
{
    RoutingTestBed bed(0);
    bed.useStandardRoutes(4, RepeatPolicy::Idempotent);
    Reachability reachability;
    // Packets are dropped without a reset: no call is answered, and no connection fails.
    for (uint64_t request = 1; request <= 8; ++request) {
        bed.start(request, "/all/q");
        bed.runFor(Millis(120));
        reachability.update(*bed.dispatcher->table(), bed.directory, kAllZones, bed.clock.now());
    }
    bed.runFor(Millis(700));
    reachability.update(*bed.dispatcher->table(), bed.directory, kAllZones, bed.clock.now());
    CHECK(reachability.isCutOff());
}
