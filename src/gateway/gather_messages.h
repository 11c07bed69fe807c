#pragma once

/// Messages between an instance and the aggregators, instances that gather groups of shards for it: MessagePack over
/// HTTP on the peer address, `POST /gather`.

#include "limpettrestle/routing.h"

#include <optional>

namespace limpettrestle {

constexpr std::string_view kGatherPath = "/gather";

std::string encode(const GroupRequest& request);
std::string encode(const GroupReply& reply);
/// Returns no value when the input is malformed.
std::optional<GroupRequest> decodeGroupRequest(const std::string& bytes);
/// Returns no value when the input is malformed.
std::optional<GroupReply> decodeGroupReply(const std::string& bytes);

} // namespace limpettrestle
