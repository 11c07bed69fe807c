#pragma once

/// HTTP form of calls to backend servers, shared with the stand-in: one structured header each
/// way ("name=value;..."), the body as it is.

#include "limpettrestle/limpettrestle.h"

namespace limpettrestle::backend_protocol {

constexpr const char* kPath = "/v1/execute";
constexpr const char* kCancelPath = "/v1/cancel";
constexpr const char* kCallHeader = "Shard-Call";
constexpr const char* kReplyHeader = "Shard-Reply";

std::string encodeCall(const BackendRequest& request);
/// False when a field is missing or malformed.
bool decodeCall(std::string_view header, BackendRequest& request);

std::string encodeReply(const BackendReply& reply, std::string_view body);
/// Reads header and body; checks the body's length and checksum against the header.
ResultCode decodeReply(std::string_view header, std::string body, BackendReply& reply);

std::string toString(AttemptId id);
bool parseAttempt(std::string_view text, AttemptId& id);

} // namespace limpettrestle::backend_protocol
