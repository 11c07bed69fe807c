#include "peer_exchange.h"

#include <algorithm>
#include <fmt/format.h>

namespace limpettrestle {

namespace {

    /// Wait beyond the hold; with it, it bounds how long a frozen reader goes unnoticed.
    constexpr Millis kHoldSlack { 700 };
    constexpr Millis kConnectTimeout { 300 };
    /// Time between two calls of a reader to another one.
    constexpr Millis kSurveyPeriod { 1500 };

} // namespace

PeerServer::PeerServer(uv_loop_t* loop, const ClockI& clock, const KnowledgeI& knowledge, FleetSize& fleet, InstanceDirectory& instances, PeerHandlerI& handler)
    : server(loop, *this, clock)
    , clock_(clock)
    , knowledge_(knowledge)
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
            refuse(exchange, "expected a group of shards\n");
            return;
        }
        group->forwarded.transit = request.transit;
        handler_.onGroup(exchange, std::move(*group));
        return;
    }
    if (request.target == kReachPath) {
        takeNotice(exchange, request.body);
        return;
    }
    const std::optional<ChangesRequest> changes = decodeTarget(request.target);
    if (!changes) {
        refuse(exchange, "expected /changes?run=R&after=N&hold=MS&age=MS&config=VERSION&name=NAME&zone=ZONE&address=IP:PORT&instances=DIGEST\n");
        return;
    }
    const TimePoint now = clock_.now();
    if (!changes->follower.name.empty()) {
        fleet_.followerSeen(changes->follower.name, now);
        instances_.seen(changes->follower, now);
    }
    const bool hasNews = knowledge_.hasKnowledge() && changes->after != knowledge_.changes().position();
    const Waiting entry { exchange, *changes, now, now + changes->hold };
    if (hasNews || changes->hold == Millis::zero())
        answer(entry);
    else
        waiting_.push_back(entry);
}

void PeerServer::takeNotice(ExchangeId exchange, const std::string& body)
{
    const std::optional<ReachNotice> notice = decodeNotice(body);
    if (!notice) {
        refuse(exchange, "expected the sender and its zones out of reach\n");
        return;
    }
    handler_.onReachNotice(*notice);
    HttpResponse response;
    response.status = 204;
    server.respond(exchange, std::move(response));
}

void PeerServer::refuse(ExchangeId exchange, std::string problem)
{
    HttpResponse response;
    response.status = 400;
    response.body = "error 108 bad_value: " + std::move(problem);
    server.respond(exchange, std::move(response));
}

void PeerServer::onCallerLeft(ExchangeId exchange)
{
    handler_.onGroupLeft(exchange);
    std::erase_if(waiting_, [exchange](const Waiting& entry) { return entry.exchange == exchange; });
}

void PeerServer::answer(const Waiting& entry)
{
    const ChangesRequest& request = entry.request;
    HttpResponse response;
    if (knowledge_.hasKnowledge()) {
        response.status = 200;
        response.headers.push_back({ "Content-Type", "application/json" });
        // The asking instance's own knowledge has grown older meanwhile.
        const Millis waited = std::chrono::duration_cast<Millis>(clock_.now() - entry.askedAt);
        const bool isWanted = request.acceptableAge >= Millis::zero() && knowledge_.age() <= request.acceptableAge + waited;
        ChangeSet changes = knowledge_.changes().changesAfter(request.after);
        if (!isWanted)
            changes.leaveOutReplicas();
        ChangesReply reply = knowledge_.describe(changes, request);
        reply.tellsReplicas = isWanted;
        response.body = encode(reply);
    } else {
        response.status = 503;
        response.body = "error 204 not_ready\n";
    }
    server.respond(entry.exchange, std::move(response));
}

void PeerServer::tellNews()
{
    if (!knowledge_.hasKnowledge())
        return;
    const ChangePosition position = knowledge_.changes().position();
    std::vector<Waiting> due;
    std::erase_if(waiting_, [&](const Waiting& entry) {
        if (entry.request.after != position)
            due.push_back(entry);
        return entry.request.after != position;
    });
    for (const Waiting& entry : due)
        answer(entry);
}

void PeerServer::sweep()
{
    const TimePoint now = clock_.now();
    std::vector<Waiting> due;
    std::erase_if(waiting_, [&](const Waiting& entry) {
        if (entry.until <= now)
            due.push_back(entry);
        return entry.until <= now;
    });
    for (const Waiting& entry : due)
        answer(entry);
    server.sweep();
}

PeerFollower::PeerFollower(uv_loop_t* loop, const ClockI& clock, InstanceInfo self, std::vector<Endpoint> peers, bool isReader, Millis hold, SourceChoice& sources)
    : loop_(loop)
    , clock_(clock)
    , self_(std::move(self))
    , peers_(std::move(peers))
    , isReader_(isReader)
    , hold_(hold)
    , sources_(sources)
    , positions_(peers_.size())
    , digests_(peers_.size())
{
}

void PeerFollower::setHandlers(ReplyHandler onReply, LossHandler onLoss)
{
    onReply_ = std::move(onReply);
    onLoss_ = std::move(onLoss);
}

void PeerFollower::step()
{
    const TimePoint now = clock_.now();
    if (isCalling_) {
        if (now >= callLimit_) {
            dropConnection();
            fail("timeout");
        }
        return;
    }
    if (peers_.empty())
        return;
    const int followed = sources_.peer(now);
    if (followed >= 0) {
        call(static_cast<size_t>(followed), hold_);
    } else if (isReader_ && now >= nextSurveyAt_) {
        nextSurveyAt_ = now + kSurveyPeriod;
        nextSurvey_ = (nextSurvey_ + 1) % peers_.size();
        call(nextSurvey_, Millis::zero());
    }
}

void PeerFollower::forgetPositions()
{
    std::fill(positions_.begin(), positions_.end(), ChangePosition {});
    std::fill(digests_.begin(), digests_.end(), 0);
    isOutdated_ = isCalling_;
}

void PeerFollower::stop()
{
    dropConnection();
    isCalling_ = true;
    callLimit_ = TimePoint::max();
}

void PeerFollower::call(size_t peer, Millis hold)
{
    if (connection_ != nullptr && connectedTo_ != peer)
        dropConnection();
    isCalling_ = true;
    isOutdated_ = false;
    connectedTo_ = peer;
    const bool isReading = sources_.readsRegistry(clock_.now());
    request_ = { positions_[peer], hold, sources_.acceptableAge(isReading, clock_.now()), configVersion_, isReader_ ? InstanceInfo {} : self_, digests_[peer] };
    callLimit_ = clock_.now() + hold + kHoldSlack;
    if (connection_ == nullptr)
        connection_ = HttpClientConnection::open(loop_, peers_[peer].host, peers_[peer].port, kConnectTimeout, *this);
    else
        send();
}

void PeerFollower::send()
{
    const std::string head = fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", encodeTarget(request_), peers_[connectedTo_].toString());
    if (connection_->send(head, ""))
        return;
    dropConnection();
    fail("closed");
}

void PeerFollower::fail(const std::string& reason)
{
    isCalling_ = false;
    sources_.peerFailed(static_cast<int>(connectedTo_), clock_.now());
    onLoss_(peers_[connectedTo_], reason);
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
        send();
}

AfterResponse PeerFollower::onResponse(HttpClientConnection& /*connection*/, HttpResponse response, bool isReusable)
{
    if (!isReusable)
        dropConnection();
    const std::optional<ChangesReply> reply = response.status == 200 ? decodeReply(response.body) : std::nullopt;
    if (!reply) {
        fail(fmt::format("status_{}", response.status));
        return AfterResponse::Keep;
    }
    isCalling_ = false;
    digests_[connectedTo_] = reply->instancesDigest;
    const int peer = static_cast<int>(connectedTo_);
    if (onReply_(*reply)) {
        positions_[connectedTo_] = isOutdated_ ? ChangePosition {} : reply->upTo;
        sources_.peerAnswered(peer, reply->age, clock_.now());
    } else {
        sources_.peerPassedOver(peer, reply->age, clock_.now());
    }
    step();
    return AfterResponse::Keep;
}

void PeerFollower::onEnded(HttpClientConnection& connection, ConnectionEnd end)
{
    if (connection_ != &connection)
        return;
    connection_ = nullptr;
    if (isCalling_)
        fail(std::string(name(end)));
}

} // namespace limpettrestle
