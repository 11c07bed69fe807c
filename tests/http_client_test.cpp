/// What a client connection makes of complete, broken and superfluous replies.

#include "../src/net/http_client.h"
#include "support/raw_peer.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

namespace {

struct Seen final : HttpClientListenerI {
    explicit Seen(bool awaitsSecond = false)
        : awaitsSecond_(awaitsSecond)
    {
    }

    void onConnected(HttpClientConnection& connection) override
    {
        connection.send("GET / HTTP/1.1\r\nHost: test\r\n\r\n", "");
    }
    AfterResponse onResponse(HttpClientConnection& connection, HttpResponse response, bool isReusable) override
    {
        bodies.push_back(response.body);
        wasReusable = isReusable;
        if (awaitsSecond_ && bodies.size() == 1)
            return AfterResponse::AwaitNext;
        connection.close();
        return AfterResponse::Keep;
    }
    void onEnded(HttpClientConnection& /*connection*/, CloseReason reason) override
    {
        hasEnded = true;
        end = reason;
    }

    std::vector<std::string> bodies;
    bool wasReusable = false;
    bool hasEnded = false;
    CloseReason end = CloseReason::Closed;

private:
    bool awaitsSecond_;
};

/// Runs one exchange until the connection is gone. The loop is entered only when the peer has sent
/// all that it has to send, so that data and end arrive together.
Seen exchange(const std::string& reply, PeerEnd end, bool awaitsSecond = false)
{
    RawPeer peer(reply, end);
    uv_loop_t loop;
    uv_loop_init(&loop);
    Seen seen(awaitsSecond);
    HttpClientConnection::open(&loop, "127.0.0.1", peer.port(), Millis(1000), seen);
    uv_run(&loop, UV_RUN_ONCE);
    usleep(50000);
    uv_run(&loop, UV_RUN_DEFAULT);
    uv_loop_close(&loop);
    return seen;
}

const std::string kUnframed = "HTTP/1.1 200 OK\r\n\r\npart of a body";

} // namespace

TEST_CASE("a reply without length that ends in order is whole")
{
    const Seen seen = exchange(kUnframed, PeerEnd::Orderly);
    REQUIRE(seen.bodies.size() == 1);
    CHECK(seen.bodies[0] == "part of a body");
    CHECK_FALSE(seen.wasReusable);
}

TEST_CASE("a reply without length that is reset is not whole")
{
    const Seen seen = exchange(kUnframed, PeerEnd::Reset);
    CHECK(seen.bodies.empty());
    CHECK(seen.hasEnded);
    CHECK(seen.end == CloseReason::Reset);
}

TEST_CASE("a reply shorter than its length is not whole")
{
    const Seen seen = exchange("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nshort", PeerEnd::Orderly);
    CHECK(seen.bodies.empty());
    CHECK(seen.hasEnded);
}

TEST_CASE("bytes that are no reply end the connection")
{
    const Seen seen = exchange("GARBAGE\r\n\r\n", PeerEnd::StayOpen);
    CHECK(seen.bodies.empty());
    CHECK(seen.end == CloseReason::Protocol);
}

TEST_CASE("a connection with bytes after its reply carries no other request")
{
    const std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    const Seen seen = exchange(reply + reply, PeerEnd::StayOpen);
    REQUIRE(seen.bodies.size() == 1);
    CHECK_FALSE(seen.wasReusable);
}

TEST_CASE("a foreign reply is passed over for the one behind it")
{
    const Seen seen = exchange("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
                               "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine",
        PeerEnd::StayOpen, true);
    REQUIRE(seen.bodies.size() == 2);
    CHECK(seen.bodies[1] == "mine");
}

TEST_CASE("an interim response is not the reply")
{
    const Seen seen = exchange("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine", PeerEnd::StayOpen);
    REQUIRE(seen.bodies.size() == 1);
    CHECK(seen.bodies[0] == "mine");
}
