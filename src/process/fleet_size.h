#pragma once

/// Estimates how many instances share the budgets and connections.

#include "limpettrestle/routing.h"

#include <absl/container/flat_hash_map.h>
#include <algorithm>

namespace limpettrestle {

class FleetSize {
public:
    /// Instances assumed until the fleet is known: many, so that budgets and connections start small.
    static constexpr uint32_t kDefaultSize = 60;

    /// `assumed`: taken until the first reader has told.
    explicit FleetSize(uint32_t assumed)
        : assumed_(assumed)
    {
    }

    /// A follower has asked this instance.
    void recordFollower(const std::string& name, TimePoint now) { followers_[name] = now; }
    /// Another reader told how many instances follow it, itself included.
    void recordReaderReport(const std::string& reader, uint32_t followers, TimePoint now) { readers_[reader] = { followers, now }; }
    /// A reader told the size of the fleet.
    void recordReportedSize(uint32_t size, TimePoint now)
    {
        told_ = size;
        toldAt_ = now;
    }

    /// Instances that follow this one, itself included.
    uint32_t following(TimePoint now) const
    {
        return 1 + static_cast<uint32_t>(std::count_if(followers_.begin(), followers_.end(), [now](const auto& entry) { return now - entry.second <= kFollowerLife; }));
    }

    /// Size as this instance knows it.
    uint32_t size(TimePoint now, bool isReader) const
    {
        if (!isReader)
            return toldAt_ == TimePoint {} ? assumed_ : told_;
        uint32_t sum = following(now);
        bool hasHeard = false;
        for (const auto& [name, reader] : readers_) {
            hasHeard = true;
            // A reader behind a cut still has its followers.
            if (now - reader.second <= kReaderLife)
                sum += reader.first;
        }
        return hasHeard ? sum : std::max(sum, assumed_);
    }

private:
    /// A follower asks every second at least; one that has moved to another reader is soon forgotten.
    static constexpr Millis kFollowerLife { 2000 };
    static constexpr Millis kReaderLife { 30000 };

    uint32_t assumed_;
    uint32_t told_ = 0;
    TimePoint toldAt_ {};
    absl::flat_hash_map<std::string, TimePoint> followers_;
    absl::flat_hash_map<std::string, std::pair<uint32_t, TimePoint>> readers_;
};

} // namespace limpettrestle
