#include "record_merge.h"

#include <algorithm>
#include <cstring>

namespace limpettrestle {

std::string mergeRecords(const std::vector<std::string_view>& parts, size_t top)
{
    std::vector<const char*> records;
    for (const std::string_view part : parts) {
        for (size_t at = 0; at + kRecordBytes <= part.size(); at += kRecordBytes)
            records.push_back(part.data() + at);
    }
    const auto isGreater = [](const char* a, const char* b) { return std::memcmp(a, b, kRecordBytes) > 0; };
    const size_t kept = std::min(top, records.size());
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(kept), records.end(), isGreater);
    std::string merged;
    merged.reserve(kept * kRecordBytes);
    for (size_t i = 0; i < kept; ++i)
        merged.append(records[i], kRecordBytes);
    return merged;
}

} // namespace limpettrestle
