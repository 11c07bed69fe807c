#pragma once

/// Accounts for the memory that the process holds for the clients of all its listeners, and takes it back from those that
/// hold it the longest.

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>

namespace limpettrestle {

/// Client whose memory can be taken back.
class BudgetClientI {
public:
    virtual ~BudgetClientI() = default;
    /// Must release what the client holds, at the latest when its connection has been closed.
    virtual void reclaim() = 0;
};

class HeldBytes;

/// Counts bytes in three uses: requests that are being read, requests that are being processed, and responses that clients have
/// not taken. The first and the last can be taken back. All three together never exceed the limit: what does not fit is not accepted.
class ClientBudget {
public:
    explicit ClientBudget(size_t maxBytes)
        : maxBytes_(maxBytes)
    {
    }

    /// Returns the instance for all listeners of the process.
    static ClientBudget& ofProcess();

    /// Sets the limit for all uses together.
    void setMaxBytes(size_t maxBytes) { maxBytes_ = maxBytes; }
    /// Counts a request that is processed from now on, until the returned value and all its copies are destroyed, which must not outlive the
    /// budget; the value is null if the request is too small to count. Returns no value when the request does not fit.
    std::optional<std::shared_ptr<const void>> admit(size_t bytes);
    /// Takes memory back, from the client that has held it the longest on, until there is room again. A client that alone holds any keeps it: a
    /// single request may be as large as the limit. Must be called once in each turn of the event loop, outside of the clients' own callbacks.
    void reclaim();
    size_t room() const { return bytes_ < maxBytes_ ? maxBytes_ - bytes_ : 0; }
    size_t bytes() const { return bytes_; }
    /// Bytes of requests that are being processed.
    size_t admittedBytes() const { return admittedBytes_; }

private:
    friend class HeldBytes;

    size_t maxBytes_;
    size_t bytes_ = 0;
    size_t admittedBytes_ = 0;
    /// What can be taken back, in the order in which the clients began to hold it.
    std::map<uint64_t, HeldBytes*> holders_;
    uint64_t lastHolder_ = 0;
};

/// Bytes that a client holds for one use. Gives them back when it is destroyed.
class HeldBytes {
public:
    HeldBytes(ClientBudget& budget, BudgetClientI& client)
        : budget_(budget)
        , client_(client)
    {
    }
    ~HeldBytes() { release(); }
    HeldBytes(const HeldBytes&) = delete;
    HeldBytes& operator=(const HeldBytes&) = delete;

    /// Sets the number of bytes. Returns false and changes nothing when they do not fit.
    bool resize(size_t bytes);
    void release() { resize(0); }

private:
    friend class ClientBudget;

    ClientBudget& budget_;
    BudgetClientI& client_;
    size_t bytes_ = 0;
    /// Key in `ClientBudget::holders_`; 0 while nothing is counted, or after it has been taken back.
    uint64_t holder_ = 0;
};

} // namespace limpettrestle
