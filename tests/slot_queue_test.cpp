/// Order of the calls that wait for a slot.

#include "../src/connection/load_budget.h"
#include "../src/connection/slot_queue.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

namespace {

QueuedCall call(uint32_t attempt, PriorityClass priority, int deadlineMs)
{
    QueuedCall out;
    out.attempt = attempt;
    out.priority = priority;
    out.deadline = TimePoint(Millis(deadlineMs));
    return out;
}

} // namespace

TEST_CASE("within a class the earliest deadline goes first")
{
    SlotQueue queue;
    queue.push(call(1, PriorityClass::Normal, 30));
    queue.push(call(2, PriorityClass::Normal, 10));
    queue.push(call(3, PriorityClass::Normal, 20));
    CHECK(queue.pop()->attempt == 2);
    CHECK(queue.pop()->attempt == 3);
    CHECK(queue.pop()->attempt == 1);
    CHECK_FALSE(queue.pop());
}

TEST_CASE("urgent calls come first and deferrable ones are not starved")
{
    SlotQueue queue;
    for (uint32_t i = 0; i < 120; ++i) {
        queue.push(call(i, PriorityClass::Urgent, 10));
        queue.push(call(1000 + i, PriorityClass::Deferrable, 10));
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

TEST_CASE("a full class refuses, others still take")
{
    SlotQueue queue;
    for (uint32_t i = 0; i < config::kMaxQueuedPerReplica; ++i)
        REQUIRE(queue.push(call(i, PriorityClass::Normal, 10)));
    CHECK_FALSE(queue.push(call(999, PriorityClass::Normal, 10)));
    CHECK(queue.push(call(999, PriorityClass::Urgent, 10)));
}

TEST_CASE("calls can be taken back and expire")
{
    SlotQueue queue;
    queue.push(call(1, PriorityClass::Normal, 10));
    queue.push(call(2, PriorityClass::Urgent, 50));
    CHECK(queue.remove({}, 2));
    CHECK_FALSE(queue.remove({}, 2));
    CHECK(queue.takeExpired(TimePoint(Millis(5))).empty());
    CHECK(queue.takeExpired(TimePoint(Millis(10))).size() == 1);
    CHECK(queue.size() == 0);
}

TEST_CASE("a load budget gives its share and no more")
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
