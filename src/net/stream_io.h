#pragma once

/// Helpers for sockets on the event loop.

#include <string>
#include <uv.h>

namespace limpettrestle {

/// Returns the read buffer shared by all sockets of the loop. Its content is valid until the next read.
uv_buf_t sharedReadBuffer();

enum class WriteResult : int {
    /// All bytes were written to the socket.
    Done,
    /// The rest is queued. `pending` is decremented when it has been written.
    Pending,
    /// The socket has failed; no byte was written.
    Failed,
};
/// Writes as much as the socket accepts and queues the rest. `pending` counts queued writes and must outlive the
/// socket's handle.
WriteResult writeOrQueue(uv_stream_t* stream, const std::string& head, const std::string& body, int& pending);

/// Returns true when the peer closed the stream gracefully (FIN). libuv also reports data followed by a reset as end of
/// file, so this reads the state from the socket itself.
bool isGracefulClose(uv_stream_t* stream);

/// Returns the smoothed round-trip time of a connection in microseconds, as measured by the kernel; 0 when unknown.
unsigned smoothedRoundTripMicros(uv_tcp_t* socket);

/// Sets TCP_USER_TIMEOUT: the kernel drops the connection when sent data stays unacknowledged for this long.
void setTcpUserTimeout(uv_tcp_t* socket, int milliseconds);

} // namespace limpettrestle
