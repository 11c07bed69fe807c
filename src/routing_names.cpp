#include "limpettrestle/routing.h"

#include "process/registry_sync.h"

#include <array>

namespace limpettrestle {

namespace {

    constexpr std::array<std::string_view, 2> kRepeatPolicies = { "idempotent", "at_most_once" };
    constexpr std::array<std::string_view, 2> kReplicaStates = { "ready", "draining" };
    constexpr std::array<std::string_view, 3> kCallFailures = { "not_sent", "lost", "malformed" };
    constexpr std::array<std::string_view, 4> kRegistryOutcomes = { "done", "history_lost", "refused", "failed" };

} // namespace

std::string_view name(RepeatPolicy value) { return kRepeatPolicies[static_cast<size_t>(value)]; }
std::string_view name(ReplicaState value) { return kReplicaStates[static_cast<size_t>(value)]; }
std::string_view name(CallFailure value) { return kCallFailures[static_cast<size_t>(value)]; }
std::string_view name(RegistryOutcome value) { return kRegistryOutcomes[static_cast<size_t>(value)]; }

} // namespace limpettrestle
