#include "peer_exchange.h"

#include <algorithm>
#include <fmt/format.h>

namespace limpettrestle {

namespace {

    /// Time added to the hold while waiting for a reply. The sum bounds the time until a hung reader is detected.
    constexpr Millis kReplyTimeoutMargin { 700 };
    constexpr Millis kConnectTimeout { 300 };
    /// Time by which the tick that ends an overdue call may be late in a process that runs.
    constexpr Millis kTickSlack { 300 };
    /// Time between two calls of a reader to other readers.
    constexpr Millis kReaderPollInterval { 1500 };

} // namespace

PeerServer::PeerServer(uv_loop_t* loop, const ClockI& clock, const ClusterStateI& clusterState, FleetSize& fleet, InstanceDirectory& instances, PeerHandlerI& handler)
    : server(loop, *this, clock)
    , clock_(clock)
    , clusterState_(clusterState)
    , fleet_(fleet)
    , instances_(instances)
    , handler_(handler)
{
}

void PeerServer::onRequest(ExchangeId exchange, HttpRequest request)
{
    if (request.target == kGatherPath) {
        std::optional<GroupRequest> group = decodeGroupRequest(request.body);
        if (!group) {
            rejectRequest(exchange, "expected a group of shards\n");
            return;
        }
        group->forwarded.transitTime = request.transitTime;
        group->forwarded.memory = std::move(request.memory);
        handler_.onGroup(exchange, std::move(*group));
        return;
    }
    if (request.target == kRelayPath) {
        std::optional<RelayRequest> relay = decodeRelayRequest(request.body);
        if (!relay) {
            rejectRequest(exchange, "expected a request to be relayed\n");
            return;
        }
        relay->forwarded.transitTime += request.transitTime;
        relay->forwarded.memory = std::move(request.memory);
        handler_.onRelay(exchange, std::move(*relay));
        return;
    }
    if (request.target == kReachPath) {
        handleReachNotice(exchange, request.body);
        return;
    }
    if (request.target == kCrashesPath) {
        handleCrashNotice(exchange, request.body);
        return;
    }
    const std::optional<ChangesRequest> changes = decodeTarget(request.target);
    if (!changes) {
        rejectRequest(exchange, "expected /changes?run=R&after=N&hold=MS&age=MS&config=VERSION&era=ERA&name=NAME&zone=ZONE&address=IP:PORT&features=BITS&instances=DIGEST&quarantine=DIGEST&facts=DIGEST\n");
        return;
    }
    const TimePoint now = clock_.now();
    if (!changes->follower.name.empty()) {
        fleet_.recordFollower(changes->follower.name, now);
        instances_.recordInstance(changes->follower, now);
    }
    const bool hasChanges = clusterState_.hasClusterState() && changes->after != clusterState_.changes().position();
    const HeldRequest held { exchange, *changes, now, now + changes->hold };
    if (hasChanges || changes->hold == Millis::zero())
        answer(held);
    else
        heldRequests_.push_back(held);
}

void PeerServer::handleReachNotice(ExchangeId exchange, const std::string& body)
{
    const std::optional<ReachNotice> notice = decodeNotice(body);
    if (!notice) {
        rejectRequest(exchange, "expected the sender and its zones out of reach\n");
        return;
    }
    handler_.onReachNotice(*notice);
    confirmNotice(exchange);
}

void PeerServer::handleCrashNotice(ExchangeId exchange, const std::string& body)
{
    const std::optional<CrashNotice> notice = decodeCrashNotice(body, clock_.now());
    if (!notice) {
        rejectRequest(exchange, "expected the sender, its zone, crashes and cleared requests\n");
        return;
    }
    handler_.onCrashNotice(*notice);
    confirmNotice(exchange);
}

void PeerServer::confirmNotice(ExchangeId exchange)
{
    HttpResponse response;
    response.status = 204;
    server.respond(exchange, std::move(response));
}

void PeerServer::rejectRequest(ExchangeId exchange, std::string problem)
{
    HttpResponse response;
    response.status = 400;
    response.body = "error 108 bad_value: " + std::move(problem);
    server.respond(exchange, std::move(response));
}

void PeerServer::onCallerDisconnected(ExchangeId exchange)
{
    handler_.onExchangeCancelled(exchange);
    std::erase_if(heldRequests_, [exchange](const HeldRequest& held) { return held.exchange == exchange; });
}

void PeerServer::onAllBusy()
{
    if (heldRequests_.empty())
        return;
    const HeldRequest oldest = heldRequests_.front();
    heldRequests_.erase(heldRequests_.begin());
    answer(oldest);
}

void PeerServer::answer(const HeldRequest& held)
{
    const ChangesRequest& request = held.request;
    HttpResponse response;
    if (clusterState_.hasClusterState()) {
        response.status = 200;
        response.headers.push_back({ "Content-Type", "application/json" });
        // The requester's own cluster state has aged while the request was held.
        const Millis waited = std::chrono::duration_cast<Millis>(clock_.now() - held.receivedAt);
        const uint64_t era = clusterState_.stateEra();
        const bool isRecent = request.acceptableAge >= Millis::zero() && clusterState_.stateAge() <= request.acceptableAge + waited;
        const bool includesReplicas = isRecent && (era == 0 || era >= request.era);
        ChangeSet changes = clusterState_.changes().changesAfter(request.after);
        if (!includesReplicas)
            changes.clearReplicas();
        ChangesReply reply = clusterState_.makeChangesReply(changes, request);
        reply.includesReplicas = includesReplicas;
        response.body = encode(reply, configTextFor(changes, request));
    } else {
        response.status = 503;
        response.body = "error 204 not_ready\n";
    }
    server.respond(held.exchange, std::move(response));
}

std::string_view PeerServer::configTextFor(const ChangeSet& changes, const ChangesRequest& request)
{
    const std::shared_ptr<const RouteTable> table = clusterState_.configuration();
    if (!changes.hasConfig || table == nullptr || table->version() <= request.configVersion)
        return {};
    return configTexts_.textOf(table->document(), configFormFor(request.follower));
}

void PeerServer::answerHeldRequests()
{
    if (!clusterState_.hasClusterState())
        return;
    const ChangePosition position = clusterState_.changes().position();
    std::vector<HeldRequest> due;
    std::erase_if(heldRequests_, [&](const HeldRequest& held) {
        if (held.request.after != position)
            due.push_back(held);
        return held.request.after != position;
    });
    for (const HeldRequest& held : due)
        answer(held);
}

void PeerServer::checkTimeouts()
{
    const TimePoint now = clock_.now();
    std::vector<HeldRequest> due;
    std::erase_if(heldRequests_, [&](const HeldRequest& held) {
        if (held.heldUntil <= now)
            due.push_back(held);
        return held.heldUntil <= now;
    });
    for (const HeldRequest& held : due)
        answer(held);
    server.checkTimeouts();
}

PeerFollower::PeerFollower(uv_loop_t* loop, const ClockI& clock, InstanceInfo self, std::vector<Endpoint> peers, bool isReader, Millis hold, SourceChoice& sourceChoice)
    : loop_(loop)
    , clock_(clock)
    , self_(std::move(self))
    , peers_(std::move(peers))
    , isReader_(isReader)
    , hold_(hold)
    , sourceChoice_(sourceChoice)
    , positions_(peers_.size())
    , instanceDigests_(peers_.size())
{
}

void PeerFollower::setHandlers(ReplyHandler onReply, FailureHandler onFailure)
{
    onReply_ = std::move(onReply);
    onFailure_ = std::move(onFailure);
}

void PeerFollower::tick()
{
    const TimePoint now = clock_.now();
    if (isCalling_) {
        if (now >= callTimeoutAt_) {
            dropConnection();
            failCall("timeout");
        }
        return;
    }
    if (peers_.empty())
        return;
    const int followedPeer = sourceChoice_.peer(now);
    if (followedPeer >= 0) {
        startCall(static_cast<size_t>(followedPeer), hold_);
    } else if (isReader_ && now >= nextReaderPollAt_) {
        nextReaderPollAt_ = now + kReaderPollInterval;
        nextPolledReader_ = (nextPolledReader_ + 1) % peers_.size();
        startCall(nextPolledReader_, Millis::zero());
    }
}

void PeerFollower::resetPositions()
{
    std::fill(positions_.begin(), positions_.end(), ChangePosition {});
    std::fill(instanceDigests_.begin(), instanceDigests_.end(), 0);
    isPositionReset_ = isCalling_;
}

void PeerFollower::stop()
{
    dropConnection();
    isCalling_ = true;
    callTimeoutAt_ = TimePoint::max();
}

void PeerFollower::startCall(size_t peer, Millis hold)
{
    if (connection_ != nullptr && connectedPeer_ != peer)
        dropConnection();
    isCalling_ = true;
    isPositionReset_ = false;
    connectedPeer_ = peer;
    const bool isReading = sourceChoice_.readsRegistry(clock_.now());
    request_ = { positions_[peer], hold, sourceChoice_.acceptableAge(isReading, clock_.now()), configVersion_, era_, isReader_ ? InstanceInfo {} : self_, instanceDigests_[peer], quarantineDigest_, factsDigest_ };
    callTimeoutAt_ = clock_.now() + hold + kReplyTimeoutMargin;
    if (connection_ == nullptr)
        connection_ = HttpClientConnection::open(loop_, peers_[peer].host, peers_[peer].port, kConnectTimeout, *this);
    else
        sendRequest();
}

void PeerFollower::sendRequest()
{
    const std::string head = fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", encodeTarget(request_), peers_[connectedPeer_].toString());
    if (connection_->send(head, ""))
        return;
    dropConnection();
    failCall("closed");
}

void PeerFollower::failCall(const std::string& reason)
{
    isCalling_ = false;
    sourceChoice_.peerFailed(static_cast<int>(connectedPeer_), clock_.now());
    onFailure_(peers_[connectedPeer_], reason);
}

void PeerFollower::dropConnection()
{
    if (connection_ != nullptr)
        connection_->close();
    connection_ = nullptr;
}

void PeerFollower::onConnected(HttpClientConnection& /*connection*/)
{
    if (isCalling_)
        sendRequest();
}

ResponseAction PeerFollower::onResponse(HttpClientConnection& /*connection*/, HttpResponse response, bool isReusable)
{
    // After a suspension, a reply that waited in the socket is handled before the next tick. Its age counts from when it was sent.
    const bool isExpired = clock_.now() > callTimeoutAt_ + kTickSlack;
    if (!isReusable || isExpired)
        dropConnection();
    if (isExpired) {
        failCall("timeout");
        return ResponseAction::Keep;
    }
    const std::optional<ChangesReply> reply = response.status == 200 ? decodeReply(response.body) : std::nullopt;
    if (!reply) {
        failCall(fmt::format("status_{}", response.status));
        return ResponseAction::Keep;
    }
    isCalling_ = false;
    instanceDigests_[connectedPeer_] = reply->instancesDigest;
    const int peer = static_cast<int>(connectedPeer_);
    const bool isAccepted = onReply_(*reply);
    if (isAccepted)
        positions_[connectedPeer_] = isPositionReset_ ? ChangePosition {} : reply->upTo;
    if (requiresFacts_ && !reply->factsDigest) {
        sourceChoice_.peerLacksFacts(peer, isAccepted, reply->age, clock_.now());
    } else if (isAccepted) {
        sourceChoice_.peerAnswered(peer, reply->age, clock_.now());
    } else {
        sourceChoice_.peerAnswerRejected(peer, reply->age, clock_.now());
    }
    tick();
    return ResponseAction::Keep;
}

void PeerFollower::onClosed(HttpClientConnection& connection, CloseReason reason)
{
    if (connection_ != &connection)
        return;
    connection_ = nullptr;
    if (isCalling_)
        failCall(std::string(name(reason)));
}

} // namespace limpettrestle
