/// Delivery of responses that are larger than the buffers of the sockets to callers that read slowly or not at all.

#include "../src/net/http_server.h"
#include "support/routing_bed.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace limpettrestle;

namespace {

constexpr size_t kBodyBytes = 12 << 20;
constexpr Millis kIdleTimeout { 5000 };

/// Answers every request with a large body.
struct LargeAnswers final : HttpHandlerI {
    void onRequest(ExchangeId exchange, HttpRequest /*request*/) override
    {
        HttpResponse response;
        response.status = 200;
        response.isLast = isLast;
        response.body.assign(bodyBytes, 'x');
        server->respond(exchange, std::move(response));
    }
    void onCallerDisconnected(ExchangeId /*exchange*/) override { }

    HttpServer* server = nullptr;
    size_t bodyBytes = kBodyBytes;
    /// The connection closes after the response.
    bool isLast = true;
};

/// A server on a free port of the loopback interface and a caller that the test lets read.
class SlowCaller {
public:
    explicit SlowCaller(bool isLastResponse = true)
        : server(&loop_, handler_, clock)
        , caller_(socket(AF_INET, SOCK_STREAM, 0))
    {
        handler_.server = &server;
        handler_.isLast = isLastResponse;
        IngressLimits limits;
        limits.idleTimeout = kIdleTimeout;
        server.setLimits(limits);
        // With a larger buffer, the kernel may report what the caller has read only after a time that the test does not wait.
        setsockopt(caller_, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof(kReceiveBufferBytes));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        for (int port = kFirstPort; port < kLastPort; ++port) {
            address.sin_port = htons(static_cast<uint16_t>(port));
            if (server.listen("127.0.0.1", port))
                break;
        }
        REQUIRE(connect(caller_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
        const std::string request = "GET / HTTP/1.1\r\nHost: test\r\n\r\n";
        REQUIRE(write(caller_, request.data(), request.size()) == static_cast<ssize_t>(request.size()));
        fcntl(caller_, F_SETFL, O_NONBLOCK);
    }
    ~SlowCaller() { close(caller_); }
    SlowCaller(const SlowCaller&) = delete;
    SlowCaller& operator=(const SlowCaller&) = delete;

    /// Lets `time` pass while the caller reads up to `bytes`.
    void pass(Millis time, size_t bytes)
    {
        clock.advance(time);
        for (int turn = 0; turn < kLoopTurns; ++turn)
            uv_run(&loop_, UV_RUN_NOWAIT);
        std::string buffer(bytes, 0);
        size_t read = 0;
        while (read < bytes) {
            const ssize_t count = recv(caller_, buffer.data(), bytes - read, 0);
            if (count <= 0)
                break;
            read += static_cast<size_t>(count);
        }
        received += read;
        for (int turn = 0; turn < kLoopTurns; ++turn)
            uv_run(&loop_, UV_RUN_NOWAIT);
        server.checkTimeouts();
    }

    TestClock clock;

private:
    static constexpr int kFirstPort = 20100;
    static constexpr int kLastPort = 20400;
    static constexpr int kLoopTurns = 20;
    static constexpr int kReceiveBufferBytes = 64 << 10;

    struct Loop {
        Loop() { uv_loop_init(&handle); }
        uv_loop_t handle;
    };
    Loop owner_;
    uv_loop_t& loop_ = owner_.handle;
    LargeAnswers handler_;

public:
    HttpServer server;
    size_t received = 0;

private:
    int caller_;
};

} // namespace

// Guards against a response that is cut 1 s after it was ready although its caller is reading it.
TEST_CASE("a caller that reads slowly gets the whole of the last response on its connection")
{
    SlowCaller caller;
    constexpr size_t kStep = 256 << 10;
    constexpr Millis kPause { 800 };
    for (int step = 0; step < 200 && caller.received <= kBodyBytes; ++step)
        caller.pass(kPause, kStep);
    CHECK(caller.received > kBodyBytes);
}

TEST_CASE("a connection with an unsent response is not idle")
{
    SlowCaller caller(false);
    caller.pass(Millis(10), 0);
    caller.server.closeIdle();
    CHECK(caller.server.connections() == 1);
    CHECK(caller.server.busyConnections() == 1);
    CHECK(caller.server.hasUnsentResponses());
}

TEST_CASE("a caller that reads nothing loses its connection after the idle timeout")
{
    SlowCaller caller;
    for (Millis waited(0); waited < kIdleTimeout; waited += Millis(500))
        caller.pass(Millis(500), 0);
    CHECK(caller.server.connections() == 1);
    caller.pass(Millis(1000), 0);
    caller.pass(Millis(10), 0);
    CHECK(caller.server.connections() == 0);
}
