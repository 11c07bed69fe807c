#pragma once

/// Merges the records of several parts.

#include <string>
#include <string_view>
#include <vector>

namespace limpettrestle {

/// Size of an opaque record, bytes.
constexpr size_t kRecordBytes = 16;

/// Returns the `top` greatest records of all parts, greatest first, compared byte by byte. A rest
/// shorter than a record is dropped; equal records are all kept.
std::string mergeRecords(const std::vector<std::string_view>& parts, size_t top);

} // namespace limpettrestle
