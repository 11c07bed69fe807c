#pragma once

/// Chain of configuration versions. A version only rises; every change names the version and
/// digest it starts from, so that every instance reaches the same verdict.

#include "fleet_config.h"

#include <absl/container/flat_hash_map.h>

namespace limpettrestle {

/// Holds the configuration in force and judges changes to it.
class ConfigChain {
public:
    /// What one record or document did to the chain.
    struct Step {
        /// False for a record that was judged before.
        bool wasNews = false;
        /// True when another version is in force now.
        bool changed = false;
        ConfigHistoryEntry entry;
    };

    /// Judges a published record and takes it in force when accepted. Records come in the order
    /// of their revisions; one that is not newer than the newest seen is passed over.
    Step applyRecord(const ConfigRecord& record);

    /// Takes an accepted patch from a peer. `wasNews` without `changed` means that the patch does
    /// not fit the version in force here and the whole document is needed.
    Step takeNews(const ConfigNews& news);

    /// Accepted patches that lead from `from` to the version in force; empty when not all are held.
    std::vector<ConfigNews> newsSince(ConfigStamp from) const;

    /// The patch or checkpoint that led to the version in force; null when it came as a document.
    const ConfigNews* newest() const;

    /// Takes a peer's whole document when it is newer than the one in force.
    Step takeDocument(ConfigStamp stamp, Body text, uint64_t platformRevision);

    /// Notes the newest revision the platform has. Returns true when the platform went back to an
    /// older state, so that all its records must be read and judged again.
    bool notePlatformRevision(uint64_t revision);

    const FleetConfigPtr& current() const { return current_; }
    ConfigStamp stamp() const { return current_ ? current_->stamp : ConfigStamp {}; }
    uint64_t platformRevision() const { return revision_; }
    const std::vector<ConfigHistoryEntry>& history() const { return history_; }

private:
    bool knows(const std::string& change) const;
    void adopt(const ConfigRecord& record, const ConfigChangeResult& verdict);
    void remember(const ConfigHistoryEntry& entry);

    FleetConfigPtr current_;
    uint64_t revision_ = 0;
    std::vector<ConfigHistoryEntry> history_;
    std::vector<ConfigNews> recent_;
};

} // namespace limpettrestle
