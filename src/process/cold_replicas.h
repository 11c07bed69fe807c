#pragma once

/// Exchange of what instances have seen of cold replicas, as shared facts.

#include "replica_directory.h"
#include "shared_facts.h"

namespace limpettrestle {

/// Returns one fact for each replica whose warm-up was learned from a reply and has not ended. The registry passes on
/// the others.
std::vector<SharedFact> coldReplicaFacts(const ReplicaDirectory& directory, TimePoint now);
/// Applies facts about cold replicas to the runs that they name. Facts of other kinds and about other runs are ignored.
void applyColdReplicaFacts(const std::vector<SharedFact>& facts, ReplicaDirectory& directory, TimePoint now);

/// Changes of the set of cold replicas, for the log and the metrics.
class ColdReplicaMonitor {
public:
    struct Changes {
        std::vector<ReplicaPtr> begun;
        std::vector<ReplicaPtr> ended;
    };

    /// Compares the directory with its last state. A replica that is no longer listed has not become warm and is left out
    /// of `ended`.
    Changes update(const ReplicaDirectory& directory, TimePoint now);
    size_t count() const { return cold_.size(); }

private:
    /// Cold replicas by ID.
    absl::flat_hash_map<std::string, ReplicaPtr> cold_;
};

} // namespace limpettrestle
