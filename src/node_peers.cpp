/// What a node does with the messages of its peers, and the news it sends on.

#include "node_p.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    /// Clock difference between instances up to which message ages are trusted.
    constexpr Millis kSkewTolerance { 250 };
    constexpr int kDrainSpread = 12;
    constexpr size_t kGossipDrains = 4;

} // namespace

void Node::Impl::onPeer(InstanceId from, const Probe& probe)
{
    takeGossip(from, probe.gossip);
    membership_.onProbe(from, probe);
}

void Node::Impl::onPeer(InstanceId from, const ProbeAck& ack)
{
    takeGossip(from, ack.gossip);
    membership_.onProbeAck(from, ack);
}

void Node::Impl::onPeer(InstanceId from, const ProbeRequest& request)
{
    membership_.onProbeRequest(from, request);
}

void Node::Impl::onPeer(InstanceId from, const Notice& notice)
{
    takeGossip(from, notice.gossip);
}

void Node::Impl::onPeer(InstanceId from, const ConfigNews& news)
{
    const ConfigChain::Step step = chain_.takeNews(news);
    if (step.changed)
        takeConfigStep(step);
    else if (step.wasNews)
        sendPeer(from, StateRequest { chain_.stamp() });
}

void Node::Impl::onPeer(InstanceId from, const StateRequest& request)
{
    const std::vector<ConfigNews> news = chain_.newsSince(request.config);
    for (const ConfigNews& entry : news)
        sendPeer(from, entry);
    StateReply reply;
    reply.stamp = chain_.stamp();
    reply.platformRevision = chain_.platformRevision();
    const bool needsText = news.empty() && reply.stamp.version > request.config.version;
    reply.text = needsText ? chain_.current()->text : makeBody("");
    reply.drains = drains_.records();
    // The asker's own entry lets a restarted instance refute what is believed of its earlier run.
    for (const auto& [id, member] : membership_.members())
        reply.members.push_back(member.info);
    sendPeer(from, std::move(reply));
}

void Node::Impl::onPeer(InstanceId, const StateReply& reply)
{
    heardState_ = true;
    knowsMembers_ = true;
    for (const MemberUpdate& update : reply.members)
        membership_.merge(update);
    for (const DrainRecord& record : reply.drains)
        takeDrain(record);
    if (!reply.text->empty())
        takeConfigStep(chain_.takeDocument(reply.stamp, reply.text, reply.platformRevision));
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
    return Micros(wall - messageTime_.wallMicros) > budget + kSkewTolerance;
}

Gossip Node::Impl::makeGossip()
{
    Gossip gossip;
    gossip.members = membership_.takeNews();
    // An instance always speaks for itself.
    const bool namesSelf = std::any_of(gossip.members.begin(), gossip.members.end(), [&](const MemberUpdate& m) { return m.id == context_.self; });
    if (!namesSelf)
        gossip.members.push_back(membership_.self());
    for (DrainNews& news : drainNews_) {
        if (gossip.drains.size() == kGossipDrains)
            break;
        --news.spread;
        gossip.drains.push_back(news.record);
    }
    std::erase_if(drainNews_, [](const DrainNews& news) { return news.spread <= 0; });
    gossip.config = chain_.stamp();
    return gossip;
}

void Node::Impl::takeGossip(InstanceId from, const Gossip& gossip)
{
    bool viewChanged = false;
    for (const MemberUpdate& update : gossip.members) {
        const bool left = membership_.merge(update);
        viewChanged = viewChanged || left;
        noticeToSend_ = noticeToSend_ || left;
    }
    if (viewChanged)
        onViewChanged();
    for (const DrainRecord& record : gossip.drains)
        takeDrain(record);
    if (gossip.config.version > chain_.stamp().version)
        sendPeer(from, StateRequest { chain_.stamp() });
}

void Node::Impl::takeDrain(const DrainRecord& record)
{
    if (record.serving) {
        if (drains_.noteServing(record.replica, record.serverIncarnation))
            spreadDrain(TimelineKind::ServerReturned, record);
        return;
    }
    if (!drains_.drain(record.replica, record.serverIncarnation))
        return;
    spreadDrain(TimelineKind::ServerDrained, record);
    owner_.onDrained(record.replica);
}

void Node::Impl::spreadDrain(TimelineKind kind, const DrainRecord& record)
{
    std::erase_if(drainNews_, [&](const DrainNews& news) { return news.record.replica == record.replica; });
    drainNews_.push_back({ record, kDrainSpread });
    noticeToSend_ = true;
    TimelineEvent event;
    event.kind = kind;
    const ReplicaConfig* replica = chain_.current() ? chain_.current()->findReplica(record.replica) : nullptr;
    event.subject = replica ? replica->name : "";
    event.number = record.serverIncarnation;
    context_.record(std::move(event));
}

void Node::Impl::sendNotices()
{
    if (!noticeToSend_)
        return;
    noticeToSend_ = false;
    for (const InstanceId peer : pickNoticePeers())
        sendPeer(peer, Notice { makeGossip() });
}

void Node::Impl::takeConfigStep(const ConfigChain::Step& step)
{
    if (!step.wasNews)
        return;
    TimelineEvent event;
    event.kind = step.entry.code == ResultCode::Ok ? TimelineKind::ConfigAccepted : TimelineKind::ConfigRefused;
    event.code = step.entry.code;
    event.subject = step.entry.change;
    event.number = step.entry.stamp.version;
    context_.record(std::move(event));
    if (step.changed)
        adoptConfig();
}

void Node::Impl::adoptConfig()
{
    coordinator_.onConfig(chain_.current());
    owner_.onConfig(chain_.current());
    submissions_.onConfig(chain_.current());
    newsToSend_ = true;
}

void Node::Impl::sendConfigNews()
{
    if (!newsToSend_)
        return;
    newsToSend_ = false;
    const ConfigNews* newest = chain_.newest();
    for (const InstanceId peer : pickNoticePeers()) {
        if (newest && !newest->record.checkpoint)
            sendPeer(peer, *newest);
        else
            sendPeer(peer, Notice { makeGossip() });
    }
}

std::vector<InstanceId> Node::Impl::pickNoticePeers()
{
    std::vector<InstanceId> peers = membership_.liveZonePeers();
    std::shuffle(peers.begin(), peers.end(), context_.random);
    if (peers.size() > config::kNoticeFanout)
        peers.resize(config::kNoticeFanout);
    const std::vector<InstanceId> elsewhere = membership_.livePeersElsewhere();
    if (!elsewhere.empty())
        peers.push_back(elsewhere[context_.randomBelow(elsewhere.size())]);
    return peers;
}

void Node::Impl::onServerDraining(ReplicaId replica, uint64_t serverIncarnation)
{
    takeDrain({ replica, serverIncarnation, false });
}

void Node::Impl::onServerReturned(ReplicaId replica, uint64_t serverIncarnation)
{
    spreadDrain(TimelineKind::ServerReturned, { replica, serverIncarnation, true });
}

} // namespace limpettrestle
