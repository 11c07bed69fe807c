#pragma once

/// SWIM-style membership between instances: random probes within the zone, indirect probes, suspicion,
/// incarnations and refutation. Membership updates are gossiped on the probes. Probes to other zones only
/// carry gossip; they never make a member of another zone a suspect.

#include "context.h"

#include <absl/container/btree_map.h>
#include <functional>

namespace limpettrestle {

/// State of a member as known to this instance.
struct Member {
    MemberUpdate info;
    /// Time of the last change of the state.
    TimePoint stateChangedAt {};
    /// Time of the last message from the member.
    TimePoint lastMessageAt {};
    /// The data path avoids the member until this time.
    TimePoint avoidUntil {};
    /// True while the member is in the settled view, from which ownership is computed.
    bool isSettled = false;
    /// Time since which `isSettled` has disagreed with the state.
    TimePoint unsettledSince {};
    /// The list of the platform names the member as live.
    bool isListed = false;
    /// Number of further messages that will carry this update.
    int transmissionsLeft = 0;
};

class Membership {
public:
    Membership(NodeContext& context, PeerSenderI& sender);

    void init(const NodeInit& init);

    /// Does the periodic work; returns true when a settled view changed.
    bool tick(Millis settleTime);
    TimePoint nextWakeup() const;

    /// Applies an update from another instance; returns true when it changed a settled view immediately.
    bool merge(const MemberUpdate& update);
    /// Applies the list of instances from the platform.
    void onPlatformList(const std::vector<PlatformMember>& list);
    /// Records that a message from a peer arrived, which proves that the peer is alive.
    void recordMessage(InstanceId from, Incarnation incarnation);
    void onProbe(InstanceId from, const Probe& probe);
    void onProbeAck(InstanceId from, const ProbeAck& ack);
    void onProbeRequest(InstanceId from, const ProbeRequest& request);
    /// Handles a transport failure: probes the peer at once, and the data path avoids it for a while.
    void onPeerFailed(InstanceId peer);
    /// Marks this instance as leaving, which is gossiped to the other instances.
    void leave();
    /// Handles a suspension of this process: discards pending probes and restarts the timers of suspicion and settling,
    /// so that the suspension itself causes no suspicion.
    void resetProbes();

    const Member* find(InstanceId id) const;
    /// False for a member that is dead or that the data path avoids.
    bool isReachable(InstanceId id) const;
    /// True for a member that is alive, not suspected and not avoided by the data path.
    bool isHealthy(InstanceId id) const;
    /// Returns the settled view of a zone, sorted; it may contain this instance.
    const std::vector<InstanceId>& zoneView(ZoneId zone) const;
    /// Increases whenever a settled view changes.
    uint64_t viewVersion() const { return viewVersion_; }
    const absl::btree_map<InstanceId, Member>& members() const { return members_; }
    /// Returns the other members of this zone that are neither dead nor leaving, sorted.
    std::vector<InstanceId> liveZonePeers() const;
    /// Returns the members of other zones that are neither dead nor leaving, sorted.
    std::vector<InstanceId> livePeersInOtherZones() const;
    /// True for a member that is considered dead while the platform still lists it. It may be alive in another
    /// network partition and still act as an owner.
    bool isDisputed(InstanceId id) const;
    std::vector<InstanceId> disputedZoneMembers() const;
    uint32_t zoneSize() const { return static_cast<uint32_t>(zoneView(context_.zone).size()); }

    /// Returns the updates to send with the next message, at most `config::kMaxGossipMembers`.
    std::vector<MemberUpdate> takeUpdates();
    const MemberUpdate& self() const;
    /// Builds the gossip for a probe; set by the node, which adds its own updates.
    std::function<Gossip()> makeGossip;

private:
    struct PendingProbe {
        InstanceId target;
        uint64_t sequence = 0;
        TimePoint directUntil {};
        TimePoint indirectUntil {};
        bool indirectSent = false;
        /// Set when the probe is sent on behalf of another instance.
        InstanceId requester;
        uint64_t requesterSequence = 0;
    };

    void onPlatformMember(const PlatformMember& entry);
    void probe(InstanceId target, InstanceId requester, uint64_t requesterSequence);
    void probeNext();
    void expireProbes();
    void expireSuspicions();
    bool settleViews(Millis settleTime);
    void setState(Member& member, MemberState state);
    void rebuildViews();

    NodeContext& context_;
    PeerSenderI& sender_;
    absl::btree_map<InstanceId, Member> members_;
    absl::btree_map<ZoneId, std::vector<InstanceId>> views_;
    std::vector<PendingProbe> pending_;
    std::vector<InstanceId> probeOrder_;
    uint64_t sequence_ = 0;
    uint64_t viewVersion_ = 1;
    uint64_t probesSent_ = 0;
    TimePoint nextProbe_ {};
};

} // namespace limpettrestle
