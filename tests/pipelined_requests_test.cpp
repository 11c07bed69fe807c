/// Many requests that a caller sends on one connection without waiting for the answers.

#include "../src/net/http_server.h"
#include "../src/process/system_clock.h"
#include "support/raw_peer.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace limpettrestle;

namespace {

constexpr size_t kStackBytes = 256 << 10;

/// Answers each request with its target as the body; that of "/wait" after a time, and that of "/none" with a status that
/// allows no body.
class EchoHandler final : public HttpHandlerI {
public:
    explicit EchoHandler(uv_loop_t* loop)
    {
        uv_timer_init(loop, &timer_);
        timer_.data = this;
    }

    void onRequest(ExchangeId exchange, HttpRequest request) override
    {
        ++requests;
        if (request.target == "/wait") {
            waiting_ = exchange;
            uv_timer_start(
                &timer_, [](uv_timer_t* timer) { static_cast<EchoHandler*>(timer->data)->answerWaiting(); }, 100, 0);
            return;
        }
        const int status = request.target == "/none" ? 204 : 404;
        server->respond(exchange, { status, {}, std::move(request.target) });
    }
    void onCallerDisconnected(ExchangeId /*exchange*/) override
    {
        waiting_ = 0;
    }
    void close() { uv_close(reinterpret_cast<uv_handle_t*>(&timer_), nullptr); }

    HttpServer* server = nullptr;
    size_t requests = 0;

private:
    void answerWaiting() { server->respond(waiting_, { 200, {}, "/wait" }); }

    uv_timer_t timer_;
    ExchangeId waiting_ = 0;
};

/// Sends `bytes` in one burst from a thread of its own and reads until the server closes the connection.
class BurstCaller {
public:
    BurstCaller(int port, std::string bytes)
        : thread_([this, port, bytes = std::move(bytes)] { run(port, bytes); })
    {
    }
    ~BurstCaller() { thread_.join(); }

    std::string received;
    std::atomic<bool> isDone = false;

private:
    void run(int port, const std::string& bytes)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
            std::thread writer([descriptor, &bytes] {
                for (size_t sent = 0; sent < bytes.size();) {
                    const ssize_t count = send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
                    if (count <= 0)
                        return;
                    sent += static_cast<size_t>(count);
                }
            });
            char buffer[65536];
            for (ssize_t count = 0; (count = recv(descriptor, buffer, sizeof(buffer), 0)) > 0;)
                received.append(buffer, static_cast<size_t>(count));
            writer.join();
        }
        close(descriptor);
        isDone = true;
    }

    std::thread thread_;
};

/// Serves one caller that sends `bytes` until the connection is closed; returns all that the caller received. `largestTurn` is set to the
/// number of requests that were received in one turn of the loop at most.
std::string serveCaller(const std::string& bytes, size_t* largestTurn = nullptr)
{
    const int port = freePort();
    uv_loop_t loop;
    uv_loop_init(&loop);
    EchoHandler handler(&loop);
    std::string received;
    {
        SystemClock clock;
        HttpServer server(&loop, handler, clock);
        handler.server = &server;
        if (!server.listen("127.0.0.1", port))
            throw std::runtime_error("cannot listen on the loopback interface");
        {
            BurstCaller caller(port, bytes);
            uv_timer_t poll;
            uv_timer_init(&loop, &poll);
            uv_timer_start(
                &poll, [](uv_timer_t*) {}, 5, 5);
            while (!caller.isDone) {
                server.checkTimeouts();
                const size_t before = handler.requests;
                uv_run(&loop, UV_RUN_ONCE);
                if (largestTurn != nullptr)
                    *largestTurn = std::max(*largestTurn, handler.requests - before);
            }
            received = caller.received;
            uv_close(reinterpret_cast<uv_handle_t*>(&poll), nullptr);
            server.closeIdle();
            server.stopListening();
            handler.close();
            uv_run(&loop, UV_RUN_DEFAULT);
        }
    }
    uv_loop_close(&loop);
    return received;
}

/// Like `serveCaller()`, on a thread whose stack is far smaller than one frame for each request would need.
std::string serveBurst(const std::string& bytes)
{
    struct Exchange {
        const std::string& bytes;
        std::string received;
    } exchange { bytes, "" };
    uv_thread_options_t options {};
    options.flags = UV_THREAD_HAS_STACK_SIZE;
    options.stack_size = kStackBytes;
    uv_thread_t thread {};
    REQUIRE(uv_thread_create_ex(
                &thread, &options, [](void* argument) {
        auto& own = *static_cast<Exchange*>(argument);
        own.received = serveCaller(own.bytes); }, &exchange)
        == 0);
    uv_thread_join(&thread);
    return std::move(exchange.received);
}

/// Returns the bodies of all responses in `bytes`, one a line.
std::vector<std::string> bodiesOf(const std::string& bytes)
{
    constexpr std::string_view kHeadEnd = "\r\n\r\n";
    constexpr std::string_view kLength = "Content-Length: ";
    std::vector<std::string> bodies;
    for (size_t at = 0; at < bytes.size();) {
        const size_t length = bytes.find(kLength, at);
        const size_t headEnd = bytes.find(kHeadEnd, at);
        if (length == std::string::npos || headEnd == std::string::npos)
            break;
        const size_t size = std::stoul(bytes.substr(length + kLength.size(), headEnd - length - kLength.size()));
        bodies.push_back(bytes.substr(headEnd + kHeadEnd.size(), size));
        at = headEnd + kHeadEnd.size() + size;
    }
    return bodies;
}

std::string requestFor(const std::string& target, std::string_view headers = "")
{
    return fmt::format("GET {} HTTP/1.1\r\nHost: a\r\n{}\r\n", target, headers);
}

void checkBurst(const std::string& first, size_t count)
{
    std::vector<std::string> targets = { first };
    for (size_t i = 0; i < count; ++i)
        targets.push_back(fmt::format("/none/{}", i));
    std::string burst;
    for (const std::string& target : targets)
        burst += requestFor(target);
    targets.emplace_back("/last");
    burst += requestFor("/last", "Connection: close\r\n");
    const std::vector<std::string> bodies = bodiesOf(serveBurst(burst));
    CHECK(bodies.size() == targets.size());
    CHECK(bodies == targets);
}

} // namespace

TEST_CASE("10,000 requests sent behind one that waits are answered in order")
{
    checkBurst("/wait", 10000);
}

TEST_CASE("10,000 requests sent in one burst are answered in order")
{
    checkBurst("/none/first", 10000);
}

// Guards against a caller that keeps the loop busy for as long as it sends.
TEST_CASE("requests sent in one burst are read in small shares")
{
    constexpr size_t kRequests = 10000;
    const std::string request = requestFor("/none");
    std::string burst;
    for (size_t i = 0; i < kRequests; ++i)
        burst += request;
    size_t largestTurn = 0;
    const std::string received = serveCaller(burst + requestFor("/last", "Connection: close\r\n"), &largestTurn);
    CHECK(received.find("/last") != std::string::npos);
    CHECK(largestTurn > 0);
    // One more, whose beginning was read in the turn before.
    CHECK(largestTurn <= kMaxReadShareBytes / request.size() + 1);
}

// Guards against a request that is cut although a replica runs it, because its caller has sent many more behind it.
TEST_CASE("more requests than are buffered wait in the sockets until the one before them is answered")
{
    checkBurst("/wait", 60000);
}

TEST_CASE("an invalid request in a burst ends the connection after the answers to those before it")
{
    std::string burst = requestFor("/wait");
    for (int i = 0; i < 5000; ++i)
        burst += requestFor("/none");
    const std::string received = serveBurst(burst + "NONSENSE\r\n\r\n" + requestFor("/none"));
    CHECK(bodiesOf(received).size() == 5002);
    CHECK(received.find("HTTP/1.1 400 ") != std::string::npos);
    CHECK(received.rfind("HTTP/1.1 ") == received.find("HTTP/1.1 400 "));
}

TEST_CASE("a response whose status allows no body is sent without one")
{
    const std::string received = serveCaller("GET /none HTTP/1.1\r\nHost: a\r\n\r\nGET /next HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    CHECK(received == "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 404 Not Found\r\nContent-Length: 5\r\nConnection: close\r\n\r\n/next");
}
