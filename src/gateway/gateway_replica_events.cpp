/// What a gateway learns about replicas: their announcements and crashes.

#include "gateway.h"

#include <algorithm>
#include <fmt/format.h>

namespace limpettrestle {

namespace {

    /// Limit on the reports of a notice that are logged.
    constexpr size_t kMaxLoggedReports = 8;
    /// With an older cluster state, an instance calls no cold replicas: another one may have taken its place.
    constexpr Millis kMaxColdStateAge { 4000 };

} // namespace

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

bool Gateway::isInTouch() const
{
    // A reader appears on the lists of others as soon as it has followers.
    const bool isListed = isReader_ || instances_.isReported(settings_.name, clock_.now());
    return isListed && state_.isComplete() && stateAge() <= kMaxColdStateAge;
}

void Gateway::updateColdReplicas()
{
    const TimePoint now = clock_.now();
    dispatcher_->updateColdReplicas();
    const ColdReplicaMonitor::Changes changes = coldReplicas_.update(state_.directory(), now);
    for (const ReplicaPtr& replica : changes.begun) {
        if (!dispatcher_->hasColdLimit(replica->entry.service))
            continue;
        const Millis left = std::chrono::duration_cast<Millis>(replica->warmup.until() - now);
        log_.logger().info("event=replica_cold id={} service={} born={} source={} left_ms={}", replica->entry.id, replica->entry.service, replica->entry.startedAt, replica->warmup.source(), left.count());
    }
    for (const ReplicaPtr& replica : changes.ended) {
        if (dispatcher_->hasColdLimit(replica->entry.service))
            log_.logger().info("event=replica_warm id={} service={} born={}", replica->entry.id, replica->entry.service, replica->entry.startedAt);
    }
}

void Gateway::onAdmission(const AdmissionState& state)
{
    log_.logger().info("event=admission route={} refusing={} service={} fraction={:.2f} wait_us={} refused={}", state.route, state.isRefusing, state.service, state.fraction, state.wait.count(), dispatcher_->stats().refusedWithoutRoom);
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
    crashExchange_->report(reports);
}

void Gateway::onRequestCleared(RequestFingerprint request)
{
    log_.logger().info("event=request_cleared fingerprint={:016x}", request.value);
    crashExchange_->reportCleared(request);
}

void Gateway::onRequestQuarantined(RequestFingerprint request)
{
    log_.logger().warn("event=request_quarantined fingerprint={:016x} certain={} crashes={} quarantined={}", request.value, crashLedger_.isCertain(request), crashLedger_.crashCount(request), crashLedger_.quarantinedCount());
    follower_->setQuarantineDigest(crashLedger_.digest());
}

void Gateway::onCrashNotice(const CrashNotice& notice)
{
    // One line a notice, since a wave of crashes brings many.
    const std::vector<CrashReport> added = crashExchange_->receive(notice);
    std::vector<std::string> logged;
    for (size_t i = 0; i < std::min(added.size(), kMaxLoggedReports); ++i)
        logged.push_back(fmt::format("{:016x}@{}", added[i].request.value, added[i].replica.id));
    if (!added.empty())
        log_.logger().info("event=crash_reported sender={} reports={} requests={}", notice.sender, added.size(), fmt::join(logged, ","));
    dispatcher_->applyQuarantines();
}

void Gateway::updateQuarantines()
{
    dispatcher_->checkCrashes();
    crashLedger_.expire(clock_.now());
    follower_->setQuarantineDigest(crashLedger_.digest());
}

void Gateway::adoptQuarantines(const ChangesReply& reply)
{
    for (const QuarantineEntry& entry : reply.quarantines) {
        if (crashLedger_.adopt(entry, clock_.now()))
            log_.logger().warn("event=quarantine_adopted fingerprint={:016x} term={} sender={}", entry.request.value, entry.term, reply.sender);
    }
    dispatcher_->applyQuarantines();
}

} // namespace limpettrestle
