/// Cluster state and configuration of a gateway: read from the registry or a reader, and served to followers.

#include "gateway.h"

#include <algorithm>
#include <fmt/format.h>

namespace limpettrestle {

namespace {

    /// Space for everything in a relayed request except the body.
    constexpr uint32_t kRelayHeadBytes = 64 << 10;

} // namespace

void Gateway::onRegistryItems(std::vector<platform::StoreItem> items, const RegistrySync& sync)
{
    const Millis previousAge = sourceChoice_->age(clock_.now());
    if (sync.isCaughtUp())
        sourceChoice_->registryAnswered(clock_.now());
    const bool wasComplete = state_.isComplete();
    state_.applyRegistry(std::move(items), sync, previousAge);
    follower_->setEra(state_.era());
    updateFacts();
    noteCompleteState(wasComplete);
    peerServer_->answerHeldRequests();
}

void Gateway::onRegistryAvailability(bool isAvailable, const std::string& reason)
{
    if (isAvailable) {
        log_.logger().info("event=dependency_regained name=registry");
        return;
    }
    log_.logger().warn("event=dependency_lost name=registry reason={}", reason);
    sourceChoice_->registryFailed(clock_.now());
    follower_->resetPositions();
    follower_->tick();
}

void Gateway::onRegistryEra(uint64_t era, uint64_t before)
{
    log_.logger().info("event=registry_era era={} before={}", era, before);
    if (before != 0)
        state_.onRegistryRestored();
}

void Gateway::applyConfig(RoutingDocument document, std::string_view source)
{
    const uint64_t version = document.version;
    const uint64_t before = configVersion();
    const size_t routes = document.routes.size();
    if (version <= before || !dispatcher_->activateTable(std::make_shared<const RouteTable>(std::move(document))))
        return;
    state_.changes().configChanged();
    follower_->setConfigVersion(version);
    callerServer_->setLimits(dispatcher_->table()->limits());
    IngressLimits peerLimits;
    peerLimits.maxBodyBytes = std::max(peerLimits.maxBodyBytes, dispatcher_->table()->limits().maxBodyBytes + kRelayHeadBytes);
    peerServer_->server.setLimits(peerLimits);
    log_.logger().info("event=config_in_force version={} before={} routes={} source={}", version, before, routes, source);
}

bool Gateway::onPeerReply(const ChangesReply& reply)
{
    const TimePoint now = clock_.now();
    if (isReader_)
        fleet_.recordReaderReport(reply.sender, reply.following, now);
    else
        fleet_.recordReportedSize(reply.fleet, now);
    if (reply.instances)
        instances_.recordReport(reply.sender, *reply.instances, now);
    else
        instances_.renewReport(reply.sender, now);
    if (reply.config)
        applyConfig(*reply.config, reply.sender);
    adoptQuarantines(reply);
    adoptFacts(reply);
    const bool isAccepted = reply.includesReplicas && !lacksFacts(reply) && state_.acceptsEra(reply.era) && sourceChoice_->acceptsReplicas(registryClient_->isActive(), reply.age, now);
    if (isAccepted) {
        const bool wasComplete = state_.isComplete();
        state_.applyPeer(reply);
        follower_->setEra(state_.era());
        noteCompleteState(wasComplete);
    } else if (!isReader_) {
        log_.logger().info("event=knowledge_refused reader={} age_ms={} own_age_ms={} era={} own_era={}", reply.sender, reply.age.count(), sourceChoice_->age(now).count(), reply.era, state_.era());
    }
    peerServer_->answerHeldRequests();
    return isAccepted;
}

bool Gateway::hasClusterState() const
{
    return state_.isComplete() && dispatcher_->table() != nullptr;
}

std::shared_ptr<const RouteTable> Gateway::configuration() const
{
    return dispatcher_->table();
}

ChangesReply Gateway::makeChangesReply(const ChangeSet& changes, const ChangesRequest& request) const
{
    const TimePoint now = clock_.now();
    ChangesReply reply;
    reply.upTo = changes.upTo;
    reply.isFullSnapshot = changes.isFullSnapshot;
    reply.era = state_.era();
    reply.age = sourceChoice_->age(now);
    reply.sender = settings_.name;
    reply.following = fleet_.following(now);
    reply.fleet = fleet_.size(now, isReader_);
    std::vector<InstanceInfo> instances;
    if (request.follower.name.empty())
        instances = instances_.followers(now);
    else
        instances = instances_.selectionFor(request.follower, now);
    reply.instancesDigest = digestOf(instances);
    if (reply.instancesDigest != request.instancesDigest)
        reply.instances = std::move(instances);
    for (const std::string& id : changes.written) {
        const ReplicaPtr replica = state_.directory().find(id);
        if (!replica)
            continue;
        reply.written.push_back(replica->entry);
        // The report may be old.
        reply.written.back().warmupLeft = std::max(Millis(0), std::chrono::ceil<Millis>(replica->warmup.reportedUntil() - now));
    }
    reply.removed = changes.removed;
    reply.deferred = state_.deferredRemovals();
    if (request.quarantineDigest && *request.quarantineDigest != crashLedger_.digest())
        reply.quarantines = crashLedger_.quarantines(kMaxQuarantineEntries, now);
    addFacts(request, reply);
    return reply;
}

Millis Gateway::stateAge() const
{
    return sourceChoice_->age(clock_.now());
}

} // namespace limpettrestle
