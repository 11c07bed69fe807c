#pragma once

/// HTTP interface for operators and the balancer: health, readiness, metrics, status, time line.

#include "hub.h"

#include <httplib.h>
#include <prometheus/registry.h>

namespace limpettrestle {

class AdminServer {
public:
    AdminServer(Hub& hub, const DaemonSettings& settings, std::shared_ptr<prometheus::Registry> registry);

    bool bind();
    void run();
    void stop();

private:
    std::shared_ptr<StatusQuery> queryStatus();
    void onMetrics(httplib::Response& response);
    void onTimeline(const httplib::Request& request, httplib::Response& response);

    Hub& hub_;
    const DaemonSettings settings_;
    std::shared_ptr<prometheus::Registry> registry_;
    httplib::Server server_;
};

} // namespace limpettrestle
