#pragma once

/// HTTP interface for callers: searches, permits and submissions.

#include "hub.h"

#include <httplib.h>
#include <prometheus/histogram.h>

namespace limpettrestle {

class CallerServer {
public:
    CallerServer(Hub& hub, const DaemonSettings& settings, prometheus::Histogram& latency);

    /// Binds the caller port; false when it cannot be bound.
    bool bind();
    /// Serves until `stop()`.
    void run();
    void stop();

private:
    void onSearch(const httplib::Request& request, httplib::Response& response);
    void onPermit(const httplib::Request& request, httplib::Response& response);
    void onSubmit(const httplib::Request& request, httplib::Response& response);
    /// Hands the event over and waits for its answer.
    template <typename EventType>
    void serve(EventType event, Millis deadline, httplib::Response& response);
    httplib::Server::HandlerResponse refuseLargeBody(const httplib::Request& request, httplib::Response& response);
    bool refuseMalformed(const httplib::Request& request, httplib::Response& response);

    Hub& hub_;
    const DaemonSettings settings_;
    prometheus::Histogram& latency_;
    httplib::Server server_;
};

} // namespace limpettrestle
