/// The ledger of crash reports: which requests are quarantined, for how long, and what clears them.

#include "../src/process/crash_ledger.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

namespace {

constexpr RequestFingerprint kGuilty { 101 };
constexpr RequestFingerprint kOther { 202 };
constexpr Millis kRunTime { 30 };

struct LedgerBed {
    /// Reports that the request was lost with the replica now, 30 ms after its call was sent.
    bool lose(RequestFingerprint request, const std::string& replica, int64_t startedAt = 1)
    {
        return !ledger.record({ { { replica, startedAt }, request, now - kRunTime, now } }, now).empty();
    }
    /// Lets time pass.
    void wait(Millis time = Millis(200)) { now += time; }

    TimePoint now = TimePoint(std::chrono::hours(100));
    CrashLedger ledger;
};

} // namespace

TEST_CASE("a request that two replicas crash with one after the other is quarantined")
{
    LedgerBed test;
    CHECK(test.lose(kGuilty, "a"));
    CHECK(test.ledger.standing(kGuilty) == RequestStanding::Suspect);
    test.wait();
    CHECK(test.lose(kGuilty, "b"));
    CHECK(test.ledger.standing(kGuilty) == RequestStanding::Quarantined);
    CHECK(test.ledger.takeNewlyQuarantined() == std::vector<RequestFingerprint> { kGuilty });
    CHECK(test.ledger.takeNewlyQuarantined().empty());
    CHECK(test.ledger.quarantinedCount() == 1);
    CHECK(test.ledger.digest() != 0);
}

TEST_CASE("crashes that overlap count once, as when replicas lose power together")
{
    LedgerBed test;
    for (const char* replica : { "a", "b", "c", "d" })
        test.lose(kGuilty, replica);
    CHECK(test.ledger.standing(kGuilty) == RequestStanding::Suspect);
}

// Guards against a search being held back after one wave of crashes: the instances that gather its parts report it with
// different delays, so that the call of a late report seems to begin after the crash of an early one.
TEST_CASE("crashes of one moment count once although their reports take different times")
{
    LedgerBed test;
    const TimePoint crashAt = test.now;
    constexpr Millis kSearchTime { 5 };
    for (const Millis delay : { Millis(0), Millis(20), Millis(40) }) {
        const TimePoint reportedAt = crashAt + delay;
        test.ledger.record({ { { "replica" + std::to_string(delay.count()), 1 }, kGuilty, reportedAt - kSearchTime, reportedAt } }, reportedAt);
    }
    CHECK(test.ledger.standing(kGuilty) == RequestStanding::Suspect);
}

TEST_CASE("the same crash that several instances report counts once")
{
    LedgerBed test;
    CHECK(test.lose(kGuilty, "a"));
    test.wait();
    CHECK_FALSE(test.lose(kGuilty, "a"));
    CHECK(test.ledger.standing(kGuilty) == RequestStanding::Suspect);
    CHECK(test.lose(kGuilty, "a", 2));
    CHECK(test.ledger.standing(kGuilty) == RequestStanding::Quarantined);
}

TEST_CASE("of two requests that were lost with the same two replicas neither stays quarantined before a third crash")
{
    LedgerBed test;
    test.lose(kGuilty, "a");
    test.lose(kOther, "a");
    test.wait();
    // This report is the first of the second crash, so that nothing speaks against the other request yet.
    test.lose(kOther, "b");
    CHECK(test.ledger.standing(kOther) == RequestStanding::Quarantined);
    test.lose(kGuilty, "b");
    CHECK(test.ledger.standing(kOther) == RequestStanding::Suspect);
    CHECK(test.ledger.standing(kGuilty) == RequestStanding::Suspect);
    CHECK(test.ledger.digest() == 0);
    test.wait();
    test.lose(kGuilty, "c");
    CHECK(test.ledger.standing(kGuilty) == RequestStanding::Quarantined);
    CHECK_FALSE(test.ledger.isCertain(kGuilty));
    test.wait(std::chrono::seconds(2));
    test.ledger.expire(test.now);
    test.lose(kGuilty, "d");
    CHECK(test.ledger.isCertain(kGuilty));
    // The certain one accounts for all crashes.
    CHECK(test.ledger.standing(kOther) == RequestStanding::Clear);
    CHECK_FALSE(test.lose(kOther, "d"));
    CHECK(test.ledger.standing(kOther) == RequestStanding::Clear);
}

TEST_CASE("a request that is lost with another one also after its quarantine waits again until one of them is certain")
{
    LedgerBed test;
    for (const char* replica : { "a", "b", "c" }) {
        test.lose(kGuilty, replica);
        test.lose(kOther, replica);
        test.wait(std::chrono::seconds(2));
        test.ledger.expire(test.now);
    }
    CHECK_FALSE(test.ledger.isCertain(kGuilty));
    CHECK_FALSE(test.ledger.isCertain(kOther));
    test.lose(kGuilty, "d");
    CHECK(test.ledger.isCertain(kGuilty));
    CHECK(test.ledger.standing(kOther) == RequestStanding::Clear);
}

TEST_CASE("an answer clears a request, also a quarantined one, and reports of earlier calls no longer count")
{
    LedgerBed test;
    CHECK_FALSE(test.ledger.recordAnswer(kGuilty, test.now));
    test.lose(kGuilty, "a");
    test.wait();
    test.lose(kGuilty, "b");
    CHECK(test.ledger.recordAnswer(kGuilty, test.now));
    CHECK(test.ledger.standing(kGuilty) == RequestStanding::Clear);
    CHECK(test.ledger.digest() == 0);
    CHECK(test.ledger.quarantinedCount() == 0);
    CHECK_FALSE(test.lose(kGuilty, "c"));
    CHECK_FALSE(test.ledger.adopt({ kGuilty, Micros(500000), 1 }, test.now + Millis(400)));
    test.wait();
    CHECK(test.lose(kGuilty, "c"));
    CHECK(test.ledger.standing(kGuilty) == RequestStanding::Suspect);
}

TEST_CASE("a provisional quarantine ends after two seconds, a certain one after an hour, the next one after two")
{
    LedgerBed test;
    const auto letTimePass = [&test](std::chrono::seconds time) {
        test.wait(time);
        test.ledger.expire(test.now);
        return test.ledger.standing(kGuilty);
    };
    test.lose(kGuilty, "a");
    test.wait();
    test.lose(kGuilty, "b");
    CHECK_FALSE(test.ledger.isCertain(kGuilty));
    CHECK(test.ledger.quarantines(10, test.now).at(0).term == 0);
    CHECK(test.ledger.timeLeft(kGuilty, test.now) == std::chrono::seconds(2));
    CHECK(letTimePass(std::chrono::seconds(1)) == RequestStanding::Quarantined);
    CHECK(letTimePass(std::chrono::seconds(1)) == RequestStanding::Suspect);
    CHECK(test.ledger.timeLeft(kGuilty, test.now) == Millis::zero());
    CHECK(test.ledger.digest() == 0);
    test.lose(kGuilty, "c");
    CHECK(test.ledger.isCertain(kGuilty));
    CHECK(letTimePass(std::chrono::minutes(59)) == RequestStanding::Quarantined);
    CHECK(letTimePass(std::chrono::minutes(1)) == RequestStanding::Suspect);
    test.lose(kGuilty, "d");
    CHECK(test.ledger.quarantines(10, test.now).at(0).term == 2);
    CHECK(letTimePass(std::chrono::minutes(119)) == RequestStanding::Quarantined);
    CHECK(letTimePass(std::chrono::minutes(1)) == RequestStanding::Suspect);
    CHECK(letTimePass(std::chrono::minutes(120)) == RequestStanding::Clear);
    test.lose(kOther, "e");
    letTimePass(std::chrono::minutes(30));
    CHECK(test.ledger.standing(kOther) == RequestStanding::Clear);
}

TEST_CASE("a crash of a call that was sent after the quarantine counts as one on trial, also where the quarantine has not been ended yet")
{
    LedgerBed test;
    test.lose(kGuilty, "a");
    test.wait();
    test.lose(kGuilty, "b");
    SECTION("a call that was sent before the end, by an instance that did not know of the quarantine")
    {
        test.wait(Millis(1900));
        test.lose(kGuilty, "c");
        CHECK(test.ledger.standing(kGuilty) == RequestStanding::Quarantined);
        CHECK_FALSE(test.ledger.isCertain(kGuilty));
        CHECK(test.ledger.timeLeft(kGuilty, test.now) == std::chrono::seconds(2));
    }
    SECTION("a call of another instance, which had ended the quarantine")
    {
        test.wait(std::chrono::seconds(2) + kRunTime);
        test.lose(kGuilty, "c");
        CHECK(test.ledger.isCertain(kGuilty));
        CHECK(test.ledger.quarantinedCount() == 1);
        SECTION("likewise after a certain quarantine, so that the next one takes twice as long")
        {
            test.wait(std::chrono::hours(1) + kRunTime);
            test.lose(kGuilty, "d");
            CHECK(test.ledger.isCertain(kGuilty));
            CHECK(test.ledger.timeLeft(kGuilty, test.now) == std::chrono::hours(2));
        }
    }
    SECTION("a second request that was lost with all three replicas keeps the quarantine provisional")
    {
        test.lose(kOther, "a");
        test.lose(kOther, "b");
        test.wait(std::chrono::seconds(2) + kRunTime);
        test.lose(kOther, "c");
        test.lose(kGuilty, "c");
        CHECK_FALSE(test.ledger.isCertain(kGuilty));
        CHECK_FALSE(test.ledger.isCertain(kOther));
    }
}

TEST_CASE("a quarantine of another instance is taken over with its age and term")
{
    LedgerBed from;
    for (const char* replica : { "a", "b", "c" }) {
        from.lose(kGuilty, replica);
        from.wait(std::chrono::seconds(2));
        from.ledger.expire(from.now);
    }
    from.wait(std::chrono::minutes(30));
    LedgerBed to;
    const std::vector<QuarantineEntry> entries = from.ledger.quarantines(10, from.now);
    REQUIRE(entries.size() == 1);
    CHECK(to.ledger.adopt({ kGuilty, Micros(0), 0 }, to.now));
    CHECK_FALSE(to.ledger.isCertain(kGuilty));
    CHECK(to.ledger.adopt(entries[0], to.now));
    CHECK(to.ledger.isCertain(kGuilty));
    CHECK_FALSE(to.ledger.adopt(entries[0], to.now));
    CHECK_FALSE(to.ledger.adopt({ kGuilty, Micros(0), 0 }, to.now));
    CHECK(to.ledger.digest() == from.ledger.digest());
    CHECK(to.ledger.quarantinedCount() == 1);
    CHECK_FALSE(to.ledger.adopt({ kOther, std::chrono::hours(1), 1 }, to.now));
    CHECK_FALSE(to.ledger.adopt({ kOther, std::chrono::seconds(2), 0 }, to.now));
    CHECK_FALSE(to.ledger.adopt({ {}, Micros(0), 1 }, to.now));
}

TEST_CASE("many different suspects do not push out a quarantine, and memory stays bounded")
{
    LedgerBed test;
    test.lose(kGuilty, "a");
    test.wait();
    test.lose(kGuilty, "b");
    constexpr uint64_t kFlood = 10000;
    size_t suspects = 0;
    test.wait(std::chrono::seconds(2));
    test.ledger.expire(test.now);
    test.lose(kGuilty, "c");
    for (uint64_t i = 0; i < kFlood; ++i) {
        test.wait(Millis(1));
        test.lose({ 1000 + i }, "flood" + std::to_string(i));
    }
    for (uint64_t i = 0; i < kFlood; ++i)
        suspects += test.ledger.standing({ 1000 + i }) == RequestStanding::Suspect ? 1 : 0;
    CHECK(suspects < 4096);
    CHECK(test.ledger.standing(kGuilty) == RequestStanding::Quarantined);
    CHECK(test.ledger.standing({ 1000 + kFlood - 1 }) == RequestStanding::Suspect);
}
