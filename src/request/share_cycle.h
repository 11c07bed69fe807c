#pragma once

/// Smooth weighted round robin over the services of a route.

#include "limpettrestle/routing.h"

namespace limpettrestle {

class ShareCycle {
public:
    /// Index of the service for the next request. `offset` in [0, 1) spreads the starts of the
    /// instances over the cycle; it counts when the shares have changed.
    size_t next(const std::vector<ServiceShare>& shares, double offset);

private:
    bool fits(const std::vector<ServiceShare>& shares) const;
    void reset(const std::vector<ServiceShare>& shares, double offset);

    std::vector<ServiceShare> shares_;
    std::vector<double> credits_;
};

} // namespace limpettrestle
