/// Replies that do not end: in the head, in a body of any framing, before and behind an answer, at any speed.

#include "../src/net/http_client.h"
#include "../src/process/system_clock.h"
#include "support/endless_peer.h"
#include "support/raw_peer.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <malloc.h>
#include <optional>

using namespace limpettrestle;

namespace {

constexpr size_t kMaxBodyBytes = 64 << 10;

struct ReplyListener final : HttpClientListenerI {
    explicit ReplyListener(bool awaitsNext = false, size_t maxBodyBytes = kMaxBodyBytes)
        : awaitsNext_(awaitsNext)
        , maxBodyBytes_(maxBodyBytes)
    {
    }
    void onConnected(HttpClientConnection& connection) override { connection.send("GET / HTTP/1.1\r\nHost: test\r\n\r\n", "", { false, maxBodyBytes_ }); }
    ResponseAction onResponse(HttpClientConnection& connection, HttpResponse response, bool isReusable) override
    {
        ++responses;
        bodyBytes += response.body.size();
        if (awaitsNext_)
            return ResponseAction::AwaitNext;
        if (isReusable)
            connection.close();
        isDone = true;
        return ResponseAction::Keep;
    }
    void onClosed(HttpClientConnection& /*connection*/, CloseReason reason) override
    {
        isDone = true;
        closeReason = reason;
    }

    int responses = 0;
    size_t bodyBytes = 0;
    bool isDone = false;
    CloseReason closeReason = CloseReason::Closed;

private:
    bool awaitsNext_;
    size_t maxBodyBytes_;
};

/// Resident memory of this process in bytes.
size_t residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    size_t total = 0;
    size_t resident = 0;
    statm >> total >> resident;
    return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

template <typename Condition>
bool runUntil(uv_loop_t& loop, Condition condition, Millis limit = Millis(10000))
{
    const SystemClock clock;
    const TimePoint end = clock.now() + limit;
    while (!condition() && clock.now() < end) {
        if (uv_run(&loop, UV_RUN_NOWAIT) == 0)
            break;
        usleep(200);
    }
    return condition();
}

std::string repeat(const std::string& text, size_t count)
{
    std::string result;
    for (size_t i = 0; i < count; ++i)
        result += text;
    return result;
}

/// Sends a request to a peer, and returns the listener when its connection has ended.
ReplyListener requestFrom(int port, bool awaitsNext = false)
{
    uv_loop_t loop;
    uv_loop_init(&loop);
    ReplyListener listener(awaitsNext);
    HttpClientConnection::open(&loop, "127.0.0.1", port, Millis(1000), listener);
    CHECK(runUntil(loop, [&] { return listener.isDone; }));
    uv_run(&loop, UV_RUN_DEFAULT);
    uv_loop_close(&loop);
    return listener;
}

const std::string kOk = "HTTP/1.1 200 OK\r\n";

} // namespace

TEST_CASE("a reply without end closes its connection")
{
    struct TestCase {
        std::string what;
        std::string start;
        std::string block;
        CloseReason reason;
        int pauseMillis = 0;
        bool awaitsNext = false;
    };
    const std::string otherReply = kOk + "Content-Length: 2\r\n\r\nno";
    const std::vector<TestCase> testCases = {
        { "status line", "HTTP/1.1 200 ", repeat("O", 8192), CloseReason::TooLarge },
        { "header name", kOk + "X", repeat("y", 8192), CloseReason::TooLarge },
        { "header value", kOk + "X: ", repeat("y", 8192), CloseReason::TooLarge },
        { "headers", kOk, repeat("X: y\r\n", 1000), CloseReason::TooLarge },
        { "empty lines before the reply", "\r\n", repeat("\r\n", 4096), CloseReason::TooLarge },
        { "interim responses", "HTTP/1.1 100 Continue\r\n\r\n", repeat("HTTP/1.1 100 Continue\r\n\r\n", 300), CloseReason::TooLarge },
        { "body without a length", kOk + "\r\n", repeat("z", 8192), CloseReason::TooLarge },
        { "body without a length, slowly", kOk + "\r\n", repeat("z", 8192), CloseReason::TooLarge, 5 },
        { "chunks", kOk + "Transfer-Encoding: chunked\r\n\r\n", repeat("4\r\nzzzz\r\n", 900), CloseReason::TooLarge },
        { "chunk extension", kOk + "Transfer-Encoding: chunked\r\n\r\n4;a=", repeat("b", 8192), CloseReason::TooLarge },
        { "trailer", kOk + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", repeat("y", 8192), CloseReason::TooLarge },
        { "declared length above the limit", kOk + "Content-Length: 70000\r\n\r\n", "z", CloseReason::TooLarge },
        { "declared length of the largest number", kOk + "Content-Length: 9999999999999999999\r\n\r\n", "z", CloseReason::TooLarge },
        { "declared length beyond all numbers", kOk + "Content-Length: 99999999999999999999\r\n\r\n", "z", CloseReason::Protocol },
        { "bytes that are no reply", "GARBAGE", repeat("x", 8192), CloseReason::Protocol },
        { "replies to other requests", otherReply, repeat(otherReply, 100), CloseReason::TooLarge, 0, true },
    };
    for (const TestCase& testCase : testCases) {
        INFO(testCase.what);
        EndlessPeer peer(testCase.start, testCase.block, testCase.pauseMillis);
        const ReplyListener listener = requestFrom(peer.port(), testCase.awaitsNext);
        CHECK(listener.closeReason == testCase.reason);
        CHECK((testCase.awaitsNext || listener.responses == 0));
        CHECK(ReplyMemory::ofProcess().bytes() == 0);
    }
}

TEST_CASE("bytes without end behind an answer do not reach the next request")
{
    EndlessPeer peer(kOk + "Content-Length: 2\r\n\r\nok", repeat("x", 8192), 0);
    const ReplyListener listener = requestFrom(peer.port());
    CHECK(listener.responses == 1);
    CHECK(listener.bodyBytes == 2);
    const SystemClock clock;
    const TimePoint end = clock.now() + Millis(2000);
    while (peer.closedByOther() == 0 && clock.now() < end)
        usleep(1000);
    CHECK(peer.closedByOther() == 1);
}

// Guards against connections that keep the loop busy for as long as their peers send: 200 of them delayed all other requests.
TEST_CASE("a reply without end is read in small shares")
{
    constexpr int kTurns = 20;
    EndlessPeer peer(kOk + "\r\n", repeat("z", 65536), 0);
    uv_loop_t loop;
    uv_loop_init(&loop);
    ReplyListener listener(false, size_t { 64 } << 20);
    HttpClientConnection* connection = HttpClientConnection::open(&loop, "127.0.0.1", peer.port(), Millis(1000), listener);
    const ReplyMemory& memory = ReplyMemory::ofProcess();
    REQUIRE(runUntil(loop, [&] { return memory.bytes() > 0; }));
    size_t largestShare = 0;
    for (int turn = 0; turn < kTurns && !listener.isDone; ++turn) {
        // The peer fills the buffers of the sockets meanwhile.
        usleep(5000);
        const size_t before = memory.bytes();
        uv_run(&loop, UV_RUN_NOWAIT);
        largestShare = std::max(largestShare, memory.bytes() - std::min(before, memory.bytes()));
    }
    CHECK(largestShare > 0);
    CHECK(largestShare <= kMaxReadShareBytes);
    CHECK_FALSE(listener.isDone);
    if (!listener.isDone)
        connection->close();
    uv_run(&loop, UV_RUN_DEFAULT);
    uv_loop_close(&loop);
}

TEST_CASE("a reply within its limits is complete")
{
    const std::vector<std::string> replies = {
        kOk + "Content-Length: 65536\r\n\r\n" + repeat("z", kMaxBodyBytes),
        kOk + "Transfer-Encoding: chunked\r\n\r\n" + repeat("1\r\nz\r\n", kMaxBodyBytes) + "0\r\n\r\n",
    };
    for (const std::string& reply : replies) {
        RawPeer peer(reply, PeerEnd::StayOpen);
        const ReplyListener listener = requestFrom(peer.port());
        CHECK(listener.responses == 1);
        CHECK(listener.bodyBytes == kMaxBodyBytes);
    }
}

namespace {

class TestReceiver final : public ReplyReceiverI {
public:
    explicit TestReceiver(size_t limit)
        : limit_(limit)
    {
    }
    double usedFraction() const override { return static_cast<double>(bytes) / static_cast<double>(limit_); }
    void closeOversized() override { isClosed = true; }

    size_t bytes = 0;
    bool isClosed = false;

private:
    const size_t limit_;
};

} // namespace

TEST_CASE("when the limit of the process is exceeded, the reply that is nearest to its own limit is closed")
{
    ReplyMemory memory(1 << 20);
    TestReceiver part(64 << 10);
    TestReceiver page(8 << 20);
    TestReceiver forwarded(1 << 20);
    const auto receive = [&memory](TestReceiver& receiver, size_t bytes) {
        receiver.bytes = bytes;
        memory.update(receiver, bytes);
    };
    receive(page, 700 << 10);
    receive(part, 60 << 10);
    receive(forwarded, 200 << 10);
    CHECK(memory.bytes() == size_t { 960 } << 10);
    receive(page, 800 << 10);
    CHECK(part.isClosed);
    CHECK_FALSE(forwarded.isClosed);
    CHECK_FALSE(page.isClosed);
    receive(forwarded, 300 << 10);
    CHECK(forwarded.isClosed);
    CHECK_FALSE(page.isClosed);
    memory.release(page);
    CHECK(memory.bytes() == 0);
    CHECK(memory.receivers() == 0);
}

namespace {

/// Bytes that the process has allocated.
size_t allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// Receives a reply of up to 8 MB, and measures the allocated memory when the connection closes.
struct MeasuringListener final : HttpClientListenerI {
    static constexpr size_t kMaxBytes = 8 << 20;

    void onConnected(HttpClientConnection& connection) override { connection.send("GET / HTTP/1.1\r\nHost: test\r\n\r\n", "", { false, kMaxBytes }); }
    ResponseAction onResponse(HttpClientConnection& /*connection*/, HttpResponse /*response*/, bool /*isReusable*/) override { return ResponseAction::Close; }
    void onClosed(HttpClientConnection& /*connection*/, CloseReason reason) override
    {
        closeReason = reason;
        bytesAtClose = allocatedBytes();
    }

    std::optional<CloseReason> closeReason;
    size_t bytesAtClose = 0;
};

} // namespace

// Guards against the memory of replies that are given up and freed only when the replies of all other connections have been read.
TEST_CASE("a reply that is given up frees its memory at once")
{
    EndlessPeer peer(kOk + "\r\n", repeat("z", 65536), 0);
    uv_loop_t loop;
    uv_loop_init(&loop);
    MeasuringListener listener;
    const size_t before = allocatedBytes();
    HttpClientConnection::open(&loop, "127.0.0.1", peer.port(), Millis(1000), listener);
    REQUIRE(runUntil(loop, [&] { return listener.closeReason.has_value(); }));
    CHECK(*listener.closeReason == CloseReason::TooLarge);
    CHECK(listener.bytesAtClose < before + (size_t { 1 } << 20));
    uv_run(&loop, UV_RUN_DEFAULT);
    uv_loop_close(&loop);
}

TEST_CASE("two hundred replies without end keep memory bounded")
{
    struct TestCase {
        std::string what;
        std::string start;
        std::string block;
        int pauseMillis;
    };
    const std::string body = repeat("z", 4096);
    // Each field takes far more memory than it has bytes.
    const std::string fields = repeat("X:\r\n", 1024);
    const std::string interim = repeat("HTTP/1.1 100 Continue\r\nX:\r\n\r\n", 100);
    const std::vector<TestCase> testCases = {
        { "body", kOk + "\r\n", body, 0 },
        { "body, slowly", kOk + "\r\n", body, 20 },
        { "head of small fields", kOk, fields, 0 },
        { "head of small fields, slowly", kOk, fields, 20 },
        { "trailer of small fields, slowly", kOk + "Transfer-Encoding: chunked\r\n\r\n0\r\n", fields, 20 },
        { "interim responses, slowly", interim, interim, 20 },
    };
    for (const auto& [what, start, block, pauseMillis] : testCases) {
        INFO(what);
        EndlessPeer peer(start, block, pauseMillis);
        uv_loop_t loop;
        uv_loop_init(&loop);
        constexpr size_t kConnections = 200;
        const size_t before = residentBytes();
        std::vector<std::unique_ptr<ReplyListener>> listeners;
        for (size_t i = 0; i < kConnections; ++i) {
            listeners.push_back(std::make_unique<ReplyListener>(false, size_t { 1 } << 20));
            HttpClientConnection::open(&loop, "127.0.0.1", peer.port(), Millis(3000), *listeners.back());
        }
        size_t peak = before;
        const bool areAllClosed = runUntil(loop, [&] {
            peak = std::max(peak, residentBytes());
            return std::all_of(listeners.begin(), listeners.end(), [](const auto& listener) { return listener->isDone; });
        });
        CHECK(areAllClosed);
        CHECK(peak - before < size_t { 32 } << 20);
        uv_run(&loop, UV_RUN_DEFAULT);
        uv_loop_close(&loop);
    }
}
