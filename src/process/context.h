#pragma once

/// State shared by the components of a node: identity, clocks, random numbers and the list of actions.

#include "../config.h"
#include "hlc.h"

#include <random>

namespace limpettrestle {

/// Lives as long as the node; every component holds a reference.
struct NodeContext {
    NodeContext(const NodeInit& init)
        : clock(*init.clock)
        , hlc(*init.clock)
        , random(init.seed)
        , self(idFromName<InstanceId>(init.name))
        , zone(idFromName<ZoneId>(init.zone))
        , incarnation(init.incarnation)
        , name(init.name)
    {
    }

    TimePoint now() const { return clock.now(); }

    /// Returns a uniformly distributed number in [0, bound).
    uint64_t randomBelow(uint64_t bound)
    {
        return std::uniform_int_distribution<uint64_t>(0, bound - 1)(random);
    }

    /// Appends an entry to the timeline.
    void record(TimelineEvent event)
    {
        event.time = hlc.tick();
        actions->push_back(std::move(event));
    }

    const ClockI& clock;
    Hlc hlc;
    std::mt19937_64 random;
    const InstanceId self;
    const ZoneId zone;
    const Incarnation incarnation;
    const std::string name;
    NodeStats stats;
    /// Receives the actions of the event being handled; valid only during that time.
    std::vector<Action>* actions = nullptr;
};

/// Sends messages to other instances. A message to this instance itself is handled within the same event.
class PeerSenderI {
public:
    virtual ~PeerSenderI() = default;
    virtual void sendPeer(InstanceId to, PeerBody body) = 0;
};

} // namespace limpettrestle
