#include "warmup.h"

namespace limpettrestle {

namespace {

    /// Reports take different times to arrive, so that ends within this time of each other count as equal.
    constexpr Millis kEndTolerance { 100 };

} // namespace

bool Warmup::recordReport(Millis left, TimePoint now)
{
    if (left <= Millis::zero()) {
        const bool endsEarly = reportedUntil_ > now + kEndTolerance;
        reportedUntil_ = std::min(reportedUntil_, now);
        announcedUntil_ = std::min(announcedUntil_, now);
        return endsEarly;
    }
    const bool hasBegun = reportedUntil_ <= now;
    reportedUntil_ = std::max(reportedUntil_, now + left);
    if (!hasBegun && reportedUntil_ <= announcedUntil_ + kEndTolerance)
        return false;
    announcedUntil_ = reportedUntil_;
    return true;
}

void Warmup::recordReply(Millis left, TimePoint now)
{
    if (left > Millis::zero())
        recordObservedEnd(now + left, now);
    if (left != Millis::zero())
        return;
    reportedUntil_ = std::min(reportedUntil_, now);
    observedUntil_ = std::min(observedUntil_, now);
}

void Warmup::recordObservedEnd(TimePoint end, TimePoint now)
{
    if (end > now)
        observedUntil_ = std::max(observedUntil_, end);
}

} // namespace limpettrestle
