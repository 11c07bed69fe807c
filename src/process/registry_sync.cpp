#include "registry_sync.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    /// Longest wait for a page; the registry answers in milliseconds when well.
    constexpr Millis kPageLimit { 1000 };
    /// Wait beyond the hold for the answer itself.
    constexpr Millis kHoldSlack { 500 };
    /// Pause after the first failure, doubled up to the longest.
    constexpr Millis kRetryMin { 100 };
    constexpr Millis kRetryMax { 1000 };
    constexpr uint32_t kMaxBackoffSteps = 4;
    /// After so long without an answer everything is read anew: following from the old revision would
    /// bring back replicas that have left since, one old report after the other.
    constexpr Millis kLongAway { 2000 };
    /// The registry cuts answers at about 500 entries: with so many there may be more, and they are
    /// read at once.
    constexpr size_t kFullAnswer = 200;

} // namespace

RegistryCall RegistrySync::nextCall() const
{
    RegistryCall call;
    if (mode_ == Mode::Reading) {
        call.kind = RegistryCall::Kind::Page;
        call.afterKey = afterKey_;
        call.limit = kPageLimit;
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
    hasCompletedReading_ = false;
    hasReturned_ = false;
    if (result.outcome == RegistryOutcome::HistoryLost) {
        startReading(now);
        return;
    }
    if (result.outcome != RegistryOutcome::Done) {
        failed(result, now);
        return;
    }
    hasReturned_ = isAway_;
    isCaughtUp_ = false;
    isAway_ = false;
    failures_ = 0;
    if (mode_ == Mode::Reading)
        finishedPage(result, now);
    else
        finishedChanges(result, now);
}

void RegistrySync::restart(TimePoint now)
{
    startReading(now);
}

void RegistrySync::startReading(TimePoint at)
{
    mode_ = Mode::Reading;
    afterKey_.clear();
    isFirstPage_ = true;
    nextCallAt_ = at;
}

void RegistrySync::finishedPage(const RegistryResult& result, TimePoint now)
{
    // Pages are no snapshot: changes are followed from the revision of the first.
    if (isFirstPage_)
        revision_ = result.revision;
    isFirstPage_ = false;
    nextCallAt_ = now;
    if (result.hasMore && !result.lastKey.empty()) {
        afterKey_ = result.lastKey;
        return;
    }
    hasCompletedReading_ = true;
    isCaughtUp_ = true;
    mode_ = Mode::Following;
    nextCallAt_ = now + pause_;
}

void RegistrySync::finishedChanges(const RegistryResult& result, TimePoint now)
{
    if (result.entries == 0) {
        // Nothing for the whole hold: the reading may have gone deaf, so everything is read anew.
        startReading(now);
        return;
    }
    revision_ = std::max(revision_, result.revision);
    isCaughtUp_ = result.entries < kFullAnswer;
    nextCallAt_ = isCaughtUp_ ? now + pause_ : now;
}

void RegistrySync::failed(const RegistryResult& result, TimePoint now)
{
    if (!isAway_)
        awaySince_ = now;
    isAway_ = true;
    if (now - awaySince_ >= kLongAway)
        startReading(now);
    const uint32_t step = std::min(failures_, kMaxBackoffSteps);
    ++failures_;
    Millis wait = std::min(kRetryMax, kRetryMin * (1 << step));
    // Only a refusal shows that the registry is there; a following that timed out may be deaf.
    if (result.outcome == RegistryOutcome::Failed && mode_ == Mode::Following)
        wait = std::min(wait, kRetryMin);
    nextCallAt_ = now + wait;
    if (mode_ == Mode::Reading)
        startReading(nextCallAt_);
}

} // namespace limpettrestle
