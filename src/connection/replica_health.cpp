#include "replica_health.h"

#include <algorithm>
#include <cmath>

namespace limpettrestle {

namespace {

    /// Weight of a new sample in the smoothed latency ratio; a slow replica is recognised within about three replies.
    constexpr double kSampleWeight = 0.3;
    /// Half-life of the deviation of the latency ratio from 1, so that a replica that has recovered is tried again.
    constexpr double kLatencyRatioHalfLifeSeconds = 3.0;
    /// Weight of one call in the loss rate: a single loss has little effect, consecutive losses add up.
    constexpr double kLossWeight = 0.15;
    constexpr double kLossHalfLifeSeconds = 2.0;
    /// A call that takes this many times its usual duration marks the replica as unresponsive.
    constexpr int kUnresponsiveFactor = 3;
    /// Minimum overrun for that; scheduling and network jitter stay below it.
    constexpr Millis kMinOverrun { 12 };
    /// Shortest and longest backoff after consecutive faults.
    constexpr Millis kMinBackoff { 50 };
    constexpr Millis kMaxBackoff { 1000 };
    /// Validity of a load report; queues turn over within tens of milliseconds.
    constexpr Millis kLoadReportTtl { 100 };
    constexpr uint32_t kMaxBackoffSteps = 5;

} // namespace

void ReplicaHealth::callSent(uint64_t call, TimePoint now, Micros expected)
{
    calls_.push_back({ call, now, expected });
}

void ReplicaHealth::callAnswered(uint64_t call, TimePoint now)
{
    const auto found = std::find_if(calls_.begin(), calls_.end(), [call](const PendingCall& open) { return open.id == call; });
    if (found == calls_.end())
        return;
    recordDuration(found->sentAt, found->expected, now);
    recordOutcome(false, now);
    lastAnswer_ = now;
    consecutiveFaults_ = 0;
    isConnectionSuspect_ = false;
    avoidUntil_ = {};
    calls_.erase(found);
}

void ReplicaHealth::callEnded(uint64_t call, TimePoint now, CallEnd end)
{
    std::erase_if(calls_, [call](const PendingCall& open) { return open.id == call; });
    if (end == CallEnd::Cancelled)
        return;
    isConnectionSuspect_ |= end == CallEnd::TimedOut;
    recordOutcome(true, now);
    recordFault(now);
}

void ReplicaHealth::recordDuration(TimePoint sentAt, Micros expected, TimePoint now)
{
    const double expectedMicros = static_cast<double>(std::max<int64_t>(expected.count(), 1));
    const double elapsedMicros = static_cast<double>(std::chrono::duration_cast<Micros>(now - sentAt).count());
    latencyRatio_ = latencyRatio(now) * (1 - kSampleWeight) + elapsedMicros / expectedMicros * kSampleWeight;
    latencyRatioAt_ = now;
}

void ReplicaHealth::recordOutcome(bool isLoss, TimePoint now)
{
    lossRate_ = lossRate(now) * (1 - kLossWeight) + (isLoss ? kLossWeight : 0);
    lossAt_ = now;
}

double ReplicaHealth::lossRate(TimePoint now) const
{
    const double age = std::chrono::duration<double>(now - lossAt_).count();
    return lossRate_ * std::exp2(-age / kLossHalfLifeSeconds);
}

void ReplicaHealth::connectFailed(TimePoint now)
{
    lastConnectFailure_ = now;
    isConnectionSuspect_ = true;
    recordFault(now);
}

void ReplicaHealth::connected(TimePoint now)
{
    lastConnected_ = now;
    isConnectionSuspect_ = false;
    // The replica accepts connections again, but only a reply proves that it serves.
    consecutiveFaults_ = std::min<uint32_t>(consecutiveFaults_, 1);
    avoidUntil_ = now;
}

bool ReplicaHealth::recordBackOff(Millis time, TimePoint now)
{
    if (now + time <= backOffUntil_)
        return false;
    backOffUntil_ = now + time;
    return true;
}

void ReplicaHealth::recordLoad(int running, int waiting, TimePoint now)
{
    waiting_ = running >= 0 ? std::max(waiting, 0) : 0;
    loadAt_ = now;
}

void ReplicaHealth::recordFault(TimePoint now)
{
    // Calls that fail within `kMinBackoff` of each other count as a single fault.
    if (now - lastFault_ < kMinBackoff && consecutiveFaults_ > 0)
        return;
    lastFault_ = now;
    if (consecutiveFaults_ == 0)
        failingSince_ = now;
    ++consecutiveFaults_;
    const auto step = std::min(consecutiveFaults_ - 1, kMaxBackoffSteps);
    avoidUntil_ = now + std::min(kMaxBackoff, kMinBackoff * (1 << step));
}

bool ReplicaHealth::isUnresponsive(TimePoint now) const
{
    for (const PendingCall& call : calls_) {
        const Micros limit = std::max<Micros>(call.expected * kUnresponsiveFactor, call.expected + kMinOverrun);
        if (now - call.sentAt > limit && lastAnswer_ < call.sentAt)
            return true;
    }
    return false;
}

double ReplicaHealth::latencyRatio(TimePoint now) const
{
    const double age = std::chrono::duration<double>(now - latencyRatioAt_).count();
    return 1.0 + (latencyRatio_ - 1.0) * std::exp2(-age / kLatencyRatioHalfLifeSeconds);
}

double ReplicaHealth::backlog(TimePoint now) const
{
    const int reported = now - loadAt_ < kLoadReportTtl ? waiting_ : 0;
    return static_cast<double>(calls_.size()) + reported;
}

} // namespace limpettrestle
