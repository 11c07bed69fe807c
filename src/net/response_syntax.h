#pragma once

/// Strict syntax of HTTP/1.1 responses (RFC 9112).

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace limpettrestle {

/// Checks the bytes of a response and of the interim responses before it, because the parser accepts bytes that are no
/// valid response. Does no I/O and keeps no bytes. Reads lines as the parser does: LF alone ends a line of the head or of
/// the trailers.
class ResponseSyntax {
public:
    /// Checks the next bytes, which may end anywhere, but not behind the response. `isChunked`: the response has a chunked
    /// body; must be set once the bytes contain the end of its head. Returns false when the bytes are invalid.
    bool check(std::string_view bytes, bool isChunked);
    /// Prepares for the next response.
    void reset() { *this = {}; }

private:
    enum class State : uint8_t {
        BeforeStatusLine,
        StatusLine,
        Reason,
        FieldStart,
        FieldName,
        FieldValue,
        ChunkSize,
        ChunkExtension,
        ChunkData,
        AfterChunkData,
        /// After CR, which LF must follow.
        LineEnd,
        /// In a body without chunks, or behind a chunked one.
        Unchecked,
        Count,
    };
    /// Removes the bytes that it has read from the front of `rest`, at least one. Returns false when they are invalid.
    using Reader = bool (ResponseSyntax::*)(std::string_view& rest);

    bool readBeforeStatusLine(std::string_view& rest);
    bool readStatusLine(std::string_view& rest);
    bool readText(std::string_view& rest);
    bool readFieldStart(std::string_view& rest);
    bool readFieldName(std::string_view& rest);
    bool readChunkSize(std::string_view& rest);
    bool readChunkExtension(std::string_view& rest);
    bool readChunkData(std::string_view& rest);
    bool readAfterChunkData(std::string_view& rest);
    bool readLineEnd(std::string_view& rest);
    bool readUnchecked(std::string_view& rest);

    /// Reads the first byte of a line end.
    bool endLine(std::string_view& rest, State next);
    bool endChunkSizeLine(std::string_view& rest);
    /// Returns the state behind the empty line that ends the head or the trailers.
    State stateAfterFields() const;

    State state_ = State::BeforeStatusLine;
    /// State after `LineEnd`.
    State nextState_ = State::FieldStart;
    /// Number of bytes read of the part of the status line that has a fixed length.
    size_t position_ = 0;
    int status_ = 0;
    bool isChunked_ = false;
    bool isInTrailers_ = false;
    /// Bytes of the current chunk that have not been read.
    uint64_t chunkBytes_ = 0;
};

} // namespace limpettrestle
