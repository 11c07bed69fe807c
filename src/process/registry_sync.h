#pragma once

/// Keeps a copy of the registry up to date: decides which call to make next and when. Does no I/O.

#include "registry_freshness.h"
#include "registry_poll_timing.h"

namespace limpettrestle {

/// A call to the registry.
struct RegistryCall {
    enum class Kind : uint8_t {
        /// Reads a page of all items.
        Page,
        /// Long-polls for changes after a revision.
        Changes,
    };
    Kind kind = Kind::Page;
    /// Page: key after which the page begins.
    std::string afterKey;
    /// Changes: last known revision.
    uint64_t afterRevision = 0;
    /// Changes: long-poll timeout, for which the registry holds the call while nothing changes.
    Millis hold { 0 };
    /// Time after which the call counts as failed.
    Millis limit { 0 };
};

/// Outcome of a call to the registry.
enum class RegistryOutcome : uint8_t {
    Done,
    /// The registry no longer keeps the requested changes.
    HistoryLost,
    /// The registry temporarily refused this caller.
    Refused,
    /// There was no answer, or it could not be parsed.
    Failed,
};
std::string_view name(RegistryOutcome value);

struct RegistryResult {
    RegistryOutcome outcome = RegistryOutcome::Failed;
    /// Era of the registry: it rises when the registry is restored from an older copy. Revisions are comparable only
    /// within an era. 0 when the answer does not tell.
    uint64_t era = 0;
    /// Revision of the registry at the time of the answer.
    uint64_t revision = 0;
    /// Pages: more items follow after `lastKey`.
    bool hasMore = false;
    std::string lastKey;
    /// Number of items or changes in the answer.
    size_t entries = 0;
};

class RegistrySync {
public:
    explicit RegistrySync(const RegistryPollTiming& timing);

    /// Time at which the next call is due. Valid only while no call is pending.
    TimePoint nextCallAt() const { return nextCallAt_; }
    RegistryCall nextCall() const;
    /// Handles the end of the call that `nextCall()` returned.
    void onCallFinished(const RegistryResult& result, TimePoint now);
    /// True when the items of the last answer must not be applied: they belong to another era than what was read before.
    bool isLastAnswerDiscarded() const { return isLastAnswerDiscarded_; }
    /// True when the last answer was the first page of a full read.
    bool hasStartedFullRead() const { return hasStartedFullRead_; }
    /// Starts a full read at once.
    void restart(TimePoint now);
    /// Records that reading has stopped because the state of another instance is used.
    void stop() { freshness_.recordStop(); }

    /// True when the last call completed a full read.
    bool hasCompletedFullRead() const { return hasCompletedFullRead_; }
    /// True when no further pages or changes are known to be unread.
    bool isCaughtUp() const { return isCaughtUp_; }
    /// True after a failure until a call succeeds.
    bool isUnavailable() const { return isUnavailable_; }
    /// True when the last call was the first success after failures.
    bool hasRecovered() const { return freshness_.hasRecovered(); }
    const RegistryFreshness& freshness() const { return freshness_; }
    /// Highest era of all answers so far.
    uint64_t era() const { return era_; }
    uint64_t revision() const { return revision_; }

private:
    enum class Mode : uint8_t {
        FullRead,
        Following,
    };

    void startFullRead(TimePoint at);
    /// Adopts the era of an answer. Returns false when the answer is from an earlier era.
    bool advanceEra(uint64_t era, TimePoint now);
    /// Returns false for a page that says that more items follow, but not after which key, or after the same as the last
    /// page. It is no end of the list: what follows is unknown.
    bool canContinue(const RegistryResult& page) const;
    void recordSuccess(TimePoint now);
    void onPage(const RegistryResult& result, TimePoint now);
    void onChanges(const RegistryResult& result, TimePoint now);
    void onFailure(const RegistryResult& result, TimePoint now);

    /// Pause between two calls for changes.
    const Millis pause_;
    const Millis hold_;
    RegistryFreshness freshness_;
    Mode mode_ = Mode::FullRead;
    TimePoint nextCallAt_ {};
    std::string afterKey_;
    bool isFirstPage_ = true;
    uint64_t era_ = 0;
    uint64_t revision_ = 0;
    bool isLastAnswerDiscarded_ = false;
    bool hasStartedFullRead_ = false;
    uint32_t failures_ = 0;
    TimePoint unavailableSince_ {};
    bool isUnavailable_ = false;
    bool hasCompletedFullRead_ = false;
    bool isCaughtUp_ = false;
};

} // namespace limpettrestle
