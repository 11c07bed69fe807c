#pragma once

/// Constants of the decision library. A build may replace all of them by naming a header that
/// defines the same constants in the macro `LIMPETTRESTLE_CONFIG_OVERRIDE`.

#include "limpettrestle/limpettrestle.h"

#ifdef LIMPETTRESTLE_CONFIG_OVERRIDE
#include LIMPETTRESTLE_CONFIG_OVERRIDE
#else

namespace limpettrestle::config {

/// Maximum attempts for one shard of one query, including the first.
constexpr uint32_t kMaxAttemptsPerShard = 5;
/// Maximum restarts of a query because of a newer snapshot or partition map.
constexpr uint32_t kMaxRestarts = 2;
/// Maximum queued items per replica and priority class.
constexpr uint32_t kMaxQueuedPerReplica = 128;

/// Minimum gap between two events that is treated as a late wake, i.e. a suspension of the process.
constexpr Millis kLateWakeGap { 1000 };
/// Time after a late wake during which caller requests are refused, because they may have waited
/// through the suspension.
constexpr Millis kLateWakeRefusalTime { 100 };
/// Maximum time between two ticks.
constexpr Millis kTickInterval { 50 };

/// Interval at which one instance probes members of its zone.
constexpr Millis kProbeInterval { 1000 };
/// Timeout of a direct probe, and again of the indirect probes that follow it.
constexpr Millis kProbeTimeout { 250 };
/// Number of instances that are asked to probe on the sender's behalf.
constexpr int kIndirectProbes = 2;
/// Time that a suspected member has to refute the suspicion.
constexpr Millis kSuspicionTimeout { 1000 };
/// Time that a member's change must persist before ownership follows it.
constexpr Millis kSettleTime { 1000 };
/// Time during which a new owner uses only part of the slots.
constexpr Millis kHandoverTime { 300 };
/// Number of probes inside the zone per probe of another zone.
constexpr int kProbesPerCrossZoneProbe = 5;
/// Maximum membership updates in one message.
constexpr size_t kMaxGossipMembers = 6;
/// Time during which a dead member that the platform still lists is assumed to be possibly alive
/// behind a network partition.
constexpr std::chrono::seconds kDisputeTimeout { 30 };
/// Number of instances of the zone that receive a notice directly.
constexpr int kNoticeFanout = 3;
/// Time after which a dead member is removed from the member list.
constexpr std::chrono::seconds kDeadMemberRetention { 120 };

/// Time for which a reply proves that its server is not draining.
constexpr Millis kNotDrainingLease { 2000 };
/// Interval between preflights of a drained or failed server.
constexpr Millis kPreflightInterval { 1000 };
/// Timeout of a preflight.
constexpr Millis kPreflightTimeout { 500 };
/// Initial and maximum backoff after a server has refused connections.
constexpr Millis kReplicaBackoffMin { 50 };
constexpr Millis kReplicaBackoffMax { 1000 };

/// Time during which the data path avoids a peer that failed.
constexpr Millis kPeerBackoff { 500 };

/// Lifetime of a permit.
constexpr std::chrono::seconds kPermitLifetime { 30 };
/// Maximum permits held by one instance.
constexpr uint32_t kMaxPermits = 65536;

/// Number of instances per zone that keep a watch on the platform.
constexpr uint32_t kConfigReadersPerZone = 2;
/// Mean interval between two platform reads of an instance that keeps no watch, per member of its
/// zone, and the lower bound of that interval.
constexpr Millis kFallbackReadIntervalPerMember { 400 };
constexpr Millis kFallbackReadIntervalMin { 30000 };
/// Time that a starting instance waits for the state of its peers.
constexpr Millis kStartupPeerTimeout { 1500 };
/// Interval at which a starting instance requests the state of its peers.
constexpr Millis kStartupRequestInterval { 250 };

/// Maximum size of a configuration document, in bytes.
constexpr size_t kMaxDocumentBytes = 1 << 20;
/// Maximum timeline entries kept by a process.
constexpr size_t kMaxTimelineEntries = 16384;

} // namespace limpettrestle::config

#endif
