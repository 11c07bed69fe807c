#pragma once

/// Backend server incarnations that take no new work. The earliest notice counts, from whichever
/// source; only a newer incarnation of the server clears it.

#include "context.h"

#include <absl/container/flat_hash_map.h>

namespace limpettrestle {

class DrainTable {
public:
    /// Takes in a notice. Returns true when it is news. A notice without an incarnation speaks of
    /// the newest one that was seen.
    bool drain(ReplicaId replica, uint64_t serverIncarnation);
    /// Notes that a server of this incarnation said that it takes work. Returns true when this
    /// ended a drain.
    bool recordServing(ReplicaId replica, uint64_t serverIncarnation);

    bool isDrained(ReplicaId replica) const;
    std::vector<DrainRecord> records() const;
    size_t size() const { return drained_.size(); }

private:
    absl::flat_hash_map<ReplicaId, uint64_t> drained_;
    absl::flat_hash_map<ReplicaId, uint64_t> newestSeen_;
};

} // namespace limpettrestle
