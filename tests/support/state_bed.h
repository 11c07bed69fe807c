#pragma once

/// Test bed of a cluster state that is read from a scripted registry, on a virtual clock.

#include "../../src/gateway/cluster_state.h"
#include "routing_bed.h"

#include <spdlog/sinks/null_sink.h>

namespace limpettrestle {

inline RegistryResult answer(uint64_t era, uint64_t revision, RegistryOutcome outcome = RegistryOutcome::Done, size_t entries = 1)
{
    RegistryResult result;
    result.outcome = outcome;
    result.era = era;
    result.revision = revision;
    result.entries = entries;
    return result;
}

inline ReplicaEntry entryOf(const std::string& id, uint64_t sequence, int64_t startedAt = 1, ReplicaState state = ReplicaState::Ready)
{
    ReplicaEntry entry;
    entry.id = id;
    entry.service = "s";
    entry.host = "10.0.0.1";
    entry.port = 80;
    entry.zone = "north";
    entry.startedAt = startedAt;
    entry.sequence = sequence;
    entry.state = state;
    return entry;
}

/// Cluster state together with the reading of a registry, on a virtual clock.
struct StateTestBed {
    explicit StateTestBed(Millis reaction = Millis(3000))
        : log("test", std::make_shared<spdlog::sinks::null_sink_mt>())
        , state(
              clock, log, [](const ReplicaPtr&) {}, [this](RoutingDocument document) { configs.push_back(document.version); })
        , sync(RegistryPollTiming::forReactionTime(reaction))
    {
    }

    /// Passes an answer of the registry to the state, as the client does.
    void receive(const RegistryResult& result, const std::vector<platform::StoreItem>& items = {}, Millis previousAge = Millis(0))
    {
        const uint64_t before = sync.era();
        sync.onCallFinished(result, clock.now());
        if (sync.era() != before && before != 0)
            state.onRegistryRestored();
        if (result.outcome == RegistryOutcome::Done && !sync.isLastAnswerDiscarded())
            state.applyRegistry(items, sync, previousAge);
    }

    static platform::StoreItem written(const ReplicaEntry& entry) { return platform::ReplicaWritten { entry }; }
    static platform::StoreItem removed(const std::string& id) { return platform::ReplicaRemoved { id }; }
    bool isUsed(const std::string& id) const
    {
        const ReplicaPtr replica = state.directory().find(id);
        return replica && replica->acceptsWork();
    }
    void wait(Millis time)
    {
        clock.advance(time);
        state.directory().tick(clock.now());
    }

    TestClock clock;
    spdlog::logger log;
    std::vector<uint64_t> configs;
    ClusterState state;
    RegistrySync sync;
};

} // namespace limpettrestle
