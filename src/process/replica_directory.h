#pragma once

/// Replicas known from the registry, with what calls have shown of them.

#include "../connection/replica_health.h"
#include "limpettrestle/routing.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <functional>
#include <memory>

namespace limpettrestle {

/// One run of a replica. Shared with the calls and connections that use it.
struct Replica {
    ReplicaEntry entry;
    ReplicaHealth health;
    /// Until then it is slow after its start.
    TimePoint warmUntil {};
    /// Still in the registry as ready; cleared for good when it leaves or starts again.
    bool isListed = true;
    /// Another replica answered at its address, or it said itself that it leaves.
    bool isRetired = false;
    /// Calls waiting for a connection to it.
    uint32_t queued = 0;

    bool acceptsWork() const { return isListed && !isRetired && entry.state == ReplicaState::Ready; }
};

using ReplicaPtr = std::shared_ptr<Replica>;

class ReplicaDirectory {
public:
    /// Called when a replica stops taking work.
    using LeaveHandler = std::function<void(const ReplicaPtr&)>;

    explicit ReplicaDirectory(LeaveHandler onLeave)
        : onLeave_(std::move(onLeave))
    {
    }

    /// Takes over what a replica says of itself. Older reports of the same run are ignored.
    void apply(const ReplicaEntry& entry, TimePoint now);
    /// The registry has no entry of the replica any more.
    void remove(const std::string& id, TimePoint now);

    /// Replaces everything by a full reading: replicas not named in `ids` are removed.
    void retainOnly(const absl::flat_hash_set<std::string>& ids, TimePoint now);

    /// Entries may lapse while the registry is away although their replicas live: removals seen
    /// until `until` are carried out then, unless the entry has come back.
    void deferRemovals(TimePoint until) { deferUntil_ = until; }
    /// Carries out deferred removals that are due.
    void tick(TimePoint now);

    /// Replicas of a service, also those that take no work at present.
    const std::vector<ReplicaPtr>& replicasOf(const std::string& service) const;
    ReplicaPtr find(const std::string& id) const;
    size_t size() const { return byId_.size(); }
    const absl::flat_hash_map<std::string, ReplicaPtr>& all() const { return byId_; }

private:
    void add(const ReplicaEntry& entry, TimePoint now);
    void drop(const std::string& id);

    LeaveHandler onLeave_;
    absl::flat_hash_map<std::string, ReplicaPtr> byId_;
    absl::flat_hash_map<std::string, std::vector<ReplicaPtr>> byService_;
    TimePoint deferUntil_ {};
    absl::flat_hash_set<std::string> deferred_;
};

} // namespace limpettrestle
