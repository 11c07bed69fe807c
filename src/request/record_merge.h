#pragma once

/// Merging of the records of several parts.

#include <string>
#include <string_view>
#include <vector>

namespace limpettrestle {

/// Size of an opaque record in bytes.
constexpr size_t kRecordBytes = 16;

/// Returns the `top` greatest records of all parts in descending order, compared as bytes. Trailing
/// bytes of a part that do not form a whole record are ignored; duplicates are kept.
std::string mergeRecords(const std::vector<std::string_view>& parts, size_t top);

} // namespace limpettrestle
