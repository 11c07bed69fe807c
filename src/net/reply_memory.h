#pragma once

/// Limits the bytes of unfinished replies over all client connections of the process. When the limit is exceeded, the
/// connections that have used most of their own limits are closed, so that replies of usual size are not affected.

#include <absl/container/flat_hash_map.h>
#include <cstddef>

namespace limpettrestle {

/// Connection that receives a reply.
class ReplyReceiverI {
public:
    virtual ~ReplyReceiverI() = default;
    /// Bytes received so far as a fraction of the limit for the reply.
    virtual double usedFraction() const = 0;
    /// Closes the connection. Must release its bytes.
    virtual void closeOversized() = 0;
};

class ReplyMemory {
public:
    explicit ReplyMemory(size_t maxBytes)
        : maxBytes_(maxBytes)
    {
    }

    /// Returns the instance for all connections of the process.
    static ReplyMemory& ofProcess();

    /// Sets the bytes received by a connection, and closes connections, possibly this one, while the limit is exceeded.
    void update(ReplyReceiverI& receiver, size_t bytes);
    void release(ReplyReceiverI& receiver);
    size_t bytes() const { return bytes_; }
    size_t receivers() const { return receivers_.size(); }

private:
    const size_t maxBytes_;
    size_t bytes_ = 0;
    absl::flat_hash_map<ReplyReceiverI*, size_t> receivers_;
};

} // namespace limpettrestle
