#pragma once

/// Replicas known from the registry, together with their health as observed by calls.

#include "../connection/rate_share.h"
#include "../connection/replica_health.h"
#include "../connection/replica_load.h"
#include "limpettrestle/routing.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <deque>
#include <functional>
#include <memory>

namespace limpettrestle {

/// One run of a replica, shared with the calls and connections that use it.
struct Replica {
    ReplicaEntry entry;
    ReplicaHealth health;
    ReplicaLoad load;
    /// Paces the calls of this instance while the replica limits its request rate.
    RateShare rate;
    /// End of the warm-up after the start, during which the replica is slow.
    TimePoint warmupUntil {};
    /// The registry lists this run of the replica.
    bool isListed = true;
    /// Another replica answered at its address, or the replica announced that it leaves.
    bool isRetired = false;
    /// The replica announced in an answer that it leaves.
    bool isLeaving = false;
    /// Number of calls that wait for a connection to the replica.
    uint32_t queued = 0;

    bool acceptsWork() const { return isListed && !isRetired && entry.state == ReplicaState::Ready; }
};

using ReplicaPtr = std::shared_ptr<Replica>;

class ReplicaDirectory {
public:
    /// Called when a replica stops accepting work.
    using RetireHandler = std::function<void(const ReplicaPtr&)>;

    explicit ReplicaDirectory(RetireHandler onRetire)
        : onRetire_(std::move(onRetire))
    {
    }

    /// Applies a report of a replica about itself. Reports older than the known one are ignored.
    void apply(const ReplicaEntry& entry, TimePoint now);
    /// Stops using a run of a replica, whatever the registry says, until the replica restarts.
    void retire(const ReplicaPtr& replica);
    /// Retires a replica that announced in an answer that it leaves. Returns false if this was known.
    bool markLeaving(const ReplicaPtr& replica);
    /// Removes a replica that the registry no longer lists, or defers the removal (see `deferRemovals()`).
    void remove(const std::string& id, TimePoint now);

    /// Applies a full read of the registry: removes all replicas that are not in `ids`.
    void retainOnly(const absl::flat_hash_set<std::string>& ids, TimePoint now);

    /// From now on, replicas that have been removed return only with a later report: the registry was restored from a
    /// copy, in which their old entries may come back.
    void onRegistryRestored(TimePoint now) { restoredAt_ = now; }
    /// Defers removals until `until` and drops those whose entry has come back by then. While the registry is
    /// unavailable, entries of live replicas may expire.
    void deferRemovals(TimePoint until) { deferUntil_ = until; }
    /// Performs the deferred removals that are due.
    void tick(TimePoint now);

    /// Returns the replicas of a service, including those that accept no work at present.
    const std::vector<ReplicaPtr>& replicasOf(const std::string& service) const;
    ReplicaPtr find(const std::string& id) const;
    size_t size() const { return byId_.size(); }
    const absl::flat_hash_map<std::string, ReplicaPtr>& all() const { return byId_; }

private:
    struct DepartedReplica {
        ReplicaPtr replica;
        TimePoint at {};
    };

    void add(const ReplicaEntry& entry, TimePoint now);
    void readmit(const ReplicaEntry& entry, TimePoint now);
    void insert(const ReplicaPtr& replica);
    void drop(const std::string& id, TimePoint now);
    void forgetDeparted(TimePoint now);

    RetireHandler onRetire_;
    absl::flat_hash_map<std::string, ReplicaPtr> byId_;
    absl::flat_hash_map<std::string, std::vector<ReplicaPtr>> byService_;
    TimePoint deferUntil_ {};
    TimePoint restoredAt_ {};
    absl::flat_hash_set<std::string> deferred_;
    /// Replicas that were removed a short time ago, by id.
    absl::flat_hash_map<std::string, DepartedReplica> departed_;
    /// IDs in the order of their removal.
    std::deque<std::pair<TimePoint, std::string>> departures_;
};

} // namespace limpettrestle
