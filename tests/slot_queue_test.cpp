/// Tests the order of the calls that wait for a slot, and the load budget.

#include "../src/connection/load_budget.h"
#include "../src/connection/slot_queue.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

namespace {

QueuedCall makeCall(uint32_t attempt, PriorityClass priority, int deadlineMs)
{
    QueuedCall queued;
    queued.attempt = attempt;
    queued.priority = priority;
    queued.deadline = TimePoint(Millis(deadlineMs));
    return queued;
}

} // namespace

TEST_CASE("within a class the call with the earliest deadline is sent first")
{
    SlotQueue queue;
    queue.push(makeCall(1, PriorityClass::Normal, 30));
    queue.push(makeCall(2, PriorityClass::Normal, 10));
    queue.push(makeCall(3, PriorityClass::Normal, 20));
    CHECK(queue.pop()->attempt == 2);
    CHECK(queue.pop()->attempt == 3);
    CHECK(queue.pop()->attempt == 1);
    CHECK_FALSE(queue.pop());
}

TEST_CASE("urgent calls are sent first and deferrable calls are not starved")
{
    SlotQueue queue;
    for (uint32_t i = 0; i < 120; ++i) {
        queue.push(makeCall(i, PriorityClass::Urgent, 10));
        queue.push(makeCall(1000 + i, PriorityClass::Deferrable, 10));
    }
    int deferrable = 0;
    for (int i = 0; i < 104; ++i) {
        const auto next = queue.pop();
        if (i == 0)
            CHECK(next->priority == PriorityClass::Urgent);
        deferrable += next->priority == PriorityClass::Deferrable ? 1 : 0;
    }
    CHECK(deferrable == 8);
}

TEST_CASE("a full class refuses calls while other classes still accept them")
{
    SlotQueue queue;
    for (uint32_t i = 0; i < config::kMaxQueuedPerReplica; ++i)
        REQUIRE(queue.push(makeCall(i, PriorityClass::Normal, 10)));
    CHECK_FALSE(queue.push(makeCall(999, PriorityClass::Normal, 10)));
    CHECK(queue.push(makeCall(999, PriorityClass::Urgent, 10)));
}

TEST_CASE("queued calls can be removed and expire")
{
    SlotQueue queue;
    queue.push(makeCall(1, PriorityClass::Normal, 10));
    queue.push(makeCall(2, PriorityClass::Urgent, 50));
    CHECK(queue.remove({}, 2));
    CHECK_FALSE(queue.remove({}, 2));
    CHECK(queue.takeExpired(TimePoint(Millis(5))).empty());
    CHECK(queue.takeExpired(TimePoint(Millis(10))).size() == 1);
    CHECK(queue.size() == 0);
}

TEST_CASE("a load budget grants its burst and its share, and no more")
{
    LoadBudget budget(5);
    for (int i = 0; i < 5; ++i)
        CHECK(budget.spend());
    CHECK_FALSE(budget.spend());
    for (int i = 0; i < 20; ++i)
        budget.earn(0.05);
    CHECK(budget.spend());
    CHECK_FALSE(budget.spend());
}
