#pragma once

/// This instance's share of the request rate that a replica accepts from all instances together: while the replica names a
/// rate limit, and while it is cold.

#include "limpettrestle/limpettrestle.h"

#include <algorithm>
#include <optional>

namespace limpettrestle {

/// Paces the calls to one replica. While it names a rate limit, the share is spent in slots at regular intervals. A slot
/// that is not used soon expires, so that instances that were idle cannot exceed the limit together later on. While it is
/// cold, calls are separated by full intervals and no slots are kept, so that the limit holds in any second.
class RateShare {
public:
    /// Records what the last answer of the replica said: its limit in requests per second from all instances, or that
    /// there is none. `sharers`: number of instances that share the limit; 0 if this instance has no share.
    /// `phase`: random number from 0 to 1 that keeps the slots of instances apart. Returns true when a limit has begun
    /// or ended.
    bool record(std::optional<double> limit, uint32_t sharers, double phase, TimePoint now);

    /// Restricts the calls until `until`: successive ones are sent at least `interval` apart, the first one an interval from
    /// now. Without an interval, no calls are made. A restriction that continues keeps the time of the next call.
    void restrict(std::optional<Micros> interval, TimePoint until, TimePoint now);
    /// Ends the restriction.
    void unrestrict() { restrictedUntil_ = {}; }
    bool isRestricted(TimePoint now) const { return now < restrictedUntil_; }

    bool isLimited() const { return limit_.has_value(); }
    double limit() const { return limit_.value_or(0); }
    /// True unless the replica is limited or restricted and this instance has no slot at present.
    bool mayCall(TimePoint now) const { return (!limit_ && !isRestricted(now)) || nextCallAt(now) <= now; }
    /// Time of the next slot; `now` or earlier when a call may be made. Without a share, the time at which the knowledge of
    /// the limit expires or the restriction ends.
    TimePoint nextCallAt(TimePoint now) const { return std::max(nextSlotAt(now), nextUnrestrictedAt(now)); }
    /// Uses a slot.
    void callStarted(TimePoint now);
    /// Every started call is either sent or withdrawn later. Until then, a restriction allows no other one.
    void callSent(TimePoint now);
    void callWithdrawn() { unsentCalls_ -= std::min<uint32_t>(unsentCalls_, 1); }

private:
    /// Next slot of the rate limit, and next call that the restriction allows.
    TimePoint nextSlotAt(TimePoint now) const;
    TimePoint nextUnrestrictedAt(TimePoint now) const;

    std::optional<double> limit_;
    TimePoint recordedAt_ {};
    /// Time between two slots of this instance; zero without a share.
    Micros interval_ { 0 };
    /// Time for which a slot may be used.
    Micros slotTtl_ { 0 };
    /// Oldest slot that has not been used; may have expired.
    TimePoint nextSlot_ {};

    TimePoint restrictedUntil_ {};
    /// Time between two calls during the restriction; unset when there are none.
    std::optional<Micros> callInterval_;
    /// Earliest time of the next call during the restriction.
    TimePoint nextRestrictedCall_ {};
    /// Calls that have been started, but neither sent nor withdrawn.
    uint32_t unsentCalls_ = 0;
};

} // namespace limpettrestle
