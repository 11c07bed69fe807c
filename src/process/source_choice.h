#pragma once

/// Selects the source of the cluster state (replicas and configuration): the registry itself, or another instance
/// that reads the registry. Following a reader saves load on the registry; every instance can read it when needed.

#include "limpettrestle/routing.h"

namespace limpettrestle {

class SourceChoice {
public:
    /// `peers`: number of readers other than this instance. `isReader`: this instance is a reader.
    /// `offset`: distributes followers over the readers. `maxAge`: age of the cluster state at which a follower
    /// reads the registry itself.
    SourceChoice(size_t peers, bool isReader, size_t offset, TimePoint now, Millis maxAge = kDefaultMaxAge);

    /// True while this instance must read the registry itself.
    bool readsRegistry(TimePoint now) const;
    /// Returns the index of the reader to follow at present, or -1 when there is none.
    int peer(TimePoint now) const;

    /// Records an answer of a reader whose replicas were accepted. `age`: time since they were read from the registry.
    void peerAnswered(int peer, Millis age, TimePoint now);
    /// Records an answer of a reader whose replicas were not accepted.
    void peerAnswerRejected(int peer, Millis age, TimePoint now);
    /// Records an answer of a reader that sends no shared facts, which is not relied on for a while: other readers or the
    /// registry are read instead. `isAccepted`: its replicas were accepted.
    void peerLacksFacts(int peer, bool isAccepted, Millis age, TimePoint now);
    /// Records that a reader did not answer.
    void peerFailed(int peer, TimePoint now);
    /// Records the result of a call to the registry.
    void registryAnswered(TimePoint now);
    void registryFailed(TimePoint now);

    /// Returns the maximum age at which replicas from a reader are accepted, or a negative value when none are.
    /// `isReading`: this instance reads the registry at present.
    Millis acceptableAge(bool isReading, TimePoint now) const;
    /// True when replicas of this age from a reader are accepted.
    bool acceptsReplicas(bool isReading, Millis age, TimePoint now) const { return age <= acceptableAge(isReading, now); }
    /// True when the last call to the registry failed.
    bool isRegistryUnavailable() const { return isRegistryUnavailable_; }
    /// Returns the time since the newest cluster state of this instance was read from the registry.
    Millis age(TimePoint now) const;

private:
    static constexpr Millis kDefaultMaxAge { 2400 };

    struct Peer {
        TimePoint avoidUntil {};
        TimePoint skipUntil {};
    };

    /// True when the newest state from the readers is recent and a reader is not avoided.
    bool hasFreshPeer(TimePoint now) const;
    bool isStarting(TimePoint now) const;

    std::vector<Peer> peers_;
    const bool isReader_;
    const size_t offset_;
    const Millis maxAge_;
    const TimePoint startedAt_;
    /// Time at which the newest cluster state was read from the registry.
    TimePoint stateReadAt_ {};
    TimePoint peerStateReadAt_ {};
    bool isRegistryUnavailable_ = false;
};

} // namespace limpettrestle
