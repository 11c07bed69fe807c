#include "http_client.h"

#include <algorithm>
#include <array>
#include <climits>

namespace limpettrestle {

namespace {

    constexpr std::array<std::string_view, 7> kCloseReasonNames = { "connect_failed", "connect_refused", "connect_timeout", "closed", "reset", "protocol", "too_large" };
    /// TCP_USER_TIMEOUT, longer than retransmissions take on a working link: a peer that acknowledges nothing for this
    /// long is considered dead.
    constexpr int kTcpUserTimeoutMs = 2000;
    /// Limit on the head of a response as it is held in memory.
    constexpr size_t kMaxHeadBytes = 32 << 10;
    /// Memory of a header field besides its name and value.
    constexpr size_t kFieldBytes = sizeof(HeaderField);
    constexpr int kNoContent = 204;
    /// Tells the parser that the response ends with its head.
    constexpr int kSkipBody = 1;
    /// Received bytes that are allowed for each byte of the body limit, because chunks of a few bytes have longer frames.
    constexpr size_t kMaxFramingFactor = 8;

    /// Returns true if the body has no transfer coding but chunks, which the parser decodes.
    bool hasKnownCoding(const std::vector<HeaderField>& headers)
    {
        std::vector<std::string_view> codings;
        for (const HeaderField& header : headers) {
            if (!equalsIgnoringCase(header.name, "transfer-encoding"))
                continue;
            const std::vector<std::string_view> listed = splitList(header.value);
            codings.insert(codings.end(), listed.begin(), listed.end());
        }
        return codings.empty() || (codings.size() == 1 && equalsIgnoringCase(codings.front(), "chunked"));
    }

    HttpClientConnection& ownerOf(http_parser* parser) { return *static_cast<HttpClientConnection*>(parser->data); }

} // namespace

std::string_view name(CloseReason value)
{
    return kCloseReasonNames[static_cast<size_t>(value)];
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
    // If connecting could not be started, a timer of 0 ms reports the failure from the loop, like any other failure.
    uv_timer_start(&connection->connectTimer_, onConnectTimeout, isStarted ? static_cast<uint64_t>(connectTimeout.count()) : 0, 0);
    return connection;
}

size_t HttpClientConnection::maxReceivedBytes() const
{
    return kMaxHeadBytes + options_.maxBodyBytes * kMaxFramingFactor;
}

double HttpClientConnection::usedFraction() const
{
    const double head = static_cast<double>(headBytes_) / static_cast<double>(kMaxHeadBytes);
    return std::max(head, static_cast<double>(receivedBytes_) / static_cast<double>(kMaxHeadBytes + options_.maxBodyBytes));
}

bool HttpClientConnection::send(const std::string& head, const std::string& body, const SendOptions& options)
{
    options_ = { options.isHeadMethod, options.maxBodyBytes, nullptr };
    receivedBytes_ = 0;
    expectsResponse_ = true;
    response_ = {};
    if (writeOrQueue(reinterpret_cast<uv_stream_t*>(&socket_), head, body, pendingWrites_, { SIZE_MAX, options.bodyOwner }) != WriteResult::Failed)
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
        self.closeAndNotify(status == UV_ECONNREFUSED ? CloseReason::ConnectRefused : CloseReason::ConnectFailed);
        return;
    }
    self.isConnected_ = true;
    uv_tcp_nodelay(&self.socket_, 1);
    setTcpUserTimeout(&self.socket_, kTcpUserTimeoutMs);
    self.startReading();
    self.listener_->onConnected(self);
}

void HttpClientConnection::onConnectTimeout(uv_timer_t* timer)
{
    static_cast<HttpClientConnection*>(timer->data)->closeAndNotify(CloseReason::ConnectTimeout);
}

void HttpClientConnection::startReading()
{
    uv_read_start(reinterpret_cast<uv_stream_t*>(&socket_), onAllocate, onRead);
}

void HttpClientConnection::onAllocate(uv_handle_t* handle, size_t /*suggested*/, uv_buf_t* buffer)
{
    *buffer = static_cast<HttpClientConnection*>(handle->data)->readShare_.nextBuffer();
}

void HttpClientConnection::onRead(uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer)
{
    auto& self = *static_cast<HttpClientConnection*>(stream->data);
    if (count == 0 || count == UV_ENOBUFS || self.isClosing_)
        return;
    self.readShare_.noteRead(count);
    if (count < 0) {
        self.onReadEnd(count != UV_EOF || !isGracefulClose(stream));
        return;
    }
    self.parse(buffer->base, static_cast<size_t>(count));
}

void HttpClientConnection::parse(const char* data, size_t length)
{
    if (!expectsResponse_) {
        closeAndNotify(CloseReason::Protocol);
        return;
    }
    receivedBytes_ += length;
    const size_t parsed = http_parser_execute(&parser_, &parserSettings(), data, length);
    const http_errno error = HTTP_PARSER_ERRNO(&parser_);
    if (!syntax_.check({ data, parsed }, (parser_.flags & F_CHUNKED) != 0)) {
        closeAndNotify(CloseReason::Protocol);
        return;
    }
    if (isMessageComplete_) {
        finishResponse(data + parsed, length - parsed);
        return;
    }
    if (isTooLarge_ || error == HPE_HEADER_OVERFLOW || receivedBytes_ > maxReceivedBytes())
        closeAndNotify(CloseReason::TooLarge);
    else if (error != HPE_OK || parser_.upgrade != 0)
        // After an upgrade, which no request asks for, the parser leaves out the bytes that follow.
        closeAndNotify(CloseReason::Protocol);
    else
        ReplyMemory::ofProcess().update(*this, receivedBytes_ + headBytes_);
}

void HttpClientConnection::finishResponse(const char* rest, size_t restLength)
{
    ++responses_;
    expectsResponse_ = false;
    const bool isLast = response_.isLast;
    // If the response arrived before the request was written completely, the connection cannot be reused: the peer
    // would take the rest of the request for the next one.
    const bool isReusable = !isLast && restLength == 0 && pendingWrites_.count == 0;
    HttpResponse response = std::move(response_);
    resetParser();
    ReplyMemory::ofProcess().release(*this);
    const ResponseAction action = listener_->onResponse(*this, std::move(response), isReusable);
    if (isClosing_ || (action == ResponseAction::Keep && isReusable))
        return;
    if (action == ResponseAction::AwaitNext && !isLast) {
        expectsResponse_ = true;
        receivedBytes_ -= restLength;
        if (restLength > 0)
            parse(rest, restLength);
        return;
    }
    closeAndNotify(restLength > 0 ? CloseReason::Protocol : CloseReason::Closed);
}

void HttpClientConnection::onReadEnd(bool isReset)
{
    if (expectsResponse_ && !isReset) {
        http_parser_execute(&parser_, &parserSettings(), nullptr, 0);
        if (isMessageComplete_) {
            finishResponse(nullptr, 0);
            return;
        }
    }
    closeAndNotify(isReset ? CloseReason::Reset : CloseReason::Closed);
}

void HttpClientConnection::closeAndNotify(CloseReason reason)
{
    if (isClosing_)
        return;
    closeHandles();
    listener_->onClosed(*this, reason);
}

void HttpClientConnection::closeHandles()
{
    if (isClosing_)
        return;
    isClosing_ = true;
    ReplyMemory::ofProcess().release(*this);
    // Freed here, because the connection is deleted only at the end of the loop's turn, in which many more replies may arrive.
    const HttpResponse abandoned = std::move(response_);
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
    syntax_.reset();
    response_ = {};
    isMessageComplete_ = false;
    isAfterHeaderValue_ = false;
    headBytes_ = 0;
}

bool HttpClientConnection::countHeadBytes(size_t length)
{
    headBytes_ += length;
    isTooLarge_ = isTooLarge_ || headBytes_ > kMaxHeadBytes;
    return !isTooLarge_;
}

int HttpClientConnection::parseHeaderField(http_parser* parser, const char* at, size_t length)
{
    HttpClientConnection& self = ownerOf(parser);
    std::vector<HeaderField>& headers = self.response_.headers;
    const bool isNewField = headers.empty() || self.isAfterHeaderValue_;
    if (!self.countHeadBytes(isNewField ? kFieldBytes + length : length))
        return -1;
    if (isNewField)
        headers.emplace_back();
    headers.back().name.append(at, length);
    self.isAfterHeaderValue_ = false;
    return 0;
}

int HttpClientConnection::parseHeaderValue(http_parser* parser, const char* at, size_t length)
{
    HttpClientConnection& self = ownerOf(parser);
    if (self.response_.headers.empty() || !self.countHeadBytes(length))
        return -1;
    self.response_.headers.back().value.append(at, length);
    self.isAfterHeaderValue_ = true;
    return 0;
}

int HttpClientConnection::parseHeadersComplete(http_parser* parser)
{
    HttpClientConnection& self = ownerOf(parser);
    self.response_.status = static_cast<int>(parser->status_code);
    // This is also the case when the end of the connection marks the end of the body.
    self.response_.isLast = http_should_keep_alive(parser) == 0;
    const bool hasLength = parser->content_length != ULLONG_MAX;
    if (self.options_.isHeadMethod || !allowsBody(self.response_.status)) {
        // A 204 response announces no body, so one that does may be followed by bytes that belong to no response. A 304
        // response announces the body that another response would have.
        const bool announcesBody = (parser->flags & F_CHUNKED) != 0 || (hasLength && parser->content_length > 0);
        self.response_.isLast = self.response_.isLast || (self.response_.status == kNoContent && announcesBody);
        return kSkipBody;
    }
    if (!hasKnownCoding(self.response_.headers))
        return -1;
    self.isTooLarge_ = hasLength && parser->content_length > self.options_.maxBodyBytes;
    return self.isTooLarge_ ? -1 : 0;
}

int HttpClientConnection::parseBody(http_parser* parser, const char* at, size_t length)
{
    HttpClientConnection& self = ownerOf(parser);
    std::string& body = self.response_.body;
    self.isTooLarge_ = body.size() + length > self.options_.maxBodyBytes;
    if (self.isTooLarge_)
        return -1;
    body.append(at, length);
    return 0;
}

int HttpClientConnection::parseMessageComplete(http_parser* parser)
{
    HttpClientConnection& self = ownerOf(parser);
    if (self.response_.status / 100 == 1) {
        // A 1xx response is interim; the final one follows.
        self.response_ = {};
        self.isAfterHeaderValue_ = false;
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
