#pragma once

/// HTTP encoding of calls to backend servers, shared with the simulated backend server. The
/// request and the reply each carry one header of the form "name=value;..." and an unencoded body.

#include "limpettrestle/limpettrestle.h"

namespace limpettrestle::backend_protocol {

constexpr const char* kExecutePath = "/v1/execute";
constexpr const char* kCancelPath = "/v1/cancel";
constexpr const char* kCallHeader = "Shard-Call";
constexpr const char* kReplyHeader = "Shard-Reply";

std::string encodeCall(const BackendRequest& request);
/// Returns false when a field is missing or malformed. Ignores unknown fields.
bool decodeCall(std::string_view header, BackendRequest& request);

std::string encodeReply(const BackendReply& reply, std::string_view body);
/// Reads the header and checks the length and checksum of the body against it. Returns `Ok`,
/// `TruncatedMessage` (missing or malformed field, wrong length) or `ChecksumMismatch`.
ResultCode decodeReply(std::string_view header, std::string body, BackendReply& reply);

/// Text form "<request id>/<number>".
std::string toString(AttemptId id);
/// Returns false on malformed input.
bool parseAttemptId(std::string_view text, AttemptId& id);

} // namespace limpettrestle::backend_protocol
