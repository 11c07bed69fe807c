#pragma once

/// Immutable lookup table for one version of the routing configuration.

#include "limpettrestle/routing.h"

#include <absl/container/flat_hash_map.h>
#include <memory>

namespace limpettrestle {

class RouteTable {
public:
    explicit RouteTable(RoutingDocument document);

    uint64_t version() const { return document_.version; }
    const RoutingDocument& document() const { return document_; }
    const IngressLimits& limits() const { return document_.limits; }
    const std::vector<RouteSpec>& routes() const { return document_.routes; }
    const std::vector<ServiceSpec>& services() const { return document_.services; }

    /// Routes in groups with the same services, shards, home regions and latency target, in the order of their first routes.
    /// What depends on these alone is derived once for a group, because a configuration may have many routes and few groups.
    const std::vector<std::vector<const RouteSpec*>>& groups() const { return groups_; }

    /// Returns the route of the host with the longest prefix that matches the path of the target, or
    /// null. `host` may contain a port and is matched case-insensitively.
    const RouteSpec* match(std::string_view host, std::string_view target) const;

    /// Maximum connections to a replica of the service; 0 if the service is unknown.
    uint32_t maxConnections(const std::string& service) const;
    /// Distinct home regions of the routes that use the service, with an empty list for those that have none. Empty if no
    /// route of the service has home regions.
    const std::vector<std::vector<std::string>>& homeRegionsOf(const std::string& service) const;

private:
    void groupRoutes();
    void indexHomeRegions();

    RoutingDocument document_;
    std::vector<std::vector<const RouteSpec*>> groups_;
    /// Routes by host, sorted by descending prefix length.
    absl::flat_hash_map<std::string, std::vector<const RouteSpec*>> byHost_;
    absl::flat_hash_map<std::string, uint32_t> maxConnections_;
    absl::flat_hash_map<std::string, std::vector<std::vector<std::string>>> homeRegions_;
};

/// Converts a host to lower case and removes its port.
std::string canonicalHost(std::string_view host);

/// Returns a description of the first invalid route of a document, or an empty string.
std::string findRoutingProblem(const RoutingDocument& document);

} // namespace limpettrestle
