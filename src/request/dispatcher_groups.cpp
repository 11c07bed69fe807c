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

} // namespace

std::vector<GatherGroup> Dispatcher::planGroups(const OpenRequest& open)
{
    const bool mayDivide = init_.plan != nullptr && open.isMerged() && !open.isGroup && open.request->body.empty();
    return mayDivide ? init_.plan->divide(*open.route, clock_.now()) : std::vector<GatherGroup>();
}

/// Marks the unreachable parts of groups as missing if the other parts cannot reach the minimum coverage, so
/// that the search fails at once. Otherwise all groups are sent.
void Dispatcher::markUnreachableParts(OpenRequest& open, const std::vector<bool>& isGathered)
{
    if (init_.reach == nullptr)
        return;
    std::vector<size_t> unreachable;
    for (size_t i = 0; i < open.parts.size(); ++i) {
        if (isGathered[i] && !init_.reach->reachesService(*init_.directory, *open.parts[i].service))
            unreachable.push_back(i);
    }
    if (open.pending() - unreachable.size() >= open.requiredParts())
        return;
    for (const size_t index : unreachable)
        markMissing(open, open.parts[index], ResultCode::NoReplicaReachable);
}

void Dispatcher::launchGroup(OpenRequest& open, const GatherGroup& plannedGroup)
{
    const TimePoint now = clock_.now();
    const Micros delay = std::min<Micros>(open.routeState->groupDelay.value(kInitialGroupDelay), open.route->latencyTarget / kMaxGroupDelayDivisor);
    GroupRequest request;
    request.forwarded.requestId = open.request->requestId;
    request.forwarded.method = open.request->method;
    request.forwarded.target = open.request->target;
    request.forwarded.host = open.request->host;
    request.forwarded.commonHead = open.request->commonHead;
    request.route = open.route->name;
    request.softTimeout = std::max<Micros>(Millis(1), std::chrono::duration_cast<Micros>(open.softDeadlineAt - now) - delay);
    request.timeLeft = std::max(Millis(1), std::chrono::duration_cast<Millis>(open.deadlineAt - now));
    request.maxAttempts = open.route->maxAttempts;
    request.topRecords = open.route->topRecords;
    const uint64_t id = ++lastCall_;
    for (size_t i = plannedGroup.firstShard; i < plannedGroup.firstShard + plannedGroup.shardCount; ++i) {
        open.parts[i].group = id;
        request.shards.push_back(*open.parts[i].service);
    }
    open.groups.push_back(id);
    groups_[id] = { open.id, plannedGroup.firstShard, plannedGroup.shardCount, plannedGroup.aggregator.name, now, now + request.softTimeout };
    init_.plan->groupStarted(plannedGroup.aggregator.name);
    ++stats_.groupsSent;
    init_.groups->startGroup(id, plannedGroup.aggregator, std::move(request));
}

void Dispatcher::gather(uint64_t request, GroupRequest group)
{
    ++stats_.groupsGathered;
    if (!table_ || requests_.size() >= init_.maxRequests) {
        reject(request, group.forwarded, table_ ? ResultCode::Overloaded : ResultCode::NotReady, Millis(-1));
        return;
    }
    auto route = std::make_shared<RouteSpec>();
    // The prefix keeps the statistics of gathered groups apart from those of the route itself.
    route->name = "group/" + group.route;
    route->repeat = RepeatPolicy::Idempotent;
    route->timeout = group.timeLeft;
    route->latencyTarget = std::chrono::duration_cast<Millis>(group.softTimeout);
    route->maxAttempts = group.maxAttempts;
    route->shards = std::move(group.shards);
    route->topRecords = group.topRecords;
    route->minCoverage = 0;
    group.forwarded.callerTimeout = group.timeLeft;
    auto newRequest = makeRequest(request, std::move(group.forwarded), *route);
    newRequest->groupRoute = std::move(route);
    newRequest->isGroup = true;
    OpenRequest& open = *(requests_[request] = std::move(newRequest));
    launchAllParts(open);
    updateRequest(open);
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
    const auto owner = requests_.find(group.request);
    if (owner == requests_.end())
        return;
    OpenRequest& open = *owner->second;
    std::erase(open.groups, id);
    // An incomplete group was answered at its soft deadline, so the excess is the delay of its reply.
    if (!reply.missing.empty())
        open.routeState->groupDelay.add(std::max<Micros>(Micros(0), std::chrono::duration_cast<Micros>(now - group.softDeadlineAt)));
    acceptGroupReply(open, id, group, std::move(reply));
    finishIfDecided(open);
    processEvents();
}

void Dispatcher::acceptGroupReply(OpenRequest& open, uint64_t id, const Group& group, GroupReply reply)
{
    open.callsSent += reply.callsSent;
    open.repeats += reply.repeats;
    absl::flat_hash_map<std::string_view, const MissingPart*> missing;
    for (const MissingPart& part : reply.missing)
        missing[part.service] = &part;
    size_t acceptedParts = 0;
    std::vector<std::pair<size_t, ResultCode>> missingParts;
    for (size_t i = group.firstShard; i < group.firstShard + group.shardCount; ++i) {
        Part& part = open.parts[i];
        if (part.state != PartState::Open || part.group != id)
            continue;
        part.group = 0;
        const auto entry = missing.find(*part.service);
        if (entry != missing.end()) {
            part.runs = std::min(entry->second->runs, open.route->maxAttempts);
            part.sentCalls = part.runs;
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
            ++open.done;
        } else {
            part.runs = open.route->maxAttempts;
            missingParts.emplace_back(i, ResultCode::ForeignReply);
        }
    }
    const bool isDue = open.done >= open.requiredParts() && clock_.now() + kMinTimeLeft >= open.softDeadlineAt;
    for (const auto& [index, reason] : missingParts) {
        if (isDue)
            markMissing(open, open.parts[index], reason);
        else
            retryOrFail(open, index, reason, "not_gathered");
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
    OpenRequest& open = *owner->second;
    std::erase(open.groups, id);
    failGroup(open, id, group, mayHaveRun, mayHaveRun ? ResultCode::ConnectionLost : ResultCode::ConnectFailed);
    finishIfDecided(open);
    processEvents();
}

void Dispatcher::failGroup(OpenRequest& open, uint64_t id, const Group& group, bool mayHaveRun, ResultCode reason)
{
    addToTrail(open, mayHaveRun ? "group_lost" : "group_not_sent", group.aggregator, nullptr);
    for (size_t i = group.firstShard; i < group.firstShard + group.shardCount; ++i) {
        Part& part = open.parts[i];
        if (part.state != PartState::Open || part.group != id)
            continue;
        part.group = 0;
        // The number of calls that the aggregator has made is unknown, so the maximum is assumed.
        part.runs = mayHaveRun ? open.route->maxAttempts : 0;
        retryOrFail(open, i, reason, "not_gathered");
    }
}

void Dispatcher::updateGroups(OpenRequest& open)
{
    const TimePoint now = clock_.now();
    const TimePoint suspectAt = open.softDeadlineAt + kGroupSuspicionDelay;
    // From this time on, an error and a retry serve the caller better than further waiting.
    const TimePoint abandonAt = open.softDeadlineAt + open.route->latencyTarget;
    const std::vector<uint64_t> ids = open.groups;
    for (const uint64_t id : ids) {
        const Group group = groups_.at(id);
        if (now >= suspectAt)
            init_.plan->avoidAggregator(group.aggregator, now);
        if (now < abandonAt)
            continue;
        groups_.erase(id);
        std::erase(open.groups, id);
        init_.plan->groupFailed(group.aggregator, now);
        init_.groups->cancelGroup(id);
        failGroup(open, id, group, true, ResultCode::AttemptTimeout);
    }
    if (!open.groups.empty())
        open.nextUpdateAt = std::min(open.nextUpdateAt, now < suspectAt ? suspectAt : abandonAt);
}

void Dispatcher::releaseGroups(OpenRequest& open, bool callerLeft)
{
    // Groups of answered requests end soon, and their replies still update the state of the aggregators.
    if (!callerLeft)
        return;
    for (const uint64_t id : open.groups) {
        init_.plan->groupCancelled(groups_.at(id).aggregator);
        groups_.erase(id);
        init_.groups->cancelGroup(id);
    }
    open.groups.clear();
}

} // namespace limpettrestle
