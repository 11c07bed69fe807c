#pragma once

/// Tracks backend server incarnations that accept no new work. The first notice from any source takes
/// effect; only a newer incarnation of the server clears it.

#include "context.h"

#include <absl/container/flat_hash_map.h>

namespace limpettrestle {

class DrainTable {
public:
    /// Records a drain notice; returns true when it was not known before. A notice without an incarnation (0)
    /// applies to the newest incarnation seen.
    bool drain(ReplicaId replica, uint64_t serverIncarnation);
    /// Records that this incarnation of the server reported that it accepts work. Returns true when this ended
    /// a drain.
    bool recordServing(ReplicaId replica, uint64_t serverIncarnation);

    bool isDrained(ReplicaId replica) const;
    std::vector<DrainRecord> records() const;
    size_t size() const { return drained_.size(); }

private:
    absl::flat_hash_map<ReplicaId, uint64_t> drained_;
    absl::flat_hash_map<ReplicaId, uint64_t> newestSeen_;
};

} // namespace limpettrestle
