#include "client_budget.h"

namespace limpettrestle {

namespace {

    /// Limit until the settings are known.
    constexpr size_t kDefaultMaxBytes = 64 << 20;
    /// Less than this is not counted: most requests and responses are below it, and the number of connections limits their sum.
    constexpr size_t kMinCountedBytes = 4096;
    /// Memory is taken back from this fraction of the limit on. The rest is for what arrives in one turn of the event loop.
    constexpr size_t kReclaimDivisor = 2;
    /// Limit on the requests that are being processed, whose memory cannot be taken back, as a fraction of the limit.
    constexpr size_t kAdmittedDivisor = 2;

    /// Returns the bytes that are counted for a message of this size.
    size_t countedBytes(size_t bytes) { return bytes < kMinCountedBytes ? 0 : bytes; }

} // namespace

ClientBudget& ClientBudget::ofProcess()
{
    static ClientBudget budget(kDefaultMaxBytes);
    return budget;
}

std::optional<std::shared_ptr<const void>> ClientBudget::admit(size_t bytes)
{
    const size_t counted = countedBytes(bytes);
    if (counted == 0)
        return nullptr;
    const bool isAlone = admittedBytes_ == 0;
    if (counted > room() || (!isAlone && admittedBytes_ + counted > maxBytes_ / kAdmittedDivisor))
        return std::nullopt;
    bytes_ += counted;
    admittedBytes_ += counted;
    return std::shared_ptr<const void>(this, [counted](ClientBudget* budget) {
        budget->bytes_ -= counted;
        budget->admittedBytes_ -= counted;
    });
}

void ClientBudget::reclaim()
{
    const size_t limit = maxBytes_ / kReclaimDivisor;
    // Responses that are given up are freed after this turn of the loop and are counted until then.
    size_t closingBytes = 0;
    while (bytes_ > limit + closingBytes && holders_.size() > 1) {
        HeldBytes& oldest = *holders_.begin()->second;
        holders_.erase(holders_.begin());
        oldest.holder_ = 0;
        oldest.client_.reclaim();
        closingBytes += oldest.bytes_;
    }
}

bool HeldBytes::resize(size_t bytes)
{
    const size_t counted = countedBytes(bytes);
    if (counted > bytes_ && counted - bytes_ > budget_.room())
        return false;
    if (bytes_ == 0 && counted > 0) {
        holder_ = ++budget_.lastHolder_;
        budget_.holders_[holder_] = this;
    }
    budget_.bytes_ += counted - bytes_;
    bytes_ = counted;
    if (bytes_ == 0 && holder_ != 0) {
        budget_.holders_.erase(holder_);
        holder_ = 0;
    }
    return true;
}

} // namespace limpettrestle
