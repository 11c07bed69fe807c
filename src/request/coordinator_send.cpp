/// Selection of a replica and owner for each sub-request, and the messages to the owner.

#include "coordinator.h"

#include <algorithm>
#include <cmath>

namespace limpettrestle {

namespace {

    /// Random key of a replica; the replica with the smallest key is selected.
    double selectionKey(SelectionPolicy policy, double expectedMicros, std::mt19937_64& random)
    {
        const double draw = std::uniform_real_distribution<double>()(random);
        switch (policy) {
        case SelectionPolicy::Weighted:
            return -std::log1p(-draw) * expectedMicros * expectedMicros;
        case SelectionPolicy::Random:
            return draw;
        case SelectionPolicy::LeastLatency:
            break;
        }
        return expectedMicros * (0.9 + 0.2 * draw);
    }

} // namespace

bool Coordinator::sendShard(Query& query, uint32_t shard, SendReason reason, const Redirect& redirect)
{
    ShardState& state = query.shards[shard];
    bool isDeputy = false;
    InstanceId owner = redirect.owner;
    const ReplicaConfig* replica = owner.isValid() ? query.config->findReplica(redirect.replica) : nullptr;
    if (!replica) {
        replica = pickReplica(query, shard);
        if (!replica)
            return false;
        owner = pickOwner(*replica, isDeputy);
    }
    const std::vector<ReplicaConfig>& replicas = query.service->shards[shard].replicas;
    for (uint32_t i = 0; i < replicas.size(); ++i) {
        if (replicas[i].id == replica->id)
            state.triedReplicas |= 1U << i;
    }
    PendingAttempt attempt;
    attempt.number = ++query.lastAttempt;
    attempt.replica = replica->id;
    attempt.owner = owner;
    attempt.sentAt = context_.now();
    attempt.isHedge = reason == SendReason::Hedge;
    state.attempts.push_back(attempt);
    ++state.sentAttempts;
    ++replicaStats_.at(replica->id).inFlight;
    ServiceState& service = serviceStateOf(query);
    service.hedges.earn(query.config->policy.hedgeBudget);
    service.retries.earn(query.config->policy.retryBudget);
    if (reason != SendReason::First)
        recordEvent(query, attempt.isHedge ? TimelineKind::HedgeSent : TimelineKind::RetrySent, ResultCode::Ok, shard, attempt.number, replica->name);
    addToBatch(query, owner, { attempt.number, shard, replica->id, attempt.isHedge, isDeputy });
    return true;
}

const ReplicaConfig* Coordinator::pickReplica(const Query& query, uint32_t shard)
{
    const ReplicaConfig* replica = pickReplicaAmong(query, shard, false);
    // Falls back to drained replicas: the owner knows whether the backend server is serving again, and
    // refuses the attempt without sending it otherwise.
    return replica ? replica : pickReplicaAmong(query, shard, true);
}

const ReplicaConfig* Coordinator::pickReplicaAmong(const Query& query, uint32_t shard, bool wantsDrained)
{
    const TimePoint now = context_.now();
    const ShardState& state = query.shards[shard];
    const std::vector<ReplicaConfig>& replicas = query.service->shards[shard].replicas;
    const Micros typicalLatency = services_.at(query.service->id).latency.value(Millis(10)) / 2;
    const SelectionPolicy policy = query.config->policy.selection;
    const ReplicaConfig* chosen = nullptr;
    // The candidate with the smallest random key is selected. An exponentially distributed key divided
    // by a weight selects each candidate with a probability proportional to its weight.
    double smallestKey = 0;
    for (uint32_t i = 0; i < replicas.size(); ++i) {
        const ReplicaConfig& replica = replicas[i];
        const bool wasTried = (state.triedReplicas >> i & 1) != 0;
        bool isDeputy = false;
        const bool isOpen = !wasTried && drains_.isDrained(replica.id) == wantsDrained && replicaStats_.at(replica.id).avoidUntil <= now;
        if (!isOpen || !pickOwner(replica, isDeputy).isValid())
            continue;
        const auto expectedLatency = static_cast<double>(replicaStats_.expectedLatency(replica.id, query.priority, typicalLatency, now).count());
        const double key = selectionKey(policy, expectedLatency, context_.random);
        if (!chosen || key < smallestKey) {
            chosen = &replica;
            smallestKey = key;
        }
    }
    return chosen;
}

InstanceId Coordinator::pickOwner(const ReplicaConfig& replica, bool& isDeputy)
{
    isDeputy = false;
    if (config_->policy.routing != RoutingPolicy::Owner)
        return context_.self;
    const Owners owners = ownership_.find(replica);
    if (owners.owner.isValid() && membership_.isReachable(owners.owner))
        return owners.owner;
    if (!owners.deputy.isValid() || !membership_.isReachable(owners.deputy))
        return {};
    isDeputy = true;
    return owners.deputy;
}

void Coordinator::addToBatch(const Query& query, InstanceId owner, ExecuteItem item)
{
    for (OutgoingBatch& outgoing : outbox_) {
        if (outgoing.to == owner && outgoing.request == query.id && outgoing.batch.snapshot == query.snapshot) {
            outgoing.batch.items.push_back(item);
            return;
        }
    }
    OutgoingBatch outgoing { owner, query.id, {} };
    outgoing.batch.request = query.id;
    outgoing.batch.service = query.service->id;
    outgoing.batch.snapshot = query.snapshot;
    outgoing.batch.mapVersion = query.service->mapVersion;
    outgoing.batch.configVersion = query.config->stamp.version;
    outgoing.batch.limit = query.request.limit;
    outgoing.batch.priority = query.priority;
    outgoing.batch.query = query.queryBody;
    outgoing.batch.items.push_back(item);
    outbox_.push_back(std::move(outgoing));
}

Micros Coordinator::predictWait(const ServiceConfig& service, PriorityClass priority) const
{
    const TimePoint now = context_.now();
    Micros longest(0);
    for (const ShardConfig& shard : service.shards) {
        Micros best = Micros::max();
        for (const ReplicaConfig& replica : shard.replicas)
            best = std::min(best, replicaStats_.predictedWait(replica.id, priority, now));
        longest = std::max(longest, best);
    }
    return longest;
}

} // namespace limpettrestle
