#pragma once

/// Requests whose replies on one connection may come again. A request that was not served may be sent again under the same ID, and a late
/// second copy of its earlier reply on the same connection could not be told from the reply to the repeat.

#include <algorithm>
#include <cstddef>
#include <vector>

namespace limpettrestle {

class AnsweredRequests {
public:
    /// Limit on remembered requests. A connection that has reached it carries no further request.
    static constexpr size_t kMaxRequests = 64;

    /// Adds the hash of a request ID; 0 stands for no ID and is not added.
    void add(size_t idHash)
    {
        if (idHash != 0 && !contains(idHash) && !isFull())
            hashes_.push_back(idHash);
    }

    bool contains(size_t idHash) const { return idHash != 0 && std::find(hashes_.begin(), hashes_.end(), idHash) != hashes_.end(); }
    bool isFull() const { return hashes_.size() >= kMaxRequests; }

private:
    std::vector<size_t> hashes_;
};

} // namespace limpettrestle
