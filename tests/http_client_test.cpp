/// Handling of complete, truncated, invalid and unexpected replies by a client connection.

#include "../src/net/http_client.h"
#include "support/odd_responses.h"
#include "support/raw_peer.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

namespace {

struct RecordingListener final : HttpClientListenerI {
    explicit RecordingListener(bool awaitsSecondReply = false)
        : awaitsSecondReply_(awaitsSecondReply)
    {
    }

    void onConnected(HttpClientConnection& connection) override
    {
        connection.send("GET / HTTP/1.1\r\nHost: test\r\n\r\n", "");
    }
    ResponseAction onResponse(HttpClientConnection& connection, HttpResponse response, bool isReusable) override
    {
        bodies.push_back(response.body);
        wasReusable = isReusable;
        if (awaitsSecondReply_ && bodies.size() == 1)
            return ResponseAction::AwaitNext;
        connection.close();
        return ResponseAction::Keep;
    }
    void onClosed(HttpClientConnection& /*connection*/, CloseReason reason) override
    {
        isClosed = true;
        closeReason = reason;
    }

    std::vector<std::string> bodies;
    bool wasReusable = false;
    bool isClosed = false;
    CloseReason closeReason = CloseReason::Closed;

private:
    bool awaitsSecondReply_;
};

/// Runs one exchange until the connection is closed. The loop pauses until the peer has sent everything, so that the data
/// and the end of the stream arrive together.
RecordingListener runExchange(const std::string& reply, PeerEnd end, bool awaitsSecondReply = false)
{
    RawPeer peer(reply, end);
    uv_loop_t loop;
    uv_loop_init(&loop);
    RecordingListener listener(awaitsSecondReply);
    HttpClientConnection::open(&loop, "127.0.0.1", peer.port(), Millis(1000), listener);
    uv_run(&loop, UV_RUN_ONCE);
    usleep(50000);
    uv_run(&loop, UV_RUN_DEFAULT);
    uv_loop_close(&loop);
    return listener;
}

/// Checks that each response is rejected as invalid HTTP and none of it is delivered.
void checkNotAccepted(const std::vector<OddResponse>& responses)
{
    for (const OddResponse& response : responses) {
        INFO(response.what);
        const RecordingListener listener = runExchange(response.bytes, PeerEnd::Graceful);
        CHECK(listener.bodies.empty());
        CHECK(listener.closeReason == CloseReason::Protocol);
    }
}

const std::string kReplyWithoutLength = "HTTP/1.1 200 OK\r\n\r\npart of a body";

} // namespace

TEST_CASE("a reply without a length is complete when the peer closes gracefully")
{
    const RecordingListener listener = runExchange(kReplyWithoutLength, PeerEnd::Graceful);
    REQUIRE(listener.bodies.size() == 1);
    CHECK(listener.bodies[0] == "part of a body");
    CHECK_FALSE(listener.wasReusable);
}

TEST_CASE("a reply without a length is incomplete when the connection is reset")
{
    const RecordingListener listener = runExchange(kReplyWithoutLength, PeerEnd::Reset);
    CHECK(listener.bodies.empty());
    CHECK(listener.isClosed);
    CHECK(listener.closeReason == CloseReason::Reset);
}

TEST_CASE("a reply shorter than its length is incomplete")
{
    const RecordingListener listener = runExchange("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nshort", PeerEnd::Graceful);
    CHECK(listener.bodies.empty());
    CHECK(listener.isClosed);
}

TEST_CASE("bytes that are not HTTP close the connection")
{
    const RecordingListener listener = runExchange("GARBAGE\r\n\r\n", PeerEnd::StayOpen);
    CHECK(listener.bodies.empty());
    CHECK(listener.closeReason == CloseReason::Protocol);
}

TEST_CASE("a connection with bytes after its reply is not reused")
{
    const std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    const RecordingListener listener = runExchange(reply + reply, PeerEnd::StayOpen);
    REQUIRE(listener.bodies.size() == 1);
    CHECK_FALSE(listener.wasReusable);
}

TEST_CASE("a reply to another request is skipped and the next one is used")
{
    const RecordingListener listener = runExchange("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
                                                   "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine",
        PeerEnd::StayOpen, true);
    REQUIRE(listener.bodies.size() == 2);
    CHECK(listener.bodies[1] == "mine");
}

TEST_CASE("an interim response is skipped")
{
    const RecordingListener listener = runExchange("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine", PeerEnd::StayOpen);
    REQUIRE(listener.bodies.size() == 1);
    CHECK(listener.bodies[0] == "mine");
}

TEST_CASE("a response whose status is not from 100 to 599 is not accepted")
{
    checkNotAccepted(responsesWithBadStatus());
}

TEST_CASE("a response whose head, trailers or chunks are not valid is not accepted")
{
    checkNotAccepted(responsesWithBadSyntax());
}

TEST_CASE("a response whose length is not valid is not accepted")
{
    checkNotAccepted(responsesWithBadLength());
}

TEST_CASE("an unusual but valid response is accepted")
{
    for (const OddResponse& response : soundResponses()) {
        INFO(response.what);
        const RecordingListener listener = runExchange(response.bytes, PeerEnd::Graceful);
        CHECK(listener.bodies == std::vector<std::string> { kOddBody });
    }
}

TEST_CASE("a response that has no body by its status ends with its head")
{
    for (const std::string framing : { "Content-Length: 4\r\n\r\nmore", "Transfer-Encoding: chunked\r\n\r\n4\r\nmore\r\n0\r\n\r\n" }) {
        INFO(framing);
        const RecordingListener listener = runExchange("HTTP/1.1 204 No Content\r\n" + framing, PeerEnd::Graceful);
        CHECK(listener.bodies == std::vector<std::string> { "" });
        CHECK_FALSE(listener.wasReusable);
    }
    const RecordingListener announcing = runExchange("HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\n", PeerEnd::Graceful);
    CHECK(announcing.bodies == std::vector<std::string> { "" });
    CHECK_FALSE(announcing.wasReusable);
    for (const std::string head : { "HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n" }) {
        INFO(head);
        const RecordingListener listener = runExchange(head, PeerEnd::Graceful);
        CHECK(listener.bodies == std::vector<std::string> { "" });
        CHECK(listener.wasReusable);
    }
}

TEST_CASE("an interim response has no body")
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nContent-Length: 4\r\n\r\n";
    const std::string final = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine";
    CHECK(runExchange(interim + final, PeerEnd::Graceful).bodies == std::vector<std::string> { "mine" });
    const RecordingListener listener = runExchange(interim + "more" + final, PeerEnd::Graceful);
    CHECK(listener.bodies.empty());
    CHECK(listener.closeReason == CloseReason::Protocol);
}

TEST_CASE("a body with a transfer coding other than chunks is not accepted")
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    for (const std::string& reply : { ok + "Transfer-Encoding: gzip\r\n\r\ncoded", ok + "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\ncoded\r\n0\r\n\r\n",
             ok + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ncoded\r\n0\r\n\r\n", ok + "Transfer-Encoding: chunked, gzip\r\n\r\ncoded",
             ok + "Transfer-Encoding: chunked, chunked\r\n\r\n5\r\ncoded\r\n0\r\n\r\n", ok + "Transfer-Encoding: \r\n\r\ncoded" }) {
        INFO(reply);
        const RecordingListener listener = runExchange(reply, PeerEnd::Graceful);
        CHECK(listener.bodies.empty());
        CHECK(listener.closeReason == CloseReason::Protocol);
    }
}
