#include "fault_matrix.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>

namespace limpettrestle::tests {

namespace {

    constexpr Millis kTrafficTime { 600 };
    constexpr Millis kTrafficGap { 40 };
    constexpr Millis kTrickleGap { 200 };
    constexpr Millis kDutyDelay { 60 };
    constexpr Millis kFaultTime { 1500 };
    constexpr Millis kRestartDelay { 1200 };
    constexpr Millis kHealTime { 4500 };
    constexpr Millis kSearchDeadline { 230 };
    /// Room for the longest pause, so that a woken instance is seen acting.
    constexpr Millis kLongPause { 5000 };

    std::string pickHost(Bed& bed, const std::string& preferred)
    {
        const std::vector<std::string> live = bed.liveHosts();
        if (std::find(live.begin(), live.end(), preferred) != live.end() || live.empty())
            return preferred;
        return live[bed.random() % live.size()];
    }

    std::string pickServer(Bed& bed, const FaultContext& context)
    {
        if (bed.servers.contains(context.other))
            return context.other;
        auto it = bed.servers.begin();
        std::advance(it, static_cast<ptrdiff_t>(bed.random() % bed.servers.size()));
        return it->first;
    }

    std::string pickPeer(Bed& bed, const FaultContext& context)
    {
        if (bed.hosts.contains(context.other))
            return context.other;
        const std::vector<std::string> live = bed.liveHosts();
        std::string host = pickHost(bed, context.host);
        for (const std::string& other : live) {
            if (other != host)
                return other;
        }
        return host;
    }

    void killFor(Bed& bed, const std::string& host, Millis time)
    {
        bed.killHost(host);
        bed.at(time, [&bed, host] {
            if (!bed.hosts.at(host).alive)
                bed.startHost(host);
        });
    }

    void pauseFor(Bed& bed, const std::string& host, Millis time)
    {
        bed.pauseHost(host);
        bed.at(time, [&bed, host] { bed.resumeHost(host); });
    }

    void restartServer(Bed& bed, const std::string& server)
    {
        standins::BackendModel& old = *bed.servers.at(server);
        auto fresh = std::make_unique<standins::BackendModel>(old.shape, old.incarnation + 1, bed.random());
        fresh->runs = old.runs;
        fresh->runRequests = old.runRequests;
        fresh->counts = old.counts;
        bed.servers[server] = std::move(fresh);
    }

    ConfigStamp newestStamp(const Bed& bed)
    {
        ConfigStamp newest;
        for (const std::string& host : bed.liveHosts())
            newest = std::max(newest, bed.stampAt(host));
        return newest;
    }

    void publishNumber(Bed& bed, const std::string& change, const std::string& path, uint64_t number)
    {
        const std::string patch = absl::StrCat("[{\"op\":\"replace\",\"path\":\"/services/yard/", path, "\",\"value\":", number, "}]");
        bed.publish(change, newestStamp(bed), patch);
    }

    void setSnapshot(Bed& bed, uint64_t snapshot)
    {
        for (auto& [serverName, server] : bed.servers) {
            server->shape.oldestSnapshot = snapshot;
            server->shape.newestSnapshot = snapshot;
        }
    }

    // Faults, one function a column -------------------------------------------------------------

    void killHere(Bed& bed, const FaultContext& context) { killFor(bed, pickHost(bed, context.host), kRestartDelay); }
    void killPeer(Bed& bed, const FaultContext& context) { killFor(bed, pickPeer(bed, context), kRestartDelay); }
    void pauseShort(Bed& bed, const FaultContext& context) { pauseFor(bed, pickHost(bed, context.host), Millis(1200)); }
    void pauseLong(Bed& bed, const FaultContext& context) { pauseFor(bed, pickHost(bed, context.host), kLongPause); }
    void pausePeer(Bed& bed, const FaultContext& context) { pauseFor(bed, pickPeer(bed, context), kLongPause); }
    void cutOneWay(Bed& bed, const FaultContext& context) { bed.cut(pickHost(bed, context.host), "*"); }
    void cutReturn(Bed& bed, const FaultContext& context) { bed.cut("*", pickHost(bed, context.host)); }
    void cutBothWays(Bed& bed, const FaultContext& context) { bed.cutBoth(pickHost(bed, context.host), pickPeer(bed, context)); }
    void cutZones(Bed& bed, const FaultContext&) { bed.cutZones("a", "b"); }
    void platformDown(Bed& bed, const FaultContext&) { bed.platformDown = true; }
    void platformStale(Bed& bed, const FaultContext&) { bed.platformStale = true; }
    void platformBack(Bed& bed, const FaultContext&) { bed.platformGoBack(1); }

    void serversShed(Bed& bed, const FaultContext&)
    {
        for (auto& [serverName, server] : bed.servers)
            server->faults.shedShare = 0.3;
    }

    void drainServer(Bed& bed, const FaultContext& context)
    {
        const std::string server = pickServer(bed, context);
        bed.servers.at(server)->drain(bed.now());
    }

    void drainUnseen(Bed& bed, const FaultContext& context)
    {
        const std::string server = pickServer(bed, context);
        bed.servers.at(server)->drain(bed.now());
        bed.servers.at(server)->faults.liesAboutDrain = true;
        bed.at(Millis(500), [&bed, server] { bed.setLeaving(server, true); });
    }

    void coldStart(Bed& bed, const FaultContext& context) { restartServer(bed, pickServer(bed, context)); }
    void straggler(Bed& bed, const FaultContext& context) { bed.servers.at(pickServer(bed, context))->faults.slowFactor = 40; }
    void replicaLost(Bed& bed, const FaultContext& context) { bed.serverDown[pickServer(bed, context)] = true; }
    void replicaHangs(Bed& bed, const FaultContext& context) { bed.servers.at(pickServer(bed, context))->faults.hangs = true; }

    void repartition(Bed& bed, const FaultContext&)
    {
        publishNumber(bed, absl::StrCat("map-", bed.now().time_since_epoch().count()), "map_version", 2);
        bed.at(Millis(10), [&bed] {
            for (auto& [serverName, server] : bed.servers)
                server->shape.mapVersion = 2;
        });
    }

    void snapshotChange(Bed& bed, const FaultContext&) { setSnapshot(bed, 2); }

    void snapshotChurn(Bed& bed, const FaultContext&)
    {
        for (uint64_t i = 0; i < 20; ++i)
            bed.at(Millis(50) * static_cast<int>(i), [&bed, i] { setSnapshot(bed, 10 + i); });
    }

    void snapshotStaggered(Bed& bed, const FaultContext&)
    {
        int i = 0;
        for (auto& [serverName, server] : bed.servers) {
            standins::BackendModel* model = server.get();
            bed.at(Millis(15) * i++, [model] {
                model->shape.oldestSnapshot = 2;
                model->shape.newestSnapshot = 2;
            });
        }
    }

    void lateReplies(Bed& bed, const FaultContext&) { bed.lateReplyShare = 0.3; }
    void duplicateReplies(Bed& bed, const FaultContext&) { bed.duplicateReplyShare = 0.5; }
    void foreignReplies(Bed& bed, const FaultContext&) { bed.foreignReplyShare = 0.3; }
    void lateMessages(Bed& bed, const FaultContext&) { bed.lateShare = 0.2; }
    void duplicateMessages(Bed& bed, const FaultContext&) { bed.duplicateShare = 0.5; }

    void truncatedReplies(Bed& bed, const FaultContext&)
    {
        for (auto& [serverName, server] : bed.servers)
            server->faults.truncateShare = 0.2;
    }

    void wrongReplies(Bed& bed, const FaultContext&)
    {
        for (auto& [serverName, server] : bed.servers) {
            server->faults.wrongShardShare = 0.1;
            server->faults.wrongSnapshotShare = 0.1;
        }
    }

    void lostReplies(Bed& bed, const FaultContext&)
    {
        for (auto& [serverName, server] : bed.servers)
            server->faults.loseReplyShare = 0.5;
    }

    void operatorRace(Bed& bed, const FaultContext&)
    {
        const ConfigStamp base = newestStamp(bed);
        bed.publish("left", base, "[{\"op\":\"add\",\"path\":\"/note\",\"value\":\"left\"}]");
        bed.publish("right", base, "[{\"op\":\"add\",\"path\":\"/note\",\"value\":\"right\"}]");
    }

    void clockJump(Bed& bed, const FaultContext& context)
    {
        bed.hosts.at(pickHost(bed, context.host)).clock.wallOffset += std::chrono::seconds(10);
    }

    // The schedule ------------------------------------------------------------------------------

    /// Ends all faults that do not end by themselves, drains apart.
    void heal(Bed& bed)
    {
        bed.healAll();
        bed.platformDown = false;
        bed.platformStale = false;
        bed.duplicateShare = bed.lateShare = bed.duplicateReplyShare = bed.lateReplyShare = bed.foreignReplyShare = 0;
        for (auto& [serverName, server] : bed.servers) {
            const bool wasHung = server->faults.hangs;
            const bool wasDown = bed.serverDown[serverName];
            const bool lies = server->faults.liesAboutDrain;
            server->faults = {};
            server->faults.liesAboutDrain = lies;
            // A server that was lost or hung comes back as a new process.
            if (wasHung || wasDown)
                restartServer(bed, serverName);
            bed.serverDown[serverName] = false;
        }
        // Watches that ended with the platform are open again.
        bed.publishMembers();
    }

    /// Replaces the servers that have drained.
    void replaceDrained(Bed& bed)
    {
        for (auto& [serverName, server] : bed.servers) {
            server->faults = {};
            if (server->isDraining())
                restartServer(bed, serverName);
        }
        bed.leavingServers.clear();
        bed.publishMembers();
    }

    /// Light traffic, so that drained servers would be seen to get work.
    void trickle(Bed& bed, Millis time)
    {
        for (Millis at(0); at < time; at += kTrickleGap) {
            bed.at(at, [&bed] {
                const std::vector<std::string> live = bed.liveHosts();
                if (!live.empty())
                    bed.search(live[bed.random() % live.size()], kSearchDeadline);
            });
        }
    }

    void startTraffic(Bed& bed)
    {
        const std::vector<std::string> hosts = { "a0", "b0", "a1", "b1", "a2" };
        int i = 0;
        for (Millis time(0); time < kTrafficTime; time += kTrafficGap, ++i) {
            const std::string& host = hosts[static_cast<size_t>(i) % hosts.size()];
            bed.at(time, [&bed, host] { bed.search(host, kSearchDeadline); });
            if (i % 3 == 1)
                bed.at(time, [&bed, host, i] { bed.submit(host, absl::StrCat("once-", i)); });
        }
        // Permits, each used through two instances.
        for (int n = 0; n < 3; ++n) {
            const std::string key = absl::StrCat("permit-", n);
            const uint64_t tag = bed.requestPermit(hosts[static_cast<size_t>(n)], key);
            for (int use = 0; use < 3; ++use) {
                const std::string& host = hosts[static_cast<size_t>(n + use) % hosts.size()];
                bed.at(Millis(40) + n * Millis(100) + use * Millis(use == 2 ? 900 : 30), [&bed, host, key, tag] {
                    if (bed.request(tag).answer.permit.isValid())
                        bed.submit(host, key, bed.request(tag).answer.permit);
                });
            }
        }
    }

    /// Starts the duty that a step of the background belongs to.
    void startDuty(Bed& bed, Step step)
    {
        switch (step) {
        case Step::Config:
            bed.at(kDutyDelay, [&bed] { publishNumber(bed, "duty", "slots", 3); });
            break;
        case Step::Drain:
            bed.at(kDutyDelay, [&bed] {
                bed.servers.at("s0-0")->drain(bed.now());
                bed.setLeaving("s0-0", true);
                if (bed.onStep)
                    bed.onStep(Step::Drain, "a0", "s0-0");
            });
            break;
        case Step::Shutdown:
            bed.at(kDutyDelay, [&bed] {
                // Some requests are in flight when it is told to leave.
                bed.search("a1", kSearchDeadline);
                bed.submit("a1", absl::StrCat("while-leaving-", bed.requests().size()));
                bed.shutdownHost("a1");
            });
            break;
        case Step::Start:
            bed.killHost("a2");
            bed.at(kDutyDelay, [&bed] { bed.startHost("a2"); });
            break;
        default:
            break;
        }
    }

    void checkRecovery(Bed& bed, std::vector<Violation>& violations)
    {
        std::vector<uint64_t> tags;
        for (const std::string& host : bed.liveHosts())
            tags.push_back(bed.search(host, Millis(1000)));
        bed.runFor(Millis(1500));
        for (const uint64_t tag : tags) {
            const TrackedRequest& request = bed.request(tag);
            const bool isComplete = request.answers == 1 && request.answer.code == ResultCode::Ok;
            if (!isComplete)
                violations.push_back({ Promise::TrueCoverage, absl::StrCat("after healing, a search at ", request.host, " ended with ", static_cast<int>(request.answer.code)) });
        }
        const ConfigStamp newest = newestStamp(bed);
        for (const std::string& host : bed.liveHosts()) {
            if (bed.stampAt(host) != newest)
                violations.push_back({ Promise::ConfigNeverReverts, absl::StrCat(host, " has version ", bed.stampAt(host).version, ", newest is ", newest.version) });
        }
    }

} // namespace

const std::vector<FaultRow>& faultRows()
{
    static const std::vector<FaultRow> kRows = {
        { "kill", killHere },
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
        { "platform gone back", platformBack },
        { "server shed", serversShed },
        { "drain", drainServer },
        { "drain, health lies", drainUnseen },
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
    return kRows;
}

ScheduleResult runSchedule(const Schedule& schedule)
{
    BedOptions options;
    options.seed = schedule.seed;
    Bed bed(options);
    bed.startAll();
    ScheduleResult result;
    std::vector<Schedule::Strike> waiting = schedule.strikes;
    uint64_t skips = schedule.seed % 3;
    bed.onStep = [&](Step step, const std::string& host, const std::string& other) {
        for (size_t i = 0; i < waiting.size(); ++i) {
            if (waiting[i].step != step)
                continue;
            const bool isDuty = step >= Step::Config;
            if (!isDuty && skips > 0) {
                --skips;
                return;
            }
            const size_t fault = waiting[i].fault;
            waiting.erase(waiting.begin() + static_cast<ptrdiff_t>(i));
            ++result.fired;
            faultRows()[fault].apply(bed, { host, other });
            return;
        }
    };
    startTraffic(bed);
    for (const Schedule::Strike& strike : schedule.strikes)
        startDuty(bed, strike.step);
    bed.runFor(kFaultTime);
    bed.onStep = nullptr;
    heal(bed);
    trickle(bed, kHealTime);
    bed.runFor(kHealTime);
    replaceDrained(bed);
    // An instance that was shut down is replaced.
    for (auto& [hostName, host] : bed.hosts) {
        if (!host.alive)
            bed.startHost(hostName);
    }
    // An operator whose patch was refused, or lost with the platform's state, publishes it again.
    if (bed.servers.begin()->second->shape.mapVersion == 2)
        publishNumber(bed, "map-again", "map_version", 2);
    bed.runFor(Millis(2500));
    checkRecovery(bed, result.violations);
    const std::vector<Violation> seen = checkPromises(bed);
    result.violations.insert(result.violations.end(), seen.begin(), seen.end());
    return result;
}

std::string toString(const Schedule& schedule)
{
    std::string text = absl::StrCat(schedule.seed, ":");
    for (size_t i = 0; i < schedule.strikes.size(); ++i) {
        const Schedule::Strike& strike = schedule.strikes[i];
        absl::StrAppend(&text, i > 0 ? "," : "", static_cast<int>(strike.step), "/", strike.fault);
    }
    return text;
}

Schedule parseSchedule(const std::string& text)
{
    Schedule schedule;
    const std::vector<std::string> parts = absl::StrSplit(text, ':');
    if (parts.size() != 2 || !absl::SimpleAtoi(parts[0], &schedule.seed))
        return schedule;
    const std::vector<std::string> strikes = absl::StrSplit(parts[1], ',');
    for (const std::string& part : strikes) {
        const std::vector<std::string> numbers = absl::StrSplit(part, '/');
        int step = 0;
        size_t fault = 0;
        const bool isValid = numbers.size() == 2 && absl::SimpleAtoi(numbers[0], &step) && absl::SimpleAtoi(numbers[1], &fault)
            && step < kStepCount && fault < faultRows().size();
        if (!isValid)
            return {};
        schedule.strikes.push_back({ static_cast<Step>(step), fault });
    }
    return schedule;
}

} // namespace limpettrestle::tests
