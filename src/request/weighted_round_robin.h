#pragma once

/// Smooth weighted round robin over the services of a route.

#include "limpettrestle/routing.h"

namespace limpettrestle {

class WeightedRoundRobin {
public:
    /// Returns the index of the service for the next request. `offset` in [0, 1) sets the start within
    /// the cycle, so that instances do not start in step; it is used only if the shares have changed.
    size_t next(const std::vector<ServiceShare>& shares, double offset);

private:
    bool matches(const std::vector<ServiceShare>& shares) const;
    void reset(const std::vector<ServiceShare>& shares, double offset);

    std::vector<ServiceShare> shares_;
    std::vector<double> currentWeights_;
};

} // namespace limpettrestle
