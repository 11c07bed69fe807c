#pragma once

/// Private part of `HttpServer`: one connection, its parser, and the states that it goes through.

#include "http_server.h"
#include "stream_io.h"

#include <algorithm>
#include <climits>
#include <fmt/format.h>

namespace limpettrestle {

/// Connection of one caller. Owns itself; no longer valid after `close()`.
class HttpServer::Connection final : private BudgetClientI {
public:
    Connection(HttpServer& server, uint64_t id)
        : server_(&server)
        , id_(id)
        , stateSince_(server.clock_.now())
        , requestBytes_(server.budget_, *this)
        , responseBytes_(server.budget_, *this)
    {
        pendingWrites_.onEnd = [this](bool isWritten) { onWritesEnded(isWritten); };
        uv_tcp_init(server.loop_, &socket_);
        socket_.data = this;
        resetParser();
    }

    bool accept(uv_stream_t* listener)
    {
        if (uv_accept(listener, stream()) != 0)
            return false;
        uv_tcp_nodelay(&socket_, 1);
        setTcpUserTimeout(&socket_, kTcpUserTimeoutMs);
        roundTrip_ = Micros(smoothedRoundTripMicros(&socket_));
        isReading_ = uv_read_start(stream(), onAllocate, onRead) == 0;
        return isReading_;
    }

    void respond(HttpResponse response)
    {
        exchange_ = 0;
        // Requests that the caller has already sent on the connection are answered before it is closed.
        const bool isLast = !keepsAlive_ || ((response.isLast || server_->isDraining_) && !hasPipelinedBytes());
        stateSince_ = server_->clock_.now();
        const std::string head = encodeHead(response, isLast);
        const bool omitsBody = method_ == HTTP_HEAD || !allowsBody(response.status);
        const std::string emptyBody;
        const WriteResult result = writeOrQueue(stream(), head, omitsBody ? emptyBody : response.body, pendingWrites_, { server_->budget_.room(), nullptr });
        if (result == WriteResult::Failed || result == WriteResult::TooLarge || !responseBytes_.resize(unsentBytes())) {
            server_->stats_.answersNotTaken += result == WriteResult::Failed ? 0 : 1;
            close();
            return;
        }
        if (isLast) {
            startLingeringClose();
            return;
        }
        resetParser();
        state_ = State::Idle;
        if (!isServingPipelined_)
            servePipelinedRequests();
        updateReading();
    }

    /// Closes the connection when a time limit of its state has passed.
    void checkTimeouts(TimePoint now)
    {
        noteProgress(now);
        const Millis waited = std::chrono::duration_cast<Millis>(now - stateSince_);
        if (state_ == State::Reading && waited > server_->limits_.headerTimeout + (hasHeaders_ ? server_->limits_.idleTimeout : Millis(0))) {
            ++server_->stats_.timeouts;
            rejectRequest(408);
        } else if ((state_ == State::Idle && waited > server_->limits_.idleTimeout) || (state_ == State::Lingering && waited > (unsentBytes_ > 0 ? std::max(kLingerTime, server_->limits_.idleTimeout) : kLingerTime))) {
            close();
        }
    }

    /// True if the connection carries no request, and all responses have been written.
    bool isIdle() const { return state_ == State::Idle && pendingWrites_.count == 0; }

    /// True if the connection can be closed to make room: no request of it is being processed.
    bool isEvictable() const { return state_ != State::AwaitingResponse && state_ != State::Closed; }

    /// Connections of the same order are evicted by the time of their last progress, the earliest first.
    bool isEvictedBefore(const Connection& other, TimePoint now) const
    {
        const EvictionOrder order = evictionOrder(now);
        const EvictionOrder otherOrder = other.evictionOrder(now);
        return order != otherOrder ? order < otherOrder : stateSince_ < other.stateSince_;
    }

    /// Bytes of responses that the socket has not accepted yet.
    size_t unsentBytes() const { return uv_stream_get_write_queue_size(reinterpret_cast<const uv_stream_t*>(&socket_)); }

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
    /// TCP_USER_TIMEOUT: a caller that acknowledges no byte of its response for this long is considered dead.
    static constexpr int kTcpUserTimeoutMs = 10000;
    /// After its last response has been written, a connection stays open for at most this long so that the caller can read
    /// and close it.
    static constexpr Millis kLingerTime { 1000 };
    /// A client without a request, or with an unread response, that does nothing for this long is closed before others to make room.
    static constexpr Millis kProgressTime { 1000 };
    /// Bytes of pipelined requests from which a connection is not read until the request before them is answered.
    static constexpr size_t kMaxPipelinedBytes = 64 << 10;
    /// Memory of a header field besides its name and value.
    static constexpr size_t kFieldBytes = sizeof(HeaderField);
    /// A request's headers are held twice while it is processed: as fields, and encoded for the replicas.
    static constexpr size_t kHeaderCopies = 2;
    /// Retry-After of a request that did not fit into the memory for clients, in seconds.
    static constexpr const char* kRetryAfterSeconds = "1";

    /// Order in which connections are closed to make room.
    enum class EvictionOrder : uint8_t {
        /// Has sent nothing, or a part of a request, for a while.
        Silent,
        /// Waits for its next request.
        Idle,
        /// Has not read its response for a while.
        Stalled,
        /// Has just been accepted, or has begun a request.
        New,
        /// Is reading its response.
        Taking,
    };

    enum class State : uint8_t {
        Idle,
        Reading,
        /// The handler has a request and has not responded yet.
        AwaitingResponse,
        Lingering,
        Closed,
    };

    static std::string encodeHead(const HttpResponse& response, bool isLast)
    {
        std::string head = fmt::format("HTTP/1.1 {} {}\r\n", response.status, reasonPhrase(response.status));
        for (const HeaderField& header : response.headers)
            appendHeader(head, header.name, header.value);
        if (allowsBody(response.status))
            appendHeader(head, "Content-Length", std::to_string(response.body.size()));
        if (isLast)
            appendHeader(head, "Connection", "close");
        head.append("\r\n");
        return head;
    }

    uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&socket_); }

    EvictionOrder evictionOrder(TimePoint now) const
    {
        const bool isUnsent = pendingWrites_.count > 0 || state_ == State::Lingering;
        if (state_ == State::Idle && !isUnsent && !isFirstRequest_)
            return EvictionOrder::Idle;
        if (now - stateSince_ < kProgressTime)
            return isUnsent ? EvictionOrder::Taking : EvictionOrder::New;
        return isUnsent ? EvictionOrder::Stalled : EvictionOrder::Silent;
    }

    /// True if the next request may be parsed. A client that does not take its responses gets no more of them.
    bool mayServe() const { return state_ == State::Reading || (state_ == State::Idle && pendingWrites_.count == 0); }

    /// Gives up a request that is being read, requests that wait behind another one, or a response that is not taken.
    void reclaim() override
    {
        if (state_ == State::Reading) {
            rejectWithoutMemory();
        } else if (state_ == State::AwaitingResponse) {
            ++server_->stats_.refusedWithoutMemory;
            keepsAlive_ = false;
            dropPipelined();
        } else if (state_ != State::Closed) {
            ++server_->stats_.answersNotTaken;
            close();
        }
    }

    /// Closes the connection after the current response, without the requests behind it.
    void dropPipelined()
    {
        freePipelined();
        isDiscarding_ = true;
        updateReading();
    }

    void freePipelined()
    {
        std::string().swap(pipelinedBytes_);
        pipelinedStart_ = 0;
        requestBytes_.release();
    }

    void rejectWithoutMemory()
    {
        ++server_->stats_.refusedWithoutMemory;
        rejectRequest(resultCodeInfo(ResultCode::ClientMemoryFull).httpStatus, { { "Retry-After", kRetryAfterSeconds } });
    }

    /// Counts the memory of the request that is being read and of those behind it. Returns false when it does not fit.
    bool countRequestBytes()
    {
        return requestBytes_.resize(requestMemory(1) + pipelinedBytes_.capacity());
    }

    /// Memory of the current request, with its headers held so many times.
    size_t requestMemory(size_t headerCopies) const
    {
        return headerBytes_ * headerCopies + request_.headers.capacity() * kFieldBytes + request_.body.size();
    }

    void onWritesEnded(bool isWritten)
    {
        if (state_ == State::Closed)
            return;
        if (!isWritten) {
            close();
            return;
        }
        responseBytes_.release();
        if (!isServingPipelined_)
            servePipelinedRequests();
        updateReading();
    }

    static Connection& self(http_parser* parser) { return *static_cast<Connection*>(parser->data); }

    static void onAllocate(uv_handle_t* handle, size_t /*suggested*/, uv_buf_t* buffer) { *buffer = static_cast<Connection*>(handle->data)->readShare_.nextBuffer(); }

    static void onRead(uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer)
    {
        auto& connection = *static_cast<Connection*>(stream->data);
        if (count == 0 || count == UV_ENOBUFS || connection.state_ == State::Closed)
            return;
        connection.readShare_.noteRead(count);
        if (count < 0)
            connection.close();
        else
            connection.onData(buffer->base, static_cast<size_t>(count));
    }

    static void onClosed(uv_handle_t* handle) { delete static_cast<Connection*>(handle->data); }

    void onData(const char* data, size_t length)
    {
        if (state_ == State::Lingering || isDiscarding_)
            return;
        if (!mayServe()) {
            pipelinedBytes_.erase(0, pipelinedStart_);
            pipelinedStart_ = 0;
            pipelinedBytes_.append(data, length);
            if (!countRequestBytes())
                reclaim();
            else
                updateReading();
            return;
        }
        const size_t parsed = parse(data, length);
        pipelinedBytes_.assign(data + parsed, length - parsed);
        pipelinedStart_ = 0;
        finishParsing();
    }

    /// True if another request has been received, at least in part. Line ends between requests are ignored.
    bool hasPipelinedBytes() const { return pipelinedBytes_.find_first_not_of("\r\n", pipelinedStart_) != std::string::npos; }

    /// Reads on unless too many bytes wait for the current request to be answered; the caller then has to wait as well.
    void updateReading()
    {
        const bool hasRoom = isDiscarding_ || pipelinedBytes_.size() - pipelinedStart_ < kMaxPipelinedBytes;
        const bool mustRead = state_ == State::Lingering || mayServe() || (state_ == State::AwaitingResponse && hasRoom);
        if (state_ == State::Closed || mustRead == isReading_)
            return;
        isReading_ = mustRead;
        if (mustRead)
            uv_read_start(stream(), onAllocate, onRead);
        else
            uv_read_stop(stream());
    }

    /// Parses up to the end of one request and returns the number of bytes used.
    size_t parse(const char* data, size_t length)
    {
        if (state_ == State::Idle) {
            state_ = State::Reading;
            stateSince_ = server_->clock_.now();
        }
        return http_parser_execute(&parser_, &parserSettings(), data, length);
    }

    /// Dispatches or rejects the request that was parsed, unless more bytes are needed.
    void finishParsing()
    {
        if (errorStatus_ != 0)
            rejectRequest(errorStatus_);
        else if (isComplete_)
            dispatchRequest();
        else if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK)
            rejectRequest(400);
        else if (!countRequestBytes())
            rejectWithoutMemory();
    }

    void dispatchRequest()
    {
        const size_t memory = requestMemory(kHeaderCopies);
        requestBytes_.resize(pipelinedBytes_.capacity());
        std::optional<std::shared_ptr<const void>> admitted = server_->budget_.admit(memory);
        if (!admitted) {
            rejectWithoutMemory();
            return;
        }
        request_.memory = std::move(*admitted);
        state_ = State::AwaitingResponse;
        method_ = static_cast<http_method>(parser_.method);
        keepsAlive_ = http_should_keep_alive(&parser_) != 0;
        request_.method = http_method_str(method_);
        // Before the first request, the caller also waited one round trip for the connection.
        request_.transitTime = isFirstRequest_ ? roundTrip_ * 2 : roundTrip_;
        isFirstRequest_ = false;
        exchange_ = ++server_->lastExchangeId_;
        server_->exchanges_[exchange_] = this;
        server_->handler_.onRequest(exchange_, std::move(request_));
    }

    /// Serves the requests received so far until one has to wait for its response. Requests that are answered at once do
    /// not call this again, however many there are.
    void servePipelinedRequests()
    {
        isServingPipelined_ = true;
        while (state_ == State::Idle && mayServe() && hasPipelinedBytes()) {
            pipelinedStart_ += parse(pipelinedBytes_.data() + pipelinedStart_, pipelinedBytes_.size() - pipelinedStart_);
            finishParsing();
        }
        isServingPipelined_ = false;
        if (hasPipelinedBytes())
            return;
        freePipelined();
    }

    /// Responds to a request that is not dispatched and closes the connection.
    void rejectRequest(int status, std::vector<HeaderField> headers = {})
    {
        ++server_->stats_.badRequests;
        HttpResponse response;
        response.status = status;
        response.headers = std::move(headers);
        response.isLast = true;
        keepsAlive_ = false;
        // Assigning an empty request would keep the buffer of the body.
        const HttpRequest abandoned = std::move(request_);
        freePipelined();
        respond(std::move(response));
    }

    /// A caller that reads its response keeps the connection alive.
    void noteProgress(TimePoint now)
    {
        const size_t unsent = unsentBytes();
        if (unsent != unsentBytes_ && (state_ == State::Lingering || state_ == State::Idle))
            stateSince_ = now;
        unsentBytes_ = unsent;
    }

    void startLingeringClose()
    {
        state_ = State::Lingering;
        // Bytes that are not read when the connection closes would reset it before the caller has read the response.
        updateReading();
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
        isAfterHeaderValue_ = false;
        headerBytes_ = 0;
        errorStatus_ = 0;
    }

    /// Adds to the size of the headers. Returns non-zero, which stops the parser, when they are too large.
    int countHeaderBytes(size_t length)
    {
        headerBytes_ += length;
        if (headerBytes_ <= server_->limits_.maxHeaderBytes)
            return 0;
        errorStatus_ = 431;
        return -1;
    }

    static int onUrl(http_parser* parser, const char* at, size_t length)
    {
        self(parser).request_.target.append(at, length);
        return self(parser).countHeaderBytes(length);
    }

    static int onHeaderField(http_parser* parser, const char* at, size_t length)
    {
        Connection& connection = self(parser);
        std::vector<HeaderField>& headers = connection.request_.headers;
        if (headers.empty() || connection.isAfterHeaderValue_)
            headers.emplace_back();
        headers.back().name.append(at, length);
        connection.isAfterHeaderValue_ = false;
        return connection.countHeaderBytes(length);
    }

    static int onHeaderValue(http_parser* parser, const char* at, size_t length)
    {
        Connection& connection = self(parser);
        if (connection.request_.headers.empty())
            return -1;
        connection.request_.headers.back().value.append(at, length);
        connection.isAfterHeaderValue_ = true;
        return connection.countHeaderBytes(length);
    }

    static int onHeadersComplete(http_parser* parser)
    {
        Connection& connection = self(parser);
        connection.hasHeaders_ = true;
        if (parser->method == HTTP_CONNECT) {
            connection.errorStatus_ = 405;
            return -1;
        }
        // Protocol upgrades are not supported; the request is served as plain HTTP.
        parser->upgrade = 0;
        if (parser->content_length != ULLONG_MAX && parser->content_length > connection.server_->limits_.maxBodyBytes) {
            connection.errorStatus_ = 413;
            return -1;
        }
        connection.readHostHeader();
        if (const std::string* expect = findHeader(connection.request_.headers, "expect"); expect != nullptr && equalsIgnoringCase(*expect, "100-continue"))
            writeOrQueue(connection.stream(), "HTTP/1.1 100 Continue\r\n\r\n", "", connection.pendingWrites_);
        return 0;
    }

    void readHostHeader()
    {
        int hostHeaders = 0;
        for (const HeaderField& header : request_.headers) {
            if (!equalsIgnoringCase(header.name, "host"))
                continue;
            request_.host = header.value;
            ++hostHeaders;
        }
        if (hostHeaders != 1)
            errorStatus_ = 400;
    }

    static int onBody(http_parser* parser, const char* at, size_t length)
    {
        Connection& connection = self(parser);
        if (connection.request_.body.size() + length > connection.server_->limits_.maxBodyBytes) {
            connection.errorStatus_ = 413;
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

    static const http_parser_settings& parserSettings()
    {
        static const http_parser_settings kSettings = [] {
            http_parser_settings callbacks;
            http_parser_settings_init(&callbacks);
            callbacks.on_url = onUrl;
            callbacks.on_header_field = onHeaderField;
            callbacks.on_header_value = onHeaderValue;
            callbacks.on_headers_complete = onHeadersComplete;
            callbacks.on_body = onBody;
            callbacks.on_message_complete = onMessageComplete;
            return callbacks;
        }();
        return kSettings;
    }

    HttpServer* server_;
    const uint64_t id_;
    uv_tcp_t socket_;
    ReadShare readShare_;
    http_parser parser_;
    HttpRequest request_;
    State state_ = State::Idle;
    /// Time at which the current state was entered.
    TimePoint stateSince_;
    Micros roundTrip_ { 0 };
    bool isFirstRequest_ = true;
    ExchangeId exchange_ = 0;
    http_method method_ = HTTP_GET;
    bool keepsAlive_ = true;
    bool isComplete_ = false;
    bool hasHeaders_ = false;
    bool isAfterHeaderValue_ = false;
    size_t headerBytes_ = 0;
    int errorStatus_ = 0;
    PendingWrites pendingWrites_;
    /// Unsent bytes at the last check of the time limits.
    size_t unsentBytes_ = 0;
    /// Bytes of pipelined requests; those from `pipelinedStart_` on follow the current one.
    std::string pipelinedBytes_;
    size_t pipelinedStart_ = 0;
    /// Requests that are being read or wait behind the current one, and responses that the socket has not accepted.
    HeldBytes requestBytes_;
    HeldBytes responseBytes_;
    /// The connection closes after the current response, and what the client sends until then is dropped.
    bool isDiscarding_ = false;
    /// Pipelined requests are being served; responses within it return to that loop.
    bool isServingPipelined_ = false;
    bool isReading_ = false;
};

} // namespace limpettrestle
