#include "membership.h"

#include <algorithm>
#include <bit>

namespace limpettrestle {

namespace {

    bool isPresent(MemberState state)
    {
        return state == MemberState::Alive || state == MemberState::Suspect;
    }

    /// True when `next` overrides `known` for the same member.
    bool isNewer(const MemberUpdate& next, const MemberUpdate& known)
    {
        if (next.incarnation != known.incarnation) {
            // The upper bits of an incarnation are its start time, so it increases with each start.
            return next.incarnation > known.incarnation;
        }
        if (known.state == MemberState::Leaving)
            return next.state == MemberState::Dead;
        if (next.state == MemberState::Leaving)
            return true;
        if (next.refutation != known.refutation)
            return next.refutation > known.refutation;
        return static_cast<int>(next.state) > static_cast<int>(known.state);
    }

} // namespace

Membership::Membership(NodeContext& context, PeerSenderI& sender)
    : context_(context)
    , sender_(sender)
{
}

void Membership::init(const NodeInit& init)
{
    Member self;
    self.info = { context_.self, init.name, init.peerAddress, context_.zone, context_.incarnation, 0, MemberState::Alive };
    self.stateChangedAt = context_.now();
    self.isSettled = true;
    members_.emplace(context_.self, self);
    for (const PlatformMember& seed : init.seeds)
        onPlatformMember(seed);
    nextProbe_ = context_.now();
    rebuildViews();
}

bool Membership::tick(Millis settleTime)
{
    expireProbes();
    expireSuspicions();
    if (context_.now() >= nextProbe_)
        probeNext();
    return settleViews(settleTime);
}

TimePoint Membership::nextWakeup() const
{
    TimePoint next = nextProbe_;
    for (const PendingProbe& probe : pending_)
        next = std::min(next, probe.indirectSent ? probe.indirectUntil : probe.directUntil);
    return next;
}

bool Membership::merge(const MemberUpdate& update)
{
    if (update.id == context_.self) {
        Member& self = members_.at(context_.self);
        const bool needsRefutation = update.incarnation == context_.incarnation && update.state != MemberState::Alive
            && self.info.state == MemberState::Alive && update.refutation >= self.info.refutation;
        if (needsRefutation) {
            self.info.refutation = update.refutation + 1;
            self.transmissionsLeft = 8;
        }
        return false;
    }
    auto [it, isNew] = members_.try_emplace(update.id);
    Member& member = it->second;
    if (!isNew && !isNewer(update, member.info))
        return false;
    const bool isOtherIncarnation = !isNew && update.incarnation != member.info.incarnation;
    const MemberState previousState = member.info.state;
    if (isNew)
        probeOrder_.clear();
    member.info = update;
    if (isNew || isOtherIncarnation || previousState != update.state)
        setState(member, update.state);
    if (update.state == MemberState::Leaving && member.isSettled) {
        member.isSettled = false;
        rebuildViews();
        return true;
    }
    return false;
}

void Membership::onPlatformList(const std::vector<PlatformMember>& list)
{
    for (auto& [id, member] : members_)
        member.isListed = false;
    for (const PlatformMember& entry : list)
        onPlatformMember(entry);
}

void Membership::onPlatformMember(const PlatformMember& entry)
{
    const auto id = idFromName<InstanceId>(entry.name);
    if (entry.backend || id == context_.self)
        return;
    const auto known = members_.find(id);
    if (known != members_.end()) {
        known->second.isListed = !entry.leaving;
        return;
    }
    if (entry.leaving)
        return;
    Member& member = members_[id];
    member.info = { id, entry.name, entry.address, idFromName<ZoneId>(entry.zone), {}, 0, MemberState::Alive };
    member.isListed = true;
    setState(member, MemberState::Alive);
    member.transmissionsLeft = 0;
    probeOrder_.clear();
}

void Membership::recordMessage(InstanceId from, Incarnation incarnation)
{
    const auto it = members_.find(from);
    if (it == members_.end())
        return;
    Member& member = it->second;
    member.lastMessageAt = context_.now();
    member.avoidUntil = {};
    if (member.info.incarnation.isValid() && incarnation < member.info.incarnation)
        return;
    const bool isOtherIncarnation = member.info.incarnation != incarnation;
    if (isOtherIncarnation) {
        member.info.incarnation = incarnation;
        member.info.refutation = 0;
    }
    if (isOtherIncarnation || member.info.state == MemberState::Suspect || member.info.state == MemberState::Dead) {
        if (!isOtherIncarnation)
            ++member.info.refutation;
        setState(member, MemberState::Alive);
    }
}

void Membership::onProbe(InstanceId from, const Probe& probe)
{
    sender_.sendPeer(from, ProbeAck { probe.sequence, makeGossip() });
}

void Membership::onProbeAck(InstanceId from, const ProbeAck& ack)
{
    const auto it = std::find_if(pending_.begin(), pending_.end(), [&](const PendingProbe& p) { return p.sequence == ack.sequence; });
    if (it == pending_.end())
        return;
    const PendingProbe probe = *it;
    pending_.erase(it);
    const Member* target = find(probe.target);
    if (from != probe.target && target)
        recordMessage(probe.target, target->info.incarnation);
    if (probe.requester.isValid())
        sender_.sendPeer(probe.requester, ProbeAck { probe.requesterSequence, {} });
}

void Membership::onProbeRequest(InstanceId from, const ProbeRequest& request)
{
    if (members_.contains(request.target))
        probe(request.target, from, request.sequence);
}

void Membership::onPeerFailed(InstanceId peer)
{
    const auto it = members_.find(peer);
    if (it == members_.end())
        return;
    it->second.avoidUntil = context_.now() + config::kPeerBackoff;
    const bool isOwnZone = it->second.info.zone == context_.zone;
    const bool isProbed = std::any_of(pending_.begin(), pending_.end(), [&](const PendingProbe& p) { return p.target == peer; });
    if (isOwnZone && !isProbed && isPresent(it->second.info.state))
        probe(peer, {}, 0);
}

void Membership::leave()
{
    Member& self = members_.at(context_.self);
    self.info.state = MemberState::Leaving;
    self.isSettled = false;
    self.transmissionsLeft = 8;
    rebuildViews();
}

void Membership::resetProbes()
{
    pending_.clear();
    nextProbe_ = context_.now();
    for (auto& [id, member] : members_) {
        if (member.info.state == MemberState::Suspect)
            member.stateChangedAt = context_.now();
        member.unsettledSince = context_.now();
    }
}

const Member* Membership::find(InstanceId id) const
{
    const auto it = members_.find(id);
    return it == members_.end() ? nullptr : &it->second;
}

bool Membership::isHealthy(InstanceId id) const
{
    const Member* member = find(id);
    const bool isAlive = member && member->info.state == MemberState::Alive;
    return id == context_.self || (isAlive && member->avoidUntil <= context_.now());
}

bool Membership::isReachable(InstanceId id) const
{
    if (id == context_.self)
        return true;
    const Member* member = find(id);
    return member && member->info.state != MemberState::Dead && member->avoidUntil <= context_.now();
}

const std::vector<InstanceId>& Membership::zoneView(ZoneId zone) const
{
    static const std::vector<InstanceId> kEmptyView;
    const auto it = views_.find(zone);
    return it == views_.end() ? kEmptyView : it->second;
}

bool Membership::isDisputed(InstanceId id) const
{
    const Member* member = find(id);
    if (!member || member->isSettled || member->info.state != MemberState::Dead)
        return false;
    return member->isListed && context_.now() - member->stateChangedAt < config::kDisputeTimeout;
}

std::vector<InstanceId> Membership::disputedZoneMembers() const
{
    std::vector<InstanceId> disputed;
    for (const auto& [id, member] : members_) {
        if (member.info.zone == context_.zone && isDisputed(id))
            disputed.push_back(id);
    }
    std::sort(disputed.begin(), disputed.end());
    return disputed;
}

std::vector<InstanceId> Membership::liveZonePeers() const
{
    std::vector<InstanceId> peers;
    for (const auto& [id, member] : members_) {
        if (id != context_.self && member.info.zone == context_.zone && isPresent(member.info.state))
            peers.push_back(id);
    }
    std::sort(peers.begin(), peers.end());
    return peers;
}

std::vector<InstanceId> Membership::livePeersInOtherZones() const
{
    std::vector<InstanceId> peers;
    for (const auto& [id, member] : members_) {
        if (member.info.zone != context_.zone && isPresent(member.info.state))
            peers.push_back(id);
    }
    std::sort(peers.begin(), peers.end());
    return peers;
}

std::vector<MemberUpdate> Membership::takeUpdates()
{
    std::vector<Member*> candidates;
    for (auto& [id, member] : members_) {
        if (member.transmissionsLeft > 0)
            candidates.push_back(&member);
    }
    const size_t count = std::min(candidates.size(), config::kMaxGossipMembers);
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<ptrdiff_t>(count), candidates.end(), [](const Member* a, const Member* b) {
        return a->transmissionsLeft != b->transmissionsLeft ? a->transmissionsLeft > b->transmissionsLeft : a->info.id < b->info.id;
    });
    std::vector<MemberUpdate> updates;
    for (size_t i = 0; i < count; ++i) {
        --candidates[i]->transmissionsLeft;
        updates.push_back(candidates[i]->info);
    }
    return updates;
}

const MemberUpdate& Membership::self() const
{
    return members_.at(context_.self).info;
}

void Membership::probe(InstanceId target, InstanceId requester, uint64_t requesterSequence)
{
    PendingProbe pending;
    pending.target = target;
    pending.sequence = ++sequence_;
    pending.directUntil = context_.now() + config::kProbeTimeout;
    pending.indirectUntil = pending.directUntil + config::kProbeTimeout;
    pending.requester = requester;
    pending.requesterSequence = requesterSequence;
    pending_.push_back(pending);
    sender_.sendPeer(target, Probe { pending.sequence, makeGossip() });
}

void Membership::probeNext()
{
    nextProbe_ = context_.now() + config::kProbeInterval;
    ++probesSent_;
    if (probesSent_ % config::kProbesPerCrossZoneProbe == 0) {
        const std::vector<InstanceId> others = livePeersInOtherZones();
        if (!others.empty()) {
            sender_.sendPeer(others[context_.randomBelow(others.size())], Probe { ++sequence_, makeGossip() });
            return;
        }
    }
    // Dead members of the zone are probed too, so that both sides find each other after a network partition heals.
    if (probeOrder_.empty()) {
        for (const auto& [id, member] : members_) {
            const bool isCandidate = id != context_.self && member.info.zone == context_.zone && member.info.state != MemberState::Leaving;
            if (isCandidate)
                probeOrder_.push_back(id);
        }
        std::sort(probeOrder_.begin(), probeOrder_.end());
        std::shuffle(probeOrder_.begin(), probeOrder_.end(), context_.random);
    }
    if (probeOrder_.empty())
        return;
    const InstanceId target = probeOrder_.back();
    probeOrder_.pop_back();
    if (members_.contains(target))
        probe(target, {}, 0);
}

void Membership::expireProbes()
{
    const TimePoint now = context_.now();
    for (size_t i = 0; i < pending_.size();) {
        PendingProbe& pending = pending_[i];
        const bool isLost = pending.indirectSent ? now >= pending.indirectUntil : now >= pending.directUntil;
        if (!isLost) {
            ++i;
            continue;
        }
        if (!pending.indirectSent && !pending.requester.isValid()) {
            pending.indirectSent = true;
            std::vector<InstanceId> helpers = liveZonePeers();
            std::erase(helpers, pending.target);
            std::shuffle(helpers.begin(), helpers.end(), context_.random);
            const ProbeRequest request { pending.sequence, pending.target };
            for (size_t n = 0; n < helpers.size() && n < config::kIndirectProbes; ++n)
                sender_.sendPeer(helpers[n], request);
            ++i;
            continue;
        }
        const auto it = members_.find(pending.target);
        const bool isOwnProbe = !pending.requester.isValid();
        pending_.erase(pending_.begin() + static_cast<ptrdiff_t>(i));
        if (isOwnProbe && it != members_.end() && it->second.info.state == MemberState::Alive && it->second.info.zone == context_.zone)
            setState(it->second, MemberState::Suspect);
    }
}

void Membership::expireSuspicions()
{
    const TimePoint now = context_.now();
    std::vector<InstanceId> expired;
    for (auto& [id, member] : members_) {
        const bool isOwnZone = member.info.zone == context_.zone;
        if (isOwnZone && member.info.state == MemberState::Suspect && now - member.stateChangedAt >= config::kSuspicionTimeout)
            setState(member, MemberState::Dead);
        const bool isGone = member.info.state == MemberState::Dead || member.info.state == MemberState::Leaving;
        if (id != context_.self && isGone && !member.isSettled && now - member.stateChangedAt >= config::kDeadMemberRetention)
            expired.push_back(id);
    }
    for (const InstanceId id : expired)
        members_.erase(id);
}

bool Membership::settleViews(Millis settleTime)
{
    const TimePoint now = context_.now();
    bool changed = false;
    for (auto& [id, member] : members_) {
        if (id == context_.self)
            continue;
        const bool shouldBeSettled = isPresent(member.info.state);
        if (member.isSettled == shouldBeSettled) {
            member.unsettledSince = now;
            continue;
        }
        if (now - member.unsettledSince < settleTime)
            continue;
        member.isSettled = shouldBeSettled;
        member.unsettledSince = now;
        changed = true;
    }
    if (changed)
        rebuildViews();
    return changed;
}

void Membership::setState(Member& member, MemberState state)
{
    member.info.state = state;
    member.stateChangedAt = context_.now();
    member.transmissionsLeft = 4 + 3 * static_cast<int>(std::bit_width(members_.size()));
    if (member.isSettled == isPresent(state) || member.unsettledSince == TimePoint {})
        member.unsettledSince = context_.now();
    TimelineEvent event;
    event.kind = TimelineKind::MemberChanged;
    event.subject = member.info.name + " " + std::string(name(state));
    event.number = member.info.incarnation.value;
    if (context_.actions)
        context_.record(std::move(event));
}

void Membership::rebuildViews()
{
    views_.clear();
    for (const auto& [id, member] : members_) {
        if (member.isSettled)
            views_[member.info.zone].push_back(id);
    }
    // When all settled members of a zone have left, its view consists of the members that are present.
    absl::btree_map<ZoneId, std::vector<InstanceId>> present;
    for (const auto& [id, member] : members_) {
        if (isPresent(member.info.state) && !views_.contains(member.info.zone))
            present[member.info.zone].push_back(id);
    }
    views_.insert(present.begin(), present.end());
    // The last instance of a zone remains the owner while it leaves.
    std::vector<InstanceId>& own = views_[context_.zone];
    if (own.empty())
        own.push_back(context_.self);
    for (auto& [zone, view] : views_)
        std::sort(view.begin(), view.end());
    ++viewVersion_;
}

} // namespace limpettrestle
