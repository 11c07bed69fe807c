/// What a gateway learns about replicas: their announcements and crashes.

#include "gateway.h"

#include <fmt/format.h>

namespace limpettrestle {

void Gateway::onReplicaLeaving(const Replica& replica, std::string_view source)
{
    log_.logger().info("event=replica id={} service={} state=leaving born={} source={}", replica.entry.id, replica.entry.service, replica.entry.startedAt, source);
}

void Gateway::onReplicaBackOff(const Replica& replica, Millis time)
{
    log_.logger().info("event=replica_back_off id={} service={} for_ms={}", replica.entry.id, replica.entry.service, time.count());
}

void Gateway::onReplicaRateLimit(const Replica& replica, uint32_t sharers)
{
    log_.logger().info("event=replica_rate_limit id={} service={} limited={} per_second={} sharers={}", replica.entry.id, replica.entry.service, replica.rate.isLimited(), replica.rate.limit(), sharers);
}

void Gateway::onCallLost(const Replica& replica, const ForwardedRequest& request)
{
    log_.logger().info("event=call_lost id={} replica={} born={} fingerprint={:016x} target={}", request.requestId, replica.entry.id, replica.entry.startedAt, request.fingerprint.value, request.target);
}

void Gateway::onReplicaCrashed(const Replica& replica, CrashEvidence evidence, const std::vector<CrashReport>& reports)
{
    std::vector<std::string> requests;
    requests.reserve(reports.size());
    for (const CrashReport& report : reports)
        requests.push_back(fmt::format("{:016x}", report.request.value));
    log_.logger().info("event=replica_crashed id={} service={} born={} evidence={} requests={}", replica.entry.id, replica.entry.service, replica.entry.startedAt, name(evidence), fmt::join(requests, ","));
}

} // namespace limpettrestle
