/// Every order of events around the removal of a replica, up to a depth: three instances, of which one is the reader that
/// the others follow.

#include "support/state_bed.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <iostream>

using namespace limpettrestle;

namespace {

constexpr size_t kDepth = 6;
constexpr Millis kStep { 1000 };
constexpr Millis kSuspension { 4000 };
/// A failure that is older belongs to an earlier reading of the registry.
constexpr Millis kOldFailure { 2500 };
/// Time for which removals wait after the end of an outage.
constexpr Millis kWait { 2000 };
/// Maximum age of a state that a follower uses, and difference up to which two ages count as equal.
constexpr Millis kMaxAge { 2400 };
constexpr Millis kAgeTolerance { 100 };
constexpr size_t kReader = 0;

enum class Step : uint8_t {
    ToggleCutOfReader,
    ToggleOutage,
    ToggleEntry,
    SuspendReader,
    FirstReads,
    FirstFollows,
    SecondReads,
    SecondFollows,
};
constexpr std::array<const char*, 8> kEventNames { "reader cut or healed", "outage begins or ends", "entry removed or back", "reader suspended", "1 reads", "1 follows", "2 reads", "2 follows" };

struct Instance {
    StateTestBed bed;
    TimePoint stateReadAt {};
    TimePoint failedAt {};
    /// The last call of the present reading failed.
    bool hasFailed = false;
    /// Until this time, removals may wait.
    TimePoint mayWaitUntil {};
    bool hasSeenGone = false;
};

class World {
public:
    World()
    {
        for (Instance& instance : instances_) {
            instance.bed.log.set_level(spdlog::level::off);
            read(instance, true);
        }
    }

    /// Performs an event. Returns what is wrong after it; empty when nothing is.
    std::string perform(Step event)
    {
        problem_.clear();
        advance(event == Step::SuspendReader ? kSuspension : kStep);
        if (event == Step::ToggleCutOfReader)
            isReaderCut_ = !isReaderCut_;
        else if (event == Step::ToggleOutage)
            isUp_ = !isUp_;
        else if (event == Step::ToggleEntry)
            toggleEntry();
        else if (event == Step::FirstReads || event == Step::SecondReads)
            read(instances_[event == Step::FirstReads ? 1 : 2], isUp_);
        else if (event == Step::FirstFollows || event == Step::SecondFollows)
            follow(instances_[event == Step::FirstFollows ? 1 : 2]);
        read(instances_[kReader], isUp_ && !isReaderCut_);
        checkUse();
        return problem_;
    }

private:
    void advance(Millis time)
    {
        for (Instance& instance : instances_) {
            instance.bed.clock.advance(time);
            instance.bed.state.tick();
        }
    }

    void toggleEntry()
    {
        isListed_ = !isListed_;
        if (!isListed_)
            return;
        ++sequence_;
        for (Instance& instance : instances_)
            instance.hasSeenGone = false;
    }

    void read(Instance& instance, bool isReached)
    {
        StateTestBed& bed = instance.bed;
        const TimePoint now = bed.clock.now();
        bed.sync.restart(now);
        if (!isReached) {
            bed.receive(answer(5, 0, RegistryOutcome::Failed));
            instance.failedAt = now;
            instance.hasFailed = true;
            return;
        }
        if (instance.hasFailed && now - instance.failedAt < kOldFailure)
            instance.mayWaitUntil = now + kWait;
        instance.hasFailed = false;
        std::vector<platform::StoreItem> items = { StateTestBed::written(entryOf("b", 1)) };
        if (isListed_)
            items.push_back(StateTestBed::written(entryOf("a", sequence_)));
        bed.receive(answer(5, ++revision_), items, std::chrono::duration_cast<Millis>(now - instance.stateReadAt));
        instance.stateReadAt = now;
        if (isListed_ && !bed.isUsed("a"))
            problem_ = "a listed replica is not used";
        if (!isListed_ && bed.isUsed("a") && now >= instance.mayWaitUntil)
            problem_ = "a removal waits long after an outage";
    }

    void follow(Instance& follower)
    {
        const Instance& reader = instances_[kReader];
        const TimePoint now = follower.bed.clock.now();
        if (isReaderCut_ || now - reader.stateReadAt > kMaxAge || reader.stateReadAt + kAgeTolerance < follower.stateReadAt)
            return;
        ChangesReply reply;
        reply.isFullSnapshot = true;
        for (const auto& [id, replica] : reader.bed.state.directory().all())
            reply.written.push_back(replica->entry);
        reply.deferred = reader.bed.state.deferredRemovals();
        follower.bed.state.applyPeer(reply);
        follower.bed.sync.stop();
        follower.hasFailed = false;
        follower.stateReadAt = std::max(follower.stateReadAt, reader.stateReadAt);
    }

    void checkUse()
    {
        for (Instance& instance : instances_) {
            const bool isUsed = instance.bed.isUsed("a");
            if (instance.hasSeenGone && isUsed)
                problem_ = "a replica that was seen to be removed is used again";
            instance.hasSeenGone = !isListed_ && !isUsed;
        }
    }

    std::array<Instance, 3> instances_;
    bool isUp_ = true;
    bool isReaderCut_ = false;
    bool isListed_ = true;
    uint64_t sequence_ = 1;
    uint64_t revision_ = 1;
    std::string problem_;
};

std::string nameOf(const std::vector<Step>& events)
{
    std::string text;
    for (const Step event : events)
        text += std::string(text.empty() ? "" : ", ") + kEventNames[static_cast<size_t>(event)];
    return text;
}

struct Search {
    size_t orders = 0;
    size_t states = 0;
    std::map<std::string, std::string> problems;

    /// Performs every order of events that begins with `events`.
    void extend(std::vector<Step>& events)
    {
        if (events.size() == kDepth) {
            run(events);
            return;
        }
        // The two followers are alike: the second one does nothing before the first one.
        const bool hasFollower = std::any_of(events.begin(), events.end(), [](Step event) { return event >= Step::FirstReads; });
        const size_t choices = hasFollower ? kEventNames.size() : static_cast<size_t>(Step::SecondReads);
        for (size_t i = 0; i < choices; ++i) {
            events.push_back(static_cast<Step>(i));
            extend(events);
            events.pop_back();
        }
    }

    void run(const std::vector<Step>& events)
    {
        World world;
        ++orders;
        for (size_t i = 0; i < events.size(); ++i) {
            ++states;
            const std::string problem = world.perform(events[i]);
            if (problem.empty())
                continue;
            problems.try_emplace(problem, nameOf({ events.begin(), events.begin() + static_cast<std::ptrdiff_t>(i) + 1 }));
            return;
        }
    }
};

} // namespace

TEST_CASE("no order of events brings back a removed replica or puts off its removal long after an outage")
{
    Search search;
    std::vector<Step> events;
    search.extend(events);
    std::cout << "removal orders: depth " << kDepth << ", " << search.orders << " orders, " << search.states << " states" << std::endl;
    for (const auto& [problem, order] : search.problems)
        FAIL_CHECK(problem << " after: " << order);
    CHECK(search.problems.empty());
}
