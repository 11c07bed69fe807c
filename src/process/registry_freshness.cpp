#include "registry_freshness.h"

namespace limpettrestle {

namespace {

    /// Replicas whose entries expired during an outage of the registry, or are missing from its copy, register again
    /// within this time after it, and the operator writes again what its copy has lost.
    constexpr Millis kReregistrationTime { 2000 };
    /// No entry expires in a shorter outage: replicas report about every 1.2 s, and entries last for three reports.
    constexpr Millis kMinOutageWithExpiry { 2000 };

} // namespace

void RegistryFreshness::recordFailure(TimePoint now)
{
    recoveredAt_.reset();
    lastFailureAt_ = now;
}

void RegistryFreshness::recordSuccess(TimePoint now)
{
    recoveredAt_.reset();
    // After a longer gap, as after a suspension, the outage may have ended at any time since.
    if (lastFailureAt_ && now - *lastFailureAt_ <= maxCallGap_)
        recoveredAt_ = now;
    lastFailureAt_.reset();
}

std::optional<TimePoint> RegistryFreshness::removalsWaitUntil(TimePoint previousRead) const
{
    // If others have read the registry in the meantime, it was unavailable only to this instance, and the removals are
    // those of replicas that left.
    if (!recoveredAt_ || *recoveredAt_ - previousRead < kMinOutageWithExpiry)
        return std::nullopt;
    return registeredAgainAt(*recoveredAt_);
}

TimePoint RegistryFreshness::registeredAgainAt(TimePoint now)
{
    return now + kReregistrationTime;
}

} // namespace limpettrestle
