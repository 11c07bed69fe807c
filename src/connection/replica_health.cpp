#include "replica_health.h"

#include <algorithm>
#include <cmath>

namespace limpettrestle {

namespace {

    /// Weight of a new sample; a slow replica is recognised within about three replies.
    constexpr double kSampleWeight = 0.3;
    /// Knowledge of slowness halves in this time, so that a recovered replica is tried again.
    constexpr double kSlownessHalfLifeSeconds = 3.0;
    /// Weight of one call in the share of lost ones: single losses are forgiven, rows of them are not.
    constexpr double kLossWeight = 0.15;
    constexpr double kLossHalfLifeSeconds = 2.0;
    /// A call this many times over its usual duration marks the replica silent.
    constexpr int kSilenceFactor = 3;
    /// Least overrun that counts as silence: scheduling and network jitter stay below it.
    constexpr Millis kSilenceFloor { 12 };
    /// First and longest pause after faults in a row.
    constexpr Millis kAvoidMin { 50 };
    constexpr Millis kAvoidMax { 1000 };
    /// Life of a load report; queues turn over in tens of milliseconds.
    constexpr Millis kLoadLife { 100 };
    constexpr uint32_t kMaxBackoffSteps = 5;

} // namespace

void ReplicaHealth::callSent(uint64_t call, TimePoint now, Micros expected)
{
    calls_.push_back({ call, now, expected });
}

void ReplicaHealth::callAnswered(uint64_t call, TimePoint now)
{
    const auto found = std::find_if(calls_.begin(), calls_.end(), [call](const OpenCall& open) { return open.id == call; });
    if (found == calls_.end())
        return;
    recordDuration(found->sentAt, found->expected, now);
    recordEnd(false, now);
    lastAnswer_ = now;
    faultsInRow_ = 0;
    lacksConnection_ = false;
    avoidUntil_ = {};
    calls_.erase(found);
}

void ReplicaHealth::callEnded(uint64_t call, TimePoint now, CallEnd end)
{
    std::erase_if(calls_, [call](const OpenCall& open) { return open.id == call; });
    if (end == CallEnd::Cancelled)
        return;
    lacksConnection_ |= end == CallEnd::TimedOut;
    recordEnd(true, now);
    recordFault(now);
}

void ReplicaHealth::recordDuration(TimePoint sentAt, Micros expected, TimePoint now)
{
    const double usual = static_cast<double>(std::max<int64_t>(expected.count(), 1));
    const double taken = static_cast<double>(std::chrono::duration_cast<Micros>(now - sentAt).count());
    slowness_ = latencyRatio(now) * (1 - kSampleWeight) + taken / usual * kSampleWeight;
    slownessAt_ = now;
}

void ReplicaHealth::recordEnd(bool isLoss, TimePoint now)
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
    lacksConnection_ = true;
    recordFault(now);
}

void ReplicaHealth::connected(TimePoint now)
{
    lacksConnection_ = false;
    // The replica is there again, but only a reply proves that it serves.
    faultsInRow_ = std::min<uint32_t>(faultsInRow_, 1);
    avoidUntil_ = now;
}

void ReplicaHealth::recordLoad(int running, int waiting, TimePoint now)
{
    waiting_ = running >= 0 ? std::max(waiting, 0) : 0;
    loadAt_ = now;
}

void ReplicaHealth::recordFault(TimePoint now)
{
    // Several calls that fail together are one sign, not several.
    if (now - lastFault_ < kAvoidMin && faultsInRow_ > 0)
        return;
    lastFault_ = now;
    if (faultsInRow_ == 0)
        failingSince_ = now;
    ++faultsInRow_;
    const auto step = std::min(faultsInRow_ - 1, kMaxBackoffSteps);
    avoidUntil_ = now + std::min(kAvoidMax, kAvoidMin * (1 << step));
}

bool ReplicaHealth::isUnresponsive(TimePoint now) const
{
    for (const OpenCall& call : calls_) {
        const Micros limit = std::max<Micros>(call.expected * kSilenceFactor, call.expected + kSilenceFloor);
        if (now - call.sentAt > limit && lastAnswer_ < call.sentAt)
            return true;
    }
    return false;
}

double ReplicaHealth::latencyRatio(TimePoint now) const
{
    const double age = std::chrono::duration<double>(now - slownessAt_).count();
    return 1.0 + (slowness_ - 1.0) * std::exp2(-age / kSlownessHalfLifeSeconds);
}

double ReplicaHealth::backlog(TimePoint now) const
{
    const int told = now - loadAt_ < kLoadLife ? waiting_ : 0;
    return static_cast<double>(calls_.size()) + told;
}

} // namespace limpettrestle
