#include "stream_io.h"

#include <algorithm>
#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace limpettrestle {

namespace {

    /// Bytes that a socket reads in one turn of the loop. Bodies in chunks of one byte, the slowest to parse, take some 5 us per KB: with larger
    /// shares, 200 connections that send them would delay the others by more than 10 ms a turn.
    constexpr size_t kReadShareBytes = 8192;

    /// SO_RCVBUF of accepted connections: what a client may send while the process does not read. The kernel doubles it for its own overhead.
    constexpr int kReceiveBufferBytes = 16 << 10;
    /// TCP_NOTSENT_LOWAT of accepted connections: what the kernel takes of a response before the client's window opens.
    constexpr int kUnsentBytes = 16 << 10;

    struct QueuedWrite {
        uv_write_t request;
        std::string bytes;
        /// Body that follows `bytes`, and its owner; null if it is part of `bytes`.
        std::shared_ptr<const void> bodyOwner;
        PendingWrites* pending;
    };

    void onWritten(uv_write_t* request, int status)
    {
        auto* queued = static_cast<QueuedWrite*>(request->data);
        PendingWrites* pending = queued->pending;
        delete queued;
        // Writes are cancelled when the socket is closed; the owner of the counter may already have been destroyed.
        if (status == UV_ECANCELED)
            return;
        if (--pending->count == 0 && pending->onEnd)
            pending->onEnd(status == 0);
    }

} // namespace

uv_buf_t ReadShare::nextBuffer()
{
    static std::array<char, kReadShareBytes> buffer;
    if (std::exchange(isUsedUp_, false))
        return uv_buf_init(nullptr, 0);
    return uv_buf_init(buffer.data(), buffer.size());
}

void ReadShare::noteRead(ssize_t count)
{
    // After a read that fills the buffer, libuv asks for the next one in the same turn; after any other, it waits for the next turn.
    isUsedUp_ = count == static_cast<ssize_t>(kReadShareBytes);
}

WriteResult writeOrQueue(uv_stream_t* stream, const std::string& head, const std::string& body, PendingWrites& pending, const WriteOptions& options)
{
    std::array<uv_buf_t, 2> parts = { uv_buf_init(const_cast<char*>(head.data()), static_cast<unsigned>(head.size())),
        uv_buf_init(const_cast<char*>(body.data()), static_cast<unsigned>(body.size())) };
    const size_t total = head.size() + body.size();
    const int result = pending.count > 0 ? UV_EAGAIN : uv_try_write(stream, parts.data(), body.empty() ? 1 : 2);
    if (result < 0 && result != UV_EAGAIN)
        return WriteResult::Failed;
    const size_t writtenBytes = result > 0 ? static_cast<size_t>(result) : 0;
    if (writtenBytes == total)
        return WriteResult::Done;
    if (total - writtenBytes > options.maxQueuedBytes)
        return WriteResult::TooLarge;
    const std::string_view headRest = std::string_view(head).substr(std::min(writtenBytes, head.size()));
    const std::string_view bodyRest = std::string_view(body).substr(writtenBytes - (head.size() - headRest.size()));
    auto* queued = new QueuedWrite { {}, std::string(headRest), options.bodyOwner, &pending };
    if (queued->bodyOwner == nullptr)
        queued->bytes.append(bodyRest);
    queued->request.data = queued;
    std::array<uv_buf_t, 2> rest = { uv_buf_init(queued->bytes.data(), static_cast<unsigned>(queued->bytes.size())),
        uv_buf_init(const_cast<char*>(bodyRest.data()), static_cast<unsigned>(bodyRest.size())) };
    ++pending.count;
    if (uv_write(&queued->request, stream, rest.data(), queued->bodyOwner == nullptr ? 1 : 2, onWritten) != 0) {
        --pending.count;
        delete queued;
        return writtenBytes == 0 ? WriteResult::Failed : WriteResult::Pending;
    }
    return WriteResult::Pending;
}

bool isGracefulClose(uv_stream_t* stream)
{
    uv_os_fd_t descriptor = -1;
    if (uv_fileno(reinterpret_cast<uv_handle_t*>(stream), &descriptor) != 0)
        return false;
    char byte = 0;
    return recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

unsigned smoothedRoundTripMicros(uv_tcp_t* socket)
{
    uv_os_fd_t descriptor = -1;
    tcp_info info {};
    socklen_t length = sizeof(info);
    if (uv_fileno(reinterpret_cast<uv_handle_t*>(socket), &descriptor) != 0)
        return 0;
    return getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &length) == 0 ? info.tcpi_rtt : 0;
}

void limitKernelBuffers(uv_tcp_t* listener)
{
    uv_os_fd_t descriptor = -1;
    if (uv_fileno(reinterpret_cast<uv_handle_t*>(listener), &descriptor) != 0)
        return;
    // Accepted connections inherit both options. Best effort: without them, the kernel's own limits apply.
    (void)setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof(kReceiveBufferBytes));
    (void)setsockopt(descriptor, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &kUnsentBytes, sizeof(kUnsentBytes));
}

void setTcpUserTimeout(uv_tcp_t* socket, int milliseconds)
{
    uv_os_fd_t descriptor = -1;
    if (uv_fileno(reinterpret_cast<uv_handle_t*>(socket), &descriptor) != 0)
        return;
    // Best effort: without the option, a dead peer is detected by the timeouts of its requests.
    (void)setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof(milliseconds));
}

} // namespace limpettrestle
