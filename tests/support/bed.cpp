#include "bed.h"

#include "../../src/version/fleet_config.h"

#include <absl/strings/str_format.h>
#include <algorithm>

namespace limpettrestle::tests {

namespace {

    constexpr std::string_view kStepNames[] = { "accept", "plan", "to_owner", "queue", "send", "run", "reply", "merge", "answer",
        "membership", "config", "drain", "shutdown", "start" };
    constexpr Micros kInZoneLatency { 500 };
    constexpr Micros kCrossZoneLatency { 1500 };
    constexpr Micros kPlatformReadDelay { 3000 };
    constexpr Micros kConnectionRefusedDelay { 1000 };

} // namespace

std::string_view name(Step step)
{
    return kStepNames[static_cast<size_t>(step)];
}

TestBed::TestBed(const TestBedOptions& options)
    : random(options.seed)
    , options_(options)
{
    for (uint32_t shard = 0; shard < options.shards; ++shard) {
        for (uint32_t replica = 0; replica < 2; ++replica) {
            standins::BackendParameters parameters;
            parameters.name = absl::StrFormat("s%d-%d", shard, replica);
            parameters.shard = shard;
            parameters.serviceTime = options.serviceTime;
            parameters.rows = 2;
            // The replicas of every third shard are all in one zone.
            const bool isSpread = shard % 3 != 2;
            serverZone[parameters.name] = (isSpread ? replica : shard % 2) == 0 ? "a" : "b";
            isServerDown[parameters.name] = false;
            servers[parameters.name] = std::make_unique<standins::BackendModel>(parameters, 1000 + shard * 10 + replica, options.seed * 31 + shard * 2 + replica);
        }
    }
    for (const auto& [instanceName, zone] : options.instances) {
        TestInstance& instance = instances[instanceName];
        instance.name = instanceName;
        instance.zone = zone;
    }
    publishCheckpoint("first", 1, document());
}

void TestBed::startAll()
{
    for (const auto& [instanceName, zone] : options_.instances)
        startInstance(instanceName);
    runFor(Millis(3000));
}

void TestBed::startInstance(const std::string& instanceName)
{
    TestInstance& instance = instances.at(instanceName);
    instance.isAlive = true;
    instance.isPaused = false;
    instance.isWatching = false;
    instance.inbox.clear();
    instance.highestConfigVersion = 0;
    ++instance.generation;
    ++instance.startCount;
    NodeInit init;
    init.name = instanceName;
    init.zone = instance.zone;
    init.peerAddress = "peer:" + instanceName;
    const auto number = static_cast<uint64_t>(std::distance(instances.begin(), instances.find(instanceName)));
    init.incarnation = { static_cast<uint64_t>(clock_.now().time_since_epoch() / Millis(1)) << 20 | (instance.startCount << 8) | (number + 1) };
    init.seed = options_.seed * 1000 + instance.startCount * 10 + std::hash<std::string>()(instanceName) % 1000;
    instance.clock.advanceTo(clock_.now());
    init.clock = &instance.clock;
    init.balancerLag = Millis(200);
    init.drainLimit = Millis(3000);
    instance.node = std::make_unique<Node>();
    instance.node->init(init);
    reportStep(Step::Start, instanceName);
    if (instance.isAlive)
        deliver(instanceName, instance.generation, Tick {});
}

void TestBed::killInstance(const std::string& instanceName)
{
    TestInstance& instance = instances.at(instanceName);
    if (!instance.isAlive)
        return;
    instance.isAlive = false;
    instance.isPaused = false;
    ++instance.generation;
    instance.inbox.clear();
    for (auto& [tag, request] : requests_) {
        if (request.instance == instanceName && request.answers == 0)
            request.hasInstanceFailed = true;
    }
}

void TestBed::pauseInstance(const std::string& instanceName)
{
    TestInstance& instance = instances.at(instanceName);
    instance.isPaused = instance.isAlive;
    for (auto& [tag, request] : requests_) {
        if (request.instance == instanceName && request.answers == 0)
            request.hasInstanceFailed = true;
    }
}

void TestBed::resumeInstance(const std::string& instanceName)
{
    TestInstance& instance = instances.at(instanceName);
    if (!instance.isAlive || !instance.isPaused)
        return;
    instance.isPaused = false;
    std::vector<Event> inbox;
    inbox.swap(instance.inbox);
    for (const Event& event : inbox) {
        if (instance.isAlive && !instance.isPaused)
            handle(instance, event);
    }
    if (instance.isAlive && !instance.isPaused)
        handle(instance, Tick {});
}

void TestBed::shutdownInstance(const std::string& instanceName)
{
    const TestInstance& instance = instances.at(instanceName);
    reportStep(Step::Shutdown, instanceName);
    if (instance.isAlive)
        deliver(instanceName, instance.generation, ShutdownRequested {});
}

uint64_t TestBed::search(const std::string& instanceName, Millis deadline, double minCoverage)
{
    const uint64_t tag = ++lastTag_;
    TrackedRequest& tracked = requests_[tag];
    tracked.tag = tag;
    tracked.instance = instanceName;
    tracked.query = absl::StrFormat("q%d", tag);
    tracked.sentAt = clock_.now();
    tracked.deadline = deadline;
    SearchRequest request;
    request.service = "yard";
    request.query = tracked.query;
    request.deadline = deadline;
    request.minCoverage = minCoverage;
    request.limit = 100;
    reportStep(Step::Accept, instanceName);
    const TestInstance& instance = instances.at(instanceName);
    tracked.hasInstanceFailed = !instance.isAlive || instance.isPaused;
    deliver(instanceName, instance.generation, CallerSearch { { tag }, request });
    return tag;
}

uint64_t TestBed::submit(const std::string& instanceName, const std::string& key, const Permit& permit, Millis deadline)
{
    const uint64_t tag = ++lastTag_;
    TrackedRequest& tracked = requests_[tag];
    tracked.tag = tag;
    tracked.instance = instanceName;
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
    reportStep(Step::Accept, instanceName);
    const TestInstance& instance = instances.at(instanceName);
    tracked.hasInstanceFailed = !instance.isAlive || instance.isPaused;
    deliver(instanceName, instance.generation, CallerSubmit { { tag }, request });
    return tag;
}

uint64_t TestBed::requestPermit(const std::string& instanceName, const std::string& key)
{
    const uint64_t tag = ++lastTag_;
    TrackedRequest& tracked = requests_[tag];
    tracked.tag = tag;
    tracked.instance = instanceName;
    tracked.sentAt = clock_.now();
    tracked.deadline = Millis(1000);
    const TestInstance& instance = instances.at(instanceName);
    tracked.hasInstanceFailed = !instance.isAlive || instance.isPaused;
    deliver(instanceName, instance.generation, CallerPermit { { tag }, { "yard", key } });
    return tag;
}

void TestBed::runFor(Millis time)
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

void TestBed::at(Millis delay, std::function<void()> action)
{
    schedule(clock_.now() + delay, std::move(action));
}

void TestBed::cut(const std::string& from, const std::string& to) { cuts_.insert({ from, to }); }

void TestBed::cutBoth(const std::string& a, const std::string& b)
{
    cut(a, b);
    cut(b, a);
}

void TestBed::cutZones(const std::string& a, const std::string& b)
{
    cutBoth("zone:" + a, "zone:" + b);
}

void TestBed::healAll()
{
    cuts_.clear();
}

uint64_t TestBed::publish(const std::string& change, ConfigStamp base, const std::string& patch)
{
    ConfigRecord record;
    record.revision = ++revision_;
    record.change = change;
    record.base = base;
    record.text = patch;
    records_.push_back(record);
    reportStep(Step::Config, {});
    notifyWatchers();
    return record.revision;
}

uint64_t TestBed::publishCheckpoint(const std::string& change, uint64_t version, const std::string& text)
{
    ConfigRecord record;
    record.revision = ++revision_;
    record.change = change;
    record.checkpoint = true;
    record.version = version;
    record.text = text;
    records_.push_back(record);
    notifyWatchers();
    return record.revision;
}

ConfigStamp TestBed::configStampOf(const std::string& instanceName) const
{
    return instances.at(instanceName).node->status().config;
}

void TestBed::republishPlatformState() { notifyWatchers(); }

void TestBed::rollBackPlatform(uint64_t revision)
{
    std::erase_if(records_, [&](const ConfigRecord& record) { return record.revision > revision; });
    revision_ = revision;
    notifyWatchers();
}

void TestBed::setLeaving(const std::string& server, bool leaving)
{
    if (leaving)
        leavingServers.insert(server);
    else
        leavingServers.erase(server);
    notifyWatchers();
}

std::string TestBed::document() const
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

uint64_t TestBed::runsOf(const std::string& key) const
{
    uint64_t total = 0;
    for (const auto& [serverName, server] : servers) {
        const auto it = server->runs.find(key);
        total += it == server->runs.end() ? 0 : it->second;
    }
    return total;
}

uint64_t TestBed::totalSlotOverruns() const
{
    uint64_t total = 0;
    for (const auto& [serverName, server] : servers)
        total += server->counts.slotOverruns;
    return total;
}

uint64_t TestBed::totalCalls() const
{
    uint64_t total = 0;
    for (const auto& [serverName, server] : servers)
        total += server->counts.calls;
    return total;
}

std::vector<std::string> TestBed::liveInstances() const
{
    std::vector<std::string> live;
    for (const auto& [instanceName, instance] : instances) {
        if (instance.isAlive && !instance.isPaused)
            live.push_back(instanceName);
    }
    return live;
}

void TestBed::schedule(TimePoint time, std::function<void()> action)
{
    queue_.emplace(time, ScheduledAction { std::move(action) });
}

void TestBed::deliver(const std::string& instanceName, uint64_t generation, Event event)
{
    TestInstance& instance = instances.at(instanceName);
    if (!instance.isAlive || instance.generation != generation)
        return;
    if (instance.isPaused) {
        const bool isTick = std::holds_alternative<Tick>(event);
        if (!isTick)
            instance.inbox.push_back(std::move(event));
        return;
    }
    handle(instance, event);
}

void TestBed::handle(TestInstance& instance, const Event& event)
{
    const uint64_t generation = instance.generation;
    instance.clock.advanceTo(clock_.now());
    if (const auto* received = std::get_if<PeerReceived>(&event)) {
        if (std::holds_alternative<ExecuteBatch>(received->message.body) || std::holds_alternative<SlotRequest>(received->message.body))
            reportStep(Step::Queue, instance.name);
        else if (std::holds_alternative<ExecuteResults>(received->message.body) || std::holds_alternative<SlotReply>(received->message.body))
            reportStep(Step::Merge, instance.name);
        else if (std::holds_alternative<ProbeAck>(received->message.body))
            reportStep(Step::Membership, instance.name);
        if (!instance.isAlive || instance.isPaused || instance.generation != generation)
            return;
    }
    std::vector<Action> actions;
    instance.node->handle(event, actions);
    if (std::holds_alternative<CallerSearch>(event) || std::holds_alternative<CallerSubmit>(event))
        reportStep(Step::Plan, instance.name);
    for (Action& action : actions) {
        if (!instance.isAlive || instance.generation != generation)
            return;
        performAction(instance, action);
    }
    if (instance.isAlive && instance.node->phase() == Phase::Stopped)
        instance.isAlive = false;
    scheduleWakeup(instance);
}

void TestBed::scheduleWakeup(TestInstance& instance)
{
    const TimePoint due = std::max(instance.node->nextWakeup(), clock_.now() + Micros(500));
    const bool isScheduled = instance.wakeAt > clock_.now() && instance.wakeAt <= due;
    if (isScheduled)
        return;
    instance.wakeAt = due;
    const std::string instanceName = instance.name;
    const uint64_t generation = instance.generation;
    schedule(due, [this, instanceName, generation, due] {
        TestInstance& target = instances.at(instanceName);
        if (!target.isAlive || target.generation != generation || target.wakeAt != due)
            return;
        target.wakeAt = {};
        deliver(instanceName, generation, Tick {});
        if (target.isPaused)
            target.wakeAt = {};
    });
}

void TestBed::performAction(TestInstance& instance, Action& action)
{
    if (auto* send = std::get_if<SendPeer>(&action))
        sendPeer(instance, *send);
    else if (auto* call = std::get_if<CallBackend>(&action))
        callBackend(instance, *call);
    else if (auto* cancel = std::get_if<CancelBackend>(&action))
        cancelBackend(instance, *cancel);
    else if (auto* answer = std::get_if<AnswerCaller>(&action))
        receiveAnswer(instance, *answer);
    else if (auto* read = std::get_if<ReadPlatform>(&action))
        startPlatformRead(instance, *read);
    else if (auto* event = std::get_if<TimelineEvent>(&action)) {
        if (event->kind == TimelineKind::ConfigAccepted) {
            instance.hasConfigReverted = instance.hasConfigReverted || event->number < instance.highestConfigVersion;
            instance.highestConfigVersion = std::max(instance.highestConfigVersion, event->number);
        }
        if (recordTimeline)
            timeline.emplace_back(instance.name, *event);
    }
}

void TestBed::sendPeer(TestInstance& instance, const SendPeer& send)
{
    const std::string target = instanceByAddress(send.address);
    if (target.empty())
        return;
    const PeerBody& body = send.message->body;
    if (std::holds_alternative<ExecuteBatch>(body) || std::holds_alternative<SlotRequest>(body) || std::holds_alternative<SubmitForward>(body))
        reportStep(Step::ToOwner, instance.name, target);
    if (!instance.isAlive)
        return;
    const TestInstance& other = instances.at(target);
    const std::string from = instance.name;
    const uint64_t fromGeneration = instance.generation;
    if (!other.isAlive && !isCut(from, target)) {
        // A refused connection is reported to the sender after `kConnectionRefusedDelay`.
        const InstanceId peer = send.to;
        schedule(clock_.now() + kConnectionRefusedDelay, [this, from, fromGeneration, peer] { deliver(from, fromGeneration, PeerFailed { peer }); });
        return;
    }
    const int copies = randomChance(duplicateShare) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        Micros delay = latency(instance.zone, other.zone);
        if (randomChance(lateShare))
            delay += lateDelay;
        const auto message = send.message;
        schedule(clock_.now() + delay, [this, from, target, message] {
            if (!isCut(from, target))
                deliver(target, instances.at(target).generation, PeerReceived { *message });
        });
    }
}

void TestBed::receiveAnswer(TestInstance& instance, const AnswerCaller& answer)
{
    reportStep(Step::Answer, instance.name);
    TrackedRequest& tracked = requests_.at(answer.tag.value);
    if (!instance.isAlive)
        return;
    ++tracked.answers;
    tracked.answer = answer.answer;
    tracked.answeredAt = clock_.now();
}

void TestBed::startPlatformRead(TestInstance& instance, const ReadPlatform& read)
{
    instance.isWatching = read.watch;
    const std::string instanceName = instance.name;
    const uint64_t generation = instance.generation;
    schedule(clock_.now() + kPlatformReadDelay, [this, instanceName, generation] {
        if (instances.at(instanceName).generation == generation)
            sendPlatformState(instanceName);
    });
}

void TestBed::sendPlatformState(const std::string& instanceName)
{
    const TestInstance& instance = instances.at(instanceName);
    if (!instance.isAlive)
        return;
    if (isPlatformDown || isCut("platform", instanceName)) {
        deliver(instanceName, instance.generation, PlatformFailed {});
        return;
    }
    PlatformMembersRead members;
    for (const auto& [otherName, other] : instances) {
        if (other.startCount > 0 || other.isAlive)
            members.members.push_back({ otherName, "peer:" + otherName, other.zone, false, false, 0 });
    }
    for (const std::string& server : leavingServers)
        members.members.push_back({ server, server, serverZone.at(server), true, true, 0 });
    deliver(instanceName, instance.generation, members);
    PlatformConfigRead config;
    config.records = isPlatformStale ? staleRecords_ : records_;
    config.revision = config.records.empty() ? 0 : config.records.back().revision;
    if (instance.isAlive)
        deliver(instanceName, instance.generation, config);
}

void TestBed::notifyWatchers()
{
    if (!isPlatformStale)
        staleRecords_ = records_;
    for (const auto& [instanceName, instance] : instances) {
        if (!instance.isAlive || !instance.isWatching)
            continue;
        const std::string target = instanceName;
        schedule(clock_.now() + kPlatformReadDelay, [this, target] { sendPlatformState(target); });
    }
}

bool TestBed::isCut(const std::string& from, const std::string& to) const
{
    if (cuts_.empty())
        return false;
    const auto zoneOf = [this](const std::string& node) {
        const auto instance = instances.find(node);
        if (instance != instances.end())
            return "zone:" + instance->second.zone;
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

Micros TestBed::latency(const std::string& zoneA, const std::string& zoneB)
{
    const Micros base = zoneA == zoneB ? kInZoneLatency : kCrossZoneLatency;
    return base + Micros(random() % 200);
}

bool TestBed::randomChance(double share)
{
    return share > 0 && std::uniform_real_distribution<double>()(random) < share;
}

void TestBed::reportStep(Step step, const std::string& instance, const std::string& other)
{
    if (onStep)
        onStep(step, instance, other);
}

std::string TestBed::instanceByAddress(const std::string& address) const
{
    const std::string instanceName = address.substr(address.find(':') + 1);
    return instances.contains(instanceName) ? instanceName : "";
}

} // namespace limpettrestle::tests
