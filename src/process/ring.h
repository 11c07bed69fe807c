#pragma once

/// Bounded ring between two duties, with a wake-up that a poll or an event loop can wait on.

#include <atomic>
#include <boost/lockfree/queue.hpp>
#include <memory>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace limpettrestle {

/// Wakes a thread that waits on a file descriptor.
class WakeUp {
public:
    WakeUp()
        : fd_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
    {
    }
    ~WakeUp() { close(fd_); }
    WakeUp(const WakeUp&) = delete;
    WakeUp& operator=(const WakeUp&) = delete;

    int fd() const { return fd_; }

    void signal()
    {
        if (isSignalled_.exchange(true))
            return;
        const uint64_t one = 1;
        [[maybe_unused]] const ssize_t written = write(fd_, &one, sizeof(one));
    }

    /// Must be called before the ring is emptied.
    void clear()
    {
        uint64_t count = 0;
        [[maybe_unused]] const ssize_t read = ::read(fd_, &count, sizeof(count));
        isSignalled_.store(false);
    }

    /// Waits until signalled or until `timeoutMs` have passed.
    void wait(int timeoutMs)
    {
        pollfd entry { fd_, POLLIN, 0 };
        poll(&entry, 1, timeoutMs);
    }

private:
    int fd_;
    std::atomic<bool> isSignalled_ { false };
};

/// Ring of owned items for any number of writers and readers. `push` fails when it is full.
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

    /// Takes the item over only when it returns true.
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

    WakeUp& wake() { return wake_; }
    size_t size() const { return size_.load(); }

private:
    const size_t capacity_;
    std::atomic<size_t> size_ { 0 };
    boost::lockfree::queue<T*> queue_;
    WakeUp wake_;
};

} // namespace limpettrestle
