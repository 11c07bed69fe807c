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
    /// Facts that instances share, such as evacuated zones.
    const SharedFacts& facts() const { return facts_; }
    /// True once all facts of the registry have been read, from the registry or from a reader.
    bool hasFacts() const { return hasFacts_; }
    /// Returns the facts of the zones that are evacuated at present, sorted by zone.
    std::vector<SharedFact> evacuatedZones() const;

    /// Forgets the part of a full read that has been received.
    void restartReading();
    /// Applies the items of one answer of the registry. `sync` is in its state after the answer; `previousAge` is the
    /// age of the cluster state before it, as read by this instance or by others.
    void applyRegistry(std::vector<platform::StoreItem> items, const RegistrySync& sync, Millis previousAge);
    /// Keeps replicas that are missing from a restored registry until they could have registered again.
    void onRegistryRestored();
    /// Returns false when the replicas of a reply belong to an earlier era than those that are known.
    bool acceptsEra(uint64_t era) const { return era == 0 || era >= era_; }
    /// Applies the replicas of another instance's reply.
    void applyPeer(const ChangesReply& reply);
    /// Applies the shared facts of another instance's reply, whatever the age of its replicas.
    void applyFacts(const std::vector<FactEntry>& entries, const std::string& sender);
    /// Returns the replicas that are used only because their removal is deferred, here or at the instance that listed them.
    std::vector<std::string> deferredRemovals() const;
    /// Performs what was deferred and is due. Must be called periodically.
    void tick();

private:
    void applyItem(const platform::ReplicaWritten& item);
    void applyItem(const platform::ReplicaRemoved& item);
    void applyItem(platform::ConfigWritten& item) { onConfig_(std::move(item.document)); }
    void applyItem(const platform::ZoneEvacuated& item);
    void applyItem(const platform::ZoneRestored& item);
    void applyItem(const platform::InvalidItem& item);
    void applyReplica(const ReplicaEntry& entry, ReplicaSource source);
    /// Applies an entry of another instance's reply. `isDeferred`: that instance has deferred its removal.
    void applyPeerReplica(const ReplicaEntry& entry, bool isDeferred);
    /// Ends the evacuations that the full read which has just been completed does not list.
    void endUnlistedEvacuations(const RegistrySync& sync);
    void mergeEvacuation(const std::string& zone, bool holds, FactVersion version);
    /// `sender`: the instance that has sent the fact; empty when this one has read it.
    void mergeFact(const SharedFact& fact, const std::string& sender);
    void updateEvacuatedZones();

    const ClockI& clock_;
    spdlog::logger& log_;
    ConfigHandler onConfig_;
    ReplicaDirectory directory_;
    ChangeLog changes_;
    /// Replicas whose removal is deferred at the instance that listed them.
    absl::flat_hash_set<std::string> deferredElsewhere_;
    /// IDs of the replicas seen so far by the current full read of the registry.
    absl::flat_hash_set<std::string> listedIds_;
    /// Evacuated zones seen so far by the current full read of the registry.
    absl::flat_hash_set<std::string> listedZones_;
    /// Evacuations that a restored registry does not list, with the version that ends them.
    absl::flat_hash_map<std::string, FactVersion> missingEvacuations_;
    /// Until this time, evacuations that a restored registry does not list stay in force.
    TimePoint keepEvacuationsUntil_ {};
    SharedFacts facts_;
    bool hasFacts_ = false;
    uint64_t era_ = 0;
    /// Highest era of the registry's answers, also during the first full read of an era.
    uint64_t readEra_ = 0;
    bool isComplete_ = false;
};

} // namespace limpettrestle
