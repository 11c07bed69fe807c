#include "registry_sync.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    /// Timeout of a call for a page; a healthy registry answers within milliseconds.
    constexpr Millis kPageTimeout { 1000 };
    /// Time beyond the long-poll timeout that is allowed for the answer.
    constexpr Millis kHoldSlack { 500 };
    /// Backoff after the first failure; it doubles with each further failure up to the maximum.
    constexpr Millis kMinBackoff { 100 };
    constexpr Millis kMaxBackoff { 1000 };
    constexpr uint32_t kMaxBackoffSteps = 4;
    /// Time without an answer after which everything is read again. Following the changes from the old revision
    /// would replay old reports and so bring back replicas that have left since.
    constexpr Millis kMaxUnavailableTime { 2000 };
    /// Number of entries from which an answer is considered truncated, and the next call is made at once. The
    /// registry truncates answers at about 500 entries.
    constexpr size_t kTruncatedAnswer = 200;

} // namespace

RegistrySync::RegistrySync(const RegistryPollTiming& timing)
    : pause_(timing.pause)
    , hold_(timing.registryHold)
    , freshness_(kMaxBackoff + std::max(kPageTimeout, hold_ + kHoldSlack))
{
}

RegistryCall RegistrySync::nextCall() const
{
    RegistryCall call;
    if (mode_ == Mode::FullRead) {
        call.kind = RegistryCall::Kind::Page;
        call.afterKey = afterKey_;
        call.limit = kPageTimeout;
        return call;
    }
    call.kind = RegistryCall::Kind::Changes;
    call.afterRevision = revision_;
    call.hold = hold_;
    call.limit = hold_ + kHoldSlack;
    return call;
}

void RegistrySync::onCallFinished(const RegistryResult& result, TimePoint now)
{
    hasCompletedFullRead_ = false;
    hasStartedFullRead_ = false;
    isLastAnswerDiscarded_ = false;
    if (!advanceEra(result.era, now)) {
        isLastAnswerDiscarded_ = true;
        onFailure({}, now);
        return;
    }
    if (result.outcome == RegistryOutcome::HistoryLost) {
        startFullRead(now);
        return;
    }
    if (result.outcome != RegistryOutcome::Done) {
        onFailure(result, now);
        return;
    }
    if (mode_ == Mode::FullRead && !isLastAnswerDiscarded_ && !canContinue(result)) {
        isLastAnswerDiscarded_ = true;
        onFailure({}, now);
        return;
    }
    recordSuccess(now);
    if (isLastAnswerDiscarded_)
        return;
    if (mode_ == Mode::FullRead)
        onPage(result, now);
    else
        onChanges(result, now);
}

bool RegistrySync::canContinue(const RegistryResult& page) const
{
    return !page.hasMore || (!page.lastKey.empty() && page.lastKey != afterKey_);
}

void RegistrySync::recordSuccess(TimePoint now)
{
    freshness_.recordSuccess(now);
    isCaughtUp_ = false;
    isUnavailable_ = false;
    failures_ = 0;
}

bool RegistrySync::advanceEra(uint64_t era, TimePoint now)
{
    if (era == 0 || era == era_)
        return true;
    if (era < era_)
        return false;
    const bool hasReadBefore = revision_ != 0;
    era_ = era;
    if (!hasReadBefore)
        return true;
    // Revisions of the earlier era mean nothing in this one.
    isLastAnswerDiscarded_ = true;
    revision_ = 0;
    startFullRead(now);
    return true;
}

void RegistrySync::restart(TimePoint now)
{
    startFullRead(now);
}

void RegistrySync::startFullRead(TimePoint at)
{
    mode_ = Mode::FullRead;
    afterKey_.clear();
    isFirstPage_ = true;
    nextCallAt_ = at;
}

void RegistrySync::onPage(const RegistryResult& result, TimePoint now)
{
    // Pages do not form a consistent snapshot, so changes are followed from the revision of the first page.
    hasStartedFullRead_ = isFirstPage_;
    if (isFirstPage_)
        revision_ = result.revision;
    isFirstPage_ = false;
    nextCallAt_ = now;
    if (result.hasMore) {
        afterKey_ = result.lastKey;
        return;
    }
    hasCompletedFullRead_ = true;
    isCaughtUp_ = true;
    mode_ = Mode::Following;
    nextCallAt_ = now + pause_;
}

void RegistrySync::onChanges(const RegistryResult& result, TimePoint now)
{
    if (result.entries == 0) {
        // No change during the whole long poll: this reader may be missing changes, so everything is read again.
        startFullRead(now);
        return;
    }
    revision_ = std::max(revision_, result.revision);
    isCaughtUp_ = result.entries < kTruncatedAnswer;
    nextCallAt_ = isCaughtUp_ ? now + pause_ : now;
}

void RegistrySync::onFailure(const RegistryResult& result, TimePoint now)
{
    if (!isUnavailable_)
        unavailableSince_ = now;
    isUnavailable_ = true;
    freshness_.recordFailure(now);
    if (now - unavailableSince_ >= kMaxUnavailableTime)
        startFullRead(now);
    const uint32_t step = std::min(failures_, kMaxBackoffSteps);
    ++failures_;
    Millis backoff = std::min(kMaxBackoff, kMinBackoff * (1 << step));
    // Only a refusal proves that the registry is running. A long poll that timed out may be missing changes, so it
    // is repeated soon.
    if (result.outcome == RegistryOutcome::Failed && mode_ == Mode::Following)
        backoff = std::min(backoff, kMinBackoff);
    nextCallAt_ = now + backoff;
    if (mode_ == Mode::FullRead)
        startFullRead(nextCallAt_);
}

} // namespace limpettrestle
