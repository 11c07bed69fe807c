#pragma once

/// One outgoing HTTP/1.1 connection on an event loop; one request at a time.

#include "http_message.h"

#include <http_parser.h>
#include <uv.h>

namespace limpettrestle {

class HttpClientConnection;

/// Why a connection ended.
enum class CloseReason : uint8_t {
    ConnectFailed,
    ConnectTimeout,
    /// Ended by the peer, in order.
    Closed,
    Reset,
    /// Bytes that are no HTTP, or none that were asked for.
    Protocol,
};
std::string_view name(CloseReason value);

/// What the owner wants after a response.
enum class AfterResponse : uint8_t {
    /// Keep the connection for another request.
    Keep,
    /// The response belonged to another request: wait for the next one.
    AwaitNext,
    Close,
};

class HttpClientListenerI {
public:
    virtual ~HttpClientListenerI() = default;
    virtual void onConnected(HttpClientConnection& connection) = 0;
    /// `isReusable`: the connection may carry another request; where it is false, it ends afterwards
    /// by itself unless the next response is awaited.
    virtual AfterResponse onResponse(HttpClientConnection& connection, HttpResponse response, bool isReusable) = 0;
    /// Last call for this connection, which ends itself afterwards. Not made after `close()`.
    virtual void onEnded(HttpClientConnection& connection, CloseReason end) = 0;
};

/// Owned by itself: created by `open()`, gone after `onEnded()` or `close()`.
class HttpClientConnection {
public:
    static HttpClientConnection* open(uv_loop_t* loop, const std::string& host, int port, Millis connectTimeout, HttpClientListenerI& listener);

    /// Writes a request and expects a response. False when the connection is dead and took no byte;
    /// `onEnded()` follows in that case.
    bool send(const std::string& head, const std::string& body, bool isHeadMethod = false);
    void close();
    bool isConnected() const { return isConnected_; }
    /// Responses taken so far.
    uint32_t responses() const { return responses_; }
    /// Free for the owner.
    uint64_t tag = 0;

private:
    HttpClientConnection(uv_loop_t* loop, HttpClientListenerI& listener);
    ~HttpClientConnection() = default;

    static void onConnect(uv_connect_t* request, int status);
    static void onConnectTimeout(uv_timer_t* timer);
    static void onAllocate(uv_handle_t* handle, size_t suggested, uv_buf_t* buffer);
    static void onRead(uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer);
    static void onHandleClosed(uv_handle_t* handle);

    void startReading();
    void parse(const char* data, size_t length);
    void finishResponse(const char* rest, size_t restLength);
    void readEnded(bool isReset);
    void end(CloseReason reason);
    void closeHandles();
    void resetParser();

    static int parseHeaderField(http_parser* parser, const char* at, size_t length);
    static int parseHeaderValue(http_parser* parser, const char* at, size_t length);
    static int parseHeadersComplete(http_parser* parser);
    static int parseBody(http_parser* parser, const char* at, size_t length);
    static int parseMessageComplete(http_parser* parser);
    static const http_parser_settings& parserSettings();

    HttpClientListenerI* listener_;
    uv_tcp_t socket_;
    uv_timer_t connectTimer_;
    uv_connect_t connectRequest_;
    http_parser parser_;
    HttpResponse response_;
    bool isConnected_ = false;
    bool isClosing_ = false;
    bool expectsResponse_ = false;
    bool isMessageComplete_ = false;
    /// The response has no body whatever its headers say.
    bool isHeadMethod_ = false;
    bool lastWasValue_ = false;
    int openHandles_ = 2;
    int pendingWrites_ = 0;
    uint32_t responses_ = 0;
};

} // namespace limpettrestle
