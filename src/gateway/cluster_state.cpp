#include "cluster_state.h"

#include <algorithm>
#include <random>

namespace limpettrestle {

namespace {

    /// Replicas whose entries expired during an outage of the registry, or are missing from its copy, register again
    /// within this time after it.
    constexpr Millis kReregistrationTime { 2000 };
    /// No entry expires in a shorter outage: replicas report about every 1.2 s, and entries last for three reports.
    constexpr Millis kMinOutageWithExpiry { 2000 };

} // namespace

ClusterState::ClusterState(const ClockI& clock, spdlog::logger& log, ReplicaDirectory::RetireHandler onRetire, ConfigHandler onConfig)
    : clock_(clock)
    , log_(log)
    , onConfig_(std::move(onConfig))
    , directory_([this, onRetire = std::move(onRetire)](const ReplicaPtr& replica) {
        onRetire(replica);
        if (!replica->isListed)
            changes_.replicaRemoved(replica->entry.id);
    })
    , changes_(static_cast<uint64_t>(std::random_device {}()) << 16 | 1)
{
}

void ClusterState::deferRemovals()
{
    directory_.deferRemovals(clock_.now() + kReregistrationTime);
}

void ClusterState::onRegistryRestored()
{
    directory_.onRegistryRestored(clock_.now());
    deferRemovals();
}

void ClusterState::applyRegistry(std::vector<platform::StoreItem> items, const RegistrySync& sync, Millis previousAge)
{
    // If others have read the registry in the meantime, it was unavailable only to this instance, and the removals are
    // those of replicas that left.
    if (sync.hasRecovered() && previousAge >= kMinOutageWithExpiry)
        deferRemovals();
    if (sync.hasStartedFullRead())
        listedIds_.clear();
    for (platform::StoreItem& item : items)
        std::visit([this](auto& entry) { applyItem(entry); }, item);
    if (!sync.hasCompletedFullRead())
        return;
    directory_.retainOnly(listedIds_, clock_.now());
    listedIds_.clear();
    era_ = std::max(era_, sync.era());
    isComplete_ = true;
}

void ClusterState::applyItem(const platform::ReplicaWritten& item)
{
    listedIds_.insert(item.entry.id);
    applyReplica(item.entry);
}

void ClusterState::applyItem(const platform::ReplicaRemoved& item)
{
    if (directory_.find(item.id))
        log_.info("event=replica id={} state=removed", item.id);
    listedIds_.erase(item.id);
    directory_.remove(item.id, clock_.now());
}

void ClusterState::applyItem(const platform::InvalidItem& item)
{
    log_.warn("event=registry_item_refused key={} problem=\"{}\"", item.key, item.problem);
    if (item.replicaId.empty())
        return;
    listedIds_.erase(item.replicaId);
    directory_.remove(item.replicaId, clock_.now());
}

void ClusterState::applyReplica(const ReplicaEntry& entry)
{
    const ReplicaPtr before = directory_.find(entry.id);
    const ReplicaState previousState = before ? before->entry.state : ReplicaState::Ready;
    const bool hasWarmupChanged = directory_.apply(entry, clock_.now());
    const ReplicaPtr after = directory_.find(entry.id);
    if (!after) {
        log_.info("event=replica id={} service={} state=not_readmitted born={} seq={}", entry.id, entry.service, entry.startedAt, entry.sequence);
        return;
    }
    const bool isSameState = before == after && after->entry.state == previousState;
    if (!isSameState || hasWarmupChanged)
        changes_.replicaWritten(entry.id);
    if (isComplete_ && !isSameState)
        log_.info("event=replica id={} service={} state={} born={} seq={}", entry.id, entry.service, name(entry.state), entry.startedAt, entry.sequence);
}

void ClusterState::applyPeer(const ChangesReply& reply)
{
    if (era_ != 0 && reply.era > era_)
        onRegistryRestored();
    era_ = std::max(era_, reply.era);
    for (const ReplicaEntry& entry : reply.written)
        applyReplica(entry);
    for (const std::string& id : reply.removed) {
        if (isComplete_ && directory_.find(id))
            log_.info("event=replica id={} state=removed reader={}", id, reply.sender);
        directory_.remove(id, clock_.now());
    }
    if (!reply.isFullSnapshot)
        return;
    absl::flat_hash_set<std::string> listedIds;
    for (const ReplicaEntry& entry : reply.written)
        listedIds.insert(entry.id);
    directory_.retainOnly(listedIds, clock_.now());
    isComplete_ = true;
}

} // namespace limpettrestle
