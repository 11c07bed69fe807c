#pragma once

/// HTTP interface for operators and the load balancer: health, readiness, metrics, status, timeline.

#include "shared_state.h"

#include <httplib.h>
#include <prometheus/registry.h>

namespace limpettrestle {

class AdminServer {
public:
    AdminServer(SharedState& shared, const DaemonSettings& settings, std::shared_ptr<prometheus::Registry> registry);

    /// Binds the admin port; returns false when it cannot be bound.
    bool bind();
    /// Serves until `stop()`.
    void run();
    void stop();

private:
    /// Asks the decision thread for the status; null if the inbox is full or the query times out.
    std::shared_ptr<StatusQuery> queryStatus();
    void onMetrics(httplib::Response& response);
    void onTimeline(const httplib::Request& request, httplib::Response& response);

    SharedState& shared_;
    const DaemonSettings settings_;
    std::shared_ptr<prometheus::Registry> registry_;
    httplib::Server server_;
};

} // namespace limpettrestle
