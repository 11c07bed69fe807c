#include "crash_ledger.h"

#include <absl/container/flat_hash_set.h>
#include <algorithm>
#include <array>

namespace limpettrestle {

namespace {

    constexpr std::array<std::string_view, 3> kStandingNames = { "clear", "suspect", "quarantined" };
    /// Separate crashes after which a request is quarantined provisionally when no other request was lost with the same
    /// replicas, and when others were.
    constexpr size_t kSoleSuspectCrashes = 2;
    constexpr size_t kLikelyCrashes = 3;
    /// Separate crashes after which it is certain in any case.
    constexpr size_t kCertainCrashes = 4;
    /// Uncertainty of times that other instances report as ages, which do not include the time that a notice takes.
    constexpr Millis kTransportTolerance { 50 };
    /// Limit on the crashes that are kept per request.
    constexpr size_t kMaxCrashes = 64;
    /// Limit on requests, and so on memory: some hundred bytes each, 5 kB at most.
    constexpr size_t kMaxSuspects = 4096;
    constexpr size_t kMaxAnswers = 4096;
    /// Time for which evidence against a request that is not quarantined is kept.
    constexpr std::chrono::minutes kSuspectTtl { 30 };
    constexpr std::chrono::minutes kAnswerTtl { 30 };
    /// Time of a provisional quarantine, from the last crash on. Then the request is tried again: an answer clears it, and a
    /// crash makes the quarantine certain.
    constexpr std::chrono::seconds kProvisionalTerm { 2 };
    /// Time of the first certain quarantine, likewise. Each further one takes twice as long.
    constexpr std::chrono::minutes kFirstTerm { 60 };
    constexpr uint32_t kMaxTermDoublings = 5;

    std::chrono::seconds termLength(uint32_t term)
    {
        if (term == 0)
            return kProvisionalTerm;
        return kFirstTerm * (1 << std::min(term - 1, kMaxTermDoublings));
    }

} // namespace

std::string_view name(RequestStanding value)
{
    return kStandingNames[static_cast<size_t>(value)];
}

std::vector<CrashReport> CrashLedger::record(const std::vector<CrashReport>& reports, TimePoint now)
{
    std::vector<CrashReport> added;
    absl::flat_hash_set<RequestFingerprint> affected;
    for (const CrashReport& report : reports) {
        if (!add(report, now))
            continue;
        added.push_back(report);
        const std::vector<RequestFingerprint>& victims = victims_.at(report.replica);
        affected.insert(victims.begin(), victims.end());
    }
    for (const RequestFingerprint request : affected)
        evaluate(request);
    return added;
}

bool CrashLedger::add(const CrashReport& report, TimePoint now)
{
    const auto answer = answeredAt_.find(report.request);
    const bool isAnsweredSince = answer != answeredAt_.end() && answer->second >= report.sentAt;
    if (!report.request.isValid() || isAnsweredSince || now - report.endedAt > kSuspectTtl)
        return false;
    if (isVictim(report.request, report.replica) || isExplained(report.replica))
        return false;
    makeRoomFor(report.request);
    Suspect& suspect = suspects_[report.request];
    if (suspect.crashes.size() >= kMaxCrashes)
        forgetOldestCrash(report.request, suspect);
    // The instance that sent the call has ended the quarantine before this one.
    if (suspect.verdict != Verdict::None && report.sentAt + kTransportTolerance >= endOf(suspect))
        beginTrial(report.request, suspect);
    suspect.lastCrashAt = std::max(suspect.lastCrashAt, report.endedAt);
    suspect.crashes.push_back({ report.replica, report.sentAt, report.endedAt });
    victims_[report.replica].push_back(report.request);
    return true;
}

void CrashLedger::forgetOldestCrash(RequestFingerprint request, Suspect& suspect)
{
    const auto victims = victims_.find(suspect.crashes.front().replica);
    if (victims != victims_.end())
        std::erase(victims->second, request);
    suspect.crashes.erase(suspect.crashes.begin());
}

void CrashLedger::evaluate(RequestFingerprint request)
{
    const auto found = suspects_.find(request);
    if (found == suspects_.end() || found->second.verdict == Verdict::Certain)
        return;
    Suspect& suspect = found->second;
    const size_t crashes = separateCrashes(suspect.crashes);
    const bool isSole = !hasRival(request, suspect);
    const bool hasRelapsed = suspect.terms > 0 || (suspect.isOnTrial && isSole);
    if (crashes >= kCertainCrashes || hasRelapsed) {
        setVerdict(request, suspect, Verdict::Certain);
        explainCrashes(request, Suspect(suspect));
        return;
    }
    const bool isLikely = crashes >= kLikelyCrashes || (crashes >= kSoleSuspectCrashes && isSole);
    // A quarantine that was taken over from another instance has no crashes here.
    const bool isRefuted = !suspect.crashes.empty() && !isLikely;
    if (isLikely && suspect.verdict == Verdict::None)
        setVerdict(request, suspect, Verdict::Provisional);
    else if (isRefuted && suspect.verdict == Verdict::Provisional)
        setVerdict(request, suspect, Verdict::None);
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
    const bool isOver = entry.age >= termLength(entry.term);
    const bool isKnown = standing(entry.request) == RequestStanding::Quarantined && (entry.term == 0 || isCertain(entry.request));
    if (!entry.request.isValid() || isAnsweredSince || isOver || isKnown)
        return false;
    makeRoomFor(entry.request);
    Suspect& suspect = suspects_[entry.request];
    suspect.lastCrashAt = std::max(suspect.lastCrashAt, lastCrashAt);
    suspect.terms = entry.term > 0 ? entry.term - 1 : suspect.terms;
    setVerdict(entry.request, suspect, entry.term > 0 ? Verdict::Certain : Verdict::Provisional);
    return true;
}

void CrashLedger::expire(TimePoint now)
{
    std::vector<RequestFingerprint> forgotten;
    for (auto& [request, suspect] : suspects_) {
        if (suspect.verdict != Verdict::None && now >= endOf(suspect))
            beginTrial(request, suspect);
        // A request that was quarantined before is quarantined again by its next crash, so it is kept for longer.
        const std::chrono::seconds ttl = suspect.terms > 0 ? 2 * termLength(suspect.terms) : kSuspectTtl;
        if (suspect.verdict == Verdict::None && now - suspect.lastCrashAt >= ttl)
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
    return found->second.verdict != Verdict::None ? RequestStanding::Quarantined : RequestStanding::Suspect;
}

bool CrashLedger::isCertain(RequestFingerprint request) const
{
    const auto found = suspects_.find(request);
    return found != suspects_.end() && found->second.verdict == Verdict::Certain;
}

size_t CrashLedger::crashCount(RequestFingerprint request) const
{
    const auto found = suspects_.find(request);
    return found == suspects_.end() ? 0 : found->second.crashes.size();
}

Millis CrashLedger::timeLeft(RequestFingerprint request, TimePoint now) const
{
    const auto found = suspects_.find(request);
    if (found == suspects_.end() || found->second.verdict == Verdict::None)
        return Millis::zero();
    return std::max(Millis::zero(), std::chrono::ceil<Millis>(endOf(found->second) - now));
}

TimePoint CrashLedger::endOf(const Suspect& suspect)
{
    return suspect.lastCrashAt + termLength(suspect.verdict == Verdict::Certain ? suspect.terms : 0);
}

std::vector<RequestFingerprint> CrashLedger::takeNewlyQuarantined()
{
    return std::exchange(newlyQuarantined_, {});
}

std::vector<QuarantineEntry> CrashLedger::quarantines(size_t limit, TimePoint now) const
{
    std::vector<QuarantineEntry> entries;
    for (const auto& [request, suspect] : suspects_) {
        if (suspect.verdict != Verdict::None)
            entries.push_back({ request, std::chrono::duration_cast<Micros>(now - suspect.lastCrashAt), suspect.verdict == Verdict::Certain ? suspect.terms : 0 });
    }
    std::sort(entries.begin(), entries.end(), [](const QuarantineEntry& a, const QuarantineEntry& b) { return a.age < b.age; });
    entries.resize(std::min(entries.size(), limit));
    return entries;
}

size_t CrashLedger::separateCrashes(std::vector<Crash> crashes)
{
    std::sort(crashes.begin(), crashes.end(), [](const Crash& a, const Crash& b) { return a.endedAt < b.endedAt; });
    size_t count = 0;
    TimePoint lastEnd {};
    for (const Crash& crash : crashes) {
        if (count > 0 && crash.sentAt <= lastEnd + kTransportTolerance)
            continue;
        ++count;
        lastEnd = crash.endedAt;
    }
    return count;
}

bool CrashLedger::hasRival(RequestFingerprint request, const Suspect& suspect) const
{
    absl::flat_hash_map<RequestFingerprint, std::vector<Crash>> sharedCrashes;
    for (const Crash& crash : suspect.crashes) {
        const auto victims = victims_.find(crash.replica);
        if (victims == victims_.end())
            continue;
        for (const RequestFingerprint other : victims->second)
            sharedCrashes[other].push_back(crash);
    }
    return std::any_of(sharedCrashes.begin(), sharedCrashes.end(), [request](const auto& entry) { return entry.first != request && separateCrashes(entry.second) >= kSoleSuspectCrashes; });
}

bool CrashLedger::isVictim(RequestFingerprint request, const ReplicaRun& replica) const
{
    const auto victims = victims_.find(replica);
    return victims != victims_.end() && std::find(victims->second.begin(), victims->second.end(), request) != victims->second.end();
}

bool CrashLedger::isExplained(const ReplicaRun& replica) const
{
    const auto victims = victims_.find(replica);
    return victims != victims_.end()
        && std::any_of(victims->second.begin(), victims->second.end(), [this](RequestFingerprint request) { return isCertain(request); });
}

void CrashLedger::setVerdict(RequestFingerprint request, Suspect& suspect, Verdict verdict)
{
    const bool wasQuarantined = suspect.verdict != Verdict::None;
    const bool isQuarantined = verdict != Verdict::None;
    suspect.verdict = verdict;
    suspect.terms += verdict == Verdict::Certain ? 1 : 0;
    suspect.isOnTrial = false;
    if (isQuarantined)
        newlyQuarantined_.push_back(request);
    if (wasQuarantined == isQuarantined)
        return;
    digest_ ^= request.value;
    quarantinedCount_ += isQuarantined ? 1 : -1;
}

void CrashLedger::beginTrial(RequestFingerprint request, Suspect& suspect)
{
    setVerdict(request, suspect, Verdict::None);
    suspect.isOnTrial = true;
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
            if (found->second.crashes.empty() && found->second.verdict == Verdict::None)
                suspects_.erase(found);
        }
    }
}

void CrashLedger::erase(RequestFingerprint request)
{
    const auto found = suspects_.find(request);
    if (found == suspects_.end())
        return;
    setVerdict(request, found->second, Verdict::None);
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
        return std::pair(a.second.verdict, a.second.lastCrashAt) < std::pair(b.second.verdict, b.second.lastCrashAt);
    });
    erase(oldest->first);
}

} // namespace limpettrestle
