#pragma once

/// Facts that instances pass on to each other, each with its source, its age and a version that orders statements
/// about the same subject. Does no I/O.

#include "limpettrestle/limpettrestle.h"

#include <absl/container/flat_hash_map.h>
#include <optional>

namespace limpettrestle {

enum class FactKind : uint8_t {
    /// The operator has evacuated a zone: its replicas get no new calls.
    ZoneEvacuated,
    /// A replica is cold: all instances together may call it at a limited rate only.
    ReplicaCold,
};
/// Name of the kind in messages and the log.
std::string_view name(FactKind value);
std::optional<FactKind> factKindOf(std::string_view name);

/// Orders statements about one subject. Versions of a later era of the registry replace those of an earlier one.
struct FactVersion {
    uint64_t era = 0;
    /// Zones: revision of the registry. Replicas: start of the run in Unix milliseconds.
    uint64_t number = 0;
    auto operator<=>(const FactVersion&) const = default;
};

struct SharedFact {
    FactKind kind = FactKind::ZoneEvacuated;
    /// Name of the zone, or ID of the replica.
    std::string subject;
    /// False when the fact is known to have ended.
    bool holds = true;
    FactVersion version;
    /// Where the fact was learned first: "registry", "replica" or the name of an instance.
    std::string source;
    /// Time at which the fact was learned first, by any instance.
    TimePoint learnedAt {};
    /// Time at which the fact ends by itself; the maximum if it does not.
    TimePoint endsAt = TimePoint::max();
};

class SharedFacts {
public:
    /// Limit on the facts of all kinds; the limits of the deployments are far below it.
    static constexpr size_t kMaxFacts = 20000;

    /// Adds a fact or replaces an older version. Of two statements of one version, one that ends later wins. Returns true
    /// if the table has changed.
    bool merge(const SharedFact& fact, TimePoint now);
    /// Returns null if nothing is known about the subject.
    const SharedFact* find(FactKind kind, const std::string& subject) const;
    bool holds(FactKind kind, const std::string& subject, TimePoint now) const;
    /// Returns the facts of a kind, including those that no longer hold, sorted by subject.
    std::vector<SharedFact> ofKind(FactKind kind) const;
    /// Returns all facts, sorted by kind and subject.
    std::vector<SharedFact> all() const;
    /// Removes facts that ended by themselves.
    void expire(TimePoint now);
    /// Digest of the table, by which instances compare their tables; 0 when it is empty.
    uint64_t digest() const { return digest_; }
    size_t size() const { return facts_.size(); }

private:
    using Key = std::pair<FactKind, std::string>;

    void updateDigest();

    absl::flat_hash_map<Key, SharedFact> facts_;
    uint64_t digest_ = 0;
};

} // namespace limpettrestle
