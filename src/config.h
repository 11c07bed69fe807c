#pragma once

/// Defaults of the decision library, each named once. A build may override a value by defining
/// the macro-free constant in its own `LIMPETTRESTLE_CONFIG_OVERRIDE` header.

#include "limpettrestle/limpettrestle.h"

#ifdef LIMPETTRESTLE_CONFIG_OVERRIDE
#include LIMPETTRESTLE_CONFIG_OVERRIDE
#else

namespace limpettrestle::config {

/// Attempts at one shard of one query, first one included.
constexpr uint32_t kMaxAttemptsPerShard = 5;
/// Restarts of a query on a newer snapshot or partition map.
constexpr uint32_t kMaxRestarts = 2;
/// Items queued per replica and class.
constexpr uint32_t kMaxQueuedPerReplica = 128;

/// Gap between two events after which the process counts as having been paused.
constexpr Millis kLateWakeGap { 1000 };
/// Time after a pause during which callers' requests are refused: they may have waited through it.
constexpr Millis kLateWakeRefusalTime { 100 };
/// Longest time between two ticks.
constexpr Millis kTickInterval { 50 };

/// Time between two probes of zone members by one instance.
constexpr Millis kProbeInterval { 1000 };
/// Wait for a direct acknowledgement, then again for an indirect one.
constexpr Millis kProbeTimeout { 250 };
/// Instances asked to probe on the sender's behalf.
constexpr int kIndirectProbes = 2;
/// Time a suspected member has to refute.
constexpr Millis kSuspicionTimeout { 1000 };
/// Time a change of a member must last before ownership follows it.
constexpr Millis kSettleTime { 1000 };
/// Time during which a new owner uses a reduced share of the slots.
constexpr Millis kHandoverTime { 300 };
/// Probes of zone members for each probe of another zone.
constexpr int kProbesPerCrossZoneProbe = 5;
/// Membership updates carried by one message.
constexpr size_t kMaxGossipMembers = 6;
/// Time for which a dead member that the platform still lists may be alive behind a cut.
constexpr std::chrono::seconds kDisputeTimeout { 30 };
/// Instances to which a notice is sent on at once.
constexpr int kNoticeFanout = 3;
/// Time after which a dead member is forgotten.
constexpr std::chrono::seconds kDeadMemberRetention { 120 };

/// Age up to which a reply proves that a server is not leaving.
constexpr Millis kNotDrainingLease { 2000 };
/// Time between two preflights of a drained or failed server.
constexpr Millis kPreflightInterval { 1000 };
/// Longest wait for a preflight's reply.
constexpr Millis kPreflightTimeout { 500 };
/// First and longest pause after a server refused connections.
constexpr Millis kReplicaBackoffMin { 50 };
constexpr Millis kReplicaBackoffMax { 1000 };

/// Time a peer that failed is avoided.
constexpr Millis kPeerBackoff { 500 };

/// Life of a permit.
constexpr std::chrono::seconds kPermitLifetime { 30 };
/// Permits held by one instance at most.
constexpr uint32_t kMaxPermits = 65536;

/// Instances per zone that keep a watch on the platform.
constexpr uint32_t kConfigReadersPerZone = 2;
/// Pause between two reads of an instance that is not a reader: this long for each zone member.
constexpr Millis kFallbackReadIntervalPerMember { 400 };
constexpr Millis kFallbackReadIntervalMin { 30000 };
/// Wait for peers' configuration at start.
constexpr Millis kStartupPeerTimeout { 1500 };
/// Pause between two asks of peers while not ready.
constexpr Millis kStartupRequestInterval { 250 };

/// Largest configuration document, bytes.
constexpr size_t kMaxDocumentBytes = 1 << 20;
/// Entries of the time line kept by a process.
constexpr size_t kMaxTimelineEntries = 16384;

} // namespace limpettrestle::config

#endif
