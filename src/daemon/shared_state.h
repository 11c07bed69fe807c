#pragma once

/// Queues, tables and flags that the threads of the daemon share.

#include "../process/ring.h"
#include "limpettrestle/limpettrestle.h"
#include "settings.h"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>
#include <deque>

namespace limpettrestle {

/// A caller whose thread waits for the answer.
struct PendingCaller {
    absl::Notification done;
    Answer answer;
};

/// Waiting callers by tag. Thread-safe.
class CallerTable {
public:
    /// Adds a caller and sets `tag` to its new tag.
    std::shared_ptr<PendingCaller> add(CallerTag& tag);
    /// Delivers the answer and removes the caller. Does nothing if the caller has been removed.
    void complete(CallerTag tag, Answer answer);
    void remove(CallerTag tag);
    size_t size() const;

private:
    mutable absl::Mutex mutex_;
    uint64_t lastTag_ ABSL_GUARDED_BY(mutex_) = 0;
    absl::flat_hash_map<uint64_t, std::shared_ptr<PendingCaller>> callers_ ABSL_GUARDED_BY(mutex_);
};

/// The most recent events of the timeline. Thread-safe.
class TimelineBuffer {
public:
    void add(TimelineEvent event);
    /// Copies the events, oldest first. A valid `request` selects only the events of that request.
    std::vector<TimelineEvent> copy(RequestId request) const;

private:
    mutable absl::Mutex mutex_;
    std::deque<TimelineEvent> events_ ABSL_GUARDED_BY(mutex_);
};

/// Query for the status of the node. The decision thread fills it in and notifies `done`.
struct StatusQuery {
    absl::Notification done;
    NodeStatus status;
    Body configText;
};

/// Item of the decision thread's inbox: a status query if `statusQuery` is set, otherwise an event.
struct InboxItem {
    Event event = Tick {};
    std::shared_ptr<StatusQuery> statusQuery;
};

using BackendCommand = std::variant<CallBackend, CancelBackend>;

/// State shared by all threads. Must outlive them.
struct SharedState {
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
    std::atomic<bool> isStopping { false };
    /// Counters for the metrics.
    std::atomic<uint64_t> badPeerMessages { 0 };
    std::atomic<uint64_t> ringFull { 0 };
    std::atomic<uint64_t> peerBytesOut { 0 };
    std::atomic<uint64_t> controlBytesOut { 0 };
    std::atomic<uint64_t> platformCalls { 0 };

    /// Queues an event for the decision thread. Returns false when the inbox is full.
    bool post(Event event);
};

} // namespace limpettrestle
