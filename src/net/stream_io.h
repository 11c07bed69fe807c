#pragma once

/// Helpers for sockets on the event loop.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <uv.h>

namespace limpettrestle {

/// Limits what a socket reads in one turn of the loop, so that a peer that never stops sending does not delay the others.
class ReadShare {
public:
    /// Returns the buffer for the next read, which all sockets of the loop share. Its content is valid until the next read. It is empty when
    /// the share of this turn is used up: the loop then reports UV_ENOBUFS and reads on in the next turn.
    uv_buf_t nextBuffer();
    /// Must be called after each read with its result.
    void noteRead(ssize_t count);

private:
    bool isUsedUp_ = false;
};

/// Queued writes of a socket, which wait until the socket accepts their bytes.
struct PendingWrites {
    int count = 0;
    /// Called when the last one has ended, with false if the socket has failed; not called after the socket has been closed. May be empty.
    std::function<void(bool isWritten)> onEnd;
};

enum class WriteResult : int {
    /// All bytes were written to the socket.
    Done,
    /// The rest is queued and counted in `pending` until it has been written.
    Pending,
    /// The socket has failed; no byte was written.
    Failed,
    /// The rest is larger than the queue may be; it was dropped.
    TooLarge,
};
struct WriteOptions {
    /// Limit on the bytes that are queued.
    size_t maxQueuedBytes = SIZE_MAX;
    /// Keeps the body alive, so that it need not be copied to be queued; may be null.
    std::shared_ptr<const void> bodyOwner;
};
/// Writes as much as the socket accepts and queues the rest. `pending` must outlive the socket's handle.
WriteResult writeOrQueue(uv_stream_t* stream, const std::string& head, const std::string& body, PendingWrites& pending, const WriteOptions& options = {});

/// Returns true when the peer closed the stream gracefully (FIN). libuv also reports data followed by a reset as end of
/// file, so this reads the state from the socket itself.
bool isGracefulClose(uv_stream_t* stream);

/// Returns the smoothed round-trip time of a connection in microseconds, as measured by the kernel; 0 when unknown.
unsigned smoothedRoundTripMicros(uv_tcp_t* socket);

/// Limits the memory of the kernel for each connection that a listener accepts. Must be called before `uv_listen()`.
void limitKernelBuffers(uv_tcp_t* listener);

/// Sets TCP_USER_TIMEOUT: the kernel drops the connection when sent data stays unacknowledged for this long.
void setTcpUserTimeout(uv_tcp_t* socket, int milliseconds);

} // namespace limpettrestle
