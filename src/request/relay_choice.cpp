#include "relay_choice.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    /// Time for which an instance that declined or failed is not chosen: about the time in which it would notice that its
    /// replicas are reachable again.
    constexpr Millis kAvoidDuration { 1000 };
    /// Time for which an answer shows that an instance serves, although others of its zone have declined.
    constexpr Millis kAnswerTtl { 2000 };
    /// Limit on open requests at one instance, so that the few that are known to serve are not overloaded.
    constexpr uint32_t kMaxOpen = 16;
    /// Instances that have not answered recently, of a zone in which one declined recently.
    constexpr int kLastRank = 2;

} // namespace

RelayChoice::RelayChoice(std::string self, std::string zone, uint64_t seed)
    : self_(std::move(self))
    , zone_(std::move(zone))
    , random_(seed)
{
}

void RelayChoice::setInstances(std::vector<InstanceInfo> instances)
{
    instances_ = std::move(instances);
    std::erase_if(instances_, [this](const InstanceInfo& instance) { return instance.name == self_; });
}

int RelayChoice::rankOf(const InstanceInfo& instance, std::span<const std::string> tried, TimePoint now) const
{
    if (!instance.supportsAll(requiredFeatures_) || std::find(tried.begin(), tried.end(), instance.name) != tried.end())
        return -1;
    const auto state = states_.find(instance.name);
    const bool isKnown = state != states_.end();
    if (isKnown && (now < state->second.avoidUntil || state->second.open >= kMaxOpen))
        return -1;
    const bool hasAnswered = isKnown && now - state->second.lastAnswer <= kAnswerTtl;
    const int rank = instance.zone == zone_ ? 0 : 1;
    const auto zone = zones_.find(instance.zone);
    if (hasAnswered || zone == zones_.end())
        return rank;
    if (now < zone->second.avoidUntil)
        return -1;
    return now - zone->second.declinedAt <= kAvoidDuration ? kLastRank : rank;
}

const InstanceInfo* RelayChoice::choose(std::span<const std::string> tried, TimePoint now, uint32_t requiredFeatures, const AllowedZones& zones)
{
    int bestRank = kLastRank + 1;
    std::vector<const InstanceInfo*> best;
    for (const InstanceInfo& instance : instances_) {
        if (!instance.supportsAll(requiredFeatures) || !zones.contains(instance.zone))
            continue;
        const int rank = rankOf(instance, tried, now);
        if (rank < 0 || rank > bestRank)
            continue;
        if (rank < bestRank)
            best.clear();
        bestRank = rank;
        best.push_back(&instance);
    }
    if (best.empty())
        return nullptr;
    // The less busy of two random candidates: spreads the load without favouring an instance on all senders.
    std::uniform_int_distribution<size_t> pick(0, best.size() - 1);
    const InstanceInfo* first = best[pick(random_)];
    const InstanceInfo* second = best[pick(random_)];
    return states_[second->name].open < states_[first->name].open ? second : first;
}

void RelayChoice::relayStarted(const InstanceInfo& instance)
{
    InstanceState& state = states_[instance.name];
    state.zone = instance.zone;
    ++state.open;
}

void RelayChoice::relayEnded(const std::string& instance, RelayEnd end, TimePoint now)
{
    InstanceState& state = states_[instance];
    state.open -= std::min<uint32_t>(state.open, 1);
    if (end == RelayEnd::Answered)
        state.lastAnswer = now;
    if (end != RelayEnd::Declined && end != RelayEnd::Failed)
        return;
    state.avoidUntil = now + kAvoidDuration;
    state.lastAnswer = {};
    ZoneState& zone = zones_[state.zone];
    zone.declinedAt = now;
    if (end == RelayEnd::Failed && state.zone != zone_)
        zone.avoidUntil = now + kAvoidDuration;
}

} // namespace limpettrestle
