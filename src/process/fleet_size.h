#pragma once

/// Estimates how many instances share the budgets and connections.

#include "limpettrestle/routing.h"

#include <absl/container/flat_hash_map.h>
#include <algorithm>

namespace limpettrestle {

class FleetSize {
public:
    /// Size assumed until the fleet is known. It is large, so that budgets and connection limits start small.
    static constexpr uint32_t kDefaultSize = 60;

    /// Limit on recorded instances, several times the size of the largest fleet. Further ones are ignored.
    static constexpr size_t kMaxInstances = 4096;

    /// `assumed`: size returned until the first report of a reader.
    explicit FleetSize(uint32_t assumed)
        : assumed_(assumed)
    {
    }

    /// Records a request of a follower to this instance.
    void recordFollower(const std::string& name, TimePoint now)
    {
        if (!followers_.contains(name) && followers_.size() >= kMaxInstances)
            absl::erase_if(followers_, [now](const auto& entry) { return now - entry.second > kFollowerTtl; });
        if (followers_.contains(name) || followers_.size() < kMaxInstances)
            followers_[name] = now;
    }
    /// Records how many instances follow another reader, itself included.
    void recordReaderReport(const std::string& reader, uint32_t followers, TimePoint now) { readers_[reader] = { followers, now }; }
    /// Records the size of the fleet that a reader reported.
    void recordReportedSize(uint32_t size, TimePoint now)
    {
        reportedSize_ = size;
        reportedAt_ = now;
    }

    /// Returns the number of instances that follow this one, itself included.
    uint32_t following(TimePoint now) const
    {
        return 1 + static_cast<uint32_t>(std::count_if(followers_.begin(), followers_.end(), [now](const auto& entry) { return now - entry.second <= kFollowerTtl; }));
    }

    /// Returns the estimated size of the fleet.
    uint32_t size(TimePoint now, bool isReader) const
    {
        if (!isReader)
            return reportedAt_ == TimePoint {} ? assumed_ : reportedSize_;
        uint32_t total = following(now);
        bool hasReport = false;
        for (const auto& [name, reader] : readers_) {
            hasReport = true;
            // A reader that has been partitioned away keeps its followers, so its last report stays valid for long.
            if (now - reader.second <= kReaderReportTtl)
                total += reader.first;
        }
        return hasReport ? total : std::max(total, assumed_);
    }

private:
    /// A follower sends a request at least every second; one that has moved to another reader expires soon.
    static constexpr Millis kFollowerTtl { 2000 };
    static constexpr Millis kReaderReportTtl { 30000 };

    uint32_t assumed_;
    uint32_t reportedSize_ = 0;
    TimePoint reportedAt_ {};
    absl::flat_hash_map<std::string, TimePoint> followers_;
    absl::flat_hash_map<std::string, std::pair<uint32_t, TimePoint>> readers_;
};

} // namespace limpettrestle
