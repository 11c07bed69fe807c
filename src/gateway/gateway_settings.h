#pragma once

/// Settings of the gateway: JSON with comments, every key checked.

#include "../daemon/settings.h"

namespace limpettrestle {

struct GatewaySettings {
    std::string name;
    std::string zone;
    Endpoint caller;
    Endpoint readiness;
    Endpoint peer;
    Endpoint metrics;
    Endpoint registry;
    /// Time in which a replica that leaves must get no more work, and a configuration must be in force.
    Millis drainReaction { 3000 };
    Millis configReaction { 3000 };
    /// Instances asked for what the registry does not tell.
    std::vector<Endpoint> seeds;
    /// Repeated calls allowed to all instances together: this share of the first calls, and a number
    /// on top of it.
    double repeatRatio = 0.2;
    double repeatSlack = 20;
    /// Processor time that the process has in a second, in seconds.
    double processorShare = 1;
    /// Time from the signal to the end of the process.
    Millis grace { 6000 };
    /// Seed of the decisions; drawn at start when zero.
    uint64_t seed = 0;
};

boost::leaf::result<GatewaySettings> loadGatewaySettings(const std::string& file);
boost::leaf::result<GatewaySettings> parseGatewaySettings(const std::string& file, const std::string& text);

} // namespace limpettrestle
