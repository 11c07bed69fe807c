#include "rate_share.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    /// Part of the limit that is divided among the instances. It exceeds 1 because uneven demand leaves slots unused.
    constexpr double kUsedFraction = 1.1;
    /// A lower limit, including 0, counts as this many requests per second. Without any request, the end of the limit
    /// would not be noticed.
    constexpr double kMinLimit = 0.25;
    /// A slot expires after this time, and after the time in which the replica accepts this number of requests more.
    constexpr double kSlotTtlSeconds = 0.8;
    constexpr double kSlotTtlRequests = 2;
    /// Time for which an instance without a share makes no calls. It calls replicas only when others have failed, and
    /// would not learn otherwise that the limit has ended.
    constexpr Millis kNoShareTtl { 5000 };

    Micros fromSeconds(double seconds) { return std::chrono::duration_cast<Micros>(std::chrono::duration<double>(seconds)); }

} // namespace

bool RateShare::record(std::optional<double> limit, uint32_t sharers, double phase, TimePoint now)
{
    const bool hasChanged = limit.has_value() != limit_.has_value();
    limit_ = limit;
    recordedAt_ = now;
    if (!limit)
        return hasChanged;
    const double perSecond = std::max(kMinLimit, *limit) * kUsedFraction;
    interval_ = fromSeconds(sharers / perSecond);
    slotTtl_ = fromSeconds(kSlotTtlSeconds + kSlotTtlRequests / perSecond);
    const TimePoint latest = now + interval_;
    nextSlot_ = hasChanged ? now + std::chrono::duration_cast<Micros>(interval_ * phase) : std::min(nextSlot_, latest);
    return hasChanged;
}

void RateShare::restrict(std::optional<Micros> interval, TimePoint until, TimePoint now)
{
    const bool continues = isRestricted(now) && interval == callInterval_;
    restrictedUntil_ = until;
    callInterval_ = interval;
    if (interval && !continues)
        nextRestrictedCall_ = now + *interval;
}

TimePoint RateShare::nextUnrestrictedAt(TimePoint now) const
{
    if (!isRestricted(now))
        return now;
    if (!callInterval_)
        return restrictedUntil_;
    const TimePoint next = unsentCalls_ == 0 ? nextRestrictedCall_ : std::max(nextRestrictedCall_, now + *callInterval_);
    return std::min(next, restrictedUntil_);
}

TimePoint RateShare::nextSlotAt(TimePoint now) const
{
    if (!limit_)
        return now;
    if (interval_ == Micros::zero())
        return recordedAt_ + kNoShareTtl;
    const TimePoint oldestUsable = now - slotTtl_;
    if (nextSlot_ >= oldestUsable)
        return nextSlot_;
    const auto expired = (oldestUsable - nextSlot_ + interval_ - TimePoint::duration(1)) / interval_;
    return nextSlot_ + expired * interval_;
}

void RateShare::callStarted(TimePoint now)
{
    if (limit_ && interval_ != Micros::zero())
        nextSlot_ = nextSlotAt(now) + interval_;
    if (isRestricted(now) && callInterval_)
        nextRestrictedCall_ = now + *callInterval_;
    ++unsentCalls_;
}

void RateShare::callSent(TimePoint now)
{
    callWithdrawn();
    if (isRestricted(now) && callInterval_)
        nextRestrictedCall_ = now + *callInterval_;
}

} // namespace limpettrestle
