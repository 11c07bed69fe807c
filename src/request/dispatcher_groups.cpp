/// Groups of shards that other instances gather for the dispatcher's requests, and those that it
/// gathers for others.

#include "dispatcher_p.h"

namespace limpettrestle {

namespace {

    /// Kept free for a group's way back until its lateness has been measured.
    constexpr Micros kFirstGroupDelay { 2000 };
    /// Share of the objective that is kept free for it at most.
    constexpr int kMaxGroupDelayShare = 4;
    /// A group that is so late comes from an instance that is down or starved.
    constexpr Millis kSuspiciousDelay { 20 };

} // namespace

std::vector<GatherGroup> Dispatcher::planGroups(const OpenRequest& open)
{
    const bool mayDivide = init_.plan != nullptr && open.isMerged() && !open.isGroup && open.request->body.empty();
    return mayDivide ? init_.plan->divide(*open.route, clock_.now()) : std::vector<GatherGroup>();
}

/// Gives up a search whose groups could not gather enough, since zones are out of reach. A search with enough
/// parts left goes to all groups.
void Dispatcher::markOutOfReach(OpenRequest& open, const std::vector<bool>& isGathered)
{
    if (init_.reach == nullptr)
        return;
    std::vector<size_t> hopeless;
    for (size_t i = 0; i < open.parts.size(); ++i) {
        if (isGathered[i] && !init_.reach->isServiceReachable(*init_.directory, *open.parts[i].service))
            hopeless.push_back(i);
    }
    if (open.pending() - hopeless.size() >= open.leastParts())
        return;
    for (const size_t index : hopeless)
        markMissing(open, open.parts[index], ResultCode::NoReplicaReachable);
}

void Dispatcher::launchGroup(OpenRequest& open, const GatherGroup& planned)
{
    const TimePoint now = clock_.now();
    const Micros delay = std::min<Micros>(open.state->groupDelay.value(kFirstGroupDelay), open.route->latencyTarget / kMaxGroupDelayShare);
    GroupRequest request;
    request.forwarded.requestId = open.request->requestId;
    request.forwarded.method = open.request->method;
    request.forwarded.target = open.request->target;
    request.forwarded.host = open.request->host;
    request.forwarded.commonHead = open.request->commonHead;
    request.route = open.route->name;
    request.wantedWithin = std::max<Micros>(Millis(1), std::chrono::duration_cast<Micros>(open.targetAt - now) - delay);
    request.timeLeft = std::max(Millis(1), std::chrono::duration_cast<Millis>(open.deadlineAt - now));
    request.maxAttempts = open.route->maxAttempts;
    request.topRecords = open.route->topRecords;
    const uint64_t id = ++lastCall_;
    for (size_t i = planned.first; i < planned.first + planned.count; ++i) {
        open.parts[i].group = id;
        request.shards.push_back(*open.parts[i].service);
    }
    open.groups.push_back(id);
    groups_[id] = { open.id, planned.first, planned.count, planned.aggregator.name, now, now + request.wantedWithin };
    init_.plan->started(planned.aggregator.name);
    ++stats_.groupsSent;
    init_.groups->startGroup(id, planned.aggregator, std::move(request));
}

void Dispatcher::gather(uint64_t request, GroupRequest group)
{
    ++stats_.groupsGathered;
    if (!table_ || requests_.size() >= init_.maxRequests) {
        reject(request, group.forwarded, table_ ? ResultCode::Overloaded : ResultCode::NotReady, Millis(-1));
        return;
    }
    auto route = std::make_shared<RouteSpec>();
    // Calls of groups have timings of their own.
    route->name = "group/" + group.route;
    route->repeat = RepeatPolicy::Idempotent;
    route->timeout = group.timeLeft;
    route->latencyTarget = std::chrono::duration_cast<Millis>(group.wantedWithin);
    route->maxAttempts = group.maxAttempts;
    route->shards = std::move(group.shards);
    route->topRecords = group.topRecords;
    route->minCoverage = 0;
    group.forwarded.patience = group.timeLeft;
    auto made = makeRequest(request, std::move(group.forwarded), *route);
    made->ownRoute = std::move(route);
    made->isGroup = true;
    OpenRequest& open = *(requests_[request] = std::move(made));
    launchAll(open);
    check(open);
    drainEvents();
}

void Dispatcher::groupAnswered(uint64_t id, GroupReply reply)
{
    const auto found = groups_.find(id);
    if (found == groups_.end())
        return;
    const Group group = found->second;
    groups_.erase(found);
    const TimePoint now = clock_.now();
    init_.plan->answered(group.aggregator, std::chrono::duration_cast<Micros>(now - group.sentAt));
    const auto owner = requests_.find(group.request);
    if (owner == requests_.end())
        return;
    OpenRequest& open = *owner->second;
    std::erase(open.groups, id);
    // A group that is not whole was answered when it was wanted.
    if (!reply.missing.empty())
        open.state->groupDelay.add(std::max<Micros>(Micros(0), std::chrono::duration_cast<Micros>(now - group.wantedAt)));
    takeGroup(open, id, group, std::move(reply));
    finishIfDecided(open);
    drainEvents();
}

void Dispatcher::takeGroup(OpenRequest& open, uint64_t id, const Group& group, GroupReply reply)
{
    open.callsSent += reply.callsSent;
    open.repeats += reply.repeats;
    absl::flat_hash_map<std::string_view, const MissingPart*> missing;
    for (const MissingPart& part : reply.missing)
        missing[part.service] = &part;
    size_t taken = 0;
    std::vector<std::pair<size_t, ResultCode>> absent;
    for (size_t i = group.first; i < group.first + group.count; ++i) {
        Part& part = open.parts[i];
        if (part.state != PartState::Open || part.group != id)
            continue;
        part.group = 0;
        const auto entry = missing.find(*part.service);
        if (entry != missing.end()) {
            part.runs = std::min(entry->second->runs, open.route->maxAttempts);
            part.arrivals = part.runs;
            absent.emplace_back(i, entry->second->reason);
        } else if (taken < reply.signatures.size()) {
            part.reply.signature = std::move(reply.signatures[taken]);
            // The records of the whole group come with its first part.
            if (taken == 0)
                part.reply.body = std::move(reply.records);
            ++taken;
            part.runs = 1;
            part.arrivals = 1;
            part.state = PartState::Done;
            ++open.done;
        } else {
            part.runs = open.route->maxAttempts;
            absent.emplace_back(i, ResultCode::ForeignReply);
        }
    }
    const bool isDue = open.done >= open.leastParts() && clock_.now() + kMinTimeLeft >= open.targetAt;
    for (const auto& [index, reason] : absent) {
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
    init_.plan->failed(group.aggregator, clock_.now());
    const auto owner = requests_.find(group.request);
    if (owner == requests_.end())
        return;
    OpenRequest& open = *owner->second;
    std::erase(open.groups, id);
    loseGroup(open, id, group, mayHaveRun, mayHaveRun ? ResultCode::ConnectionLost : ResultCode::ConnectFailed);
    finishIfDecided(open);
    drainEvents();
}

void Dispatcher::loseGroup(OpenRequest& open, uint64_t id, const Group& group, bool mayHaveRun, ResultCode reason)
{
    note(open, mayHaveRun ? "group_lost" : "group_not_sent", group.aggregator, nullptr);
    for (size_t i = group.first; i < group.first + group.count; ++i) {
        Part& part = open.parts[i];
        if (part.state != PartState::Open || part.group != id)
            continue;
        part.group = 0;
        // It is not known how many replicas the instance has called: all that it might.
        part.runs = mayHaveRun ? open.route->maxAttempts : 0;
        retryOrFail(open, i, reason, "not_gathered");
    }
}

void Dispatcher::checkGroups(OpenRequest& open)
{
    const TimePoint now = clock_.now();
    const TimePoint suspectAt = open.targetAt + kSuspiciousDelay;
    // Beyond it the caller fares better with an error and another try.
    const TimePoint limit = open.targetAt + open.route->latencyTarget;
    const std::vector<uint64_t> ids = open.groups;
    for (const uint64_t id : ids) {
        const Group group = groups_.at(id);
        if (now >= suspectAt)
            init_.plan->avoid(group.aggregator, now);
        if (now < limit)
            continue;
        groups_.erase(id);
        std::erase(open.groups, id);
        init_.plan->failed(group.aggregator, now);
        init_.groups->cancelGroup(id);
        loseGroup(open, id, group, true, ResultCode::AttemptTimeout);
    }
    if (!open.groups.empty())
        open.nextCheckAt = std::min(open.nextCheckAt, now < suspectAt ? suspectAt : limit);
}

void Dispatcher::releaseGroups(OpenRequest& open, bool callerLeft)
{
    // Groups of answered requests end by themselves soon and still tell of their instances.
    if (!callerLeft)
        return;
    for (const uint64_t id : open.groups) {
        init_.plan->dropped(groups_.at(id).aggregator);
        groups_.erase(id);
        init_.groups->cancelGroup(id);
    }
    open.groups.clear();
}

} // namespace limpettrestle
