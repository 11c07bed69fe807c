#include "crash_ledger.h"

#include <algorithm>
#include <array>

namespace limpettrestle {

namespace {

    constexpr std::array<std::string_view, 3> kStandingNames = { "clear", "suspect", "quarantined" };
    /// Separate crashes after which a request is quarantined.
    constexpr size_t kCertainCrashes = 3;
    /// The same when no other request was lost with the same replicas.
    constexpr size_t kSoleSuspectCrashes = 2;
    /// Limit on the crashes that are kept per request.
    constexpr size_t kMaxCrashes = 8;
    /// Limit on requests, and so on memory: about 200 bytes each.
    constexpr size_t kMaxSuspects = 4096;
    constexpr size_t kMaxAnswers = 4096;
    /// Time for which evidence against a request that is not quarantined is kept.
    constexpr std::chrono::minutes kSuspectTtl { 30 };
    constexpr std::chrono::minutes kAnswerTtl { 30 };
    /// Time of the first quarantine, from the last crash on. Each further one takes twice as long.
    constexpr std::chrono::minutes kFirstTerm { 60 };
    constexpr uint32_t kMaxTermDoublings = 5;

    std::chrono::minutes termLength(uint32_t term)
    {
        return kFirstTerm * (1 << std::min(term - 1, kMaxTermDoublings));
    }

} // namespace

std::string_view name(RequestStanding value)
{
    return kStandingNames[static_cast<size_t>(value)];
}

bool CrashLedger::record(const CrashReport& report, TimePoint now)
{
    const auto answer = answeredAt_.find(report.request);
    const bool isAnsweredSince = answer != answeredAt_.end() && answer->second >= report.sentAt;
    if (!report.request.isValid() || isAnsweredSince || now - report.endedAt > kSuspectTtl)
        return false;
    if (isVictim(report.request, report.replica) || isExplained(report.replica))
        return false;
    makeRoomFor(report.request);
    Suspect& suspect = suspects_[report.request];
    suspect.lastCrashAt = std::max(suspect.lastCrashAt, report.endedAt);
    if (suspect.crashes.size() < kMaxCrashes) {
        suspect.crashes.push_back({ report.replica, report.sentAt, report.endedAt });
        victims_[report.replica].push_back(report.request);
    }
    if (suspect.isQuarantined) {
        explainCrashes(report.request, Suspect(suspect));
        return true;
    }
    const size_t crashes = separateCrashes(suspect);
    const bool isCertain = crashes >= kCertainCrashes || suspect.terms > 0;
    if (isCertain || (crashes >= kSoleSuspectCrashes && !hasRival(report.request, suspect)))
        quarantine(report.request, suspect);
    return true;
}

bool CrashLedger::recordAnswer(RequestFingerprint request, TimePoint now)
{
    if (!suspects_.contains(request))
        return false;
    if (answeredAt_.size() >= kMaxAnswers)
        answeredAt_.erase(std::min_element(answeredAt_.begin(), answeredAt_.end(), [](const auto& a, const auto& b) { return a.second < b.second; }));
    answeredAt_[request] = now;
    erase(request);
    return true;
}

bool CrashLedger::adopt(const QuarantineEntry& entry, TimePoint now)
{
    const TimePoint lastCrashAt = now - entry.age;
    const auto answer = answeredAt_.find(entry.request);
    const bool isAnsweredSince = answer != answeredAt_.end() && answer->second >= lastCrashAt;
    const bool isOver = entry.age >= termLength(std::max<uint32_t>(entry.term, 1));
    if (!entry.request.isValid() || isAnsweredSince || isOver || standing(entry.request) == RequestStanding::Quarantined)
        return false;
    makeRoomFor(entry.request);
    Suspect& suspect = suspects_[entry.request];
    suspect.lastCrashAt = std::max(suspect.lastCrashAt, lastCrashAt);
    suspect.terms = std::max<uint32_t>(entry.term, 1) - 1;
    quarantine(entry.request, suspect);
    return true;
}

void CrashLedger::expire(TimePoint now)
{
    std::vector<RequestFingerprint> forgotten;
    for (auto& [request, suspect] : suspects_) {
        if (suspect.isQuarantined && now - suspect.lastCrashAt >= termLength(suspect.terms))
            release(request, suspect);
        // A request that was quarantined before is quarantined again by its next crash, so it is kept for longer.
        const std::chrono::minutes ttl = suspect.terms > 0 ? 2 * termLength(suspect.terms) : kSuspectTtl;
        if (!suspect.isQuarantined && now - suspect.lastCrashAt >= ttl)
            forgotten.push_back(request);
    }
    for (const RequestFingerprint request : forgotten)
        erase(request);
    absl::erase_if(answeredAt_, [now](const auto& entry) { return now - entry.second > kAnswerTtl; });
}

RequestStanding CrashLedger::standing(RequestFingerprint request) const
{
    const auto found = suspects_.find(request);
    if (found == suspects_.end())
        return RequestStanding::Clear;
    return found->second.isQuarantined ? RequestStanding::Quarantined : RequestStanding::Suspect;
}

size_t CrashLedger::crashCount(RequestFingerprint request) const
{
    const auto found = suspects_.find(request);
    return found == suspects_.end() ? 0 : found->second.crashes.size();
}

std::vector<RequestFingerprint> CrashLedger::takeNewlyQuarantined()
{
    return std::exchange(newlyQuarantined_, {});
}

std::vector<QuarantineEntry> CrashLedger::quarantines(size_t limit, TimePoint now) const
{
    std::vector<QuarantineEntry> entries;
    for (const auto& [request, suspect] : suspects_) {
        if (suspect.isQuarantined)
            entries.push_back({ request, std::chrono::duration_cast<Micros>(now - suspect.lastCrashAt), suspect.terms });
    }
    std::sort(entries.begin(), entries.end(), [](const QuarantineEntry& a, const QuarantineEntry& b) { return a.age < b.age; });
    entries.resize(std::min(entries.size(), limit));
    return entries;
}

size_t CrashLedger::separateCrashes(const Suspect& suspect)
{
    std::vector<Crash> crashes = suspect.crashes;
    std::sort(crashes.begin(), crashes.end(), [](const Crash& a, const Crash& b) { return a.endedAt < b.endedAt; });
    size_t count = 0;
    TimePoint lastEnd {};
    for (const Crash& crash : crashes) {
        if (count > 0 && crash.sentAt <= lastEnd)
            continue;
        ++count;
        lastEnd = crash.endedAt;
    }
    return count;
}

bool CrashLedger::hasRival(RequestFingerprint request, const Suspect& suspect) const
{
    absl::flat_hash_map<RequestFingerprint, size_t> sharedCrashes;
    for (const Crash& crash : suspect.crashes) {
        const auto victims = victims_.find(crash.replica);
        if (victims == victims_.end())
            continue;
        for (const RequestFingerprint other : victims->second)
            ++sharedCrashes[other];
    }
    return std::any_of(sharedCrashes.begin(), sharedCrashes.end(), [request](const auto& entry) { return entry.first != request && entry.second >= kSoleSuspectCrashes; });
}

bool CrashLedger::isVictim(RequestFingerprint request, const ReplicaRun& replica) const
{
    const auto victims = victims_.find(replica);
    return victims != victims_.end() && std::find(victims->second.begin(), victims->second.end(), request) != victims->second.end();
}

/// True when a quarantined request was on the replica, which accounts for its crash.
bool CrashLedger::isExplained(const ReplicaRun& replica) const
{
    const auto victims = victims_.find(replica);
    return victims != victims_.end()
        && std::any_of(victims->second.begin(), victims->second.end(), [this](RequestFingerprint request) { return standing(request) == RequestStanding::Quarantined; });
}

void CrashLedger::quarantine(RequestFingerprint request, Suspect& suspect)
{
    suspect.isQuarantined = true;
    ++suspect.terms;
    ++quarantinedCount_;
    digest_ ^= request.value;
    newlyQuarantined_.push_back(request);
    explainCrashes(request, Suspect(suspect));
}

void CrashLedger::release(RequestFingerprint request, Suspect& suspect)
{
    suspect.isQuarantined = false;
    --quarantinedCount_;
    digest_ ^= request.value;
}

void CrashLedger::explainCrashes(RequestFingerprint request, const Suspect& suspect)
{
    for (const Crash& crash : suspect.crashes) {
        const auto victims = victims_.find(crash.replica);
        if (victims == victims_.end())
            continue;
        const std::vector<RequestFingerprint> others = std::exchange(victims->second, { request });
        for (const RequestFingerprint other : others) {
            const auto found = suspects_.find(other);
            if (other == request || found == suspects_.end())
                continue;
            std::erase_if(found->second.crashes, [&crash](const Crash& entry) { return entry.replica == crash.replica; });
            if (found->second.crashes.empty() && !found->second.isQuarantined)
                suspects_.erase(found);
        }
    }
}

void CrashLedger::erase(RequestFingerprint request)
{
    const auto found = suspects_.find(request);
    if (found == suspects_.end())
        return;
    if (found->second.isQuarantined)
        release(request, found->second);
    for (const Crash& crash : found->second.crashes) {
        const auto victims = victims_.find(crash.replica);
        if (victims == victims_.end())
            continue;
        std::erase(victims->second, request);
        if (victims->second.empty())
            victims_.erase(victims);
    }
    suspects_.erase(found);
}

/// Forgets the request with the oldest crash when there are too many; suspects go before quarantined requests.
void CrashLedger::makeRoomFor(RequestFingerprint request)
{
    if (suspects_.size() < kMaxSuspects || suspects_.contains(request))
        return;
    const auto oldest = std::min_element(suspects_.begin(), suspects_.end(), [](const auto& a, const auto& b) {
        return std::pair(a.second.isQuarantined, a.second.lastCrashAt) < std::pair(b.second.isQuarantined, b.second.lastCrashAt);
    });
    erase(oldest->first);
}

} // namespace limpettrestle
