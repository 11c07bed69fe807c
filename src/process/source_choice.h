#pragma once

/// Decides where an instance learns of replicas and configuration: from the registry itself or from
/// an instance that reads it. Following is an economy; any instance reads for itself when it must.

#include "limpettrestle/routing.h"

namespace limpettrestle {

class SourceChoice {
public:
    /// `peers`: readers other than this instance. `isReader`: this instance is one of them.
    /// `offset`: spreads followers over the readers. `maxAge`: age of knowledge at which an instance
    /// reads for itself.
    SourceChoice(size_t peers, bool isReader, size_t offset, TimePoint now, Millis maxAge = kLeastMaxAge);

    /// True while the registry is to be read directly.
    bool readsRegistry(TimePoint now) const;
    /// Reader to follow at present; -1 when none is worth asking.
    int peer(TimePoint now) const;

    /// A reader answered; `age`: time since the knowledge in its answer left the registry.
    void peerAnswered(int peer, Millis age, TimePoint now);
    /// A reader answered with what is not taken over.
    void peerAnswerRejected(int peer, Millis age, TimePoint now);
    void peerFailed(int peer, TimePoint now);
    void registryAnswered(TimePoint now);
    void registryFailed(TimePoint now);

    /// Greatest age of knowledge about replicas that is taken over from a reader; negative when none is.
    /// `isReading`: this instance reads the registry at present.
    Millis acceptableAge(bool isReading, TimePoint now) const;
    /// True when replicas as a reader told them, known since `age`, are to be taken over.
    bool acceptsReplicas(bool isReading, Millis age, TimePoint now) const { return age <= acceptableAge(isReading, now); }
    /// The registry did not answer the last time it was asked.
    bool isRegistryUnavailable() const { return isRegistryAway_; }
    /// Time since what this instance knows left the registry.
    Millis age(TimePoint now) const;

private:
    static constexpr Millis kLeastMaxAge { 2400 };

    struct Peer {
        TimePoint avoidUntil {};
        TimePoint passedOverUntil {};
    };

    /// A reader that has not failed lately has told fresh things.
    bool hasFreshPeer(TimePoint now) const;
    bool isStarting(TimePoint now) const;

    std::vector<Peer> peers_;
    const bool isReader_;
    const size_t offset_;
    const Millis maxAge_;
    const TimePoint startedAt_;
    /// Time at which the newest knowledge left the registry.
    TimePoint knownAt_ {};
    TimePoint peerKnownAt_ {};
    bool isRegistryAway_ = false;
};

} // namespace limpettrestle
