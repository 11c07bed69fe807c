#include "http_client.h"

#include "stream_io.h"

#include <array>

namespace limpettrestle {

namespace {

    constexpr std::array<std::string_view, 5> kEndNames = { "connect_failed", "connect_timeout", "closed", "reset", "protocol" };
    /// A peer that acknowledges nothing for so long is gone: longer than any retransmission on a working link.
    constexpr int kPeerTimeoutMs = 2000;
    /// Largest reply body that is collected; replies are far smaller.
    constexpr size_t kMaxBodyBytes = 8 << 20;

    HttpClientConnection& ownerOf(http_parser* parser) { return *static_cast<HttpClientConnection*>(parser->data); }

} // namespace

std::string_view name(CloseReason value)
{
    return kEndNames[static_cast<size_t>(value)];
}

HttpClientConnection::HttpClientConnection(uv_loop_t* loop, HttpClientListenerI& listener)
    : listener_(&listener)
{
    uv_tcp_init(loop, &socket_);
    socket_.data = this;
    uv_timer_init(loop, &connectTimer_);
    connectTimer_.data = this;
    connectRequest_.data = this;
    resetParser();
}

HttpClientConnection* HttpClientConnection::open(uv_loop_t* loop, const std::string& host, int port, Millis connectTimeout, HttpClientListenerI& listener)
{
    auto* connection = new HttpClientConnection(loop, listener);
    sockaddr_in address {};
    const bool isStarted = uv_ip4_addr(host.c_str(), port, &address) == 0
        && uv_tcp_connect(&connection->connectRequest_, &connection->socket_, reinterpret_cast<const sockaddr*>(&address), onConnect) == 0;
    // A connection that could not be started ends from the loop, like one that failed.
    uv_timer_start(&connection->connectTimer_, onConnectTimeout, isStarted ? static_cast<uint64_t>(connectTimeout.count()) : 0, 0);
    return connection;
}

bool HttpClientConnection::send(const std::string& head, const std::string& body, bool isHeadMethod)
{
    isHeadMethod_ = isHeadMethod;
    expectsResponse_ = true;
    response_ = {};
    if (writeOrQueue(reinterpret_cast<uv_stream_t*>(&socket_), head, body, pendingWrites_) != WriteResult::Dead)
        return true;
    expectsResponse_ = false;
    return false;
}

void HttpClientConnection::close()
{
    closeHandles();
}

void HttpClientConnection::onConnect(uv_connect_t* request, int status)
{
    auto& self = *static_cast<HttpClientConnection*>(request->data);
    if (self.isClosing_)
        return;
    uv_timer_stop(&self.connectTimer_);
    if (status != 0) {
        self.end(CloseReason::ConnectFailed);
        return;
    }
    self.isConnected_ = true;
    uv_tcp_nodelay(&self.socket_, 1);
    setPeerTimeout(&self.socket_, kPeerTimeoutMs);
    self.startReading();
    self.listener_->onConnected(self);
}

void HttpClientConnection::onConnectTimeout(uv_timer_t* timer)
{
    static_cast<HttpClientConnection*>(timer->data)->end(CloseReason::ConnectTimeout);
}

void HttpClientConnection::startReading()
{
    uv_read_start(reinterpret_cast<uv_stream_t*>(&socket_), onAllocate, onRead);
}

void HttpClientConnection::onAllocate(uv_handle_t* /*handle*/, size_t /*suggested*/, uv_buf_t* buffer)
{
    *buffer = sharedReadBuffer();
}

void HttpClientConnection::onRead(uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer)
{
    auto& self = *static_cast<HttpClientConnection*>(stream->data);
    if (count == 0 || self.isClosing_)
        return;
    if (count < 0) {
        self.readEnded(count != UV_EOF || !endedInOrder(stream));
        return;
    }
    self.parse(buffer->base, static_cast<size_t>(count));
}

void HttpClientConnection::parse(const char* data, size_t length)
{
    if (!expectsResponse_) {
        end(CloseReason::Protocol);
        return;
    }
    const size_t parsed = http_parser_execute(&parser_, &parserSettings(), data, length);
    const http_errno error = HTTP_PARSER_ERRNO(&parser_);
    if (isMessageComplete_) {
        finishResponse(data + parsed, length - parsed);
        return;
    }
    if (error != HPE_OK)
        end(CloseReason::Protocol);
}

void HttpClientConnection::finishResponse(const char* rest, size_t restLength)
{
    ++responses_;
    expectsResponse_ = false;
    const bool isLast = response_.isLast;
    // A request that is still being written has got its answer early; what is left of it would be
    // taken for the next one.
    const bool isReusable = !isLast && restLength == 0 && pendingWrites_ == 0;
    HttpResponse response = std::move(response_);
    resetParser();
    const AfterResponse after = listener_->onResponse(*this, std::move(response), isReusable);
    if (isClosing_ || (after == AfterResponse::Keep && isReusable))
        return;
    if (after == AfterResponse::AwaitNext && !isLast) {
        expectsResponse_ = true;
        if (restLength > 0)
            parse(rest, restLength);
        return;
    }
    end(restLength > 0 ? CloseReason::Protocol : CloseReason::Closed);
}

void HttpClientConnection::readEnded(bool isReset)
{
    if (expectsResponse_ && !isReset) {
        http_parser_execute(&parser_, &parserSettings(), nullptr, 0);
        if (isMessageComplete_) {
            finishResponse(nullptr, 0);
            return;
        }
    }
    end(isReset ? CloseReason::Reset : CloseReason::Closed);
}

void HttpClientConnection::end(CloseReason reason)
{
    if (isClosing_)
        return;
    closeHandles();
    listener_->onEnded(*this, reason);
}

void HttpClientConnection::closeHandles()
{
    if (isClosing_)
        return;
    isClosing_ = true;
    uv_close(reinterpret_cast<uv_handle_t*>(&socket_), onHandleClosed);
    uv_close(reinterpret_cast<uv_handle_t*>(&connectTimer_), onHandleClosed);
}

void HttpClientConnection::onHandleClosed(uv_handle_t* handle)
{
    auto* self = static_cast<HttpClientConnection*>(handle->data);
    if (--self->openHandles_ == 0)
        delete self;
}

void HttpClientConnection::resetParser()
{
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    response_ = {};
    isMessageComplete_ = false;
    lastWasValue_ = false;
}

int HttpClientConnection::parseHeaderField(http_parser* parser, const char* at, size_t length)
{
    HttpClientConnection& self = ownerOf(parser);
    std::vector<HeaderField>& headers = self.response_.headers;
    if (headers.empty() || self.lastWasValue_)
        headers.emplace_back();
    headers.back().name.append(at, length);
    self.lastWasValue_ = false;
    return 0;
}

int HttpClientConnection::parseHeaderValue(http_parser* parser, const char* at, size_t length)
{
    HttpClientConnection& self = ownerOf(parser);
    if (self.response_.headers.empty())
        return -1;
    self.response_.headers.back().value.append(at, length);
    self.lastWasValue_ = true;
    return 0;
}

int HttpClientConnection::parseHeadersComplete(http_parser* parser)
{
    HttpClientConnection& self = ownerOf(parser);
    self.response_.status = static_cast<int>(parser->status_code);
    // Also where the end of the body is the end of the connection.
    self.response_.isLast = http_should_keep_alive(parser) == 0;
    return self.isHeadMethod_ ? 1 : 0;
}

int HttpClientConnection::parseBody(http_parser* parser, const char* at, size_t length)
{
    std::string& body = ownerOf(parser).response_.body;
    if (body.size() + length > kMaxBodyBytes)
        return -1;
    body.append(at, length);
    return 0;
}

int HttpClientConnection::parseMessageComplete(http_parser* parser)
{
    HttpClientConnection& self = ownerOf(parser);
    if (self.response_.status / 100 == 1) {
        // An interim response announces the final one.
        self.response_ = {};
        self.lastWasValue_ = false;
        return 0;
    }
    self.isMessageComplete_ = true;
    http_parser_pause(parser, 1);
    return 0;
}

const http_parser_settings& HttpClientConnection::parserSettings()
{
    static const http_parser_settings kSettings = [] {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_header_field = parseHeaderField;
        settings.on_header_value = parseHeaderValue;
        settings.on_headers_complete = parseHeadersComplete;
        settings.on_body = parseBody;
        settings.on_message_complete = parseMessageComplete;
        return settings;
    }();
    return kSettings;
}

} // namespace limpettrestle
