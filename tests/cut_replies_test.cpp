/// Replies that end early, at any byte, by an orderly close or a reset: only what is complete by its framing counts.

#include "../src/net/http_client.h"
#include "support/raw_peer.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

namespace {

class ReplyListener final : public HttpClientListenerI {
public:
    void onConnected(HttpClientConnection& connection) override { connection.send("GET / HTTP/1.1\r\nHost: test\r\n\r\n", ""); }
    ResponseAction onResponse(HttpClientConnection& connection, HttpResponse response, bool /*isReusable*/) override
    {
        replies.push_back(std::move(response));
        connection.close();
        return ResponseAction::Keep;
    }
    void onClosed(HttpClientConnection& /*connection*/, CloseReason /*reason*/) override { isClosed = true; }

    std::vector<HttpResponse> replies;
    bool isClosed = false;
};

/// Runs one exchange until the connection is closed. The pause, if any, lets the bytes and their end arrive together.
ReplyListener runExchange(const std::string& reply, PeerEnd end, Micros pause)
{
    RawPeer peer(reply, end);
    uv_loop_t loop;
    uv_loop_init(&loop);
    ReplyListener listener;
    HttpClientConnection::open(&loop, "127.0.0.1", peer.port(), Millis(1000), listener);
    uv_run(&loop, UV_RUN_ONCE);
    if (pause > Micros::zero())
        usleep(static_cast<useconds_t>(pause.count()));
    uv_run(&loop, UV_RUN_DEFAULT);
    uv_loop_close(&loop);
    return listener;
}

/// A whole reply. `needsClose`: its body ends with the connection, and begins at `bodyStart`.
struct WholeReply {
    std::string bytes;
    int status = 200;
    std::string body;
    bool needsClose = false;
    size_t bodyStart = 0;
};

std::vector<WholeReply> wholeReplies()
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nX-Step: 1\r\n\r\n";
    const std::string sized = "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 5\r\n\r\nhello";
    const std::string unsizedHead = "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n";
    const std::string oldHead = "HTTP/1.0 200 OK\r\nX-A: b\r\n\r\n";
    return {
        { sized, 200, "hello" },
        { interim + sized, 200, "hello" },
        { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 200, "" },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n", 200, "hello" },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n5\r\nhello\r\n0\r\nX-T: 1\r\n\r\n", 200, "hello" },
        { "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n", 204, "" },
        { interim + "HTTP/1.1 204 No Content\r\n\r\n", 204, "" },
        { unsizedHead + "hello", 200, "hello", true, unsizedHead.size() },
        { interim + unsizedHead + "hello", 200, "hello", true, interim.size() + unsizedHead.size() },
        { oldHead + "hello", 200, "hello", true, oldHead.size() },
    };
}

void checkCut(const WholeReply& whole, size_t length, PeerEnd end, Micros pause)
{
    INFO(whole.bytes.substr(0, length) << "| of " << whole.bytes << " end " << static_cast<int>(end) << " pause " << pause.count());
    const ReplyListener listener = runExchange(whole.bytes.substr(0, length), end, pause);
    const bool isOrderly = end == PeerEnd::Graceful;
    if (whole.needsClose ? isOrderly && length >= whole.bodyStart : isOrderly && length == whole.bytes.size()) {
        REQUIRE(listener.replies.size() == 1);
        CHECK(listener.replies[0].status == whole.status);
        CHECK(listener.replies[0].body == whole.body.substr(0, whole.needsClose ? length - whole.bodyStart : std::string::npos));
        return;
    }
    // A reset may destroy bytes that were not read yet, so that a whole reply may count or not.
    if (!isOrderly && !whole.needsClose && length == whole.bytes.size() && !listener.replies.empty()) {
        CHECK(listener.replies[0].body == whole.body);
        return;
    }
    CHECK(listener.replies.empty());
    CHECK(listener.isClosed);
}

} // namespace

TEST_CASE("a reply that is cut at any byte counts only if it is complete by its framing")
{
    for (const WholeReply& whole : wholeReplies()) {
        for (size_t length = 0; length <= whole.bytes.size(); ++length) {
            for (const PeerEnd end : { PeerEnd::Graceful, PeerEnd::Reset }) {
                checkCut(whole, length, end, Micros(0));
                checkCut(whole, length, end, Micros(1000));
            }
        }
    }
}

TEST_CASE("bytes after an answer to an upgrade nobody asked for are not taken for a reply")
{
    const std::string upgrade = "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n";
    for (const PeerEnd end : { PeerEnd::Graceful, PeerEnd::StayOpen }) {
        const ReplyListener listener = runExchange(upgrade + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", end, Micros(1000));
        CHECK(listener.replies.empty());
        CHECK(listener.isClosed);
    }
}
