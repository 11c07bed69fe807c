#pragma once

/// Threads that read the published entries of the platform, by single reads or by long polls.

#include "shared_state.h"

namespace limpettrestle {

/// Selects the entries that a reader follows by their key prefix.
enum class PlatformTopic : uint8_t { Config,
    Members };

/// Latest `ReadPlatform` action of the decision thread, which selects between a watch and a single read.
/// Shared by the reader threads.
class PlatformReadRequests {
public:
    explicit PlatformReadRequests(SharedState& shared)
        : shared_(shared)
    {
    }

    /// Applies all actions that are queued in the ring.
    void applyQueued();
    /// True while the readers must keep a watch open.
    bool isWatching() const { return isWatching_; }
    /// Number of actions applied so far. A reader without a watch reads once for each increase.
    uint64_t count() const { return count_; }

private:
    SharedState& shared_;
    /// Keeps actions in order when both readers pop from the ring.
    absl::Mutex mutex_;
    std::atomic<bool> isWatching_ { false };
    std::atomic<uint64_t> count_ { 0 };
};

/// Runs until `SharedState::isStopping` is set.
void runPlatformReader(SharedState& shared, const Endpoint& platform, PlatformTopic topic, PlatformReadRequests& readRequests);

} // namespace limpettrestle
