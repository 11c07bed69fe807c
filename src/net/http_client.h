#pragma once

/// Client side of one HTTP/1.1 connection on an event loop. Carries one request at a time, without pipelining.

#include "http_message.h"
#include "reply_memory.h"
#include "response_syntax.h"
#include "stream_io.h"

#include <http_parser.h>
#include <uv.h>

namespace limpettrestle {

class HttpClientConnection;

/// Why a connection was closed.
enum class CloseReason : uint8_t {
    ConnectFailed,
    /// Nobody listens at the address.
    ConnectRefused,
    ConnectTimeout,
    /// The peer closed the connection gracefully.
    Closed,
    Reset,
    /// The peer sent bytes that are not valid HTTP, or bytes without an open request.
    Protocol,
    /// The response exceeded its size limit, or was the largest one when the limit of the process was exceeded.
    TooLarge,
};
std::string_view name(CloseReason value);

/// How a request is sent and what response is expected.
struct SendOptions {
    /// The request method is HEAD: the response has no body, regardless of its headers.
    bool isHeadMethod = false;
    /// Limit on the body of the response, whether its length is declared or not.
    size_t maxBodyBytes = 3 << 20;
    /// Keeps the body of the request alive, so that it need not be copied; may be null.
    std::shared_ptr<const void> bodyOwner;
};

/// How the listener wants the connection to continue after a response.
enum class ResponseAction : uint8_t {
    /// Keep the connection for another request.
    Keep,
    /// The response belongs to another request; wait for the next response.
    AwaitNext,
    Close,
};

/// Receives the events of a connection.
class HttpClientListenerI {
public:
    virtual ~HttpClientListenerI() = default;
    virtual void onConnected(HttpClientConnection& connection) = 0;
    /// `isReusable`: the connection may carry another request. When it is false, the connection closes itself
    /// after this call, unless the listener returns `AwaitNext`.
    virtual ResponseAction onResponse(HttpClientConnection& connection, HttpResponse response, bool isReusable) = 0;
    /// The last event of a connection, which deletes itself afterwards. Not reported after `close()`.
    virtual void onClosed(HttpClientConnection& connection, CloseReason reason) = 0;
};

/// Owns itself: created by `open()`, no longer valid after `onClosed()` or `close()`.
class HttpClientConnection final : private ReplyReceiverI {
public:
    /// Starts to connect to an IPv4 address. Failures are reported by `onClosed()` from the event loop, never from
    /// within this call.
    static HttpClientConnection* open(uv_loop_t* loop, const std::string& host, int port, Millis connectTimeout, HttpClientListenerI& listener);

    /// Writes a request and expects a response. Returns false when the connection has failed and no byte was written;
    /// `onClosed()` follows in that case.
    bool send(const std::string& head, const std::string& body, const SendOptions& options = {});
    void close();
    bool isConnected() const { return isConnected_; }
    /// Number of responses received so far.
    uint32_t responses() const { return responses_; }
    /// Free for use by the owner.
    uint64_t userData = 0;

private:
    HttpClientConnection(uv_loop_t* loop, HttpClientListenerI& listener);
    ~HttpClientConnection() override = default;

    double usedFraction() const override;
    void closeOversized() override { closeAndNotify(CloseReason::TooLarge); }
    /// Limit on the received bytes of a response, including its head and the framing of its body.
    size_t maxReceivedBytes() const;

    static void onConnect(uv_connect_t* request, int status);
    static void onConnectTimeout(uv_timer_t* timer);
    static void onAllocate(uv_handle_t* handle, size_t suggested, uv_buf_t* buffer);
    static void onRead(uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer);
    static void onHandleClosed(uv_handle_t* handle);

    void startReading();
    void parse(const char* data, size_t length);
    void finishResponse(const char* rest, size_t restLength);
    void onReadEnd(bool isReset);
    void closeAndNotify(CloseReason reason);
    void closeHandles();
    void resetParser();
    /// Counts memory of a response's head. Returns false when there is too much.
    bool countHeadBytes(size_t length);

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
    ReadShare readShare_;
    http_parser parser_;
    ResponseSyntax syntax_;
    HttpResponse response_;
    bool isConnected_ = false;
    bool isClosing_ = false;
    bool expectsResponse_ = false;
    bool isMessageComplete_ = false;
    SendOptions options_;
    /// Bytes received since the request was sent, including interim responses and responses to other requests.
    size_t receivedBytes_ = 0;
    /// Memory of the header fields of the current response.
    size_t headBytes_ = 0;
    bool isTooLarge_ = false;
    bool isAfterHeaderValue_ = false;
    int openHandles_ = 2;
    PendingWrites pendingWrites_;
    uint32_t responses_ = 0;
};

} // namespace limpettrestle
