#pragma once

/// Budget of repeated calls to one service (token bucket filled by first calls).

#include <algorithm>

namespace limpettrestle {

class RepeatBudget {
public:
    /// `ratio`: repeats earned by a first call. `burst`: repeats that may be saved up.
    RepeatBudget(double ratio, double burst)
        : ratio_(ratio)
        , burst_(burst)
        , tokens_(burst)
    {
    }

    void firstCall() { tokens_ = std::min(burst_, tokens_ + ratio_); }

    bool tryTake()
    {
        if (tokens_ < 1.0)
            return false;
        tokens_ -= 1.0;
        return true;
    }

    double tokens() const { return tokens_; }

private:
    double ratio_;
    double burst_;
    double tokens_;
};

} // namespace limpettrestle
