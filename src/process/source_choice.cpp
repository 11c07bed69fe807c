#include "source_choice.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    /// Time for which no request is sent to a reader that failed or whose cluster state is older than the maximum age.
    constexpr Millis kAvoidTime { 3000 };
    /// The same for a reader whose cluster state is recent but older than that of this instance.
    constexpr Millis kSkipTime { 300 };
    /// Difference up to which two ages count as equal, because ages grow while a message is in transit.
    constexpr Millis kAgeTolerance { 100 };
    /// A starting instance waits this long for the readers, which may be starting too, before it reads the registry
    /// itself. During that time it retries a failed reader after `kStartupAvoidTime`.
    constexpr Millis kStartupTime { 250 };
    constexpr Millis kStartupAvoidTime { 50 };

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
    return stateReadAt_ == TimePoint {} && now - startedAt_ < kStartupTime;
}

bool SourceChoice::hasFreshPeer(TimePoint now) const
{
    const bool hasPeer = std::any_of(peers_.begin(), peers_.end(), [now](const Peer& peer) { return now >= peer.avoidUntil; });
    return hasPeer && now - peerStateReadAt_ <= maxAge_;
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
    // A reader follows other readers only while the registry is unavailable.
    if (peers_.empty() || (isReader_ && !isRegistryUnavailable_))
        return -1;
    for (size_t i = 0; i < peers_.size(); ++i) {
        const size_t index = (offset_ + i) % peers_.size();
        if (now >= peers_[index].avoidUntil && now >= peers_[index].skipUntil)
            return static_cast<int>(index);
    }
    return -1;
}

void SourceChoice::peerAnswered(int peer, Millis age, TimePoint now)
{
    const TimePoint stateReadAt = now - age;
    stateReadAt_ = std::max(stateReadAt_, stateReadAt);
    peerStateReadAt_ = std::max(peerStateReadAt_, stateReadAt);
    if (age > maxAge_)
        peers_[static_cast<size_t>(peer)].avoidUntil = now + kAvoidTime;
}

void SourceChoice::peerAnswerRejected(int peer, Millis age, TimePoint now)
{
    Peer& rejected = peers_[static_cast<size_t>(peer)];
    if (age > maxAge_) {
        const bool hasState = stateReadAt_ != TimePoint {};
        rejected.avoidUntil = now + (hasState ? kAvoidTime : kStartupAvoidTime);
        return;
    }
    // The reader can be followed again after its next read.
    peerStateReadAt_ = std::max(peerStateReadAt_, now - age);
    rejected.skipUntil = now + kSkipTime;
}

void SourceChoice::peerLacksFacts(int peer, bool isAccepted, Millis age, TimePoint now)
{
    if (isAccepted)
        stateReadAt_ = std::max(stateReadAt_, now - age);
    const bool hasState = stateReadAt_ != TimePoint {};
    peers_[static_cast<size_t>(peer)].avoidUntil = now + (hasState ? kAvoidTime : kStartupAvoidTime);
}

void SourceChoice::peerFailed(int peer, TimePoint now)
{
    peers_[static_cast<size_t>(peer)].avoidUntil = now + (isStarting(now) ? kStartupAvoidTime : kAvoidTime);
}

void SourceChoice::registryAnswered(TimePoint now)
{
    isRegistryUnavailable_ = false;
    stateReadAt_ = now;
}

void SourceChoice::registryFailed(TimePoint /*now*/)
{
    isRegistryUnavailable_ = true;
}

Millis SourceChoice::acceptableAge(bool isReading, TimePoint now) const
{
    constexpr Millis kAcceptNone { -1 };
    // The first state decides which replicas are used after a start, and an old one names replicas that have left. It is
    // better than none only if the registry cannot be read.
    if (stateReadAt_ == TimePoint {} && !isRegistryUnavailable_)
        return maxAge_;
    // A follower also accepts a state of the same age, because the state of a reader can change without a new read
    // when a deferred removal is performed. It rejects an older state, such as that of a reader that was suspended.
    if (!isReading)
        return age(now) + kAgeTolerance;
    // An instance that reads the registry itself accepts only newer states, and only while the registry is unavailable.
    return isRegistryUnavailable_ ? age(now) - Millis(1) : kAcceptNone;
}

Millis SourceChoice::age(TimePoint now) const
{
    return std::chrono::duration_cast<Millis>(std::min<TimePoint::duration>(now - stateReadAt_, std::chrono::hours(1)));
}

} // namespace limpettrestle
