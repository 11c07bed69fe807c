#pragma once

/// Membership between instances: random probes inside the zone, indirect probes, suspicion,
/// incarnations and refutation; news travel on the probes. Probes to other zones only carry news:
/// they never make a member of another zone a suspect.

#include "context.h"

#include <absl/container/btree_map.h>
#include <functional>

namespace limpettrestle {

/// What this instance knows of a member.
struct Member {
    MemberUpdate info;
    /// When the state last changed.
    TimePoint since {};
    /// Last message from it.
    TimePoint heard {};
    /// Data path avoids it until then.
    TimePoint avoidUntil {};
    /// Part of the settled view that ownership is computed from.
    bool settled = false;
    /// Since when `settled` differs from what the state calls for.
    TimePoint differsSince {};
    /// The platform's list names it as live.
    bool isListed = false;
    /// Messages that still carry this update.
    int spread = 0;
};

class Membership {
public:
    Membership(NodeContext& context, PeerSenderI& sender);

    void init(const NodeInit& init);

    /// Periodic work; returns true when the settled view changed.
    bool tick(Millis settle);
    TimePoint nextWakeup() const;

    /// Takes in news; returns true when the settled view changed at once.
    bool merge(const MemberUpdate& update);
    /// Takes in the platform's list of instances.
    void onPlatformList(const std::vector<PlatformMember>& list);
    /// Notes a message from a peer.
    void recordMessage(InstanceId from, Incarnation incarnation);
    void onProbe(InstanceId from, const Probe& probe);
    void onProbeAck(InstanceId from, const ProbeAck& ack);
    void onProbeRequest(InstanceId from, const ProbeRequest& request);
    /// The transport could not reach the peer: probes it at once, data path avoids it a while.
    void onPeerFailed(InstanceId peer);
    /// Announces that this instance leaves.
    void leave();
    /// After a pause: old probes mean nothing, nobody is suspected because of them.
    void resetProbes();

    const Member* find(InstanceId id) const;
    /// False for a member that is dead or that the data path avoids.
    bool isReachable(InstanceId id) const;
    /// True for a member that nothing speaks against: alive, not suspected, not avoided.
    bool isHealthy(InstanceId id) const;
    /// Members of the settled view of a zone, this instance included, sorted.
    const std::vector<InstanceId>& zoneView(ZoneId zone) const;
    /// Rises whenever a settled view changes.
    uint64_t viewVersion() const { return viewVersion_; }
    const absl::btree_map<InstanceId, Member>& members() const { return members_; }
    /// Members of this zone that are neither dead nor leaving, without this instance.
    std::vector<InstanceId> liveZonePeers() const;
    std::vector<InstanceId> livePeersInOtherZones() const;
    /// True for a member that is believed dead while the platform still lists it: it may be alive
    /// behind a cut and still act as an owner.
    bool isDisputed(InstanceId id) const;
    std::vector<InstanceId> disputedZoneMembers() const;
    uint32_t zoneSize() const { return static_cast<uint32_t>(zoneView(context_.zone).size()); }

    /// Updates to carry on the next message.
    std::vector<MemberUpdate> takeUpdates();
    const MemberUpdate& self() const;
    /// Gossip about everything else is added by the node.
    std::function<Gossip()> makeGossip;

private:
    struct PendingProbe {
        InstanceId target;
        uint64_t sequence = 0;
        TimePoint directUntil {};
        TimePoint indirectUntil {};
        bool indirectSent = false;
        /// Set when the probe is done for another instance.
        InstanceId onBehalfOf;
        uint64_t theirSequence = 0;
    };

    void onPlatformMember(const PlatformMember& entry);
    void probe(InstanceId target, InstanceId onBehalfOf, uint64_t theirSequence);
    void probeNext();
    void expireProbes();
    void expireSuspicions();
    bool settleViews(Millis settle);
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
