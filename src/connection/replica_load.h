#pragma once

/// Queue in front of a replica, estimated from its replies. Does no I/O.

#include "limpettrestle/limpettrestle.h"

namespace limpettrestle {

/// Number of requests that wait at a replica, as it reports, and the slots that work on them.
struct QueueReport {
    /// Negative if not reported.
    int waiting = -1;
    uint32_t slots = 1;
};

class ReplicaLoad {
public:
    /// Records an executed call.
    void recordAnswer(Micros duration, const QueueReport& report, TimePoint now);
    /// Records a call that the replica turned away because its queue is full.
    void recordShed(const QueueReport& report, TimePoint now);

    /// Smoothed time for which a call occupies a slot; zero before the first answer.
    Micros serviceTime() const { return serviceTime_; }
    /// Estimated number of requests that wait at the replica. A report loses its weight with time.
    double queue(TimePoint now) const;
    /// Time until a new call gets a slot, if it waits behind `queued` others for a connection of this instance, of which
    /// `inFlight` are in use.
    Micros wait(uint32_t slots, size_t queued, size_t inFlight, TimePoint now) const;

private:
    Micros serviceTime_ { 0 };
    double queue_ = 0;
    TimePoint queueAt_ {};
};

} // namespace limpettrestle
