#pragma once

/// Numbers the changes of the directory and the configuration, so that other instances can follow.

#include "limpettrestle/routing.h"

#include <absl/container/flat_hash_map.h>
#include <deque>

namespace limpettrestle {

/// Position in one process's change log.
struct ChangePosition {
    /// Run of the process that numbered it.
    uint64_t run = 0;
    uint64_t number = 0;
    auto operator<=>(const ChangePosition&) const = default;
};

/// What has changed after a position.
struct ChangeSet {
    ChangePosition upTo;
    /// Everything is named: replicas that are not are gone.
    bool isWhole = false;
    std::vector<std::string> written;
    std::vector<std::string> removed;
    bool hasConfig = false;

    void clearReplicas()
    {
        isWhole = false;
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
    /// Changes after `position`; the whole where the log does not reach back to it.
    ChangeSet changesAfter(ChangePosition position) const;
    ChangePosition position() const { return { run_, last_ }; }

private:
    uint64_t run_;
    uint64_t last_ = 0;
    uint64_t configAt_ = 0;
    /// Number of the last change of each replica that is there.
    absl::flat_hash_map<std::string, uint64_t> written_;
    /// Removals, oldest first, up to a bound.
    std::deque<std::pair<uint64_t, std::string>> removed_;
    /// Removals up to this number are forgotten.
    uint64_t forgotten_ = 0;
};

} // namespace limpettrestle
