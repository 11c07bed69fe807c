/// Tests of several nodes that run together on a virtual clock.

#include "support/fault_matrix.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;
using namespace limpettrestle::tests;

namespace {

void checkNoViolations(const TestBed& bed)
{
    for (const Violation& violation : checkPromises(bed)) {
        INFO(name(violation.promise) << ": " << violation.detail);
        CHECK(false);
    }
}

/// Sends searches to the serving hosts in turn and returns the tags of the searches.
std::vector<uint64_t> runLoad(TestBed& bed, Millis duration, Millis interval)
{
    std::vector<uint64_t> tags;
    size_t i = 0;
    for (Millis elapsed(0); elapsed < duration; elapsed += interval, ++i) {
        const std::vector<std::string> live = bed.liveInstances();
        std::vector<std::string> ready;
        for (const std::string& host : live) {
            if (bed.instances.at(host).node->phase() == Phase::Serving)
                ready.push_back(host);
        }
        tags.push_back(bed.search(ready[i % ready.size()], Millis(230)));
        bed.runFor(interval);
    }
    bed.runFor(Millis(400));
    return tags;
}

size_t countComplete(const TestBed& bed, const std::vector<uint64_t>& tags)
{
    return static_cast<size_t>(std::count_if(tags.begin(), tags.end(), [&](uint64_t tag) {
        return bed.request(tag).answers == 1 && bed.request(tag).answer.code == ResultCode::Ok;
    }));
}

} // namespace

TEST_CASE("a healthy fleet answers every search within the slot limits and with at most 5 % extra load")
{
    TestBed bed({});
    bed.startAll();
    const uint64_t callsBefore = bed.totalCalls();
    const std::vector<uint64_t> tags = runLoad(bed, Millis(4000), Millis(10));
    CHECK(countComplete(bed, tags) == tags.size());
    CHECK(bed.totalSlotOverruns() == 0);
    const double loadFactor = static_cast<double>(bed.totalCalls() - callsBefore) / (static_cast<double>(tags.size()) * 6);
    CHECK(loadFactor <= 1.05);
    checkNoViolations(bed);
}

TEST_CASE("no search fails when one, two or, one after the other, all instances shut down gracefully")
{
    struct Case {
        const char* name;
        std::vector<std::vector<std::string>> rounds;
    };
    const Case cases[] = {
        { "a1", { { "a1" } } },
        { "b0", { { "b0" } } },
        { "two at once", { { "a0", "a2" } } },
        { "all in turn", { { "a0" }, { "a1" }, { "a2" }, { "b0" }, { "b1" } } },
    };
    for (const Case& entry : cases) {
        INFO(entry.name);
        TestBed bed({});
        bed.startAll();
        for (const std::vector<std::string>& round : entry.rounds) {
            for (const std::string& host : round)
                bed.shutdownInstance(host);
            const std::vector<uint64_t> tags = runLoad(bed, Millis(1500), Millis(10));
            CHECK(countComplete(bed, tags) == tags.size());
            for (const std::string& host : round) {
                CHECK_FALSE(bed.instances.at(host).isAlive);
                bed.startInstance(host);
            }
            const std::vector<uint64_t> tagsAfterRestart = runLoad(bed, Millis(2500), Millis(10));
            CHECK(countComplete(bed, tagsAfterRestart) == tagsAfterRestart.size());
        }
        checkNoViolations(bed);
    }
}

TEST_CASE("no search fails when an instance leaves just after the only other one of its zone has restarted")
{
    TestBed bed({});
    bed.startAll();
    bed.shutdownInstance("b0");
    bed.runFor(Millis(1500));
    bed.startInstance("b0");
    bed.runFor(Millis(200));
    bed.shutdownInstance("b1");
    const std::vector<uint64_t> tags = runLoad(bed, Millis(2000), Millis(10));
    CHECK(countComplete(bed, tags) == tags.size());
    checkNoViolations(bed);
}

TEST_CASE("searches are answered, without a livelock, while the snapshot changes every 50 ms")
{
    TestBed bed({});
    bed.startAll();
    for (uint64_t i = 0; i < 40; ++i) {
        bed.at(Millis(50) * static_cast<int>(i), [&bed, i] {
            for (auto& [serverName, server] : bed.servers)
                server->parameters.oldestSnapshot = server->parameters.newestSnapshot = 2 + i;
        });
    }
    const std::vector<uint64_t> tags = runLoad(bed, Millis(1800), Millis(30));
    checkNoViolations(bed);
    for (const uint64_t tag : tags)
        CHECK(bed.request(tag).answers == 1);
    CHECK(countComplete(bed, tags) * 2 > tags.size());
}

TEST_CASE("a published patch is active on every instance within 5 s despite faults")
{
    struct Case {
        const char* name;
        void (*injectFault)(TestBed& bed);
    };
    const Case cases[] = {
        { "no fault", [](TestBed&) {} },
        { "an instance dies", [](TestBed& bed) { bed.killInstance("a0"); } },
        { "one instance is partitioned from the platform", [](TestBed& bed) { bed.cut("platform", "a0"); } },
        { "the zones are partitioned from each other", [](TestBed& bed) { bed.cutZones("a", "b"); } },
        { "an instance has just started", [](TestBed& bed) { bed.killInstance("b1"); bed.startInstance("b1"); } },
    };
    for (const Case& entry : cases) {
        INFO(entry.name);
        TestBed bed({});
        bed.startAll();
        entry.injectFault(bed);
        bed.publish("change", bed.configStampOf("a1"), R"([{"op":"add","path":"/note","value":"x"}])");
        bed.runFor(Millis(5000));
        for (const std::string& host : bed.liveInstances())
            CHECK(bed.configStampOf(host).version == 2);
    }
}

TEST_CASE("a starting instance adopts its peers' configuration version after a rollback of the platform")
{
    TestBed bed({});
    bed.startAll();
    bed.publish("change", bed.configStampOf("a1"), R"([{"op":"add","path":"/note","value":"x"}])");
    bed.runFor(Millis(1000));
    bed.rollBackPlatform(1);
    bed.killInstance("a0");
    bed.startInstance("a0");
    bed.runFor(Millis(3000));
    CHECK(bed.instances.at("a0").node->isReady());
    CHECK(bed.configStampOf("a0").version == 2);
    checkNoViolations(bed);
}

TEST_CASE("a partitioned zone answers with partial coverage and names the missing shards")
{
    TestBed bed({});
    bed.startAll();
    bed.cutZones("a", "b");
    bed.cut("platform", "*");
    bed.runFor(Millis(3000));
    for (const std::string host : { "a0", "b1" }) {
        const uint64_t tag = bed.search(host, Millis(230));
        bed.runFor(Millis(400));
        const Answer& answer = bed.request(tag).answer;
        CHECK(answer.code == ResultCode::PartialCoverage);
        CHECK(answer.shardsCovered == 5);
        REQUIRE(answer.missing.size() == 1);
        CHECK(answer.missing[0].shard == (host[0] == 'a' ? 5U : 2U));
    }
    checkNoViolations(bed);
}

TEST_CASE("a search is refused if its coverage is below the caller's minimum")
{
    TestBed bed({});
    bed.startAll();
    bed.isServerDown["s2-0"] = bed.isServerDown["s2-1"] = true;
    const uint64_t acceptedTag = bed.search("a0", Millis(230), 0.8);
    const uint64_t refusedTag = bed.search("a0", Millis(230), 0.9);
    bed.runFor(Millis(400));
    CHECK(bed.request(acceptedTag).answer.code == ResultCode::PartialCoverage);
    CHECK(bed.request(refusedTag).answer.code == ResultCode::CoverageBelowMinimum);
    CHECK(bed.request(refusedTag).answer.retryAfter > Millis(0));
}

TEST_CASE("killing one instance of a zone does not reduce coverage")
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        TestBedOptions options;
        options.seed = seed;
        TestBed bed(options);
        bed.startAll();
        bed.killInstance("a2");
        const std::vector<uint64_t> tags = runLoad(bed, Millis(4000), Millis(20));
        CHECK(countComplete(bed, tags) == tags.size());
        checkNoViolations(bed);
    }
}

TEST_CASE("a fault schedule produces the same timeline in every run")
{
    for (const char* text : { "7:3/4,5/1", "12:10/11,0/8", "33:13/0,4/27" }) {
        const auto trace = [&] {
            TestBed bed({ parseSchedule(text).seed });
            bed.recordTimeline = true;
            bed.startAll();
            bed.killInstance("a1");
            runLoad(bed, Millis(500), Millis(10));
            std::string out;
            for (const auto& [host, event] : bed.timeline)
                out += host + std::string(limpettrestle::name(event.kind)) + event.subject + std::to_string(event.time.wallMicros) + "\n";
            return out;
        };
        CHECK(trace() == trace());
        CHECK(runSchedule(parseSchedule(text)).violations.empty());
    }
}
