#pragma once

/// Priority queue of calls that wait for a slot of one replica.

#include "../config.h"

#include <array>
#include <map>
#include <optional>

namespace limpettrestle {

/// Fields that all items of one batch have in common.
struct BatchParams {
    ServiceId service;
    uint64_t snapshot = 0;
    uint64_t mapVersion = 0;
    uint32_t limit = 0;
    Body query;
};

enum class CallKind : uint8_t {
    Search,
    /// Lends the slot to the requesting instance, which calls the server itself.
    SlotLoan,
};

/// A call that the owner has accepted and not yet sent.
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
    /// Time of queueing, and the wait predicted at that time.
    TimePoint queuedAt {};
    Micros predictedWait { 0 };
    std::shared_ptr<const BatchParams> batch;
};

/// Orders calls by priority class and deadline. Each waiting class gets a share of the slots that is
/// proportional to its weight, so that deferrable calls are delayed under load but never starved.
class SlotQueue {
public:
    /// True orders calls by class and deadline (the default), false by arrival.
    void setPriorityOrder(bool enabled) { priorityOrder_ = enabled; }

    /// Returns false when the lane of the call's class is full.
    bool push(QueuedCall call);
    /// Removes and returns the call to be sent next.
    std::optional<QueuedCall> pop();
    /// Removes and returns one call; empty when it is not queued.
    std::optional<QueuedCall> remove(RequestId request, uint32_t attempt);
    /// Removes and returns every call whose deadline has passed.
    std::vector<QueuedCall> takeExpired(TimePoint now);
    /// Removes and returns all calls.
    std::vector<QueuedCall> takeAll();

    size_t size() const;
    /// Estimates how many queued calls would be sent before a new call of the class.
    double countAheadOf(PriorityClass priority) const;

private:
    using Lane = std::multimap<TimePoint, QueuedCall>;

    int nextLane();

    std::array<Lane, kPriorityClassCount> lanes_;
    std::array<double, kPriorityClassCount> credit_ {};
    bool priorityOrder_ = true;
    int64_t arrivals_ = 0;
};

} // namespace limpettrestle
