#pragma once

/// HTTP interface for callers: searches, permits and submissions.

#include "shared_state.h"

#include <httplib.h>
#include <prometheus/histogram.h>

namespace limpettrestle {

class CallerServer {
public:
    CallerServer(SharedState& shared, const DaemonSettings& settings, prometheus::Histogram& latency);

    /// Binds the caller port; returns false when it cannot be bound.
    bool bind();
    /// Serves until `stop()`.
    void run();
    void stop();

private:
    void onSearch(const httplib::Request& request, httplib::Response& response);
    void onPermit(const httplib::Request& request, httplib::Response& response);
    void onSubmit(const httplib::Request& request, httplib::Response& response);
    /// Posts the event to the decision thread, waits for the answer and writes the response.
    template <typename EventType>
    void postAndReply(EventType event, Millis deadline, httplib::Response& response);
    /// Refuses a body that is far over the size limit before it is read.
    httplib::Server::HandlerResponse refuseLargeBody(const httplib::Request& request, httplib::Response& response);
    /// Returns true after refusing a request that repeats a header that may occur only once.
    bool refuseDuplicateHeaders(const httplib::Request& request, httplib::Response& response);

    SharedState& shared_;
    const DaemonSettings settings_;
    prometheus::Histogram& latency_;
    httplib::Server server_;
};

} // namespace limpettrestle
