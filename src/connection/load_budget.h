#pragma once

/// Token bucket that bounds added load to a share of the regular load.

#include <algorithm>

namespace limpettrestle {

/// Earns `share` tokens for each regular call; each extra call spends one.
class LoadBudget {
public:
    explicit LoadBudget(double burst)
        : burst_(burst)
        , tokens_(burst)
    {
    }

    /// Tokens that may be saved up from now on.
    void setBurst(double burst) { burst_ = burst; }

    void earn(double share) { tokens_ = std::min(burst_, tokens_ + share); }

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
