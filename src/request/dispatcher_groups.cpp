/// Groups of shards that other instances gather for this one, and groups that this instance gathers
/// for others.

#include "dispatcher_p.h"

namespace limpettrestle {

namespace {

    /// Time reserved for the reply of a group until its delay has been measured.
    constexpr Micros kInitialGroupDelay { 2000 };
    /// The time reserved for the reply of a group is at most the latency target divided by this.
    constexpr int kMaxGroupDelayDivisor = 4;
    /// An aggregator that exceeds the soft deadline by this much is assumed to be down or starved.
    constexpr Millis kGroupSuspicionDelay { 20 };

    /// Limits on the routes of groups that have statistics of their own, and on their names. The others share theirs.
    constexpr size_t kMaxRouteStates = 4096;
    constexpr size_t kMaxRouteNameBytes = 1024;

    /// Returns the home regions of a group's route. Instances of earlier builds do not send them.
    std::vector<std::string> homeRegionsOf(const GroupRequest& group, const RouteTable& table)
    {
        const RouteSpec* route = group.homeRegions.empty() ? table.match(group.forwarded.host, group.forwarded.target) : nullptr;
        return route != nullptr ? route->homeRegions : group.homeRegions;
    }

} // namespace

std::vector<GatherGroup> Dispatcher::planGroups(const OpenRequest& openRequest)
{
    const bool mayDivide = init_.plan != nullptr && openRequest.isMerged() && !openRequest.isGroup && openRequest.request->body.empty();
    if (!mayDivide)
        return {};
    const AllowedZones zones = allowedZones(*openRequest.route);
    return init_.plan->divide(*openRequest.route, clock_.now(), requiredFeatures(zones), zones);
}

/// Marks the unreachable parts of groups as missing if the other parts cannot reach the minimum coverage, so
/// that the search fails at once. Otherwise all groups are sent.
void Dispatcher::markUnreachableParts(OpenRequest& openRequest, const std::vector<bool>& isGathered)
{
    if (init_.reach == nullptr)
        return;
    const AllowedZones zones = allowedZones(*openRequest.route);
    std::vector<size_t> unreachable;
    for (size_t i = 0; i < openRequest.parts.size(); ++i) {
        if (isGathered[i] && !init_.reach->isServiceReachable(*init_.directory, *openRequest.parts[i].service, zones))
            unreachable.push_back(i);
    }
    if (openRequest.pending() - unreachable.size() >= openRequest.requiredParts())
        return;
    for (const size_t partIndex : unreachable)
        markMissing(openRequest, openRequest.parts[partIndex], outOfReachReason(*openRequest.parts[partIndex].service));
}

void Dispatcher::launchGroup(OpenRequest& openRequest, const GatherGroup& plannedGroup)
{
    const TimePoint now = clock_.now();
    const Micros delay = std::min<Micros>(openRequest.routeState->groupDelay.value(kInitialGroupDelay), openRequest.route->latencyTarget / kMaxGroupDelayDivisor);
    GroupRequest request;
    request.forwarded.requestId = openRequest.request->requestId;
    request.forwarded.method = openRequest.request->method;
    request.forwarded.target = openRequest.request->target;
    request.forwarded.host = openRequest.request->host;
    request.forwarded.commonHead = openRequest.request->commonHead;
    request.forwarded.fingerprint = openRequest.request->fingerprint;
    request.route = openRequest.route->name;
    request.softTimeout = std::max<Micros>(Millis(1), std::chrono::duration_cast<Micros>(openRequest.softDeadlineAt - now) - delay);
    request.timeLeft = std::max(Millis(1), std::chrono::duration_cast<Millis>(openRequest.deadlineAt - now));
    request.maxAttempts = openRequest.route->maxAttempts;
    request.topRecords = openRequest.route->topRecords;
    request.homeRegions = openRequest.route->homeRegions;
    request.rank = openRequest.rank;
    const uint64_t id = ++lastId_;
    for (size_t i = plannedGroup.firstShard; i < plannedGroup.firstShard + plannedGroup.shardCount; ++i) {
        openRequest.parts[i].group = id;
        request.shards.push_back(*openRequest.parts[i].service);
    }
    openRequest.groups.push_back(id);
    groups_[id] = { openRequest.id, plannedGroup.firstShard, plannedGroup.shardCount, plannedGroup.aggregator.name, now, now + request.softTimeout };
    init_.plan->groupStarted(plannedGroup.aggregator.name);
    ++stats_.groupsSent;
    init_.groups->startGroup(id, plannedGroup.aggregator, std::move(request));
}

std::string Dispatcher::groupStatisticsName(const std::string& route) const
{
    // The prefix keeps the statistics of gathered groups apart from those of the route itself.
    const std::string name = "group/" + route;
    const bool isListed = routeStates_.contains(name) || (routeStates_.size() < kMaxRouteStates && route.size() <= kMaxRouteNameBytes);
    return isListed ? name : "group/";
}

void Dispatcher::gather(uint64_t request, GroupRequest group)
{
    ++stats_.groupsGathered;
    if (standingOf(group.forwarded) == RequestStanding::Quarantined) {
        rejectQuarantinedGroup(request, group);
        return;
    }
    if (!table_ || requests_.size() >= init_.maxRequests || isIsolated()) {
        reject(request, group.forwarded, table_ && !isIsolated() ? ResultCode::Overloaded : ResultCode::NotReady, Millis(-1));
        return;
    }
    auto route = std::make_shared<RouteSpec>();
    route->name = groupStatisticsName(group.route);
    route->repeat = RepeatPolicy::Idempotent;
    route->timeout = group.timeLeft;
    route->latencyTarget = std::chrono::duration_cast<Millis>(group.softTimeout);
    route->maxAttempts = group.maxAttempts;
    route->shards = std::move(group.shards);
    route->topRecords = group.topRecords;
    route->minCoverage = 0;
    route->homeRegions = homeRegionsOf(group, *table_);
    group.forwarded.callerTimeout = group.timeLeft;
    auto newRequest = makeRequest(request, std::move(group.forwarded), *route);
    newRequest->groupRoute = std::move(route);
    newRequest->isGroup = true;
    newRequest->rank = group.rank;
    OpenRequest& openRequest = *(requests_[request] = std::move(newRequest));
    launchAllParts(openRequest);
    updateRequest(openRequest);
    processEvents();
}

void Dispatcher::groupAnswered(uint64_t id, GroupReply reply)
{
    const auto found = groups_.find(id);
    if (found == groups_.end())
        return;
    const Group group = found->second;
    groups_.erase(found);
    const TimePoint now = clock_.now();
    init_.plan->groupAnswered(group.aggregator, std::chrono::duration_cast<Micros>(now - group.sentAt));
    noteLeaving(reply.leavingReplicas, group.aggregator);
    noteRateLimits(reply.rateLimits);
    const auto owner = requests_.find(group.request);
    if (owner == requests_.end())
        return;
    OpenRequest& openRequest = *owner->second;
    std::erase(openRequest.groups, id);
    noteAdmittedFractions(openRequest, group, reply.admittedFractions);
    // An incomplete group was answered at its soft deadline, so the excess is the delay of its reply.
    if (!reply.missing.empty())
        openRequest.routeState->groupDelay.add(std::max<Micros>(Micros(0), std::chrono::duration_cast<Micros>(now - group.softDeadlineAt)));
    const auto refused = std::find_if(reply.missing.begin(), reply.missing.end(), [](const MissingPart& part) { return isQuarantineCode(part.reason); });
    if (refused != reply.missing.end()) {
        endQuarantined(openRequest, refused->reason);
        return;
    }
    if (!reply.signatures.empty())
        noteAnswered(&openRequest, openRequest.request->fingerprint);
    acceptGroupReply(openRequest, id, group, std::move(reply));
    finishIfDecided(openRequest);
    processEvents();
}

void Dispatcher::acceptGroupReply(OpenRequest& openRequest, uint64_t id, const Group& group, GroupReply reply)
{
    openRequest.callsSent += reply.callsSent;
    openRequest.repeats += reply.repeats;
    absl::flat_hash_map<std::string_view, const MissingPart*> missingByService;
    for (const MissingPart& part : reply.missing)
        missingByService[part.service] = &part;
    size_t acceptedParts = 0;
    std::vector<std::pair<size_t, ResultCode>> missingParts;
    for (size_t i = group.firstShard; i < group.firstShard + group.shardCount; ++i) {
        Part& part = openRequest.parts[i];
        if (part.state != PartState::Open || part.group != id)
            continue;
        part.group = 0;
        const auto entry = missingByService.find(*part.service);
        if (entry != missingByService.end()) {
            part.runs = std::min(entry->second->runs, openRequest.route->maxAttempts);
            part.sentCalls = std::max(part.runs, entry->second->sentCalls);
            missingParts.emplace_back(i, entry->second->reason);
        } else if (acceptedParts < reply.signatures.size()) {
            part.reply.signature = std::move(reply.signatures[acceptedParts]);
            // The merged records of the group are stored with its first included part.
            if (acceptedParts == 0)
                part.reply.body = std::move(reply.records);
            ++acceptedParts;
            part.runs = 1;
            part.sentCalls = 1;
            part.state = PartState::Done;
            ++openRequest.done;
        } else {
            part.runs = openRequest.route->maxAttempts;
            missingParts.emplace_back(i, ResultCode::ForeignReply);
        }
    }
    const bool isDue = openRequest.done >= openRequest.requiredParts() && clock_.now() + kMinTimeLeft >= openRequest.softDeadlineAt;
    for (const auto& [partIndex, reason] : missingParts) {
        if (isDue || reason == ResultCode::PredictedWaitExceedsDeadline)
            markMissing(openRequest, openRequest.parts[partIndex], reason);
        else
            retryOrFail(openRequest, partIndex, reason, "not_gathered");
    }
}

void Dispatcher::groupFailed(uint64_t id, bool mayHaveRun)
{
    const auto found = groups_.find(id);
    if (found == groups_.end())
        return;
    const Group group = found->second;
    groups_.erase(found);
    ++stats_.groupsLost;
    init_.plan->groupFailed(group.aggregator, clock_.now());
    const auto owner = requests_.find(group.request);
    if (owner == requests_.end())
        return;
    OpenRequest& openRequest = *owner->second;
    std::erase(openRequest.groups, id);
    failGroup(openRequest, id, group, mayHaveRun, mayHaveRun ? ResultCode::ConnectionLost : ResultCode::ConnectFailed);
    finishIfDecided(openRequest);
    processEvents();
}

void Dispatcher::failGroup(OpenRequest& openRequest, uint64_t id, const Group& group, bool mayHaveRun, ResultCode reason)
{
    addToTrail(openRequest, mayHaveRun ? "group_lost" : "group_not_sent", group.aggregator, nullptr);
    for (size_t i = group.firstShard; i < group.firstShard + group.shardCount; ++i) {
        Part& part = openRequest.parts[i];
        if (part.state != PartState::Open || part.group != id)
            continue;
        part.group = 0;
        // The number of calls that the aggregator has made is unknown, so the maximum is assumed.
        part.runs = mayHaveRun ? openRequest.route->maxAttempts : 0;
        retryOrFail(openRequest, i, reason, "not_gathered");
    }
}

void Dispatcher::updateGroups(OpenRequest& openRequest)
{
    const TimePoint now = clock_.now();
    const TimePoint suspectAt = openRequest.softDeadlineAt + kGroupSuspicionDelay;
    // From this time on, an error and a retry serve the caller better than further waiting.
    const TimePoint abandonAt = openRequest.softDeadlineAt + openRequest.route->latencyTarget;
    const std::vector<uint64_t> ids = openRequest.groups;
    for (const uint64_t id : ids) {
        const Group group = groups_.at(id);
        if (now >= suspectAt)
            init_.plan->avoidAggregator(group.aggregator, now);
        if (now < abandonAt)
            continue;
        groups_.erase(id);
        std::erase(openRequest.groups, id);
        init_.plan->groupFailed(group.aggregator, now);
        init_.groups->cancelGroup(id);
        failGroup(openRequest, id, group, true, ResultCode::AttemptTimeout);
    }
    if (!openRequest.groups.empty())
        openRequest.nextUpdateAt = std::min(openRequest.nextUpdateAt, now < suspectAt ? suspectAt : abandonAt);
}

void Dispatcher::releaseGroups(OpenRequest& openRequest, bool isDisconnected)
{
    // Groups of answered requests end soon, and their replies still update the state of the aggregators.
    if (!isDisconnected)
        return;
    for (const uint64_t id : openRequest.groups) {
        init_.plan->groupCancelled(groups_.at(id).aggregator);
        groups_.erase(id);
        init_.groups->cancelGroup(id);
    }
    openRequest.groups.clear();
}

} // namespace limpettrestle
