#include "source_choice.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    /// Time for which a reader that failed, or that knows old things only, is not asked.
    constexpr Millis kAvoidTime { 3000 };
    /// The same for one whose knowledge is good but older than what this instance knows already.
    constexpr Millis kPassedOverTime { 300 };
    /// Difference within which two ages are of one moment: ages grow on the way.
    constexpr Millis kSameMoment { 100 };
    /// An instance that starts gives the readers, which may be starting too, so long before it reads
    /// for itself, and asks one that failed again after the second time.
    constexpr Millis kStartTime { 250 };
    constexpr Millis kStartAvoidTime { 50 };

} // namespace

SourceChoice::SourceChoice(size_t peers, bool isReader, size_t offset, TimePoint now, Millis maxAge)
    : peers_(peers)
    , isReader_(isReader)
    , offset_(offset)
    , maxAge_(maxAge)
    , startedAt_(now)
{
}

bool SourceChoice::isStarting(TimePoint now) const
{
    return knownAt_ == TimePoint {} && now - startedAt_ < kStartTime;
}

bool SourceChoice::hasFreshPeer(TimePoint now) const
{
    const bool hasPeer = std::any_of(peers_.begin(), peers_.end(), [now](const Peer& peer) { return now >= peer.avoidUntil; });
    return hasPeer && now - peerKnownAt_ <= maxAge_;
}

bool SourceChoice::readsRegistry(TimePoint now) const
{
    if (isReader_ || peers_.empty())
        return true;
    if (isStarting(now))
        return false;
    return !hasFreshPeer(now);
}

int SourceChoice::peer(TimePoint now) const
{
    // A reader follows others only while the registry does not answer it.
    if (peers_.empty() || (isReader_ && !isRegistryAway_))
        return -1;
    for (size_t i = 0; i < peers_.size(); ++i) {
        const size_t index = (offset_ + i) % peers_.size();
        if (now >= peers_[index].avoidUntil && now >= peers_[index].passedOverUntil)
            return static_cast<int>(index);
    }
    return -1;
}

void SourceChoice::peerAnswered(int peer, Millis age, TimePoint now)
{
    const TimePoint knownAt = now - age;
    knownAt_ = std::max(knownAt_, knownAt);
    peerKnownAt_ = std::max(peerKnownAt_, knownAt);
    if (age > maxAge_)
        peers_[static_cast<size_t>(peer)].avoidUntil = now + kAvoidTime;
}

void SourceChoice::peerAnswerRejected(int peer, Millis age, TimePoint now)
{
    Peer& passed = peers_[static_cast<size_t>(peer)];
    if (age > maxAge_) {
        passed.avoidUntil = now + kAvoidTime;
        return;
    }
    // It is good to follow once it has read again.
    peerKnownAt_ = std::max(peerKnownAt_, now - age);
    passed.passedOverUntil = now + kPassedOverTime;
}

void SourceChoice::peerFailed(int peer, TimePoint now)
{
    peers_[static_cast<size_t>(peer)].avoidUntil = now + (isStarting(now) ? kStartAvoidTime : kAvoidTime);
}

void SourceChoice::registryAnswered(TimePoint now)
{
    isRegistryAway_ = false;
    knownAt_ = now;
}

void SourceChoice::registryFailed(TimePoint /*now*/)
{
    isRegistryAway_ = true;
}

Millis SourceChoice::acceptableAge(bool isReading, TimePoint now) const
{
    constexpr Millis kNone { -1 };
    // A follower also takes over what is of the same moment: it may change later, when a removal that was
    // put off is carried out. A reader that was suspended tells older things.
    if (!isReading)
        return age(now) + kSameMoment;
    // One that reads for itself takes only what is newer, as long as the registry does not answer.
    return isRegistryAway_ ? age(now) - Millis(1) : kNone;
}

Millis SourceChoice::age(TimePoint now) const
{
    return std::chrono::duration_cast<Millis>(std::min<TimePoint::duration>(now - knownAt_, std::chrono::hours(1)));
}

} // namespace limpettrestle
