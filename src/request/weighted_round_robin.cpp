#include "weighted_round_robin.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    double totalWeight(const std::vector<ServiceShare>& shares)
    {
        double total = 0;
        for (const ServiceShare& share : shares)
            total += share.weight;
        return total;
    }

    /// Returns the index of the first service with a weight; a route has at least one.
    size_t firstWithWeight(const std::vector<ServiceShare>& shares)
    {
        const auto found = std::find_if(shares.begin(), shares.end(), [](const ServiceShare& share) { return share.weight > 0; });
        return found == shares.end() ? 0 : static_cast<size_t>(found - shares.begin());
    }

} // namespace

size_t WeightedRoundRobin::next(const std::vector<ServiceShare>& shares, double offset)
{
    if (shares.size() == 1)
        return 0;
    if (!matches(shares))
        reset(shares, offset);
    for (size_t i = 0; i < shares.size(); ++i)
        currentWeights_[i] += shares[i].weight;
    size_t selected = firstWithWeight(shares);
    for (size_t i = selected + 1; i < shares.size(); ++i) {
        if (shares[i].weight > 0 && currentWeights_[i] > currentWeights_[selected])
            selected = i;
    }
    currentWeights_[selected] -= totalWeight(shares);
    return selected;
}

bool WeightedRoundRobin::matches(const std::vector<ServiceShare>& shares) const
{
    return std::equal(shares.begin(), shares.end(), shares_.begin(), shares_.end(),
        [](const ServiceShare& a, const ServiceShare& b) { return a.service == b.service && a.weight == b.weight; });
}

void WeightedRoundRobin::reset(const std::vector<ServiceShare>& shares, double offset)
{
    shares_ = shares;
    currentWeights_.assign(shares.size(), 0.0);
    const auto weighted = std::count_if(shares.begin(), shares.end(), [](const ServiceShare& share) { return share.weight > 0; });
    if (weighted < 2)
        return;
    const double lead = (offset - 0.5) * totalWeight(shares);
    const size_t first = firstWithWeight(shares);
    for (size_t i = 0; i < shares.size(); ++i) {
        if (shares[i].weight > 0)
            currentWeights_[i] = i == first ? lead : -lead / static_cast<double>(weighted - 1);
    }
}

} // namespace limpettrestle
