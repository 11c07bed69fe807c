#pragma once

/// Coordinates searches: pins each one to a configuration and a snapshot, sends its sub-requests to the
/// owners of replicas, hedges and retries them, and collects the results.

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
    /// Admits and starts a search, or answers it at once with a refusal.
    void onSearch(CallerTag tag, SearchRequest request);
    void onResults(InstanceId from, const ExecuteResults& results);
    /// Abandons the attempts that were sent to this instance and retries their shards elsewhere.
    void onPeerFailed(InstanceId peer);
    /// Called when the process has resumed after a suspension: abandons all attempts, since their state is
    /// unknown. The next `tick()` retries their shards and ends queries whose deadline has passed.
    void onLateWake();
    void tick();
    TimePoint nextWakeup() const;
    /// Sends the batches that were queued while an event was handled and answers completed queries.
    void flush();

    size_t openRequests() const { return queries_.size(); }
    RequestId nextRequestId();

private:
    /// Statistics and budgets of one service.
    struct ServiceState {
        explicit ServiceState(double quantile)
            : latency(quantile)
        {
        }
        LatencyQuantile latency;
        LoadBudget hedges { 20 };
        LoadBudget retries { 40 };
        /// Newest snapshot that a backend server has reported.
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

    /// Owner of a replica as named in a `NotOwner` refusal.
    struct Redirect {
        ReplicaId replica;
        InstanceId owner;
    };

    enum class SendReason : uint8_t { First,
        Retry,
        Hedge };

    Query* findQuery(RequestId id);
    ServiceState& serviceStateOf(const Query& query);
    /// Returns `Ok` if the search is admitted, otherwise the reason for the refusal. Sets `service` and the
    /// predicted `wait` as far as they are known.
    ResultCode admit(const SearchRequest& request, const ServiceConfig*& service, Micros& wait);
    /// Predicted wait of the slowest shard, with each shard at its replica with the shortest wait.
    Micros predictWait(const ServiceConfig& service, PriorityClass priority) const;
    void refuse(CallerTag tag, ResultCode code, Millis retryAfter);
    void start(Query& query);
    void restart(Query& query, uint64_t snapshot);
    bool sendShard(Query& query, uint32_t shard, SendReason reason, const Redirect& redirect = {});
    /// Returns a replica of the shard to call next; null if none can be tried.
    const ReplicaConfig* pickReplica(const Query& query, uint32_t shard);
    /// Considers only drained or only undrained replicas.
    const ReplicaConfig* pickReplicaAmong(const Query& query, uint32_t shard, bool wantsDrained);
    /// Returns the reachable owner or deputy of a replica; an invalid id if there is none.
    InstanceId pickOwner(const ReplicaConfig& replica, bool& isDeputy);
    void addToBatch(const Query& query, InstanceId owner, ExecuteItem item);
    void handleItem(Query& query, InstanceId from, const ExecuteItemResult& item);
    ResultCode validateItem(const Query& query, const ExecuteItemResult& item) const;
    void acceptResult(Query& query, const ExecuteItemResult& item, const PendingAttempt& attempt);
    void handleFailedItem(Query& query, const ExecuteItemResult& item, ResultCode code);
    /// Stores the predicted wait and the newest snapshot that came with a result.
    void recordFeedback(const Query& query, const ExecuteItemResult& item, ResultCode code);
    /// Retries a shard unless it has another pending attempt; marks it as missing when its attempts or
    /// the retry budget are exhausted. `addsLoad`: the failed attempt reached a backend server.
    void retryShard(Query& query, uint32_t shard, ResultCode reason, bool addsLoad, const Redirect& redirect = {});
    /// Restarts the query if a backend server has reported a newer snapshot or partition map.
    bool restartIfOutdated(Query& query);
    void updateQuery(Query& query);
    void updateShard(Query& query, uint32_t shard, Micros delay, bool mayHedge);
    /// Time of the last evidence that the owner of the attempt is alive.
    TimePoint lastSeen(const PendingAttempt& attempt) const;
    void markShardMissing(Query& query, uint32_t shard, ResultCode reason);
    void cancelAttempts(const Query& query, ShardState& shard);
    void closeShard(Query& query);
    void finish(Query& query);
    void finishClosedQueries();
    void recordDroppedReply(RequestId request, const ExecuteItemResult& item, ResultCode code);
    Micros hedgeDelay(const Query& query);
    void recordEvent(const Query& query, TimelineKind kind, ResultCode code, uint32_t shard, uint32_t attempt, std::string subject);

    NodeContext& context_;
    PeerSenderI& sender_;
    Membership& membership_;
    Ownership& ownership_;
    DrainTable& drains_;
    const uint32_t maxRequests_;
    FleetConfigPtr config_;
    ReplicaStatsTable replicaStats_;
    absl::btree_map<uint64_t, std::unique_ptr<Query>> queries_;
    absl::flat_hash_map<ServiceId, ServiceState> services_;
    std::vector<OutgoingBatch> outbox_;
    std::vector<OutgoingCancel> cancels_;
    /// Sequence numbers of queries without open shards.
    std::vector<uint64_t> closedQueries_;
    uint64_t lastSequence_ = 0;
};

} // namespace limpettrestle
