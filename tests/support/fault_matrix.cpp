#include "fault_matrix.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>

namespace limpettrestle::tests {

namespace {

    constexpr Millis kTrafficDuration { 600 };
    constexpr Millis kRequestInterval { 40 };
    constexpr Millis kRecoveryRequestInterval { 200 };
    constexpr Millis kBackgroundTaskDelay { 60 };
    constexpr Millis kFaultDuration { 1500 };
    constexpr Millis kRestartDelay { 1200 };
    constexpr Millis kRecoveryDuration { 4500 };
    constexpr Millis kSearchDeadline { 230 };
    /// Ends within the recovery phase, so that the actions of the resumed instance are still checked.
    constexpr Millis kLongPause { 5000 };

    std::string pickInstance(TestBed& bed, const std::string& preferred)
    {
        const std::vector<std::string> live = bed.liveInstances();
        if (std::find(live.begin(), live.end(), preferred) != live.end() || live.empty())
            return preferred;
        return live[bed.random() % live.size()];
    }

    std::string pickServer(TestBed& bed, const FaultContext& context)
    {
        if (bed.servers.contains(context.other))
            return context.other;
        auto it = bed.servers.begin();
        std::advance(it, static_cast<ptrdiff_t>(bed.random() % bed.servers.size()));
        return it->first;
    }

    std::string pickPeer(TestBed& bed, const FaultContext& context)
    {
        if (bed.instances.contains(context.other))
            return context.other;
        const std::vector<std::string> live = bed.liveInstances();
        std::string instance = pickInstance(bed, context.instance);
        for (const std::string& other : live) {
            if (other != instance)
                return other;
        }
        return instance;
    }

    void killFor(TestBed& bed, const std::string& instance, Millis time)
    {
        bed.killInstance(instance);
        bed.at(time, [&bed, instance] {
            if (!bed.instances.at(instance).isAlive)
                bed.startInstance(instance);
        });
    }

    void pauseFor(TestBed& bed, const std::string& instance, Millis time)
    {
        bed.pauseInstance(instance);
        bed.at(time, [&bed, instance] { bed.resumeInstance(instance); });
    }

    void restartServer(TestBed& bed, const std::string& server)
    {
        standins::BackendModel& old = *bed.servers.at(server);
        auto fresh = std::make_unique<standins::BackendModel>(old.parameters, old.incarnation + 1, bed.random());
        fresh->runs = old.runs;
        fresh->runRequests = old.runRequests;
        fresh->counts = old.counts;
        bed.servers[server] = std::move(fresh);
    }

    ConfigStamp newestStamp(const TestBed& bed)
    {
        ConfigStamp newest;
        for (const std::string& instance : bed.liveInstances())
            newest = std::max(newest, bed.configStampOf(instance));
        return newest;
    }

    void publishNumber(TestBed& bed, const std::string& change, const std::string& path, uint64_t number)
    {
        const std::string patch = absl::StrCat("[{\"op\":\"replace\",\"path\":\"/services/yard/", path, "\",\"value\":", number, "}]");
        bed.publish(change, newestStamp(bed), patch);
    }

    void setSnapshot(TestBed& bed, uint64_t snapshot)
    {
        for (auto& [serverName, server] : bed.servers) {
            server->parameters.oldestSnapshot = snapshot;
            server->parameters.newestSnapshot = snapshot;
        }
    }

    // Faults, one function for each -------------------------------------------------------------

    void killAtStep(TestBed& bed, const FaultContext& context) { killFor(bed, pickInstance(bed, context.instance), kRestartDelay); }
    void killPeer(TestBed& bed, const FaultContext& context) { killFor(bed, pickPeer(bed, context), kRestartDelay); }
    void pauseShort(TestBed& bed, const FaultContext& context) { pauseFor(bed, pickInstance(bed, context.instance), Millis(1200)); }
    void pauseLong(TestBed& bed, const FaultContext& context) { pauseFor(bed, pickInstance(bed, context.instance), kLongPause); }
    void pausePeer(TestBed& bed, const FaultContext& context) { pauseFor(bed, pickPeer(bed, context), kLongPause); }
    void cutOneWay(TestBed& bed, const FaultContext& context) { bed.cut(pickInstance(bed, context.instance), "*"); }
    void cutReturn(TestBed& bed, const FaultContext& context) { bed.cut("*", pickInstance(bed, context.instance)); }
    void cutBothWays(TestBed& bed, const FaultContext& context) { bed.cutBoth(pickInstance(bed, context.instance), pickPeer(bed, context)); }
    void cutZones(TestBed& bed, const FaultContext&) { bed.cutZones("a", "b"); }
    void platformDown(TestBed& bed, const FaultContext&) { bed.isPlatformDown = true; }
    void platformStale(TestBed& bed, const FaultContext&) { bed.isPlatformStale = true; }
    void platformRolledBack(TestBed& bed, const FaultContext&) { bed.rollBackPlatform(1); }

    void shedOnAllServers(TestBed& bed, const FaultContext&)
    {
        for (auto& [serverName, server] : bed.servers)
            server->faults.shedShare = 0.3;
    }

    void drainServer(TestBed& bed, const FaultContext& context)
    {
        const std::string server = pickServer(bed, context);
        bed.servers.at(server)->drain(bed.now());
    }

    void drainHiddenFromHealthChecks(TestBed& bed, const FaultContext& context)
    {
        const std::string server = pickServer(bed, context);
        bed.servers.at(server)->drain(bed.now());
        bed.servers.at(server)->faults.hidesDrain = true;
        bed.at(Millis(500), [&bed, server] { bed.setLeaving(server, true); });
    }

    void coldStart(TestBed& bed, const FaultContext& context) { restartServer(bed, pickServer(bed, context)); }
    void straggler(TestBed& bed, const FaultContext& context) { bed.servers.at(pickServer(bed, context))->faults.slowFactor = 40; }
    void replicaLost(TestBed& bed, const FaultContext& context) { bed.isServerDown[pickServer(bed, context)] = true; }
    void replicaHangs(TestBed& bed, const FaultContext& context) { bed.servers.at(pickServer(bed, context))->faults.hangs = true; }

    void repartition(TestBed& bed, const FaultContext&)
    {
        publishNumber(bed, absl::StrCat("map-", bed.now().time_since_epoch().count()), "map_version", 2);
        bed.at(Millis(10), [&bed] {
            for (auto& [serverName, server] : bed.servers)
                server->parameters.mapVersion = 2;
        });
    }

    void snapshotChange(TestBed& bed, const FaultContext&) { setSnapshot(bed, 2); }

    void snapshotChurn(TestBed& bed, const FaultContext&)
    {
        for (uint64_t i = 0; i < 20; ++i)
            bed.at(Millis(50) * static_cast<int>(i), [&bed, i] { setSnapshot(bed, 10 + i); });
    }

    void snapshotStaggered(TestBed& bed, const FaultContext&)
    {
        int i = 0;
        for (auto& [serverName, server] : bed.servers) {
            standins::BackendModel* model = server.get();
            bed.at(Millis(15) * i++, [model] {
                model->parameters.oldestSnapshot = 2;
                model->parameters.newestSnapshot = 2;
            });
        }
    }

    void lateReplies(TestBed& bed, const FaultContext&) { bed.lateReplyShare = 0.3; }
    void duplicateReplies(TestBed& bed, const FaultContext&) { bed.duplicateReplyShare = 0.5; }
    void foreignReplies(TestBed& bed, const FaultContext&) { bed.foreignReplyShare = 0.3; }
    void lateMessages(TestBed& bed, const FaultContext&) { bed.lateShare = 0.2; }
    void duplicateMessages(TestBed& bed, const FaultContext&) { bed.duplicateShare = 0.5; }

    void truncatedReplies(TestBed& bed, const FaultContext&)
    {
        for (auto& [serverName, server] : bed.servers)
            server->faults.truncateShare = 0.2;
    }

    void wrongReplies(TestBed& bed, const FaultContext&)
    {
        for (auto& [serverName, server] : bed.servers) {
            server->faults.wrongShardShare = 0.1;
            server->faults.wrongSnapshotShare = 0.1;
        }
    }

    void lostReplies(TestBed& bed, const FaultContext&)
    {
        for (auto& [serverName, server] : bed.servers)
            server->faults.loseReplyShare = 0.5;
    }

    void operatorRace(TestBed& bed, const FaultContext&)
    {
        const ConfigStamp base = newestStamp(bed);
        bed.publish("left", base, "[{\"op\":\"add\",\"path\":\"/note\",\"value\":\"left\"}]");
        bed.publish("right", base, "[{\"op\":\"add\",\"path\":\"/note\",\"value\":\"right\"}]");
    }

    void clockJump(TestBed& bed, const FaultContext& context)
    {
        bed.instances.at(pickInstance(bed, context.instance)).clock.wallOffset += std::chrono::seconds(10);
    }

    // Schedule ----------------------------------------------------------------------------------

    /// Ends all faults that do not end by themselves, except drains.
    void endFaults(TestBed& bed)
    {
        bed.healAll();
        bed.isPlatformDown = false;
        bed.isPlatformStale = false;
        bed.duplicateShare = bed.lateShare = bed.duplicateReplyShare = bed.lateReplyShare = bed.foreignReplyShare = 0;
        for (auto& [serverName, server] : bed.servers) {
            const bool wasHung = server->faults.hangs;
            const bool wasDown = bed.isServerDown[serverName];
            const bool isDrainHidden = server->faults.hidesDrain;
            server->faults = {};
            server->faults.hidesDrain = isDrainHidden;
            // A server that was lost or hung restarts as a new process.
            if (wasHung || wasDown)
                restartServer(bed, serverName);
            bed.isServerDown[serverName] = false;
        }
        // Reopens watches that ended while the platform was down.
        bed.republishPlatformState();
    }

    /// Restarts the servers that were drained, and ends all remaining faults.
    void replaceDrained(TestBed& bed)
    {
        for (auto& [serverName, server] : bed.servers) {
            server->faults = {};
            if (server->isDraining())
                restartServer(bed, serverName);
        }
        bed.leavingServers.clear();
        bed.republishPlatformState();
    }

    /// Sends light traffic for the given time, which reveals work that still reaches drained servers.
    void startRecoveryTraffic(TestBed& bed, Millis time)
    {
        for (Millis at(0); at < time; at += kRecoveryRequestInterval) {
            bed.at(at, [&bed] {
                const std::vector<std::string> live = bed.liveInstances();
                if (!live.empty())
                    bed.search(live[bed.random() % live.size()], kSearchDeadline);
            });
        }
    }

    void startTraffic(TestBed& bed)
    {
        const std::vector<std::string> instances = { "a0", "b0", "a1", "b1", "a2" };
        int i = 0;
        for (Millis time(0); time < kTrafficDuration; time += kRequestInterval, ++i) {
            const std::string& instance = instances[static_cast<size_t>(i) % instances.size()];
            bed.at(time, [&bed, instance] { bed.search(instance, kSearchDeadline); });
            if (i % 3 == 1)
                bed.at(time, [&bed, instance, i] { bed.submit(instance, absl::StrCat("once-", i)); });
        }
        // Each permit is used three times, through different instances.
        for (int n = 0; n < 3; ++n) {
            const std::string key = absl::StrCat("permit-", n);
            const uint64_t tag = bed.requestPermit(instances[static_cast<size_t>(n)], key);
            for (int use = 0; use < 3; ++use) {
                const std::string& instance = instances[static_cast<size_t>(n + use) % instances.size()];
                bed.at(Millis(40) + n * Millis(100) + use * Millis(use == 2 ? 900 : 30), [&bed, instance, key, tag] {
                    if (bed.request(tag).answer.permit.isValid())
                        bed.submit(instance, key, bed.request(tag).answer.permit);
                });
            }
        }
    }

    /// Starts the background task that a step belongs to; does nothing for a step of a request.
    void startBackgroundTask(TestBed& bed, Step step)
    {
        switch (step) {
        case Step::Config:
            bed.at(kBackgroundTaskDelay, [&bed] { publishNumber(bed, "duty", "slots", 3); });
            break;
        case Step::Drain:
            bed.at(kBackgroundTaskDelay, [&bed] {
                bed.servers.at("s0-0")->drain(bed.now());
                bed.setLeaving("s0-0", true);
                if (bed.onStep)
                    bed.onStep(Step::Drain, "a0", "s0-0");
            });
            break;
        case Step::Shutdown:
            bed.at(kBackgroundTaskDelay, [&bed] {
                // These requests are in flight when the instance is told to shut down.
                bed.search("a1", kSearchDeadline);
                bed.submit("a1", absl::StrCat("while-leaving-", bed.requests().size()));
                bed.shutdownInstance("a1");
            });
            break;
        case Step::Start:
            bed.killInstance("a2");
            bed.at(kBackgroundTaskDelay, [&bed] { bed.startInstance("a2"); });
            break;
        default:
            break;
        }
    }

    void checkRecovery(TestBed& bed, std::vector<Violation>& violations)
    {
        std::vector<uint64_t> tags;
        for (const std::string& instance : bed.liveInstances())
            tags.push_back(bed.search(instance, Millis(1000)));
        bed.runFor(Millis(1500));
        for (const uint64_t tag : tags) {
            const TrackedRequest& request = bed.request(tag);
            const bool isComplete = request.answers == 1 && request.answer.code == ResultCode::Ok;
            if (!isComplete)
                violations.push_back({ Promise::TrueCoverage, absl::StrCat("after recovery, a search at ", request.instance, " ended with code ", static_cast<int>(request.answer.code)) });
        }
        const ConfigStamp newest = newestStamp(bed);
        for (const std::string& instance : bed.liveInstances()) {
            if (bed.configStampOf(instance) != newest)
                violations.push_back({ Promise::ConfigNeverReverts, absl::StrCat(instance, " has configuration version ", bed.configStampOf(instance).version, ", but the newest is ", newest.version) });
        }
    }

} // namespace

const std::vector<FaultType>& faultTypes()
{
    static const std::vector<FaultType> kFaultTypes = {
        { "kill", killAtStep },
        { "kill peer", killPeer },
        { "pause 1.2 s", pauseShort },
        { "pause 5 s", pauseLong },
        { "pause peer 5 s", pausePeer },
        { "cut one way", cutOneWay },
        { "cut return way", cutReturn },
        { "cut both ways", cutBothWays },
        { "zone cut", cutZones },
        { "platform down", platformDown },
        { "platform stale", platformStale },
        { "platform gone back", platformRolledBack },
        { "server shed", shedOnAllServers },
        { "drain", drainServer },
        { "drain, health lies", drainHiddenFromHealthChecks },
        { "cold start", coldStart },
        { "straggler", straggler },
        { "replica lost", replicaLost },
        { "replica hangs", replicaHangs },
        { "repartition", repartition },
        { "snapshot change", snapshotChange },
        { "snapshot churn", snapshotChurn },
        { "snapshot staggered", snapshotStaggered },
        { "late reply", lateReplies },
        { "duplicate reply", duplicateReplies },
        { "foreign reply", foreignReplies },
        { "late message", lateMessages },
        { "duplicate message", duplicateMessages },
        { "truncated reply", truncatedReplies },
        { "wrong reply", wrongReplies },
        { "lost reply", lostReplies },
        { "operator race", operatorRace },
        { "clock jump", clockJump },
    };
    return kFaultTypes;
}

ScheduleResult runSchedule(const Schedule& schedule)
{
    TestBedOptions options;
    options.seed = schedule.seed;
    TestBed bed(options);
    bed.startAll();
    ScheduleResult result;
    std::vector<Schedule::Injection> pending = schedule.injections;
    uint64_t remainingSkips = schedule.seed % 3;
    bed.onStep = [&](Step step, const std::string& instance, const std::string& other) {
        for (size_t i = 0; i < pending.size(); ++i) {
            if (pending[i].step != step)
                continue;
            const bool isBackgroundTask = step >= Step::Config;
            if (!isBackgroundTask && remainingSkips > 0) {
                --remainingSkips;
                return;
            }
            const size_t fault = pending[i].fault;
            pending.erase(pending.begin() + static_cast<ptrdiff_t>(i));
            ++result.injectedCount;
            faultTypes()[fault].apply(bed, { instance, other });
            return;
        }
    };
    startTraffic(bed);
    for (const Schedule::Injection& injection : schedule.injections)
        startBackgroundTask(bed, injection.step);
    bed.runFor(kFaultDuration);
    bed.onStep = nullptr;
    endFaults(bed);
    startRecoveryTraffic(bed, kRecoveryDuration);
    bed.runFor(kRecoveryDuration);
    replaceDrained(bed);
    // Restarts the instances that were shut down.
    for (auto& [instanceName, instance] : bed.instances) {
        if (!instance.isAlive)
            bed.startInstance(instanceName);
    }
    // If the patch of the map version was refused or lost in a platform rollback, the operator publishes it again.
    if (bed.servers.begin()->second->parameters.mapVersion == 2)
        publishNumber(bed, "map-again", "map_version", 2);
    bed.runFor(Millis(2500));
    checkRecovery(bed, result.violations);
    const std::vector<Violation> promiseViolations = checkPromises(bed);
    result.violations.insert(result.violations.end(), promiseViolations.begin(), promiseViolations.end());
    return result;
}

std::string toString(const Schedule& schedule)
{
    std::string text = absl::StrCat(schedule.seed, ":");
    for (size_t i = 0; i < schedule.injections.size(); ++i) {
        const Schedule::Injection& injection = schedule.injections[i];
        absl::StrAppend(&text, i > 0 ? "," : "", static_cast<int>(injection.step), "/", injection.fault);
    }
    return text;
}

Schedule parseSchedule(const std::string& text)
{
    Schedule schedule;
    const std::vector<std::string> parts = absl::StrSplit(text, ':');
    if (parts.size() != 2 || !absl::SimpleAtoi(parts[0], &schedule.seed))
        return schedule;
    const std::vector<std::string> injections = absl::StrSplit(parts[1], ',');
    for (const std::string& part : injections) {
        const std::vector<std::string> numbers = absl::StrSplit(part, '/');
        int step = 0;
        size_t fault = 0;
        const bool isValid = numbers.size() == 2 && absl::SimpleAtoi(numbers[0], &step) && absl::SimpleAtoi(numbers[1], &fault)
            && step < kStepCount && fault < faultTypes().size();
        if (!isValid)
            return {};
        schedule.injections.push_back({ static_cast<Step>(step), fault });
    }
    return schedule;
}

} // namespace limpettrestle::tests
