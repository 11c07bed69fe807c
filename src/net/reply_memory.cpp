#include "reply_memory.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    /// Limit on unfinished replies of the process.
    constexpr size_t kMaxProcessBytes = 4 << 20;
    /// Replies below this size are not counted; most replies are complete before they reach it.
    constexpr size_t kMinCountedBytes = 4096;

} // namespace

ReplyMemory& ReplyMemory::ofProcess()
{
    static ReplyMemory memory(kMaxProcessBytes);
    return memory;
}

void ReplyMemory::update(ReplyReceiverI& receiver, size_t bytes)
{
    if (bytes < kMinCountedBytes)
        return;
    size_t& counted = receivers_[&receiver];
    bytes_ += bytes - counted;
    counted = bytes;
    while (bytes_ > maxBytes_) {
        const auto largest = std::max_element(receivers_.begin(), receivers_.end(), [](const auto& a, const auto& b) { return a.first->usedFraction() < b.first->usedFraction(); });
        ReplyReceiverI* victim = largest->first;
        release(*victim);
        victim->closeOversized();
    }
}

void ReplyMemory::release(ReplyReceiverI& receiver)
{
    const auto found = receivers_.find(&receiver);
    if (found == receivers_.end())
        return;
    bytes_ -= found->second;
    receivers_.erase(found);
}

} // namespace limpettrestle
