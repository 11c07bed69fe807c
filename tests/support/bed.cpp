#include "bed.h"

#include "../../src/version/fleet_config.h"

#include <absl/strings/str_format.h>
#include <algorithm>

namespace limpettrestle::tests {

namespace {

    constexpr std::string_view kStepNames[] = { "accept", "plan", "to_owner", "queue", "send", "run", "reply", "merge", "answer",
        "membership", "config", "drain", "shutdown", "start" };
    constexpr Micros kInZone { 500 };
    constexpr Micros kCrossZone { 1500 };
    constexpr Micros kPlatformDelay { 3000 };
    constexpr Micros kRefusedDelay { 1000 };

} // namespace

std::string_view name(Step step)
{
    return kStepNames[static_cast<size_t>(step)];
}

Bed::Bed(const BedOptions& options)
    : random(options.seed)
    , options_(options)
{
    for (uint32_t shard = 0; shard < options.shards; ++shard) {
        for (uint32_t replica = 0; replica < 2; ++replica) {
            standins::BackendShape shape;
            shape.name = absl::StrFormat("s%d-%d", shard, replica);
            shape.shard = shard;
            shape.serviceTime = options.serviceTime;
            shape.rows = 2;
            // Every third shard lives in one zone only.
            const bool isSpread = shard % 3 != 2;
            serverZone[shape.name] = (isSpread ? replica : shard % 2) == 0 ? "a" : "b";
            serverDown[shape.name] = false;
            servers[shape.name] = std::make_unique<standins::BackendModel>(shape, 1000 + shard * 10 + replica, options.seed * 31 + shard * 2 + replica);
        }
    }
    for (const auto& [hostName, zone] : options.hosts) {
        Host& host = hosts[hostName];
        host.name = hostName;
        host.zone = zone;
    }
    publishCheckpoint("first", 1, document());
}

void Bed::startAll()
{
    for (const auto& [hostName, zone] : options_.hosts)
        startHost(hostName);
    runFor(Millis(3000));
}

void Bed::startHost(const std::string& hostName)
{
    Host& host = hosts.at(hostName);
    host.alive = true;
    host.paused = false;
    host.isWatching = false;
    host.inbox.clear();
    host.highestConfig = 0;
    ++host.generation;
    ++host.runs;
    NodeInit init;
    init.name = hostName;
    init.zone = host.zone;
    init.peerAddress = "peer:" + hostName;
    const auto number = static_cast<uint64_t>(std::distance(hosts.begin(), hosts.find(hostName)));
    init.incarnation = { static_cast<uint64_t>(clock_.now().time_since_epoch() / Millis(1)) << 20 | (host.runs << 8) | (number + 1) };
    init.seed = options_.seed * 1000 + host.runs * 10 + std::hash<std::string>()(hostName) % 1000;
    host.clock.advanceTo(clock_.now());
    init.clock = &host.clock;
    init.balancerLag = Millis(200);
    init.drainLimit = Millis(3000);
    host.node = std::make_unique<Node>();
    host.node->init(init);
    step(Step::Start, hostName);
    if (host.alive)
        deliver(hostName, host.generation, Tick {});
}

void Bed::killHost(const std::string& hostName)
{
    Host& host = hosts.at(hostName);
    if (!host.alive)
        return;
    host.alive = false;
    host.paused = false;
    ++host.generation;
    host.inbox.clear();
    for (auto& [tag, request] : requests_) {
        if (request.host == hostName && request.answers == 0)
            request.hostFailed = true;
    }
}

void Bed::pauseHost(const std::string& hostName)
{
    Host& host = hosts.at(hostName);
    host.paused = host.alive;
    for (auto& [tag, request] : requests_) {
        if (request.host == hostName && request.answers == 0)
            request.hostFailed = true;
    }
}

void Bed::resumeHost(const std::string& hostName)
{
    Host& host = hosts.at(hostName);
    if (!host.alive || !host.paused)
        return;
    host.paused = false;
    std::vector<Event> inbox;
    inbox.swap(host.inbox);
    for (const Event& event : inbox) {
        if (host.alive && !host.paused)
            handle(host, event);
    }
    if (host.alive && !host.paused)
        handle(host, Tick {});
}

void Bed::shutdownHost(const std::string& hostName)
{
    const Host& host = hosts.at(hostName);
    step(Step::Shutdown, hostName);
    if (host.alive)
        deliver(hostName, host.generation, ShutdownRequested {});
}

uint64_t Bed::search(const std::string& hostName, Millis deadline, double minCoverage)
{
    const uint64_t tag = ++lastTag_;
    TrackedRequest& tracked = requests_[tag];
    tracked.tag = tag;
    tracked.host = hostName;
    tracked.query = absl::StrFormat("q%d", tag);
    tracked.sentAt = clock_.now();
    tracked.deadline = deadline;
    SearchRequest request;
    request.service = "yard";
    request.query = tracked.query;
    request.deadline = deadline;
    request.minCoverage = minCoverage;
    request.limit = 100;
    step(Step::Accept, hostName);
    const Host& host = hosts.at(hostName);
    tracked.hostFailed = !host.alive || host.paused;
    deliver(hostName, host.generation, CallerSearch { { tag }, request });
    return tag;
}

uint64_t Bed::submit(const std::string& hostName, const std::string& key, const Permit& permit, Millis deadline)
{
    const uint64_t tag = ++lastTag_;
    TrackedRequest& tracked = requests_[tag];
    tracked.tag = tag;
    tracked.host = hostName;
    tracked.isSubmit = true;
    tracked.key = key;
    tracked.sentAt = clock_.now();
    tracked.deadline = deadline;
    SubmitRequest request;
    request.service = "yard";
    request.key = key;
    request.body = "book";
    request.deadline = deadline;
    request.permit = permit;
    step(Step::Accept, hostName);
    const Host& host = hosts.at(hostName);
    tracked.hostFailed = !host.alive || host.paused;
    deliver(hostName, host.generation, CallerSubmit { { tag }, request });
    return tag;
}

uint64_t Bed::requestPermit(const std::string& hostName, const std::string& key)
{
    const uint64_t tag = ++lastTag_;
    TrackedRequest& tracked = requests_[tag];
    tracked.tag = tag;
    tracked.host = hostName;
    tracked.sentAt = clock_.now();
    tracked.deadline = Millis(1000);
    const Host& host = hosts.at(hostName);
    tracked.hostFailed = !host.alive || host.paused;
    deliver(hostName, host.generation, CallerPermit { { tag }, { "yard", key } });
    return tag;
}

void Bed::runFor(Millis time)
{
    const TimePoint end = clock_.now() + time;
    while (!queue_.empty() && queue_.begin()->first <= end) {
        const auto first = queue_.begin();
        if (first->first > clock_.now())
            clock_.advanceTo(first->first);
        const std::function<void()> action = std::move(first->second.action);
        queue_.erase(first);
        action();
    }
    clock_.advanceTo(end);
}

void Bed::at(Millis delay, std::function<void()> action)
{
    schedule(clock_.now() + delay, std::move(action));
}

void Bed::cut(const std::string& from, const std::string& to) { cuts_.insert({ from, to }); }

void Bed::cutBoth(const std::string& a, const std::string& b)
{
    cut(a, b);
    cut(b, a);
}

void Bed::cutZones(const std::string& a, const std::string& b)
{
    cutBoth("zone:" + a, "zone:" + b);
}

void Bed::healAll()
{
    cuts_.clear();
}

uint64_t Bed::publish(const std::string& change, ConfigStamp base, const std::string& patch)
{
    ConfigRecord record;
    record.revision = ++revision_;
    record.change = change;
    record.base = base;
    record.text = patch;
    records_.push_back(record);
    step(Step::Config, {});
    platformChanged();
    return record.revision;
}

uint64_t Bed::publishCheckpoint(const std::string& change, uint64_t version, const std::string& text)
{
    ConfigRecord record;
    record.revision = ++revision_;
    record.change = change;
    record.checkpoint = true;
    record.version = version;
    record.text = text;
    records_.push_back(record);
    platformChanged();
    return record.revision;
}

ConfigStamp Bed::stampAt(const std::string& hostName) const
{
    return hosts.at(hostName).node->status().config;
}

void Bed::publishMembers() { platformChanged(); }

void Bed::platformGoBack(uint64_t revision)
{
    std::erase_if(records_, [&](const ConfigRecord& record) { return record.revision > revision; });
    revision_ = revision;
    platformChanged();
}

void Bed::setLeaving(const std::string& server, bool leaving)
{
    if (leaving)
        leavingServers.insert(server);
    else
        leavingServers.erase(server);
    platformChanged();
}

std::string Bed::document() const
{
    std::string shards;
    for (uint32_t shard = 0; shard < options_.shards; ++shard) {
        std::string replicas;
        for (uint32_t replica = 0; replica < 2; ++replica) {
            const std::string server = absl::StrFormat("s%d-%d", shard, replica);
            replicas += absl::StrFormat("%s{\"name\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\"}", replica > 0 ? "," : "", server, server, serverZone.at(server));
        }
        shards += (shard > 0 ? ",[" : "[") + replicas + "]";
    }
    return absl::StrFormat("{\"services\":{\"yard\":{\"class\":\"urgent\",\"map_version\":1,\"snapshot\":1,\"slots\":2,\"connections\":25,\"shards\":[%s]}},\"policy\":%s}",
        shards, options_.policy);
}

uint64_t Bed::runsOf(const std::string& key) const
{
    uint64_t total = 0;
    for (const auto& [serverName, server] : servers) {
        const auto it = server->runs.find(key);
        total += it == server->runs.end() ? 0 : it->second;
    }
    return total;
}

uint64_t Bed::totalSlotOverruns() const
{
    uint64_t total = 0;
    for (const auto& [serverName, server] : servers)
        total += server->counts.slotOverruns;
    return total;
}

uint64_t Bed::totalCalls() const
{
    uint64_t total = 0;
    for (const auto& [serverName, server] : servers)
        total += server->counts.calls;
    return total;
}

std::vector<std::string> Bed::liveHosts() const
{
    std::vector<std::string> live;
    for (const auto& [hostName, host] : hosts) {
        if (host.alive && !host.paused)
            live.push_back(hostName);
    }
    return live;
}

void Bed::schedule(TimePoint time, std::function<void()> action)
{
    queue_.emplace(time, Timed { std::move(action) });
}

void Bed::deliver(const std::string& hostName, uint64_t generation, Event event)
{
    Host& host = hosts.at(hostName);
    if (!host.alive || host.generation != generation)
        return;
    if (host.paused) {
        const bool isTick = std::holds_alternative<Tick>(event);
        if (!isTick)
            host.inbox.push_back(std::move(event));
        return;
    }
    handle(host, event);
}

void Bed::handle(Host& host, const Event& event)
{
    const uint64_t generation = host.generation;
    host.clock.advanceTo(clock_.now());
    if (const auto* received = std::get_if<PeerReceived>(&event)) {
        if (std::holds_alternative<ExecuteBatch>(received->message.body) || std::holds_alternative<SlotRequest>(received->message.body))
            step(Step::Queue, host.name);
        else if (std::holds_alternative<ExecuteResults>(received->message.body) || std::holds_alternative<SlotReply>(received->message.body))
            step(Step::Merge, host.name);
        else if (std::holds_alternative<ProbeAck>(received->message.body))
            step(Step::Membership, host.name);
        if (!host.alive || host.paused || host.generation != generation)
            return;
    }
    std::vector<Action> actions;
    host.node->handle(event, actions);
    if (std::holds_alternative<CallerSearch>(event) || std::holds_alternative<CallerSubmit>(event))
        step(Step::Plan, host.name);
    for (Action& action : actions) {
        if (!host.alive || host.generation != generation)
            return;
        route(host, action);
    }
    if (host.alive && host.node->phase() == Phase::Stopped)
        host.alive = false;
    armWakeup(host);
}

void Bed::armWakeup(Host& host)
{
    const TimePoint due = std::max(host.node->nextWakeup(), clock_.now() + Micros(500));
    const bool isArmed = host.wakeAt > clock_.now() && host.wakeAt <= due;
    if (isArmed)
        return;
    host.wakeAt = due;
    const std::string hostName = host.name;
    const uint64_t generation = host.generation;
    schedule(due, [this, hostName, generation, due] {
        Host& target = hosts.at(hostName);
        if (!target.alive || target.generation != generation || target.wakeAt != due)
            return;
        target.wakeAt = {};
        deliver(hostName, generation, Tick {});
        if (target.paused)
            target.wakeAt = {};
    });
}

void Bed::route(Host& host, Action& action)
{
    if (auto* send = std::get_if<SendPeer>(&action))
        sendPeer(host, *send);
    else if (auto* call = std::get_if<CallBackend>(&action))
        callBackend(host, *call);
    else if (auto* cancel = std::get_if<CancelBackend>(&action))
        cancelBackend(host, *cancel);
    else if (auto* answer = std::get_if<AnswerCaller>(&action))
        onAnswer(host, *answer);
    else if (auto* read = std::get_if<ReadPlatform>(&action))
        readPlatform(host, *read);
    else if (auto* event = std::get_if<TimelineEvent>(&action)) {
        if (event->kind == TimelineKind::ConfigAccepted) {
            host.configWentBack = host.configWentBack || event->number < host.highestConfig;
            host.highestConfig = std::max(host.highestConfig, event->number);
        }
        if (recordTimeline)
            timeline.emplace_back(host.name, *event);
    }
}

void Bed::sendPeer(Host& host, const SendPeer& send)
{
    const std::string target = hostByAddress(send.address);
    if (target.empty())
        return;
    const PeerBody& body = send.message->body;
    if (std::holds_alternative<ExecuteBatch>(body) || std::holds_alternative<SlotRequest>(body) || std::holds_alternative<SubmitForward>(body))
        step(Step::ToOwner, host.name, target);
    if (!host.alive)
        return;
    const Host& other = hosts.at(target);
    const std::string from = host.name;
    const uint64_t fromGeneration = host.generation;
    if (!other.alive && !isCut(from, target)) {
        // Connection refused: the sender learns at once.
        const InstanceId peer = send.to;
        schedule(clock_.now() + kRefusedDelay, [this, from, fromGeneration, peer] { deliver(from, fromGeneration, PeerFailed { peer }); });
        return;
    }
    const int copies = draw(duplicateShare) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        Micros delay = latency(host.zone, other.zone);
        if (draw(lateShare))
            delay += lateDelay;
        const auto message = send.message;
        schedule(clock_.now() + delay, [this, from, target, message] {
            if (!isCut(from, target))
                deliver(target, hosts.at(target).generation, PeerReceived { *message });
        });
    }
}

void Bed::onAnswer(Host& host, const AnswerCaller& answer)
{
    step(Step::Answer, host.name);
    TrackedRequest& tracked = requests_.at(answer.tag.value);
    if (!host.alive)
        return;
    ++tracked.answers;
    tracked.answer = answer.answer;
    tracked.answeredAt = clock_.now();
}

void Bed::readPlatform(Host& host, const ReadPlatform& read)
{
    host.isWatching = read.watch;
    const std::string hostName = host.name;
    const uint64_t generation = host.generation;
    schedule(clock_.now() + kPlatformDelay, [this, hostName, generation] {
        if (hosts.at(hostName).generation == generation)
            sendPlatformState(hostName);
    });
}

void Bed::sendPlatformState(const std::string& hostName)
{
    const Host& host = hosts.at(hostName);
    if (!host.alive)
        return;
    if (platformDown || isCut("platform", hostName)) {
        deliver(hostName, host.generation, PlatformFailed {});
        return;
    }
    PlatformMembersRead members;
    for (const auto& [otherName, other] : hosts) {
        if (other.runs > 0 || other.alive)
            members.members.push_back({ otherName, "peer:" + otherName, other.zone, false, false, 0 });
    }
    for (const std::string& server : leavingServers)
        members.members.push_back({ server, server, serverZone.at(server), true, true, 0 });
    deliver(hostName, host.generation, members);
    PlatformConfigRead config;
    config.records = platformStale ? staleRecords_ : records_;
    config.revision = config.records.empty() ? 0 : config.records.back().revision;
    if (host.alive)
        deliver(hostName, host.generation, config);
}

void Bed::platformChanged()
{
    if (!platformStale)
        staleRecords_ = records_;
    for (const auto& [hostName, host] : hosts) {
        if (!host.alive || !host.isWatching)
            continue;
        const std::string target = hostName;
        schedule(clock_.now() + kPlatformDelay, [this, target] { sendPlatformState(target); });
    }
}

bool Bed::isCut(const std::string& from, const std::string& to) const
{
    if (cuts_.empty())
        return false;
    const auto zoneOf = [this](const std::string& node) {
        const auto host = hosts.find(node);
        if (host != hosts.end())
            return "zone:" + host->second.zone;
        const auto server = serverZone.find(node);
        return server == serverZone.end() ? std::string("none") : "zone:" + server->second;
    };
    const std::string fromNames[] = { from, zoneOf(from), "*" };
    const std::string toNames[] = { to, zoneOf(to), "*" };
    for (const std::string& a : fromNames) {
        for (const std::string& b : toNames) {
            if (cuts_.contains({ a, b }))
                return true;
        }
    }
    return false;
}

Micros Bed::latency(const std::string& zoneA, const std::string& zoneB)
{
    const Micros base = zoneA == zoneB ? kInZone : kCrossZone;
    return base + Micros(random() % 200);
}

bool Bed::draw(double share)
{
    return share > 0 && std::uniform_real_distribution<double>()(random) < share;
}

void Bed::step(Step step, const std::string& host, const std::string& other)
{
    if (onStep)
        onStep(step, host, other);
}

std::string Bed::hostByAddress(const std::string& address) const
{
    const std::string hostName = address.substr(address.find(':') + 1);
    return hosts.contains(hostName) ? hostName : "";
}

} // namespace limpettrestle::tests
