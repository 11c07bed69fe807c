#pragma once

/// Threads that read and watch the platform's published entries.

#include "hub.h"

namespace limpettrestle {

/// Which part of the platform's entries a reader follows.
enum class PlatformTopic : uint8_t { Config,
    Members };

/// Latest order of the decisions on how to read; shared by the readers.
class PlatformOrders {
public:
    explicit PlatformOrders(Hub& hub)
        : hub_(hub)
    {
    }

    /// Takes new orders from the ring.
    void update();
    /// True while a watch is to be kept open.
    bool isWatching() const { return isWatching_; }
    /// Rises with every order; a reader that is not watching reads once per order.
    uint64_t count() const { return count_; }

private:
    Hub& hub_;
    /// Orders are taken one after another, whichever reader takes them.
    absl::Mutex mutex_;
    std::atomic<bool> isWatching_ { false };
    std::atomic<uint64_t> count_ { 0 };
};

/// Runs until the hub is told to stop.
void runPlatformReader(Hub& hub, const Endpoint& platform, PlatformTopic topic, PlatformOrders& orders);

} // namespace limpettrestle
