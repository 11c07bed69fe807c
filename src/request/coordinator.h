#pragma once

/// Coordinates searches: pins, plans, sends, hedges, retries and merges.

#include "../connection/latency_quantile.h"
#include "../connection/load_budget.h"
#include "../process/drain_table.h"
#include "../process/ownership.h"
#include "query.h"
#include "replica_stats.h"

namespace limpettrestle {

class Coordinator {
public:
    struct Links {
        NodeContext& context;
        PeerSenderI& sender;
        Membership& membership;
        Ownership& ownership;
        DrainTable& drains;
    };

    Coordinator(const Links& links, uint32_t maxRequests);

    void onConfig(FleetConfigPtr config);
    /// Starts a search, or answers at once.
    void onSearch(CallerTag tag, SearchRequest request);
    void onResults(InstanceId from, const ExecuteResults& results);
    /// Attempts at this owner are given up on and sent elsewhere.
    void onPeerFailed(InstanceId peer);
    /// After a pause: ends every request whose deadline is over, counts no attempt as live.
    void onLateWake();
    void tick();
    TimePoint nextWakeup() const;
    /// Sends the batches that gathered while an event was handled.
    void flush();

    size_t openRequests() const { return queries_.size(); }
    RequestId nextRequestId();

private:
    struct ServiceState {
        explicit ServiceState(double quantile)
            : latency(quantile)
        {
        }
        LatencyQuantile latency;
        LoadBudget hedges { 20 };
        LoadBudget retries { 40 };
        /// Newest snapshot that a server named.
        uint64_t snapshot = 0;
    };

    struct OutgoingBatch {
        InstanceId to;
        RequestId request;
        ExecuteBatch batch;
    };

    struct OutgoingCancel {
        InstanceId to;
        CancelBatch cancel;
    };

    /// Owner that a refusal named for a replica.
    struct Redirect {
        ReplicaId replica;
        InstanceId owner;
    };

    enum class SendReason : uint8_t { First,
        Retry,
        Hedge };

    Query* find(RequestId id);
    ServiceState& stateOf(const Query& query);
    ResultCode admit(const SearchRequest& request, const ServiceConfig*& service, Micros& wait);
    /// Wait of the shard that would wait longest, each at its best replica.
    Micros predictWait(const ServiceConfig& service, PriorityClass priority) const;
    void refuse(CallerTag tag, ResultCode code, Millis retryAfter);
    void start(Query& query);
    void restart(Query& query, uint64_t snapshot);
    bool sendShard(Query& query, uint32_t shard, SendReason reason, const Redirect& redirect = {});
    const ReplicaConfig* pickReplica(const Query& query, uint32_t shard);
    const ReplicaConfig* pickReplicaAmong(const Query& query, uint32_t shard, bool drained);
    InstanceId pickOwner(const ReplicaConfig& replica, bool& deputy);
    void addToBatch(const Query& query, InstanceId owner, ExecuteItem item);
    void onItem(Query& query, InstanceId from, const ExecuteItemResult& item);
    ResultCode checkItem(const Query& query, const ExecuteItemResult& item) const;
    void cover(Query& query, const ExecuteItemResult& item, const LiveAttempt& attempt);
    void onItemFailed(Query& query, const ExecuteItemResult& item, ResultCode code);
    void learn(const Query& query, const ExecuteItemResult& item, ResultCode code);
    void tryAgain(Query& query, uint32_t shard, ResultCode reason, bool addsLoad, const Redirect& redirect = {});
    bool restartIfMoved(Query& query);
    void review(Query& query);
    void reviewShard(Query& query, uint32_t shard, Micros hedgeDelay, bool mayHedge);
    /// Last time that the attempt or its owner gave a sign.
    TimePoint lastSign(const LiveAttempt& attempt) const;
    void giveUp(Query& query, uint32_t shard, ResultCode reason);
    void cancelAttempts(const Query& query, ShardState& shard);
    void closeShard(Query& query);
    void finish(Query& query);
    void finishReady();
    void dropReply(RequestId request, const ExecuteItemResult& item, ResultCode code);
    Micros hedgeDelay(const Query& query);
    void record(const Query& query, TimelineKind kind, ResultCode code, uint32_t shard, uint32_t attempt, std::string subject);

    NodeContext& context_;
    PeerSenderI& sender_;
    Membership& membership_;
    Ownership& ownership_;
    DrainTable& drains_;
    const uint32_t maxRequests_;
    FleetConfigPtr config_;
    ReplicaStatsTable views_;
    absl::btree_map<uint64_t, std::unique_ptr<Query>> queries_;
    absl::flat_hash_map<ServiceId, ServiceState> services_;
    std::vector<OutgoingBatch> outbox_;
    std::vector<OutgoingCancel> cancels_;
    /// Sequences of the queries whose last shard has closed.
    std::vector<uint64_t> ready_;
    uint64_t lastSequence_ = 0;
};

} // namespace limpettrestle
