#pragma once

/// Queue of calls that wait for a slot of one replica.

#include "../config.h"

#include <array>
#include <map>
#include <optional>

namespace limpettrestle {

/// What the items of one batch share.
struct BatchShare {
    ServiceId service;
    uint64_t snapshot = 0;
    uint64_t mapVersion = 0;
    uint32_t limit = 0;
    Body query;
};

enum class CallKind : uint8_t {
    Search,
    /// Lends the slot to the instance that asked.
    SlotLoan,
};

/// A call that was accepted by the owner and not yet sent.
struct QueuedCall {
    CallKind kind = CallKind::Search;
    InstanceId coordinator;
    RequestId request;
    uint32_t attempt = 0;
    uint32_t shard = 0;
    ReplicaId replica;
    PriorityClass priority = PriorityClass::Normal;
    bool hedge = false;
    TimePoint deadline {};
    /// When it was queued, and the wait that was predicted then.
    TimePoint queuedAt {};
    Micros predictedWait { 0 };
    std::shared_ptr<const BatchShare> share;
};

/// Holds calls by class and deadline. A waiting class gets its weight's share of the slots, so
/// that deferrable calls are late under load, never starved.
class SlotQueue {
public:
    /// Orders by class and deadline, or by arrival.
    void setPriorityOrder(bool enabled) { priorityOrder_ = enabled; }

    /// Returns false when the class's part is full.
    bool push(QueuedCall call);
    /// Takes the call that is to be sent next.
    std::optional<QueuedCall> pop();
    /// Removes one call; empty when it is not queued.
    std::optional<QueuedCall> remove(RequestId request, uint32_t attempt);
    /// Takes out every call whose deadline is over, or all calls.
    std::vector<QueuedCall> takeExpired(TimePoint now);
    std::vector<QueuedCall> takeAll();

    size_t size() const;
    /// Calls that would be sent before a new one of the class.
    double aheadOf(PriorityClass priority) const;

private:
    using Lane = std::multimap<TimePoint, QueuedCall>;

    int nextLane();

    std::array<Lane, kPriorityClassCount> lanes_;
    std::array<double, kPriorityClassCount> credit_ {};
    bool priorityOrder_ = true;
    int64_t arrivals_ = 0;
};

} // namespace limpettrestle
