#pragma once

/// One version of the routing configuration, prepared for matching. Immutable.

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

    /// Route with the longest prefix of the target's path among those of the host; null when none
    /// matches. `host` may carry a port and any case.
    const RouteSpec* match(std::string_view host, std::string_view target) const;

    /// Connections that a replica of the service accepts; 0 when the service is unknown.
    uint32_t maxConnections(const std::string& service) const;

private:
    RoutingDocument document_;
    /// Routes by host, longest prefix first.
    absl::flat_hash_map<std::string, std::vector<const RouteSpec*>> byHost_;
    absl::flat_hash_map<std::string, uint32_t> maxConnections_;
};

/// Lower case and without port.
std::string canonicalHost(std::string_view host);

/// First contradiction in a document; empty when there is none.
std::string findRoutingProblem(const RoutingDocument& document);

} // namespace limpettrestle
