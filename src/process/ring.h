#pragma once

/// Bounded queue between threads, with a wake-up event that poll() or an event loop can wait for.

#include <atomic>
#include <boost/lockfree/queue.hpp>
#include <memory>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace limpettrestle {

/// Wakes a thread that waits on a file descriptor (eventfd).
class WakeEvent {
public:
    WakeEvent()
        : fd_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
    {
    }
    ~WakeEvent() { close(fd_); }
    WakeEvent(const WakeEvent&) = delete;
    WakeEvent& operator=(const WakeEvent&) = delete;

    int fd() const { return fd_; }

    void signal()
    {
        if (isSignalled_.exchange(true))
            return;
        const uint64_t one = 1;
        [[maybe_unused]] const ssize_t written = write(fd_, &one, sizeof(one));
    }

    /// Must be called before the queue is emptied; otherwise a signal for an item pushed in between is lost.
    void clear()
    {
        uint64_t count = 0;
        [[maybe_unused]] const ssize_t read = ::read(fd_, &count, sizeof(count));
        isSignalled_.store(false);
    }

    /// Blocks until signalled or until `timeoutMs` milliseconds have passed.
    void wait(int timeoutMs)
    {
        pollfd entry { fd_, POLLIN, 0 };
        poll(&entry, 1, timeoutMs);
    }

private:
    int fd_;
    std::atomic<bool> isSignalled_ { false };
};

/// Lock-free queue of owned items for any number of writers and readers.
template <typename T>
class BoundedRing {
public:
    explicit BoundedRing(size_t capacity)
        : capacity_(capacity)
        , queue_(capacity)
    {
    }
    ~BoundedRing()
    {
        while (pop()) { }
    }
    BoundedRing(const BoundedRing&) = delete;
    BoundedRing& operator=(const BoundedRing&) = delete;

    /// Takes ownership of the item and returns true, or returns false and leaves it when the queue is full.
    bool push(std::unique_ptr<T>& item)
    {
        if (size_.fetch_add(1) >= capacity_ || !queue_.bounded_push(item.get())) {
            size_.fetch_sub(1);
            return false;
        }
        item.release();
        wake_.signal();
        return true;
    }

    std::unique_ptr<T> pop()
    {
        T* item = nullptr;
        if (!queue_.pop(item))
            return nullptr;
        size_.fetch_sub(1);
        return std::unique_ptr<T>(item);
    }

    WakeEvent& wake() { return wake_; }
    size_t size() const { return size_.load(); }

private:
    const size_t capacity_;
    std::atomic<size_t> size_ { 0 };
    boost::lockfree::queue<T*> queue_;
    WakeEvent wake_;
};

} // namespace limpettrestle
