#include "replica_load.h"

#include <algorithm>
#include <cmath>

namespace limpettrestle {

namespace {

    /// Weight of a new sample in the service time.
    constexpr double kServiceTimeWeight = 0.1;
    /// Half-life of a reported queue: a replica that gets no calls drains within a few service times.
    constexpr double kMinQueueHalfLifeSeconds = 0.06;
    constexpr int kQueueHalfLifeServiceTimes = 3;
    /// Queue per slot of a replica that turns calls away without a report.
    constexpr double kShedQueuePerSlot = 4;

    double slotsOf(const QueueReport& report) { return std::max<uint32_t>(report.slots, 1); }

} // namespace

void ReplicaLoad::recordAnswer(Micros duration, const QueueReport& report, TimePoint now)
{
    if (report.waiting >= 0) {
        queue_ = report.waiting;
        queueAt_ = now;
    }
    // The call waited behind about as many requests as wait now.
    const double ownShare = 1 / (1 + queue(now) / slotsOf(report));
    const auto sample = std::chrono::duration_cast<Micros>(duration * ownShare);
    if (serviceTime_ == Micros::zero())
        serviceTime_ = sample;
    else
        serviceTime_ += std::chrono::duration_cast<Micros>((sample - serviceTime_) * kServiceTimeWeight);
}

void ReplicaLoad::recordShed(const QueueReport& report, TimePoint now)
{
    queue_ = std::max<double>(report.waiting, kShedQueuePerSlot * slotsOf(report));
    queueAt_ = now;
}

double ReplicaLoad::queue(TimePoint now) const
{
    const double age = std::chrono::duration<double>(now - queueAt_).count();
    const double halfLife = std::max(kMinQueueHalfLifeSeconds, std::chrono::duration<double>(serviceTime_ * kQueueHalfLifeServiceTimes).count());
    return queue_ * std::exp2(-age / halfLife);
}

Micros ReplicaLoad::wait(uint32_t slots, size_t queued, size_t inFlight, TimePoint now) const
{
    const double parallel = std::max<uint32_t>(slots, 1);
    const double unreported = std::max(0.0, static_cast<double>(inFlight) - parallel);
    const double turns = std::max(queue(now), unreported) / parallel;
    const double connectionTurns = static_cast<double>(queued) / static_cast<double>(std::max<size_t>(inFlight, 1));
    return std::chrono::duration_cast<Micros>(serviceTime_ * (turns + connectionTurns * (1 + turns)));
}

} // namespace limpettrestle
