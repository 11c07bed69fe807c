#pragma once

/// Exchange of cluster state between instances: serves changes to followers, and follows a reader, which is an instance
/// that reads the registry itself.

#include "../net/http_client.h"
#include "../net/http_server.h"
#include "../process/fleet_size.h"
#include "../process/source_choice.h"
#include "../version/route_table.h"
#include "config_messages.h"
#include "gateway_settings.h"
#include "gather_messages.h"
#include "peer_messages.h"
#include "relay_messages.h"

#include <functional>

namespace limpettrestle {

/// Cluster state (replicas, configuration and instances) that an instance serves to others.
class ClusterStateI {
public:
    virtual ~ClusterStateI() = default;
    /// Returns false until both replicas and a configuration are known.
    virtual bool hasClusterState() const = 0;
    virtual const ChangeLog& changes() const = 0;
    /// Time since the replicas were read from the registry.
    virtual Millis stateAge() const = 0;
    /// Era of the registry from which the replicas were read; 0 when it is unknown.
    virtual uint64_t stateEra() const = 0;
    /// The active configuration; null when there is none.
    virtual std::shared_ptr<const RouteTable> configuration() const = 0;
    /// Builds the reply with entries, age, and the size and instances of the fleet, without the configuration.
    virtual ChangesReply makeChangesReply(const ChangeSet& changes, const ChangesRequest& request) const = 0;
};

/// Handles the messages of other instances other than polls for changes.
class PeerHandlerI {
public:
    virtual ~PeerHandlerI() = default;
    /// Another instance asks this one to gather a group of shards. The handler responds through `PeerServer::server`.
    virtual void onGroup(ExchangeId exchange, GroupRequest request) = 0;
    /// Another instance relays a request to this one. The handler responds likewise.
    virtual void onRelay(ExchangeId exchange, RelayRequest request) = 0;
    /// The connection of the sender of a group or relay was closed before the response.
    virtual void onExchangeCancelled(ExchangeId exchange) = 0;
    virtual void onReachNotice(const ReachNotice& notice) = 0;
    virtual void onCrashNotice(const CrashNotice& notice) = 0;
};

/// Serves changes to followers by long polls: a reply is held until there are changes or the hold time ends.
class PeerServer final : public HttpHandlerI {
public:
    PeerServer(uv_loop_t* loop, const ClockI& clock, const ClusterStateI& clusterState, FleetSize& fleet, InstanceDirectory& instances, PeerHandlerI& handler);

    void onRequest(ExchangeId exchange, HttpRequest request) override;
    void onCallerDisconnected(ExchangeId exchange) override;
    /// Replies to the request that has been held for the longest time.
    void onAllBusy() override;
    /// Replies to the held requests for which there are changes.
    void answerHeldRequests();
    /// Replies to the requests whose hold time has ended, and closes connections that exceeded a time limit.
    void checkTimeouts();
    /// Number of times that a configuration has been encoded for replies.
    uint64_t configEncodings() const { return configTexts_.encodings(); }

    HttpServer server;

private:
    /// Long poll that waits for changes.
    struct HeldRequest {
        ExchangeId exchange = 0;
        ChangesRequest request;
        TimePoint receivedAt {};
        TimePoint heldUntil {};
    };

    void answer(const HeldRequest& held);
    /// Text of the configuration for the reply; empty when the requester has the same or a newer one.
    std::string_view configTextFor(const ChangeSet& changes, const ChangesRequest& request);
    void handleReachNotice(ExchangeId exchange, const std::string& body);
    void handleCrashNotice(ExchangeId exchange, const std::string& body);
    void confirmNotice(ExchangeId exchange);
    void rejectRequest(ExchangeId exchange, std::string problem);

    const ClockI& clock_;
    const ClusterStateI& clusterState_;
    FleetSize& fleet_;
    InstanceDirectory& instances_;
    PeerHandlerI& handler_;
    ConfigTexts configTexts_;
    std::vector<HeldRequest> heldRequests_;
};

/// Polls the reader that this instance follows for changes. On a reader, also polls the other readers in turn for the
/// number of their followers.
class PeerFollower final : public HttpClientListenerI {
public:
    /// Returns false when the replicas of the reply were not accepted; the next poll requests them again.
    using ReplyHandler = std::function<bool(const ChangesReply&)>;
    /// Called when a call to a peer has failed.
    using FailureHandler = std::function<void(const Endpoint&, const std::string& reason)>;

    PeerFollower(uv_loop_t* loop, const ClockI& clock, InstanceInfo self, std::vector<Endpoint> peers, bool isReader, Millis hold, SourceChoice& sourceChoice);

    /// Version of the active configuration, sent with each call.
    void setConfigVersion(uint64_t version) { configVersion_ = version; }
    /// Era of the replicas of this instance, sent with each call.
    void setEra(uint64_t era) { era_ = era; }
    /// Digest of the quarantines of this instance, sent with each call.
    void setQuarantineDigest(uint64_t digest) { quarantineDigest_ = digest; }
    /// Digest of the shared facts of this instance, sent with each call.
    void setFactsDigest(uint64_t digest) { factsDigest_ = digest; }
    /// From now on, no reader is relied on whose replies come without shared facts.
    void requireFacts() { requiresFacts_ = true; }
    void setHandlers(ReplyHandler onReply, FailureHandler onFailure);
    /// Fails a call that has timed out and starts the next call when one is due. Must be called periodically.
    void tick();
    /// Requests the full state from every reader with the next call.
    void resetPositions();
    void stop();

private:
    void startCall(size_t peer, Millis hold);
    void sendRequest();
    void failCall(const std::string& reason);
    void dropConnection();

    void onConnected(HttpClientConnection& connection) override;
    ResponseAction onResponse(HttpClientConnection& connection, HttpResponse response, bool isReusable) override;
    void onClosed(HttpClientConnection& connection, CloseReason reason) override;

    uv_loop_t* loop_;
    const ClockI& clock_;
    const InstanceInfo self_;
    const std::vector<Endpoint> peers_;
    const bool isReader_;
    /// Time for which a reader may hold a call.
    const Millis hold_;
    SourceChoice& sourceChoice_;
    ReplyHandler onReply_;
    FailureHandler onFailure_;
    uint64_t configVersion_ = 0;
    uint64_t era_ = 0;
    uint64_t quarantineDigest_ = 0;
    uint64_t factsDigest_ = 0;
    bool requiresFacts_ = false;
    /// Position of the last changes received from each peer.
    std::vector<ChangePosition> positions_;
    /// Digest of the last list of instances received from each peer.
    std::vector<uint64_t> instanceDigests_;
    HttpClientConnection* connection_ = nullptr;
    size_t connectedPeer_ = 0;
    bool isCalling_ = false;
    /// `resetPositions()` was called during the open call, so the position in its reply must not be kept.
    bool isPositionReset_ = false;
    ChangesRequest request_;
    TimePoint callTimeoutAt_ {};
    TimePoint nextReaderPollAt_ {};
    size_t nextPolledReader_ = 0;
};

} // namespace limpettrestle
