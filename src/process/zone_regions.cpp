#include "zone_regions.h"

#include <algorithm>

namespace limpettrestle {

bool ZoneRegions::allows(std::span<const std::string> homeRegions, const std::string& zone) const
{
    if (!restricts(homeRegions))
        return true;
    const auto region = regions_.find(zone);
    return region != regions_.end() && std::find(homeRegions.begin(), homeRegions.end(), region->second) != homeRegions.end();
}

size_t ZoneRegions::excludedZones(std::span<const std::string> homeRegions) const
{
    return static_cast<size_t>(std::count_if(regions_.begin(), regions_.end(), [&](const auto& entry) { return !allows(homeRegions, entry.first); }));
}

} // namespace limpettrestle
