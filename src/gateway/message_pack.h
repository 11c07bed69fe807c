#pragma once

/// Fields that several MessagePack messages between instances have in common. The decoders throw `nlohmann::json::exception`
/// when a field is missing or has the wrong type.

#include "../bounded_json.h"
#include "../stated_time.h"
#include "limpettrestle/routing.h"

namespace limpettrestle {

using json = nlohmann::json;

std::string toMessagePack(const json& root);
json binary(const std::string& bytes);
std::string bytesOf(const json& value);
/// Decodes the signatures of parts; throws also when one cannot be sent in a header.
std::vector<std::string> decodeSignatures(const json& list);
json encodeMissing(const std::vector<MissingPart>& missing);
std::vector<MissingPart> decodeMissing(const json& list);
ResultCode resultCodeOf(const json& value);
/// Throws also when the time is longer than `kMaxStatedTime`, before or after zero.
Millis millisOf(const json& value);
Micros microsOf(const json& value);

} // namespace limpettrestle
