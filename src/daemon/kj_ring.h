#pragma once

/// Consumes a bounded queue on a kj event loop.

#include "../process/ring.h"

#include <functional>
#include <kj/async-io.h>
#include <kj/async-unix.h>

namespace limpettrestle {

/// Calls `onItem` for each item that arrives, and `onBatchEnd` each time the queue has been emptied.
template <typename T>
class KjRingReader {
public:
    KjRingReader(kj::UnixEventPort& port, BoundedRing<T>& ring, std::function<void(std::unique_ptr<T>)> onItem, std::function<void()> onBatchEnd)
        : ring_(ring)
        , observer_(port, ring.wake().fd(), kj::UnixEventPort::FdObserver::OBSERVE_READ)
        , onItem_(std::move(onItem))
        , onBatchEnd_(std::move(onBatchEnd))
    {
    }

    kj::Promise<void> run()
    {
        ring_.wake().clear();
        while (auto item = ring_.pop())
            onItem_(std::move(item));
        onBatchEnd_();
        return observer_.whenBecomesReadable().then([this] { return run(); });
    }

private:
    BoundedRing<T>& ring_;
    kj::UnixEventPort::FdObserver observer_;
    std::function<void(std::unique_ptr<T>)> onItem_;
    std::function<void()> onBatchEnd_;
};

} // namespace limpettrestle
