#pragma once

/// Rings and tables that join the daemon's threads.

#include "../process/ring.h"
#include "limpettrestle/limpettrestle.h"
#include "settings.h"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>
#include <deque>

namespace limpettrestle {

/// A caller that waits for its answer.
struct PendingCaller {
    absl::Notification done;
    Answer answer;
};

/// Callers that wait, by tag.
class CallerTable {
public:
    std::shared_ptr<PendingCaller> add(CallerTag& tag);
    void complete(CallerTag tag, Answer answer);
    void remove(CallerTag tag);
    size_t size() const;

private:
    mutable absl::Mutex mutex_;
    uint64_t last_ ABSL_GUARDED_BY(mutex_) = 0;
    absl::flat_hash_map<uint64_t, std::shared_ptr<PendingCaller>> callers_ ABSL_GUARDED_BY(mutex_);
};

/// Last entries of the time line.
class TimelineBuffer {
public:
    void add(TimelineEvent event);
    /// Copies the entries, oldest first; only those of one request when it is valid.
    std::vector<TimelineEvent> copy(RequestId request) const;

private:
    mutable absl::Mutex mutex_;
    std::deque<TimelineEvent> events_ ABSL_GUARDED_BY(mutex_);
};

/// Status of the node, taken in the decision thread.
struct StatusQuery {
    absl::Notification done;
    NodeStatus status;
    Body configText;
};

/// Item of the decision thread's inbox.
struct InboxItem {
    Event event = Tick {};
    std::shared_ptr<StatusQuery> status;
};

using BackendCommand = std::variant<CallBackend, CancelBackend>;

/// Everything that the threads share. Outlives all of them.
struct Hub {
    static constexpr size_t kInboxCapacity = 32768;
    static constexpr size_t kOutboxCapacity = 32768;

    BoundedRing<InboxItem> inbox { kInboxCapacity };
    BoundedRing<BackendCommand> backendCommands { kOutboxCapacity };
    BoundedRing<SendPeer> peerMessages { kOutboxCapacity };
    BoundedRing<ReadPlatform> platformReads { 64 };
    CallerTable callers;
    TimelineBuffer timeline;
    std::atomic<bool> isReady { false };
    std::atomic<Phase> phase { Phase::Starting };
    std::atomic<bool> stop { false };
    std::atomic<uint64_t> badPeerMessages { 0 };
    std::atomic<uint64_t> ringFull { 0 };
    std::atomic<uint64_t> peerBytesOut { 0 };
    std::atomic<uint64_t> controlBytesOut { 0 };
    std::atomic<uint64_t> platformCalls { 0 };

    /// Hands an event to the decision thread; false when its ring is full.
    bool post(Event event);
};

} // namespace limpettrestle
