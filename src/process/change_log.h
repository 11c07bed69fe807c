#pragma once

/// Numbers the changes of the replica directory and the configuration, so that other instances can fetch increments.

#include "limpettrestle/routing.h"

#include <absl/container/flat_hash_map.h>
#include <deque>

namespace limpettrestle {

/// Position in the change log of one process.
struct ChangePosition {
    /// Identifies the run of the process that assigned the number.
    uint64_t run = 0;
    uint64_t number = 0;
    auto operator<=>(const ChangePosition&) const = default;
};

/// Changes after a position.
struct ChangeSet {
    ChangePosition upTo;
    /// The set is a full snapshot: replicas that it does not name no longer exist.
    bool isFullSnapshot = false;
    std::vector<std::string> written;
    std::vector<std::string> removed;
    bool hasConfig = false;

    /// Leaves only the change of the configuration.
    void clearReplicas()
    {
        isFullSnapshot = false;
        written.clear();
        removed.clear();
    }
};

class ChangeLog {
public:
    explicit ChangeLog(uint64_t run)
        : run_(run)
    {
    }

    void replicaWritten(const std::string& id);
    void replicaRemoved(const std::string& id);
    void configChanged();
    /// Shared facts have changed. They are not part of a change set, but held requests of followers end.
    void factsChanged() { ++last_; }
    /// Returns the changes after `position`, or a full snapshot when the log does not reach back that far.
    ChangeSet changesAfter(ChangePosition position) const;
    ChangePosition position() const { return { run_, last_ }; }

private:
    uint64_t run_;
    uint64_t last_ = 0;
    uint64_t configChangedAt_ = 0;
    /// Number of the last change of each present replica.
    absl::flat_hash_map<std::string, uint64_t> written_;
    /// Most recent removals, oldest first.
    std::deque<std::pair<uint64_t, std::string>> removed_;
    /// Removals up to this number have been dropped from the log.
    uint64_t truncatedUpTo_ = 0;
};

} // namespace limpettrestle
