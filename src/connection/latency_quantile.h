#pragma once

/// Estimates a quantile of a latency over consecutive windows of samples.

#include "limpettrestle/limpettrestle.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace limpettrestle {

class LatencyQuantile {
public:
    /// `window`: number of samples after which the published value is replaced.
    explicit LatencyQuantile(double quantile, int window = kDefaultWindow)
        : quantile_(quantile)
        , windowSize_(window)
        , window_(boost::accumulators::quantile_probability = quantile)
    {
    }

    void add(Micros latency)
    {
        window_(static_cast<double>(latency.count()));
        if (++count_ < windowSize_)
            return;
        last_ = Micros(static_cast<int64_t>(boost::accumulators::p_square_quantile(window_)));
        hasLast_ = true;
        window_ = Accumulator(boost::accumulators::quantile_probability = quantile_);
        count_ = 0;
    }

    /// Returns the quantile of the last complete window, or `fallback` before the first window is complete.
    Micros value(Micros fallback) const { return hasLast_ ? last_ : fallback; }
    double quantile() const { return quantile_; }

private:
    using Accumulator = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;
    static constexpr int kDefaultWindow = 512;

    double quantile_;
    int windowSize_;
    Accumulator window_;
    int count_ = 0;
    bool hasLast_ = false;
    Micros last_ { 0 };
};

} // namespace limpettrestle
