#pragma once

/// Chain of configuration versions. The version never decreases. Every patch names the version and
/// digest that it is based on, so that every instance reaches the same result.

#include "fleet_config.h"

#include <absl/container/flat_hash_map.h>

namespace limpettrestle {

/// Holds the active configuration and evaluates changes to it.
class ConfigChain {
public:
    /// Effect of one record, patch or document on the chain.
    struct ApplyResult {
        /// False if the record, patch or document was already evaluated or is not newer.
        bool isNew = false;
        /// True if the active version has changed.
        bool changed = false;
        ConfigHistoryEntry entry;
    };

    /// Evaluates a published record and activates the result if it is accepted. Records must come
    /// in the order of their revisions; one that is not newer than the newest one seen is ignored.
    ApplyResult applyRecord(const ConfigRecord& record);

    /// Applies a patch that a peer has accepted. `isNew` without `changed` means that the patch does
    /// not apply to the active version, so that the whole document is needed.
    ApplyResult applyPeerPatch(const ConfigNews& patch);

    /// Accepted patches that lead from `from` to the active version; empty if some are not held.
    std::vector<ConfigNews> patchesSince(ConfigStamp from) const;

    /// Patch or checkpoint that produced the active version; null if a peer's document did.
    const ConfigNews* latestChange() const;

    /// Activates a peer's whole document if it is valid and newer than the active one.
    ApplyResult applyDocument(ConfigStamp stamp, Body text, uint64_t platformRevision);

    /// Compares the platform's newest revision with the one seen here. Returns true if the platform
    /// was rolled back to an older state; all its records must then be read and evaluated again.
    bool observePlatformRevision(uint64_t revision);

    const FleetConfigPtr& current() const { return current_; }
    ConfigStamp stamp() const { return current_ ? current_->stamp : ConfigStamp {}; }
    uint64_t platformRevision() const { return platformRevision_; }
    const std::vector<ConfigHistoryEntry>& history() const { return history_; }

private:
    bool hasHistoryOf(const std::string& change) const;
    void activate(const ConfigRecord& record, const ConfigChangeResult& changeResult);
    void addToHistory(const ConfigHistoryEntry& entry);

    FleetConfigPtr current_;
    uint64_t platformRevision_ = 0;
    std::vector<ConfigHistoryEntry> history_;
    std::vector<ConfigNews> recentChanges_;
};

} // namespace limpettrestle
