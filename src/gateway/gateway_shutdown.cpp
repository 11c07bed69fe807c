/// Planned stop of a gateway: SIGTERM until the process ends.

#include "gateway.h"

namespace limpettrestle {

namespace {

    /// Interval of the maintenance timer during a stop, below the margins of the schedule for short grace periods.
    constexpr Millis kStopMaintenancePeriod { 50 };
    /// Limit on the open requests that are logged when the process ends.
    constexpr size_t kMaxCutRequestsLogged = 64;

} // namespace

void Gateway::beginShutdown()
{
    if (stop_.hasBegun())
        return;
    // The signal may have waited since the loop last turned.
    const Millis delay = std::chrono::duration_cast<Millis>(clock_.now() - suspensions_.lastRunAt());
    stop_.begin(suspensions_.lastRunAt(), settings_.grace);
    dispatcher_->beginStop(stop_.answerBy());
    callerServer_->setDraining();
    uv_timer_set_repeat(&maintenanceTimer_, static_cast<uint64_t>(kStopMaintenancePeriod.count()));
    log_.logger().info("event=shutdown_requested open_requests={} connections={} delay_ms={}", dispatcher_->openRequests(), callerServer_->connections(), delay.count());
}

void Gateway::finishShutdownIfDrained()
{
    const TimePoint now = clock_.now();
    if (!stop_.mayStopAccepting(now))
        return;
    // Callers that connect in spite of the readiness check are refused from now on, so that the open requests come to
    // an end before the grace period does.
    callerServer_->stopListening();
    // Answers what is due, also when the loop was late.
    dispatcher_->tick();
    // Without the reply to a relay, the instance that sent it cannot tell whether the request has run.
    const bool isDrained = dispatcher_->openRequests() == 0 && callerServer_->busyConnections() == 0 && !peerServer_->server.hasUnsentResponses();
    if (isDrained || stop_.mustExit(now))
        finishShutdown(isDrained ? "drained" : "grace_over");
}

void Gateway::finishShutdown(std::string_view reason)
{
    logCutRequests();
    log_.logger().info("event=stopped name={} reason={} requests={} open_requests={} busy_connections={}", settings_.name, reason, dispatcher_->stats().requests, dispatcher_->openRequests(), callerServer_->busyConnections());
    callerServer_->stopListening();
    callerServer_->closeIdle();
    follower_->stop();
    registryClient_->stop();
    uv_stop(&loop_);
}

void Gateway::logCutRequests()
{
    std::vector<OpenRequestInfo> open = dispatcher_->openRequestInfos();
    if (open.size() > kMaxCutRequestsLogged)
        open.resize(kMaxCutRequestsLogged);
    for (const OpenRequestInfo& request : open)
        log_.logger().warn("event=request_cut id={} route={} open_us={} calls={}", request.requestId, request.route, request.age.count(), request.callsSent);
}

} // namespace limpettrestle
