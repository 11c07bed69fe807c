#pragma once

/// Settings of the gateway: JSON with comments; unknown keys and invalid values are errors.

#include "../daemon/settings.h"

#include <map>
#include <optional>

namespace limpettrestle {

struct GatewaySettings {
    std::string name;
    std::string zone;
    /// Region of each availability zone by the zone's name; empty if there is only one region.
    std::map<std::string, std::string> regions;
    /// Addresses on which the gateway listens for callers, readiness checks, other instances and operators.
    Endpoint caller;
    Endpoint readiness;
    Endpoint peer;
    Endpoint metrics;
    /// Address of the platform's registry.
    Endpoint registry;
    /// Time within which a draining replica must stop getting work, and a new configuration must become active.
    Millis drainReaction { 3000 };
    Millis configReaction { 3000 };
    /// Time within which an evacuated zone must get no more calls; unset if zones are not evacuated.
    std::optional<Millis> evacuationReaction;
    /// Limit on the calls that all instances together send to a cold replica within a second: its cold rate times
    /// `coldExcess`, plus `coldSlack`.
    double coldExcess = 1;
    double coldSlack = 1;
    /// Peer addresses of the readers: the instances that read the registry and serve its contents to the others.
    std::vector<Endpoint> seeds;
    /// Budget of repeated calls (retries and hedges) for all instances together: this ratio of first calls, plus a
    /// constant number.
    double repeatRatio = 0.2;
    double repeatSlack = 20;
    /// CPU time available to the process, in CPU seconds per second.
    double processorShare = 1;
    /// Time from SIGTERM to the end of the process.
    Millis grace { 6000 };
    /// Memory and descriptors of the process. Descriptors are 0 if only the system's own limit on them applies.
    size_t memoryBytes = size_t(256) << 20;
    uint64_t descriptors = 0;
    /// Seed for random decisions; 0 draws one at startup.
    uint64_t seed = 0;
};

/// What the listeners may take of the memory and the descriptors of the process. The rest is for replicas, other instances and the process itself.
struct ClientShares {
    /// Bytes of requests and responses; see `ClientBudget`.
    size_t bytes = 0;
    /// Connections of callers and of other instances, and to each of the pages for readiness and metrics.
    size_t callerConnections = 0;
    size_t peerConnections = 0;
    size_t pageConnections = 0;
};
/// Divides the memory and the descriptors that the settings state. `systemDescriptors` is the system's limit on descriptors.
ClientShares shareOut(const GatewaySettings& settings, size_t systemDescriptors);

/// Reads and checks a settings file. Errors carry a `SettingsError`.
boost::leaf::result<GatewaySettings> loadGatewaySettings(const std::string& file);
/// Checks the text of a settings file; `file` is only used in errors.
boost::leaf::result<GatewaySettings> parseGatewaySettings(const std::string& file, const std::string& text);

} // namespace limpettrestle
