#pragma once

/// Helpers for sockets on the event loop.

#include <string>
#include <uv.h>

namespace limpettrestle {

/// Buffer into which every socket of the loop reads; its content is used before the next read.
uv_buf_t sharedReadBuffer();

enum class WriteResult : int {
    /// Everything was handed to the socket.
    Done,
    /// The rest is written as the socket takes it; `pending` falls back then.
    Pending,
    /// The socket is dead; no byte was handed over.
    Dead,
};
/// Writes at once what the socket takes and queues the rest. `pending` counts queued writes and must
/// live as long as the socket's handle.
WriteResult writeOrQueue(uv_stream_t* stream, const std::string& head, const std::string& body, int& pending);

/// True when the peer ended the stream in order. The event loop reports data followed by a reset as
/// an orderly end; the socket itself tells them apart.
bool endedInOrder(uv_stream_t* stream);

/// Round trip time of a connection in microseconds, as the kernel measured it; 0 when not known.
unsigned roundTripMicros(uv_tcp_t* socket);

/// Ends a connection whose peer takes no bytes for so long.
void setPeerTimeout(uv_tcp_t* socket, int milliseconds);

} // namespace limpettrestle
