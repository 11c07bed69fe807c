#pragma once

/// Keeps a copy of the registry in step: decides which call to make next and when. No I/O.

#include "registry_poll_timing.h"

namespace limpettrestle {

/// Call to the registry that is due.
struct RegistryCall {
    enum class Kind : uint8_t {
        /// Page of all items.
        Page,
        /// Changes after a revision.
        Changes,
    };
    Kind kind = Kind::Page;
    /// Page: key after which it begins.
    std::string afterKey;
    /// Changes: last revision known.
    uint64_t afterRevision = 0;
    /// Changes: time for which the registry holds the call when nothing changes.
    Millis hold { 0 };
    /// Time after which the call counts as failed.
    Millis limit { 0 };
};

/// How a call to the registry ended.
enum class RegistryOutcome : uint8_t {
    Done,
    /// The changes asked for are no longer kept.
    HistoryLost,
    /// The registry refused this caller for now.
    Refused,
    /// No answer, or one that cannot be read.
    Failed,
};
std::string_view name(RegistryOutcome value);

struct RegistryResult {
    RegistryOutcome outcome = RegistryOutcome::Failed;
    /// Revision of the registry at the answer.
    uint64_t revision = 0;
    /// Pages: there are more after `lastKey`.
    bool hasMore = false;
    std::string lastKey;
    /// Items or changes in the answer.
    size_t entries = 0;
};

class RegistrySync {
public:
    explicit RegistrySync(const RegistryPollTiming& pace)
        : pause_(pace.pause)
        , hold_(pace.registryHold)
    {
    }

    /// Time at which the next call is due. Not to be asked while a call is open.
    TimePoint nextCallAt() const { return nextCallAt_; }
    RegistryCall nextCall() const;
    /// Takes the end of the call that `nextCall()` named.
    void onCallFinished(const RegistryResult& result, TimePoint now);
    /// Reads everything anew, at once.
    void restart(TimePoint now);

    /// True when the last page of a full reading has just been taken.
    bool hasCompletedFullRead() const { return hasCompletedReading_; }
    /// True when the last answer left nothing unread.
    bool isCaughtUp() const { return isCaughtUp_; }
    /// True after a failure until a call succeeds.
    bool isUnavailable() const { return isAway_; }
    /// True when the last call ended a time of failures.
    bool hasRecovered() const { return hasReturned_; }
    uint64_t revision() const { return revision_; }

private:
    enum class Mode : uint8_t {
        Reading,
        Following,
    };

    void startReading(TimePoint at);
    void finishedPage(const RegistryResult& result, TimePoint now);
    void finishedChanges(const RegistryResult& result, TimePoint now);
    void failed(const RegistryResult& result, TimePoint now);

    /// Between two readings of changes.
    const Millis pause_;
    const Millis hold_;
    Mode mode_ = Mode::Reading;
    TimePoint nextCallAt_ {};
    std::string afterKey_;
    bool isFirstPage_ = true;
    uint64_t revision_ = 0;
    uint32_t failures_ = 0;
    TimePoint awaySince_ {};
    bool isAway_ = false;
    bool hasReturned_ = false;
    bool hasCompletedReading_ = false;
    bool isCaughtUp_ = false;
};

} // namespace limpettrestle
