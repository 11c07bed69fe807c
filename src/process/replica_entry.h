#pragma once

/// Validation of replica entries, whether they come from the registry or from another instance.

#include "limpettrestle/routing.h"

namespace limpettrestle {

/// Returns what prevents the use of an entry, or an empty text.
std::string findEntryProblem(const ReplicaEntry& entry);

} // namespace limpettrestle
