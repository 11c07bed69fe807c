#pragma once

/// Recognizes a request that comes again, at this or another instance, under a new request ID.

#include "limpettrestle/routing.h"

#include <span>

namespace limpettrestle {

/// Returns the fingerprint of a request: its method, host, target, headers and body. `attemptHeaders` names the headers
/// that differ between attempts of one caller; they are left out. The result is always valid.
RequestFingerprint fingerprintOf(const ForwardedRequest& request, std::span<const std::string_view> attemptHeaders);

} // namespace limpettrestle
