#pragma once

/// Exchange of changes between instances: answers followers, and follows a reader.

#include "../net/http_client.h"
#include "../net/http_server.h"
#include "../process/fleet_size.h"
#include "../process/source_choice.h"
#include "gateway_settings.h"
#include "gather_messages.h"
#include "peer_messages.h"

#include <functional>

namespace limpettrestle {

/// What an instance can tell others.
class ClusterStateI {
public:
    virtual ~ClusterStateI() = default;
    /// False until the instance knows replicas and configuration.
    virtual bool hasClusterState() const = 0;
    virtual const ChangeLog& changes() const = 0;
    /// Time since the knowledge about replicas left the registry.
    virtual Millis stateAge() const = 0;
    /// Fills in entries, configuration, age, numbers and instances of the fleet.
    virtual ChangesReply makeChangesReply(const ChangeSet& changes, const ChangesRequest& request) const = 0;
};

/// Takes what other instances send beside their calls for changes. Groups of shards are answered through the
/// server of `PeerServer`.
class PeerHandlerI {
public:
    virtual ~PeerHandlerI() = default;
    virtual void onGroup(ExchangeId exchange, GroupRequest request) = 0;
    virtual void onGroupCancelled(ExchangeId exchange) = 0;
    virtual void onReachNotice(const ReachNotice& notice) = 0;
};

/// Answers followers; holds an answer until there is something to tell.
class PeerServer final : public HttpHandlerI {
public:
    PeerServer(uv_loop_t* loop, const ClockI& clock, const ClusterStateI& knowledge, FleetSize& fleet, InstanceDirectory& instances, PeerHandlerI& handler);

    void onRequest(ExchangeId exchange, HttpRequest request) override;
    void onCallerDisconnected(ExchangeId exchange) override;
    /// Answers the followers for whom there is news.
    void tellNews();
    /// Answers those whose hold is over.
    void sweep();

    HttpServer server;

private:
    struct Waiting {
        ExchangeId exchange = 0;
        ChangesRequest request;
        TimePoint askedAt {};
        TimePoint until {};
    };

    void answer(const Waiting& entry);
    void takeNotice(ExchangeId exchange, const std::string& body);
    void refuse(ExchangeId exchange, std::string problem);

    const ClockI& clock_;
    const ClusterStateI& knowledge_;
    FleetSize& fleet_;
    InstanceDirectory& instances_;
    PeerHandlerI& handler_;
    std::vector<Waiting> waiting_;
};

/// Asks the readers: the one that is followed for changes, and as a reader the others for their numbers.
class PeerFollower final : public HttpClientListenerI {
public:
    /// False where the replicas of the reply are not taken over; they will be told again.
    using ReplyHandler = std::function<bool(const ChangesReply&)>;
    using LossHandler = std::function<void(const Endpoint&, const std::string& reason)>;

    PeerFollower(uv_loop_t* loop, const ClockI& clock, InstanceInfo self, std::vector<Endpoint> peers, bool isReader, Millis hold, SourceChoice& sources);

    /// Version of the configuration in force, told with each call.
    void setConfigVersion(uint64_t version) { configVersion_ = version; }
    void setHandlers(ReplyHandler onReply, LossHandler onLoss);
    /// Starts the next call when one is due; to be called at a steady pace.
    void step();
    /// The next answer of each reader is to tell everything.
    void forgetPositions();
    void stop();

private:
    void call(size_t peer, Millis hold);
    void send();
    void fail(const std::string& reason);
    void dropConnection();

    void onConnected(HttpClientConnection& connection) override;
    AfterResponse onResponse(HttpClientConnection& connection, HttpResponse response, bool isReusable) override;
    void onEnded(HttpClientConnection& connection, CloseReason end) override;

    uv_loop_t* loop_;
    const ClockI& clock_;
    const InstanceInfo self_;
    const std::vector<Endpoint> peers_;
    const bool isReader_;
    /// For which a reader may hold a call.
    const Millis hold_;
    SourceChoice& sources_;
    ReplyHandler onReply_;
    LossHandler onLoss_;
    uint64_t configVersion_ = 0;
    std::vector<ChangePosition> positions_;
    /// Digest of the instances that each peer has told.
    std::vector<uint64_t> digests_;
    HttpClientConnection* connection_ = nullptr;
    size_t connectedTo_ = 0;
    bool isCalling_ = false;
    /// The open call asks from a position that no longer counts.
    bool isOutdated_ = false;
    ChangesRequest request_;
    TimePoint callLimit_ {};
    TimePoint nextSurveyAt_ {};
    size_t nextSurvey_ = 0;
};

} // namespace limpettrestle
