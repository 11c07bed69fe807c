#pragma once

/// Shared facts as part of messages between instances. Times travel as ages, because instances do not share a clock.

#include "../process/shared_facts.h"

#include <nlohmann/json_fwd.hpp>

namespace limpettrestle {

/// A shared fact in a message.
struct FactEntry {
    FactKind kind = FactKind::ZoneEvacuated;
    std::string subject;
    bool holds = true;
    FactVersion version;
    std::string source;
    /// Time since the fact was learned first.
    Millis age { 0 };
    /// Time until the fact ends by itself; unset if it does not.
    std::optional<Millis> timeLeft;
};

FactEntry toEntry(const SharedFact& fact, TimePoint now);
SharedFact toFact(const FactEntry& entry, TimePoint now);

nlohmann::json encodeFacts(const std::vector<FactEntry>& entries);
/// Leaves out facts of kinds that this build lacks. Throws `nlohmann::json::exception` when the input is malformed.
std::vector<FactEntry> decodeFacts(const nlohmann::json& list);

} // namespace limpettrestle
