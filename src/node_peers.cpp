/// Handlers of peer messages, and the dissemination of gossip and configuration changes.

#include "node_p.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    /// Maximum clock skew between instances that the check for stale messages tolerates.
    constexpr Millis kClockSkewTolerance { 250 };
    /// Number of messages that carry a drain record after it has changed.
    constexpr int kDrainTransmissions = 12;
    constexpr size_t kMaxGossipDrains = 4;

} // namespace

void Node::Impl::onPeer(InstanceId from, const Probe& probe)
{
    applyGossip(from, probe.gossip);
    membership_.onProbe(from, probe);
}

void Node::Impl::onPeer(InstanceId from, const ProbeAck& ack)
{
    applyGossip(from, ack.gossip);
    membership_.onProbeAck(from, ack);
}

void Node::Impl::onPeer(InstanceId from, const ProbeRequest& request)
{
    membership_.onProbeRequest(from, request);
}

void Node::Impl::onPeer(InstanceId from, const Notice& notice)
{
    applyGossip(from, notice.gossip);
}

void Node::Impl::onPeer(InstanceId from, const ConfigNews& news)
{
    const ConfigChain::ApplyResult result = chain_.applyPeerPatch(news);
    if (result.changed)
        handleConfigResult(result);
    else if (result.isNew)
        sendPeer(from, StateRequest { chain_.stamp() });
}

void Node::Impl::onPeer(InstanceId from, const StateRequest& request)
{
    const std::vector<ConfigNews> patches = chain_.patchesSince(request.config);
    for (const ConfigNews& patch : patches)
        sendPeer(from, patch);
    StateReply reply;
    reply.stamp = chain_.stamp();
    reply.platformRevision = chain_.platformRevision();
    const bool needsText = patches.empty() && reply.stamp.version > request.config.version;
    reply.text = needsText ? chain_.current()->text : makeBody("");
    reply.drains = drains_.records();
    // The requester's own entry lets a restarted instance refute stale state of its previous run.
    for (const auto& [id, member] : membership_.members())
        reply.members.push_back(member.info);
    sendPeer(from, std::move(reply));
}

void Node::Impl::onPeer(InstanceId, const StateReply& reply)
{
    hasPeerState_ = true;
    hasMemberList_ = true;
    for (const MemberUpdate& update : reply.members)
        membership_.merge(update);
    for (const DrainRecord& record : reply.drains)
        applyDrainRecord(record);
    if (!reply.text->empty())
        handleConfigResult(chain_.applyDocument(reply.stamp, reply.text, reply.platformRevision));
}

void Node::Impl::onPeer(InstanceId from, const ExecuteBatch& batch)
{
    if (!isStale(batch.budget)) {
        owner_.onExecute(from, batch);
        return;
    }
    ExecuteResults results { batch.request, {} };
    for (const ExecuteItem& item : batch.items) {
        ExecuteItemResult result;
        result.attempt = item.attempt;
        result.shard = item.shard;
        result.replica = item.replica;
        result.code = ResultCode::StaleMessage;
        results.items.push_back(std::move(result));
    }
    sendPeer(from, std::move(results));
}

void Node::Impl::onPeer(InstanceId from, const ExecuteResults& results)
{
    coordinator_.onResults(from, results);
}

void Node::Impl::onPeer(InstanceId, const CancelBatch& cancel)
{
    owner_.onCancel(cancel);
}

void Node::Impl::onPeer(InstanceId from, const SlotRequest& request)
{
    if (isStale(request.budget))
        sendPeer(from, SlotReply { request.request, request.replica, ResultCode::StaleMessage, Micros(0), {} });
    else
        owner_.onSlotRequest(from, request);
}

void Node::Impl::onPeer(InstanceId from, const SlotReply& reply)
{
    submissions_.onSlotReply(from, reply);
}

void Node::Impl::onPeer(InstanceId from, const SlotRelease& release)
{
    owner_.onSlotRelease(from, release);
}

void Node::Impl::onPeer(InstanceId from, const SubmitForward& forward)
{
    if (isStale(forward.budget))
        sendPeer(from, SubmitOutcome { forward.request, Outcome::Unknown, ResultCode::StaleMessage, Millis(0), {} });
    else
        submissions_.onForward(from, forward);
}

void Node::Impl::onPeer(InstanceId from, const SubmitOutcome& outcome)
{
    submissions_.onOutcome(from, outcome);
}

void Node::Impl::dispatch(const PeerMessage& message)
{
    messageTime_ = message.time;
    std::visit([&](const auto& body) { onPeer(message.from, body); }, message.body);
}

bool Node::Impl::isStale(Micros budget) const
{
    const int64_t wall = std::chrono::duration_cast<Micros>(context_.clock.wallNow().time_since_epoch()).count();
    return Micros(wall - messageTime_.wallMicros) > budget + kClockSkewTolerance;
}

Gossip Node::Impl::makeGossip()
{
    Gossip gossip;
    gossip.members = membership_.takeUpdates();
    // Gossip always includes the sender's own entry.
    const bool includesSelf = std::any_of(gossip.members.begin(), gossip.members.end(), [&](const MemberUpdate& m) { return m.id == context_.self; });
    if (!includesSelf)
        gossip.members.push_back(membership_.self());
    for (DrainBroadcast& broadcast : drainBroadcasts_) {
        if (gossip.drains.size() == kMaxGossipDrains)
            break;
        --broadcast.transmissionsLeft;
        gossip.drains.push_back(broadcast.record);
    }
    std::erase_if(drainBroadcasts_, [](const DrainBroadcast& broadcast) { return broadcast.transmissionsLeft <= 0; });
    gossip.config = chain_.stamp();
    return gossip;
}

void Node::Impl::applyGossip(InstanceId from, const Gossip& gossip)
{
    bool isViewChanged = false;
    for (const MemberUpdate& update : gossip.members) {
        const bool changesView = membership_.merge(update);
        isViewChanged = isViewChanged || changesView;
        hasNoticeToSend_ = hasNoticeToSend_ || changesView;
    }
    if (isViewChanged)
        onViewChanged();
    for (const DrainRecord& record : gossip.drains)
        applyDrainRecord(record);
    if (gossip.config.version > chain_.stamp().version)
        sendPeer(from, StateRequest { chain_.stamp() });
}

void Node::Impl::applyDrainRecord(const DrainRecord& record)
{
    if (record.serving) {
        if (drains_.recordServing(record.replica, record.serverIncarnation))
            broadcastDrain(TimelineKind::ServerReturned, record);
        return;
    }
    if (!drains_.drain(record.replica, record.serverIncarnation))
        return;
    broadcastDrain(TimelineKind::ServerDrained, record);
    owner_.onDrained(record.replica);
}

void Node::Impl::broadcastDrain(TimelineKind kind, const DrainRecord& record)
{
    std::erase_if(drainBroadcasts_, [&](const DrainBroadcast& broadcast) { return broadcast.record.replica == record.replica; });
    drainBroadcasts_.push_back({ record, kDrainTransmissions });
    hasNoticeToSend_ = true;
    TimelineEvent event;
    event.kind = kind;
    const ReplicaConfig* replica = chain_.current() ? chain_.current()->findReplica(record.replica) : nullptr;
    event.subject = replica ? replica->name : "";
    event.number = record.serverIncarnation;
    context_.record(std::move(event));
}

void Node::Impl::sendNotices()
{
    if (!hasNoticeToSend_)
        return;
    hasNoticeToSend_ = false;
    for (const InstanceId peer : selectNoticePeers())
        sendPeer(peer, Notice { makeGossip() });
}

void Node::Impl::handleConfigResult(const ConfigChain::ApplyResult& result)
{
    if (!result.isNew)
        return;
    TimelineEvent event;
    event.kind = result.entry.code == ResultCode::Ok ? TimelineKind::ConfigAccepted : TimelineKind::ConfigRefused;
    event.code = result.entry.code;
    event.subject = result.entry.change;
    event.number = result.entry.stamp.version;
    context_.record(std::move(event));
    if (result.changed)
        applyConfig();
}

void Node::Impl::applyConfig()
{
    coordinator_.onConfig(chain_.current());
    owner_.onConfig(chain_.current());
    submissions_.onConfig(chain_.current());
    hasConfigToAnnounce_ = true;
}

void Node::Impl::announceConfig()
{
    if (!hasConfigToAnnounce_)
        return;
    hasConfigToAnnounce_ = false;
    const ConfigNews* latest = chain_.latestChange();
    for (const InstanceId peer : selectNoticePeers()) {
        if (latest && !latest->record.checkpoint)
            sendPeer(peer, *latest);
        else
            sendPeer(peer, Notice { makeGossip() });
    }
}

std::vector<InstanceId> Node::Impl::selectNoticePeers()
{
    std::vector<InstanceId> peers = membership_.liveZonePeers();
    std::shuffle(peers.begin(), peers.end(), context_.random);
    if (peers.size() > config::kNoticeFanout)
        peers.resize(config::kNoticeFanout);
    const std::vector<InstanceId> otherZonePeers = membership_.livePeersInOtherZones();
    if (!otherZonePeers.empty())
        peers.push_back(otherZonePeers[context_.randomBelow(otherZonePeers.size())]);
    return peers;
}

void Node::Impl::onServerDraining(ReplicaId replica, uint64_t serverIncarnation)
{
    applyDrainRecord({ replica, serverIncarnation, false });
}

void Node::Impl::onServerReturned(ReplicaId replica, uint64_t serverIncarnation)
{
    broadcastDrain(TimelineKind::ServerReturned, { replica, serverIncarnation, true });
}

} // namespace limpettrestle
