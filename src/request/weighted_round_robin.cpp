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

} // namespace

size_t WeightedRoundRobin::next(const std::vector<ServiceShare>& shares, double offset)
{
    if (shares.size() == 1)
        return 0;
    if (!matches(shares))
        reset(shares, offset);
    for (size_t i = 0; i < shares.size(); ++i)
        currentWeights_[i] += shares[i].weight;
    const auto selected = std::max_element(currentWeights_.begin(), currentWeights_.end());
    *selected -= totalWeight(shares);
    return static_cast<size_t>(selected - currentWeights_.begin());
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
    const double total = totalWeight(shares);
    for (size_t i = 0; i < shares.size(); ++i)
        currentWeights_[i] = (offset - 0.5) * total * (i == 0 ? 1.0 : -1.0 / static_cast<double>(shares.size() - 1));
}

} // namespace limpettrestle
