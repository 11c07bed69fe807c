#include "slot_queue.h"

namespace limpettrestle {

namespace {

    /// Weights by which waiting priority classes share the slots.
    constexpr std::array<double, kPriorityClassCount> kClassWeight = { 12.0, 3.0, 1.0 };

} // namespace

bool SlotQueue::push(QueuedCall call)
{
    const size_t laneIndex = priorityOrder_ ? static_cast<size_t>(call.priority) : 0;
    Lane& lane = lanes_[laneIndex];
    if (lane.size() >= config::kMaxQueuedPerReplica)
        return false;
    const TimePoint key = priorityOrder_ ? call.deadline : TimePoint(TimePoint::duration(++arrivals_));
    lane.emplace(key, std::move(call));
    return true;
}

std::optional<QueuedCall> SlotQueue::pop()
{
    const int index = nextLane();
    if (index < 0)
        return std::nullopt;
    Lane& lane = lanes_[static_cast<size_t>(index)];
    QueuedCall call = std::move(lane.begin()->second);
    lane.erase(lane.begin());
    return call;
}

std::optional<QueuedCall> SlotQueue::remove(RequestId request, uint32_t attempt)
{
    for (Lane& lane : lanes_) {
        for (auto it = lane.begin(); it != lane.end(); ++it) {
            if (it->second.request != request || it->second.attempt != attempt)
                continue;
            QueuedCall call = std::move(it->second);
            lane.erase(it);
            return call;
        }
    }
    return std::nullopt;
}

std::vector<QueuedCall> SlotQueue::takeExpired(TimePoint now)
{
    std::vector<QueuedCall> expired;
    for (Lane& lane : lanes_) {
        for (auto it = lane.begin(); it != lane.end();) {
            if (it->second.deadline > now) {
                ++it;
                continue;
            }
            expired.push_back(std::move(it->second));
            it = lane.erase(it);
        }
    }
    return expired;
}

std::vector<QueuedCall> SlotQueue::takeAll()
{
    return takeExpired(TimePoint::max());
}

size_t SlotQueue::size() const
{
    size_t total = 0;
    for (const Lane& lane : lanes_)
        total += lane.size();
    return total;
}

double SlotQueue::countAheadOf(PriorityClass priority) const
{
    if (!priorityOrder_)
        return static_cast<double>(lanes_[0].size());
    const auto classIndex = static_cast<size_t>(priority);
    double ahead = 0;
    for (size_t i = 0; i <= classIndex; ++i)
        ahead += static_cast<double>(lanes_[i].size());
    for (size_t i = classIndex + 1; i < lanes_.size(); ++i) {
        const double lowerClassCalls = ahead * kClassWeight[i] / kClassWeight[classIndex];
        ahead += std::min(static_cast<double>(lanes_[i].size()), lowerClassCalls);
    }
    return ahead;
}

int SlotQueue::nextLane()
{
    // Smooth weighted round robin: the waiting class with the most credit goes next and pays the sum of
    // the waiting classes' weights.
    int best = -1;
    double weights = 0;
    for (size_t i = 0; i < lanes_.size(); ++i) {
        if (lanes_[i].empty()) {
            credit_[i] = 0;
            continue;
        }
        credit_[i] += kClassWeight[i];
        weights += kClassWeight[i];
        if (best < 0 || credit_[i] > credit_[static_cast<size_t>(best)])
            best = static_cast<int>(i);
    }
    if (best >= 0)
        credit_[static_cast<size_t>(best)] -= weights;
    return best;
}

} // namespace limpettrestle
