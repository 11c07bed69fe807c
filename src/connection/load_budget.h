#pragma once

/// Token bucket that limits extra calls (retries and hedges) to a share of the regular calls.

#include <algorithm>

namespace limpettrestle {

/// Each regular call adds a fraction of a token; each extra call takes one token.
class LoadBudget {
public:
    explicit LoadBudget(double burst)
        : burst_(burst)
        , tokens_(burst)
    {
    }

    /// Sets the capacity of the bucket. Tokens already held above it are dropped at the next `earn()`.
    void setBurst(double burst) { burst_ = burst; }

    /// Adds `share` tokens, up to the capacity.
    void earn(double share) { tokens_ = std::min(burst_, tokens_ + share); }

    /// Takes one token; returns false when less than one is available.
    bool spend()
    {
        if (tokens_ < 1.0)
            return false;
        tokens_ -= 1.0;
        return true;
    }

    double tokens() const { return tokens_; }

private:
    double burst_;
    double tokens_;
};

} // namespace limpettrestle
