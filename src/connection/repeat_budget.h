#pragma once

/// Budget of repeated calls to one service (token bucket filled by first calls).

#include <algorithm>

namespace limpettrestle {

class RepeatBudget {
public:
    /// `burst`: repeats in hand at the start.
    explicit RepeatBudget(double burst)
        : tokens_(burst)
    {
    }

    /// `ratio`: repeats earned by a first call. `burst`: repeats that may be saved up.
    void firstCall(double ratio, double burst) { tokens_ = std::min(burst, tokens_ + ratio); }

    bool tryTake()
    {
        if (tokens_ < 1.0)
            return false;
        tokens_ -= 1.0;
        return true;
    }

    double tokens() const { return tokens_; }

private:
    double tokens_;
};

} // namespace limpettrestle
