#pragma once

/// Replicas known from the registry, together with their health as observed by calls.

#include "../connection/rate_share.h"
#include "../connection/replica_health.h"
#include "../connection/replica_load.h"
#include "limpettrestle/routing.h"
#include "warmup.h"

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
    /// Paces the calls of this instance while the replica limits its request rate or is cold.
    RateShare rate;
    /// Time for which the replica is cold.
    Warmup warmup;
    /// The registry lists this run of the replica.
    bool isListed = true;
    /// Another replica answered at its address, or the replica announced that it leaves.
    bool isRetired = false;
    /// The replica announced in an answer that it leaves.
    bool isLeaving = false;
    /// The operator has evacuated the zone of the replica.
    bool isEvacuated = false;
    /// Number of calls that wait for a connection to the replica.
    uint32_t queued = 0;

    bool acceptsWork() const { return isListed && !isRetired && !isEvacuated && entry.state == ReplicaState::Ready; }
};

using ReplicaPtr = std::shared_ptr<Replica>;

/// Origin of what is known about a replica.
enum class ReplicaSource : uint8_t {
    /// An answer of the registry, to this instance or to another one that passed on a single change of it.
    Registry,
    /// A reply of another instance, whose state may be older or keep replicas whose removal is deferred.
    Instance,
};

class ReplicaDirectory {
public:
    /// Called when a replica stops accepting work.
    using RetireHandler = std::function<void(const ReplicaPtr&)>;
    /// Called when a warm-up begins or is prolonged.
    using ColdHandler = std::function<void(const ReplicaPtr&)>;

    explicit ReplicaDirectory(RetireHandler onRetire)
        : onRetire_(std::move(onRetire))
    {
    }

    void setColdHandler(ColdHandler onCold) { onCold_ = std::move(onCold); }

    /// Applies a report of a replica about itself. Reports older than the known one are ignored. Returns true when its
    /// warm-up has changed so that other instances must receive the report; see `Warmup::recordReport()`. A replica whose
    /// removal was read from the registry is not used again on another instance's word without a later
    /// report, unless its removal is not repeated for some time; see `takeDueReadmissions()`.
    bool apply(const ReplicaEntry& entry, TimePoint now, ReplicaSource source = ReplicaSource::Registry);
    /// Records the remaining warm-up time in a reply of the replica.
    void noteReply(const ReplicaPtr& replica, Millis warmupLeft, TimePoint now);
    /// Records the end of a warm-up that another instance has learned from a reply.
    void noteObservedWarmup(const ReplicaPtr& replica, TimePoint end, TimePoint now);
    /// Stops using a run of a replica, whatever the registry says, until the replica restarts.
    void retire(const ReplicaPtr& replica);
    /// Retires a replica that announced in an answer that it leaves. Returns false if this was known.
    bool markLeaving(const ReplicaPtr& replica);
    /// Sets the zones whose replicas, present and future ones, accept no work because the operator has evacuated them.
    void setEvacuatedZones(absl::flat_hash_set<std::string> zones);
    const absl::flat_hash_set<std::string>& evacuatedZones() const { return evacuatedZones_; }
    /// Removes a replica that the registry no longer lists, or defers the removal (see `deferRemovals()`).
    void remove(const std::string& id, TimePoint now, ReplicaSource source = ReplicaSource::Registry);

    /// Applies a full list of replicas: removes all replicas that are not in `ids`.
    void retainOnly(const absl::flat_hash_set<std::string>& ids, TimePoint now, ReplicaSource source = ReplicaSource::Registry);

    /// From now on, replicas that have been removed return only with a later report: the registry was restored from a
    /// copy, in which their old entries may come back.
    void onRegistryRestored(TimePoint now) { restoredAt_ = now; }
    /// Defers removals until `until` and drops those whose entry has come back by then. While the registry is
    /// unavailable, entries of live replicas may expire.
    void deferRemovals(TimePoint until) { deferUntil_ = until; }
    /// Performs the deferred removals that are due.
    void tick(TimePoint now);
    /// True while the removal of a replica is deferred.
    bool isRemovalDeferred(const std::string& id) const { return deferred_.contains(id); }
    /// Returns the replicas whose removal is deferred.
    std::vector<std::string> deferredRemovals() const;
    /// True when the replica was removed a short time ago and has not returned.
    bool hasDeparted(const std::string& id) const { return departed_.contains(id); }
    /// Returns the entries that were not readmitted and that no instance has removed since; they can be applied now.
    std::vector<ReplicaEntry> takeDueReadmissions(TimePoint now);

    /// Returns the replicas of a service, including those that accept no work at present.
    const std::vector<ReplicaPtr>& replicasOf(const std::string& service) const;
    ReplicaPtr find(const std::string& id) const;
    size_t size() const { return byId_.size(); }
    const absl::flat_hash_map<std::string, ReplicaPtr>& all() const { return byId_; }

private:
    struct DepartedReplica {
        ReplicaPtr replica;
        TimePoint at {};
        ReplicaSource source = ReplicaSource::Registry;
    };

    /// Entry of a removed replica that another instance has listed.
    struct HeldEntry {
        ReplicaEntry entry;
        TimePoint until {};
    };

    void add(const ReplicaEntry& entry, TimePoint now);
    bool recordWarmup(const ReplicaPtr& replica, TimePoint now);
    void notifyIfProlonged(const ReplicaPtr& replica, TimePoint before, TimePoint now);
    void readmit(const ReplicaEntry& entry, TimePoint now, ReplicaSource source);
    void endDeferral(const ReplicaEntry& entry, ReplicaSource source);
    void insert(const ReplicaPtr& replica);
    void drop(const std::string& id, TimePoint now, ReplicaSource source);
    void forgetDeparted(TimePoint now);

    RetireHandler onRetire_;
    absl::flat_hash_set<std::string> evacuatedZones_;
    ColdHandler onCold_;
    absl::flat_hash_map<std::string, ReplicaPtr> byId_;
    absl::flat_hash_map<std::string, std::vector<ReplicaPtr>> byService_;
    TimePoint deferUntil_ {};
    TimePoint restoredAt_ {};
    /// Replicas whose removal is deferred, with its source.
    absl::flat_hash_map<std::string, ReplicaSource> deferred_;
    absl::flat_hash_map<std::string, HeldEntry> held_;
    /// Replicas that were removed a short time ago, by id.
    absl::flat_hash_map<std::string, DepartedReplica> departed_;
    /// IDs in the order of their removal.
    std::deque<std::pair<TimePoint, std::string>> departures_;
};

} // namespace limpettrestle
