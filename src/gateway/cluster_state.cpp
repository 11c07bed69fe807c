#include "cluster_state.h"

#include "../process/cold_replicas.h"

#include <absl/strings/escaping.h>
#include <algorithm>
#include <random>

namespace limpettrestle {

namespace {

    /// Source of the facts that were read from the registry.
    constexpr std::string_view kRegistrySource = "registry";

} // namespace

ClusterState::ClusterState(const ClockI& clock, spdlog::logger& log, ReplicaDirectory::RetireHandler onRetire, ConfigHandler onConfig)
    : clock_(clock)
    , log_(log)
    , onConfig_(std::move(onConfig))
    , directory_([this, onRetire = std::move(onRetire)](const ReplicaPtr& replica) {
        onRetire(replica);
        if (replica->isListed)
            return;
        deferredElsewhere_.erase(replica->entry.id);
        changes_.replicaRemoved(replica->entry.id);
    })
    , changes_(static_cast<uint64_t>(std::random_device {}()) << 16 | 1)
{
}

void ClusterState::restartReading()
{
    listedIds_.clear();
    listedZones_.clear();
}

void ClusterState::onRegistryRestored()
{
    keepEvacuationsUntil_ = RegistryFreshness::registeredAgainAt(clock_.now());
    directory_.onRegistryRestored(clock_.now());
    directory_.deferRemovals(keepEvacuationsUntil_);
}

void ClusterState::applyRegistry(std::vector<platform::StoreItem> items, const RegistrySync& sync, Millis previousAge)
{
    if (const auto until = sync.freshness().removalsWaitUntil(clock_.now() - previousAge))
        directory_.deferRemovals(*until);
    if (sync.hasStartedFullRead())
        restartReading();
    readEra_ = sync.era();
    for (platform::StoreItem& item : items)
        std::visit([this](auto& entry) { applyItem(entry); }, item);
    if (!sync.hasCompletedFullRead())
        return;
    directory_.retainOnly(listedIds_, clock_.now());
    endUnlistedEvacuations(sync);
    restartReading();
    era_ = std::max(era_, sync.era());
    isComplete_ = true;
    hasFacts_ = true;
}

void ClusterState::applyItem(const platform::ReplicaWritten& item)
{
    listedIds_.insert(item.entry.id);
    applyReplica(item.entry, ReplicaSource::Registry);
}

void ClusterState::applyItem(const platform::ReplicaRemoved& item)
{
    if (directory_.find(item.id))
        log_.info("event=replica id={} state=removed", item.id);
    listedIds_.erase(item.id);
    directory_.remove(item.id, clock_.now());
}

void ClusterState::applyItem(const platform::ZoneEvacuated& item)
{
    listedZones_.insert(item.zone);
    mergeEvacuation(item.zone, true, { readEra_, item.revision });
}

void ClusterState::applyItem(const platform::ZoneRestored& item)
{
    listedZones_.erase(item.zone);
    mergeEvacuation(item.zone, false, { readEra_, item.revision });
}

void ClusterState::endUnlistedEvacuations(const RegistrySync& sync)
{
    missingEvacuations_.clear();
    const FactVersion version { sync.era(), sync.revision() };
    for (const SharedFact& fact : evacuatedZones()) {
        if (listedZones_.contains(fact.subject))
            continue;
        if (fact.version.era < version.era && clock_.now() < keepEvacuationsUntil_)
            missingEvacuations_[fact.subject] = version;
        else
            mergeEvacuation(fact.subject, false, version);
    }
}

void ClusterState::tick()
{
    directory_.tick(clock_.now());
    for (const ReplicaEntry& entry : directory_.takeDueReadmissions(clock_.now()))
        applyReplica(entry, ReplicaSource::Registry);
    facts_.expire(clock_.now());
    for (const SharedFact& fact : coldReplicaFacts(directory_, clock_.now()))
        mergeFact(fact, "");
    if (missingEvacuations_.empty() || clock_.now() < keepEvacuationsUntil_)
        return;
    const absl::flat_hash_map<std::string, FactVersion> due = std::move(missingEvacuations_);
    missingEvacuations_.clear();
    for (const auto& [zone, version] : due)
        mergeEvacuation(zone, false, version);
}

void ClusterState::mergeEvacuation(const std::string& zone, bool holds, FactVersion version)
{
    mergeFact({ FactKind::ZoneEvacuated, zone, holds, version, std::string(kRegistrySource), clock_.now() }, "");
}

void ClusterState::mergeFact(const SharedFact& fact, const std::string& sender)
{
    if (!facts_.merge(fact, clock_.now()))
        return;
    changes_.factsChanged();
    if (fact.kind == FactKind::ReplicaCold) {
        applyColdReplicaFacts({ fact }, directory_, clock_.now());
        return;
    }
    const Millis age = std::chrono::duration_cast<Millis>(clock_.now() - fact.learnedAt);
    log_.info("event={} zone={} source={} sender={} version={}.{} age_ms={}", fact.holds ? "zone_evacuated" : "zone_restored", fact.subject, fact.source, sender, fact.version.era, fact.version.number, age.count());
    updateEvacuatedZones();
}

void ClusterState::applyFacts(const std::vector<FactEntry>& entries, const std::string& sender)
{
    hasFacts_ = true;
    for (const FactEntry& entry : entries)
        mergeFact(toFact(entry, clock_.now()), sender);
}

std::vector<SharedFact> ClusterState::evacuatedZones() const
{
    std::vector<SharedFact> zones = facts_.ofKind(FactKind::ZoneEvacuated);
    std::erase_if(zones, [](const SharedFact& fact) { return !fact.holds; });
    return zones;
}

void ClusterState::updateEvacuatedZones()
{
    absl::flat_hash_set<std::string> zones;
    for (const SharedFact& fact : evacuatedZones())
        zones.insert(fact.subject);
    directory_.setEvacuatedZones(std::move(zones));
}

void ClusterState::applyItem(const platform::InvalidItem& item)
{
    log_.warn("event=registry_item_refused key={} problem=\"{}\"", absl::Utf8SafeCHexEscape(item.key), absl::Utf8SafeCHexEscape(item.problem));
    if (item.replicaId.empty())
        return;
    listedIds_.erase(item.replicaId);
    directory_.remove(item.replicaId, clock_.now());
}

void ClusterState::applyReplica(const ReplicaEntry& entry, ReplicaSource source)
{
    // Instances that did not use the replica while its removal was deferred must learn that it is back.
    const bool wasDeferred = directory_.isRemovalDeferred(entry.id) || deferredElsewhere_.erase(entry.id) != 0;
    const ReplicaPtr before = directory_.find(entry.id);
    const ReplicaState previousState = before ? before->entry.state : ReplicaState::Ready;
    const bool hasWarmupChanged = directory_.apply(entry, clock_.now(), source);
    const ReplicaPtr after = directory_.find(entry.id);
    if (!after) {
        log_.info("event=replica id={} service={} state=not_readmitted born={} seq={}", entry.id, entry.service, entry.startedAt, entry.sequence);
        return;
    }
    const bool isSameState = before == after && after->entry.state == previousState;
    const bool isBack = wasDeferred && !directory_.isRemovalDeferred(entry.id);
    if (!isSameState || hasWarmupChanged || isBack)
        changes_.replicaWritten(entry.id);
    if (isComplete_ && !isSameState)
        log_.info("event=replica id={} service={} state={} born={} seq={}", entry.id, entry.service, name(entry.state), entry.startedAt, entry.sequence);
}

void ClusterState::applyPeerReplica(const ReplicaEntry& entry, bool isDeferred)
{
    if (!isDeferred) {
        applyReplica(entry, ReplicaSource::Instance);
        return;
    }
    if (directory_.hasDeparted(entry.id) || directory_.isRemovalDeferred(entry.id))
        return;
    applyReplica(entry, ReplicaSource::Instance);
    if (directory_.find(entry.id))
        deferredElsewhere_.insert(entry.id);
}

std::vector<std::string> ClusterState::deferredRemovals() const
{
    std::vector<std::string> ids = directory_.deferredRemovals();
    for (const std::string& id : deferredElsewhere_) {
        if (!directory_.isRemovalDeferred(id))
            ids.push_back(id);
    }
    return ids;
}

void ClusterState::applyPeer(const ChangesReply& reply)
{
    const absl::flat_hash_set<std::string> deferred(reply.deferred.begin(), reply.deferred.end());
    if (era_ != 0 && reply.era > era_)
        onRegistryRestored();
    era_ = std::max(era_, reply.era);
    for (const ReplicaEntry& entry : reply.written)
        applyPeerReplica(entry, deferred.contains(entry.id));
    for (const std::string& id : reply.removed) {
        if (isComplete_ && directory_.find(id))
            log_.info("event=replica id={} state=removed reader={}", id, reply.sender);
        // The sender has read the removal, unlike the lack of a replica in its list, which may be older than the replica.
        directory_.remove(id, clock_.now(), ReplicaSource::Registry);
    }
    if (!reply.isFullSnapshot)
        return;
    absl::flat_hash_set<std::string> listedIds;
    for (const ReplicaEntry& entry : reply.written)
        listedIds.insert(entry.id);
    directory_.retainOnly(listedIds, clock_.now(), ReplicaSource::Instance);
    isComplete_ = true;
}

} // namespace limpettrestle
