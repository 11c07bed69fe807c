#pragma once

/// Threads that read the published entries of the platform, by single reads or by long polls.

#include "shared_state.h"

namespace limpettrestle {

/// Key prefix that a reader thread follows: "config/" or "members/".
enum class PlatformTopic : uint8_t { Config,
    Members };

/// State of the `ReadPlatform` actions of the decision thread, each of which selects either a watch or a
/// single read. Shared by the reader threads.
class PlatformReadRequests {
public:
    explicit PlatformReadRequests(SharedState& shared)
        : shared_(shared)
    {
    }

    /// Applies all queued actions.
    void applyQueued();
    /// True while the readers must keep a watch open.
    bool isWatching() const { return isWatching_; }
    /// Number of actions applied so far. A reader without a watch reads once for each increase.
    uint64_t count() const { return count_; }

private:
    SharedState& shared_;
    /// Keeps actions in order when both readers take them from the queue.
    absl::Mutex mutex_;
    std::atomic<bool> isWatching_ { false };
    std::atomic<uint64_t> count_ { 0 };
};

/// Runs until `SharedState::isStopping` is set.
void runPlatformReader(SharedState& shared, const Endpoint& platform, PlatformTopic topic, PlatformReadRequests& readRequests);

} // namespace limpettrestle
