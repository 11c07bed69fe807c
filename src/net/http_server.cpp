#include "http_server.h"

#include "stream_io.h"

#include <climits>
#include <fmt/format.h>

namespace limpettrestle {

namespace {

    /// Connections that wait to be accepted; beyond it the kernel makes them wait.
    constexpr int kBacklog = 512;
    /// A caller that takes no byte of its answer for so long is gone.
    constexpr int kPeerTimeoutMs = 10000;
    /// After its last response a connection may stay open for so long, so that the caller reads it whole.
    constexpr Millis kLingerTime { 1000 };
    /// Requests sent ahead on one connection, bytes.
    constexpr size_t kMaxPipelinedBytes = 1 << 20;

    std::string encodeHead(const HttpResponse& response, bool isLast)
    {
        std::string head = fmt::format("HTTP/1.1 {} {}\r\n", response.status, reasonPhrase(response.status));
        for (const HeaderField& header : response.headers)
            appendHeader(head, header.name, header.value);
        if (response.status != 204 && response.status != 304)
            appendHeader(head, "Content-Length", std::to_string(response.body.size()));
        if (isLast)
            appendHeader(head, "Connection", "close");
        head.append("\r\n");
        return head;
    }

} // namespace

/// One caller's connection. Owned by itself; gone after `close()`.
class HttpServer::Connection {
public:
    Connection(HttpServer& server, uint64_t id)
        : server_(&server)
        , id_(id)
        , since_(server.clock_.now())
    {
        uv_tcp_init(server.loop_, &socket_);
        socket_.data = this;
        resetParser();
    }

    bool accept(uv_stream_t* listener)
    {
        if (uv_accept(listener, stream()) != 0)
            return false;
        uv_tcp_nodelay(&socket_, 1);
        setPeerTimeout(&socket_, kPeerTimeoutMs);
        roundTrip_ = Micros(roundTripMicros(&socket_));
        return uv_read_start(stream(), onAllocate, onRead) == 0;
    }

    void respond(HttpResponse response)
    {
        exchange_ = 0;
        const bool isLast = response.isLast || server_->isDraining_ || !keepsAlive_;
        since_ = server_->clock_.now();
        const std::string head = encodeHead(response, isLast);
        const std::string none;
        if (writeOrQueue(stream(), head, method_ == HTTP_HEAD ? none : response.body, pendingWrites_) == WriteResult::Dead) {
            close();
            return;
        }
        if (isLast) {
            startLingering();
            return;
        }
        resetParser();
        state_ = State::Idle;
        continueWithPending();
    }

    /// True when a limit has passed and the connection was closed.
    void sweep(TimePoint now)
    {
        const Millis waited = std::chrono::duration_cast<Millis>(now - since_);
        if (state_ == State::Reading && waited > server_->limits_.headerTimeout + (hasHeaders_ ? server_->limits_.idleTimeout : Millis(0))) {
            ++server_->stats_.timeouts;
            refuse(408);
        } else if ((state_ == State::Idle && waited > server_->limits_.idleTimeout) || (state_ == State::Lingering && waited > kLingerTime)) {
            close();
        }
    }

    bool isIdle() const { return state_ == State::Idle; }

    void close()
    {
        if (state_ == State::Closed)
            return;
        state_ = State::Closed;
        server_->connections_.erase(id_);
        if (exchange_ != 0) {
            server_->exchanges_.erase(exchange_);
            server_->handler_.onCallerDisconnected(exchange_);
        }
        uv_close(reinterpret_cast<uv_handle_t*>(&socket_), onClosed);
    }

private:
    enum class State : uint8_t {
        Idle,
        Reading,
        /// A request waits for its response.
        Serving,
        Lingering,
        Closed,
    };

    uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&socket_); }

    static Connection& self(http_parser* parser) { return *static_cast<Connection*>(parser->data); }

    static void onAllocate(uv_handle_t* /*handle*/, size_t /*suggested*/, uv_buf_t* buffer) { *buffer = sharedReadBuffer(); }

    static void onRead(uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer)
    {
        auto& connection = *static_cast<Connection*>(stream->data);
        if (count == 0 || connection.state_ == State::Closed)
            return;
        if (count < 0)
            connection.close();
        else
            connection.received(buffer->base, static_cast<size_t>(count));
    }

    static void onClosed(uv_handle_t* handle) { delete static_cast<Connection*>(handle->data); }

    void received(const char* data, size_t length)
    {
        if (state_ == State::Lingering)
            return;
        if (state_ == State::Serving) {
            pending_.append(data, length);
            if (pending_.size() > kMaxPipelinedBytes)
                close();
            return;
        }
        parse(data, length);
    }

    void parse(const char* data, size_t length)
    {
        if (state_ == State::Idle) {
            state_ = State::Reading;
            since_ = server_->clock_.now();
        }
        const size_t parsed = http_parser_execute(&parser_, &settings(), data, length);
        if (refusal_ != 0) {
            refuse(refusal_);
            return;
        }
        if (isComplete_) {
            pending_.assign(data + parsed, length - parsed);
            serve();
            return;
        }
        if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK)
            refuse(400);
    }

    void serve()
    {
        state_ = State::Serving;
        method_ = static_cast<http_method>(parser_.method);
        keepsAlive_ = http_should_keep_alive(&parser_) != 0;
        request_.method = http_method_str(method_);
        // Before the first request the caller has also waited for the connection.
        request_.transit = isFirst_ ? roundTrip_ * 2 : roundTrip_;
        isFirst_ = false;
        exchange_ = ++server_->lastExchange_;
        server_->exchanges_[exchange_] = this;
        server_->handler_.onRequest(exchange_, std::move(request_));
    }

    void continueWithPending()
    {
        if (pending_.empty())
            return;
        const std::string data = std::move(pending_);
        pending_.clear();
        parse(data.data(), data.size());
    }

    /// Answers a request that cannot be read and ends the connection.
    void refuse(int status)
    {
        ++server_->stats_.badRequests;
        HttpResponse response;
        response.status = status;
        response.isLast = true;
        keepsAlive_ = false;
        respond(std::move(response));
    }

    void startLingering()
    {
        state_ = State::Lingering;
        auto* request = new uv_shutdown_t;
        if (uv_shutdown(request, stream(), [](uv_shutdown_t* done, int) { delete done; }) != 0)
            delete request;
    }

    void resetParser()
    {
        http_parser_init(&parser_, HTTP_REQUEST);
        parser_.data = this;
        request_ = {};
        isComplete_ = false;
        hasHeaders_ = false;
        lastWasValue_ = false;
        headerBytes_ = 0;
        refusal_ = 0;
    }

    /// Counts header bytes; non-zero ends the parsing.
    int countHeader(size_t length)
    {
        headerBytes_ += length;
        if (headerBytes_ <= server_->limits_.maxHeaderBytes)
            return 0;
        refusal_ = 431;
        return -1;
    }

    static int onUrl(http_parser* parser, const char* at, size_t length)
    {
        self(parser).request_.target.append(at, length);
        return self(parser).countHeader(length);
    }

    static int onHeaderField(http_parser* parser, const char* at, size_t length)
    {
        Connection& connection = self(parser);
        std::vector<HeaderField>& headers = connection.request_.headers;
        if (headers.empty() || connection.lastWasValue_)
            headers.emplace_back();
        headers.back().name.append(at, length);
        connection.lastWasValue_ = false;
        return connection.countHeader(length);
    }

    static int onHeaderValue(http_parser* parser, const char* at, size_t length)
    {
        Connection& connection = self(parser);
        if (connection.request_.headers.empty())
            return -1;
        connection.request_.headers.back().value.append(at, length);
        connection.lastWasValue_ = true;
        return connection.countHeader(length);
    }

    static int onHeadersComplete(http_parser* parser)
    {
        Connection& connection = self(parser);
        connection.hasHeaders_ = true;
        if (parser->method == HTTP_CONNECT) {
            connection.refusal_ = 405;
            return -1;
        }
        // Upgrades are not offered: the request is served as it is.
        parser->upgrade = 0;
        if (parser->content_length != ULLONG_MAX && parser->content_length > connection.server_->limits_.maxBodyBytes) {
            connection.refusal_ = 413;
            return -1;
        }
        connection.takeHost();
        if (const std::string* expect = findHeader(connection.request_.headers, "expect"); expect != nullptr && equalsIgnoringCase(*expect, "100-continue"))
            writeOrQueue(connection.stream(), "HTTP/1.1 100 Continue\r\n\r\n", "", connection.pendingWrites_);
        return 0;
    }

    void takeHost()
    {
        int hosts = 0;
        for (const HeaderField& header : request_.headers) {
            if (!equalsIgnoringCase(header.name, "host"))
                continue;
            request_.host = header.value;
            ++hosts;
        }
        if (hosts != 1)
            refusal_ = 400;
    }

    static int onBody(http_parser* parser, const char* at, size_t length)
    {
        Connection& connection = self(parser);
        if (connection.request_.body.size() + length > connection.server_->limits_.maxBodyBytes) {
            connection.refusal_ = 413;
            return -1;
        }
        connection.request_.body.append(at, length);
        return 0;
    }

    static int onMessageComplete(http_parser* parser)
    {
        self(parser).isComplete_ = true;
        http_parser_pause(parser, 1);
        return 0;
    }

    static const http_parser_settings& settings()
    {
        static const http_parser_settings kSettings = [] {
            http_parser_settings made;
            http_parser_settings_init(&made);
            made.on_url = onUrl;
            made.on_header_field = onHeaderField;
            made.on_header_value = onHeaderValue;
            made.on_headers_complete = onHeadersComplete;
            made.on_body = onBody;
            made.on_message_complete = onMessageComplete;
            return made;
        }();
        return kSettings;
    }

    HttpServer* server_;
    const uint64_t id_;
    uv_tcp_t socket_;
    http_parser parser_;
    HttpRequest request_;
    State state_ = State::Idle;
    /// Start of the present state.
    TimePoint since_;
    Micros roundTrip_ { 0 };
    bool isFirst_ = true;
    ExchangeId exchange_ = 0;
    http_method method_ = HTTP_GET;
    bool keepsAlive_ = true;
    bool isComplete_ = false;
    bool hasHeaders_ = false;
    bool lastWasValue_ = false;
    size_t headerBytes_ = 0;
    int refusal_ = 0;
    int pendingWrites_ = 0;
    /// Bytes of requests that follow the one being served.
    std::string pending_;
};

HttpServer::HttpServer(uv_loop_t* loop, HttpHandlerI& handler, const ClockI& clock)
    : loop_(loop)
    , handler_(handler)
    , clock_(clock)
{
}

HttpServer::~HttpServer() = default;

bool HttpServer::listen(const std::string& host, int port)
{
    listener_ = new uv_tcp_t;
    uv_tcp_init(loop_, listener_);
    listener_->data = this;
    sockaddr_in address {};
    if (uv_ip4_addr(host.c_str(), port, &address) == 0 && uv_tcp_bind(listener_, reinterpret_cast<const sockaddr*>(&address), 0) == 0
        && uv_listen(reinterpret_cast<uv_stream_t*>(listener_), kBacklog, onIncoming) == 0)
        return true;
    stopListening();
    return false;
}

void HttpServer::onIncoming(uv_stream_t* listener, int status)
{
    auto& server = *static_cast<HttpServer*>(listener->data);
    if (status != 0)
        return;
    auto* connection = new Connection(server, ++server.stats_.accepted);
    server.connections_[server.stats_.accepted] = connection;
    if (!connection->accept(listener))
        connection->close();
}

void HttpServer::respond(ExchangeId exchange, HttpResponse response)
{
    const auto found = exchanges_.find(exchange);
    if (found == exchanges_.end())
        return;
    Connection* connection = found->second;
    exchanges_.erase(found);
    connection->respond(std::move(response));
}

void HttpServer::sweep()
{
    const TimePoint now = clock_.now();
    std::vector<Connection*> all;
    all.reserve(connections_.size());
    for (const auto& [id, connection] : connections_)
        all.push_back(connection);
    // Closing one connection closes no other, so that the list stays good.
    for (Connection* connection : all)
        connection->sweep(now);
}

void HttpServer::stopListening()
{
    if (listener_ == nullptr)
        return;
    uv_close(reinterpret_cast<uv_handle_t*>(listener_), [](uv_handle_t* handle) { delete reinterpret_cast<uv_tcp_t*>(handle); });
    listener_ = nullptr;
}

void HttpServer::closeIdle()
{
    std::vector<Connection*> idle;
    for (const auto& [id, connection] : connections_) {
        if (connection->isIdle())
            idle.push_back(connection);
    }
    for (Connection* connection : idle)
        connection->close();
}

} // namespace limpettrestle
