#pragma once

/// Regions of the availability zones, and which zones may process the requests of a route with home regions.

#include <map>
#include <span>
#include <string>

namespace limpettrestle {

class ZoneRegions {
public:
    /// A single region, in which all zones are.
    ZoneRegions() = default;
    /// `regions`: region of each zone by the zone's name; empty if there is only one region.
    explicit ZoneRegions(std::map<std::string, std::string> regions)
        : regions_(std::move(regions))
    {
    }

    /// True if a route with these home regions is restricted to some of the zones.
    bool restricts(std::span<const std::string> homeRegions) const { return !regions_.empty() && !homeRegions.empty(); }
    /// True if the zone may process requests of a route with these home regions. A zone without a known region may
    /// process none that are restricted.
    bool allows(std::span<const std::string> homeRegions, const std::string& zone) const;
    /// Number of zones that may not process requests of a route with these home regions.
    size_t excludedZones(std::span<const std::string> homeRegions) const;

private:
    std::map<std::string, std::string> regions_;
};

/// Zones that may process a request; all of them unless the request's route has home regions.
class AllowedZones {
public:
    AllowedZones() = default;
    /// Both must outlive this object. `regions`: null if there is only one region.
    AllowedZones(const ZoneRegions* regions, std::span<const std::string> homeRegions)
        : regions_(regions)
        , homeRegions_(homeRegions)
    {
    }

    bool isRestricted() const { return regions_ != nullptr && regions_->restricts(homeRegions_); }
    bool contains(const std::string& zone) const { return regions_ == nullptr || regions_->allows(homeRegions_, zone); }

private:
    const ZoneRegions* regions_ = nullptr;
    std::span<const std::string> homeRegions_;
};

} // namespace limpettrestle
