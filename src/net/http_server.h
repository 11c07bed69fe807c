#pragma once

/// HTTP/1.1 server on an event loop.

#include "http_message.h"

#include <absl/container/flat_hash_map.h>
#include <http_parser.h>
#include <uv.h>

namespace limpettrestle {

/// Identifies a request that waits for its response; 0 is none.
using ExchangeId = uint64_t;

class HttpHandlerI {
public:
    virtual ~HttpHandlerI() = default;
    /// Answered by `HttpServer::respond()`, now or later.
    virtual void onRequest(ExchangeId exchange, HttpRequest request) = 0;
    /// The caller closed its connection before the response.
    virtual void onCallerDisconnected(ExchangeId exchange) = 0;
};

struct HttpServerStats {
    uint64_t accepted = 0;
    uint64_t badRequests = 0;
    uint64_t timeouts = 0;
};

class HttpServer {
public:
    HttpServer(uv_loop_t* loop, HttpHandlerI& handler, const ClockI& clock);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    bool listen(const std::string& host, int port);
    void setLimits(const IngressLimits& limits) { limits_ = limits; }
    /// Responses from now on end their connections; idle connections stay until `closeAll()`.
    void setDraining() { isDraining_ = true; }
    /// Ignored when the caller has left.
    void respond(ExchangeId exchange, HttpResponse response);
    /// Closes connections that exceeded a time limit.
    void sweep();
    void stopListening();
    /// Closes all connections without an open request.
    void closeIdle();
    size_t connections() const { return connections_.size(); }
    const HttpServerStats& stats() const { return stats_; }

private:
    class Connection;
    friend class Connection;

    static void onIncoming(uv_stream_t* listener, int status);

    uv_loop_t* loop_;
    HttpHandlerI& handler_;
    const ClockI& clock_;
    uv_tcp_t* listener_ = nullptr;
    IngressLimits limits_;
    bool isDraining_ = false;
    uint64_t lastExchange_ = 0;
    absl::flat_hash_map<uint64_t, Connection*> connections_;
    absl::flat_hash_map<ExchangeId, Connection*> exchanges_;
    HttpServerStats stats_;
};

} // namespace limpettrestle
