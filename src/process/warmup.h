#pragma once

/// How long a replica is still cold, according to its reports in the registry and to what instances have seen of it.

#include "limpettrestle/limpettrestle.h"

#include <algorithm>

namespace limpettrestle {

/// A replica is cold after its start, and may become cold again at any moment. Reports and observations are kept apart: a
/// report that was made before an observation must not end what was observed later.
class Warmup {
public:
    /// Records the remaining time in a new report in the registry. A later end prolongs the warm-up, and zero ends what
    /// earlier reports stated. Returns true when the other instances must receive the report: the warm-up has begun, ended
    /// early, or been prolonged noticeably.
    bool recordReport(Millis left, TimePoint now);
    /// Records the remaining time in a reply of the replica: zero ends its warm-up, a negative value says nothing.
    void recordReply(Millis left, TimePoint now);
    /// Records the end that another instance has learned from a reply.
    void recordObservedEnd(TimePoint end, TimePoint now);

    TimePoint until() const { return std::max(reportedUntil_, observedUntil_); }
    TimePoint reportedUntil() const { return reportedUntil_; }
    TimePoint observedUntil() const { return observedUntil_; }
    bool isCold(TimePoint now) const { return now < until(); }
    /// Where the current end was learned, for the log: "registry" or "reply".
    std::string_view source() const { return observedUntil_ > reportedUntil_ ? "reply" : "registry"; }

private:
    TimePoint reportedUntil_ {};
    TimePoint observedUntil_ {};
    /// End of the last report for which `recordReport()` returned true.
    TimePoint announcedUntil_ {};
};

} // namespace limpettrestle
