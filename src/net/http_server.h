#pragma once

/// HTTP/1.1 server on an event loop.

#include "client_budget.h"
#include "http_message.h"

#include <absl/container/flat_hash_map.h>
#include <http_parser.h>
#include <uv.h>

namespace limpettrestle {

/// Identifies a request and its response; 0 means none.
using ExchangeId = uint64_t;

/// Handles the requests of a server.
class HttpHandlerI {
public:
    virtual ~HttpHandlerI() = default;
    /// The handler responds through `HttpServer::respond()`, from within this call or later.
    virtual void onRequest(ExchangeId exchange, HttpRequest request) = 0;
    /// The connection was closed before the response was sent.
    virtual void onCallerDisconnected(ExchangeId exchange) = 0;
    /// There is no room for a further connection, because all of them carry a request. The handler may respond to some.
    virtual void onAllBusy() { }
};

struct HttpServerStats {
    uint64_t accepted = 0;
    uint64_t badRequests = 0;
    uint64_t timeouts = 0;
    /// Requests that were refused because the memory for clients is full (`ResultCode::ClientMemoryFull`).
    uint64_t refusedWithoutMemory = 0;
    /// Connections that were closed because their client did not take a response while that memory was needed (`ResultCode::AnswerNotTaken`).
    uint64_t answersNotTaken = 0;
    /// Connections that were closed to make room for others (`ResultCode::ConnectionsFull`).
    uint64_t evicted = 0;

    HttpServerStats& operator+=(const HttpServerStats& other);
};

class HttpServer {
public:
    HttpServer(uv_loop_t* loop, HttpHandlerI& handler, const ClockI& clock, ClientBudget& budget = ClientBudget::ofProcess());
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Listens on an IPv4 address. Returns false when the address cannot be bound.
    bool listen(const std::string& host, int port);
    void setLimits(const IngressLimits& limits) { limits_ = limits; }
    /// Sets the limit on connections. Beyond it, connections without an open request are closed, those first that have been silent from the start.
    void setMaxConnections(size_t connections) { maxConnections_ = connections; }
    /// From now on, every response closes its connection, after those to pipelined requests; idle connections stay open
    /// until `closeIdle()`.
    void setDraining() { isDraining_ = true; }
    /// Sends a response. Has no effect when the caller has disconnected.
    void respond(ExchangeId exchange, HttpResponse response);
    /// Closes connections that have exceeded a time limit. Must be called periodically.
    void checkTimeouts();
    void stopListening();
    /// Closes all connections that carry no request.
    void closeIdle();
    size_t connections() const { return connections_.size(); }
    /// Number of connections on which a request is being read or answered, or whose last answer is being read.
    size_t busyConnections() const;
    /// True while the sockets have not accepted all bytes of the responses.
    bool hasUnsentResponses() const;
    const HttpServerStats& stats() const { return stats_; }

private:
    class Connection;
    friend class Connection;

    static void onConnection(uv_stream_t* listener, int status);
    /// Closes a connection if there are too many; `newest` only if all others carry a request.
    void makeRoomFor(Connection* newest);
    /// Returns the connection that is closed first to make room; null when all but `except` carry a request.
    Connection* findEvictable(const Connection* except) const;

    uv_loop_t* loop_;
    HttpHandlerI& handler_;
    const ClockI& clock_;
    ClientBudget& budget_;
    size_t maxConnections_ = SIZE_MAX;
    uv_tcp_t* listener_ = nullptr;
    IngressLimits limits_;
    bool isDraining_ = false;
    uint64_t lastExchangeId_ = 0;
    absl::flat_hash_map<uint64_t, Connection*> connections_;
    absl::flat_hash_map<ExchangeId, Connection*> exchanges_;
    HttpServerStats stats_;
};

} // namespace limpettrestle
