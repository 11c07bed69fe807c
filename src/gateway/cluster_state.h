#pragma once

/// Replicas of the cluster as read from the registry or from other instances. Does no I/O.

#include "../../platform/store_codec.h"
#include "../process/replica_directory.h"
#include "peer_messages.h"

#include <spdlog/logger.h>

namespace limpettrestle {

class ClusterState {
public:
    using ConfigHandler = std::function<void(RoutingDocument)>;

    /// `onRetire` is called when a replica stops accepting work, `onConfig` for each configuration in the registry.
    ClusterState(const ClockI& clock, spdlog::logger& log, ReplicaDirectory::RetireHandler onRetire, ConfigHandler onConfig);

    ReplicaDirectory& directory() { return directory_; }
    const ReplicaDirectory& directory() const { return directory_; }
    ChangeLog& changes() { return changes_; }
    const ChangeLog& changes() const { return changes_; }
    /// True once all replicas have been read, from the registry or from a reader.
    bool isComplete() const { return isComplete_; }
    /// Era of the registry from which the replicas were read; 0 when it is unknown.
    uint64_t era() const { return era_; }

    /// Forgets the part of a full read that has been received.
    void restartReading() { listedIds_.clear(); }
    /// Applies the items of one answer of the registry. `sync` is in its state after the answer; `previousAge` is the
    /// age of the cluster state before it, as read by this instance or by others.
    void applyRegistry(std::vector<platform::StoreItem> items, const RegistrySync& sync, Millis previousAge);
    /// Keeps replicas that are missing from a restored registry until they could have registered again.
    void onRegistryRestored();
    /// Returns false when the replicas of a reply belong to an earlier era than those that are known.
    bool acceptsEra(uint64_t era) const { return era == 0 || era >= era_; }
    /// Applies the replicas of another instance's reply.
    void applyPeer(const ChangesReply& reply);

private:
    void applyItem(const platform::ReplicaWritten& item);
    void applyItem(const platform::ReplicaRemoved& item);
    void applyItem(platform::ConfigWritten& item) { onConfig_(std::move(item.document)); }
    void applyItem(const platform::InvalidItem& item);
    void applyReplica(const ReplicaEntry& entry);
    void deferRemovals();

    const ClockI& clock_;
    spdlog::logger& log_;
    ConfigHandler onConfig_;
    ReplicaDirectory directory_;
    ChangeLog changes_;
    /// IDs of the replicas seen so far by the current full read of the registry.
    absl::flat_hash_set<std::string> listedIds_;
    uint64_t era_ = 0;
    bool isComplete_ = false;
};

} // namespace limpettrestle
