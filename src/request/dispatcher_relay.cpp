/// Requests that are relayed to another instance because the replicas that they need are out of reach here, and requests
/// that other instances relay to this one. A relayed request is not relayed again.

#include "dispatcher_p.h"

namespace limpettrestle {

namespace {

    /// Maximum number of instances to which a request is relayed; all but the last declined it or were out of reach.
    constexpr size_t kMaxRelays = 4;
    /// Reserved for the way back of the answer.
    constexpr Millis kRelayMargin { 5 };
    /// Time for which requests are relayed after one has failed because connecting is blocked; then the established
    /// connections are tried again.
    constexpr Millis kBlockedFailureTtl { 3000 };
    /// HTTP status of requests that no replica has received.
    constexpr int kNotRun = 503;

    bool isOutOfReach(ResultCode reason)
    {
        return reason == ResultCode::NoReplicaReachable || reason == ResultCode::ConnectFailed;
    }

    /// True when the instance sent nothing to replicas and another instance may be able to.
    bool isDeclined(const RouteAnswer& answer)
    {
        if (answer.status != kNotRun || answer.isReplicaReply)
            return false;
        const bool isUnavailable = answer.code == ResultCode::NotReady || answer.code == ResultCode::ShuttingDown || answer.code == ResultCode::Overloaded || isOutOfReach(answer.code);
        return isUnavailable || std::any_of(answer.missing.begin(), answer.missing.end(), [](const MissingPart& part) { return isOutOfReach(part.reason); });
    }

} // namespace

void Dispatcher::startRelayed(uint64_t request, RelayRequest relayed)
{
    ++stats_.relaysServed;
    const bool isBehind = !table_ || table_->version() < relayed.configVersion;
    const RouteSpec* route = isBehind ? nullptr : table_->match(relayed.forwarded.host, relayed.forwarded.target);
    if (isBehind || requests_.size() >= init_.maxRequests || servesBetterElsewhere()) {
        reject(request, relayed.forwarded, ResultCode::NotReady, Millis(-1));
        return;
    }
    if (rejectQuarantined(request, relayed.forwarded))
        return;
    if (route == nullptr) {
        reject(request, relayed.forwarded, ResultCode::UnknownPath, Millis(-1));
        return;
    }
    auto newRequest = makeRequest(request, std::move(relayed.forwarded), *route);
    newRequest->isRelayed = true;
    OpenRequest& openRequest = *(requests_[request] = std::move(newRequest));
    launchAllParts(openRequest);
    updateRequest(openRequest);
    processEvents();
}

bool Dispatcher::isIsolated() const
{
    return init_.reach != nullptr && init_.reach->isIsolated();
}

/// True when another instance would serve the callers of this one better: when this one is isolated, or when connecting is
/// blocked and the established connections have not sufficed for a recent request.
bool Dispatcher::servesBetterElsewhere() const
{
    if (init_.reach == nullptr)
        return false;
    const bool hasFailed = lastBlockedFailure_ != TimePoint {} && clock_.now() - lastBlockedFailure_ <= kBlockedFailureTtl;
    return init_.reach->isIsolated() || (init_.reach->isConnectingBlocked() && hasFailed);
}

/// Records that a request failed while connecting was blocked.
void Dispatcher::noteBlockedFailure(const OpenRequest& openRequest)
{
    const bool isBlocked = init_.reach != nullptr && init_.reach->isConnectingBlocked() && openRequest.relayTargets.empty();
    const std::vector<Part>& parts = openRequest.parts;
    if (isBlocked && std::any_of(parts.begin(), parts.end(), [](const Part& part) { return part.state == PartState::Missing && isOutOfReach(part.reason); }))
        lastBlockedFailure_ = clock_.now();
}

/// True when a failed request may be relayed: nothing of it has been sent, and replicas are out of reach.
bool Dispatcher::mayRelay(const OpenRequest& openRequest) const
{
    if (init_.relays == nullptr || openRequest.isRelayed || openRequest.isGroup)
        return false;
    const std::vector<Part>& parts = openRequest.parts;
    const bool isSent = std::any_of(parts.begin(), parts.end(), [](const Part& part) { return part.sentCalls > 0 || part.group != 0; });
    return !isSent && std::any_of(parts.begin(), parts.end(), [](const Part& part) { return part.state == PartState::Missing && isOutOfReach(part.reason); });
}

/// Relays the request to an instance to which it has not been relayed yet. Returns false if there is none.
bool Dispatcher::tryRelay(OpenRequest& openRequest)
{
    const TimePoint now = clock_.now();
    const Millis timeLeft = std::chrono::duration_cast<Millis>(openRequest.deadlineAt - now) - kRelayMargin;
    if (openRequest.relayTargets.size() >= kMaxRelays || timeLeft < kMinTimeLeft)
        return false;
    const AllowedZones zones = allowedZones(*openRequest.route);
    const InstanceInfo* instance = relayChoice_.choose(openRequest.relayTargets, now, requiredFeatures(zones), zones);
    if (instance == nullptr)
        return false;
    withdrawUnsentCalls(openRequest);
    RelayRequest relay;
    relay.forwarded = *openRequest.request;
    relay.forwarded.commonHead.clear();
    relay.forwarded.callerTimeout = timeLeft;
    relay.forwarded.transitTime += std::chrono::duration_cast<Micros>(now - openRequest.receivedAt);
    relay.configVersion = std::max(openRequest.table->version(), relayedVersion_);
    const uint64_t id = ++lastId_;
    relays_[id] = { openRequest.id, instance->name };
    openRequest.relay = id;
    openRequest.relayTargets.push_back(instance->name);
    openRequest.nextUpdateAt = openRequest.deadlineAt;
    addToTrail(openRequest, "relayed", instance->name, nullptr);
    relayChoice_.relayStarted(*instance);
    ++stats_.relaysSent;
    init_.relays->startRelay(id, *instance, std::move(relay));
    return true;
}

/// Ends the calls of a request of which nothing has been sent.
void Dispatcher::withdrawUnsentCalls(OpenRequest& openRequest)
{
    for (Part& part : openRequest.parts) {
        for (const uint64_t call : part.calls)
            endCall(call, CallEnd::Cancelled);
        part.calls.clear();
    }
}

void Dispatcher::relayAnswered(uint64_t id, RelayReply reply)
{
    const bool isRefusal = isDeclined(reply.answer);
    OpenRequest* openRequest = endRelay(id, isRefusal ? RelayEnd::Declined : RelayEnd::Answered);
    if (openRequest == nullptr)
        return;
    openRequest->callsSent += reply.callsSent;
    openRequest->repeats += reply.repeats;
    if (!isRefusal) {
        relayedVersion_ = std::max(relayedVersion_, reply.configVersion);
        const bool isServed = reply.answer.isReplicaReply && reply.answer.code == ResultCode::Ok;
        openRequest->done = reply.answer.isMerged ? static_cast<uint32_t>(reply.answer.partSignatures.size()) : static_cast<uint32_t>(isServed);
        finish(*openRequest, std::move(reply.answer));
        return;
    }
    addToTrail(*openRequest, "declined", openRequest->relayTargets.back(), nullptr);
    if (!tryRelay(*openRequest))
        answerFailure(*openRequest, ResultCode::NoReplicaReachable);
}

void Dispatcher::relayFailed(uint64_t id, bool mayHaveRun)
{
    OpenRequest* openRequest = endRelay(id, RelayEnd::Failed);
    if (openRequest == nullptr)
        return;
    ++stats_.relaysLost;
    addToTrail(*openRequest, mayHaveRun ? "relay_lost" : "relay_not_sent", openRequest->relayTargets.back(), nullptr);
    if (mayHaveRun) {
        // Another instance must not be asked: the replicas may have used up the attempts.
        openRequest->mayHaveRunElsewhere = true;
        answerFailure(*openRequest, ResultCode::ConnectionLost);
    } else if (!tryRelay(*openRequest)) {
        answerFailure(*openRequest, ResultCode::NoReplicaReachable);
    }
}

/// Returns the request, or null when it is no longer open.
Dispatcher::OpenRequest* Dispatcher::endRelay(uint64_t id, RelayEnd end)
{
    const auto found = relays_.find(id);
    if (found == relays_.end())
        return nullptr;
    const Relay relay = found->second;
    relays_.erase(found);
    relayChoice_.relayEnded(relay.instance, end, clock_.now());
    const auto owner = requests_.find(relay.request);
    if (owner == requests_.end())
        return nullptr;
    owner->second->relay = 0;
    return owner->second.get();
}

void Dispatcher::cancelRelay(OpenRequest& openRequest)
{
    if (openRequest.relay == 0)
        return;
    const uint64_t id = openRequest.relay;
    endRelay(id, RelayEnd::Cancelled);
    init_.relays->cancelRelay(id);
}

} // namespace limpettrestle
