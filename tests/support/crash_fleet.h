#pragma once

/// Simulated fleet on a virtual clock: several dispatchers, replicas that crash, and crash reports between the instances.

#include "routing_bed.h"

#include <random>
#include <set>

namespace limpettrestle {

class CrashFleet {
public:
    struct Options {
        size_t instances = 4;
        RepeatPolicy oneRepeats = RepeatPolicy::AtMostOnce;
        size_t cardReplicas = 6;
        /// Time that a notice takes between instances; negative when none arrives.
        Millis noticeDelay { 3 };
        /// Interval at which an instance ends quarantines. Each instance does so at another time of it.
        Millis maintenancePeriod { 1 };
        uint64_t seed = 1;
    };

    /// Target whose requests crash their replicas.
    static constexpr std::string_view kCrash = "crash";

    explicit CrashFleet(const Options& options)
        : options_(options)
        , random_(options.seed)
    {
        for (size_t i = 0; i < options.instances; ++i) {
            beds.push_back(std::make_unique<RoutingTestBed>());
            beds.back()->useStandardRoutes(kShards, options.oneRepeats);
            for (size_t replica = 2; replica < options.cardReplicas; ++replica)
                beds.back()->addReplica("card-" + std::to_string(replica), "card");
        }
        for (const auto& [id, replica] : beds[0]->directory.all())
            replicas_[id] = {};
        delivered_.resize(beds.size());
        deliveredClears_.resize(beds.size());
        scanned_.resize(beds.size());
        nextRequest_.resize(beds.size());
    }

    /// Starts a request at an instance and returns its number there.
    uint64_t start(size_t instance, const std::string& target)
    {
        const uint64_t request = ++nextRequest_[instance];
        beds[instance]->start(request, target);
        return request;
    }

    void runFor(Millis time)
    {
        for (Millis step(0); step < time; step += Millis(1)) {
            for (const auto& bed : beds)
                bed->runFor(Millis(1));
            endQuarantines();
            restartReplicas();
            runCalls();
            exchangeReports();
        }
    }

    /// Ends the process of a replica; it is back after 1.5 s.
    void crash(const std::string& id)
    {
        SimulatedReplica& replica = replicas_.at(id);
        if (replica.isDown)
            return;
        replica.isDown = true;
        replica.backAt = now() + kDownTime;
        ++crashes;
        crashedAt_.push_back(now());
        for (const auto& bed : beds) {
            bed->transport.unconnected[id] = true;
            const ReplicaPtr known = bed->directory.find(id);
            for (size_t i = 0; i < bed->transport.calls.size(); ++i) {
                if (bed->transport.calls[i].isOpen && bed->transport.calls[i].replica == id)
                    bed->fail(i, CallFailure::Lost);
            }
            bed->dispatcher->replicaRefusedConnection(known);
        }
    }

    void crashRandomReplicas(size_t count)
    {
        for (size_t i = 0; i < count; ++i)
            crash(std::next(replicas_.begin(), static_cast<std::ptrdiff_t>(random_() % replicas_.size()))->first);
    }

    const RouteAnswer* answerOf(size_t instance, uint64_t request) const
    {
        const auto found = beds[instance]->answers.find(request);
        return found == beds[instance]->answers.end() ? nullptr : &found->second.at(0).answer;
    }
    TimePoint now() const { return beds[0]->clock.now(); }

    /// Crashes later than four seconds after the third one.
    size_t lateCrashes() const
    {
        constexpr size_t kCrashesUntilKnown = 3;
        if (crashedAt_.size() < kCrashesUntilKnown)
            return 0;
        const TimePoint knownAt = crashedAt_[kCrashesUntilKnown - 1] + std::chrono::seconds(4);
        return static_cast<size_t>(std::count_if(crashedAt_.begin(), crashedAt_.end(), [knownAt](TimePoint at) { return at > knownAt; }));
    }

    std::vector<std::unique_ptr<RoutingTestBed>> beds;
    size_t crashes = 0;
    static constexpr size_t kShards = 6;

private:
    static constexpr Millis kDownTime { 1500 };
    static constexpr Millis kCallTime { 30 };

    struct SimulatedReplica {
        bool isDown = false;
        TimePoint backAt {};
        int64_t startedAt = 1;
    };
    struct Transit {
        size_t receiver = 0;
        TimePoint at {};
        std::vector<CrashReport> reports;
        std::vector<RequestFingerprint> cleared;
    };

    void endQuarantines()
    {
        for (size_t i = 0; i < beds.size(); ++i) {
            const auto phase = options_.maintenancePeriod * static_cast<int64_t>(i) / static_cast<int64_t>(beds.size());
            if ((now().time_since_epoch() + phase) % options_.maintenancePeriod < Millis(1))
                beds[i]->crashLedger.expire(now());
        }
    }

    void restartReplicas()
    {
        for (auto& [id, replica] : replicas_) {
            if (!replica.isDown || now() < replica.backAt)
                continue;
            replica.isDown = false;
            ++replica.startedAt;
            for (const auto& bed : beds) {
                bed->transport.unconnected.erase(id);
                ReplicaEntry entry = bed->directory.find(id)->entry;
                entry.startedAt = replica.startedAt;
                entry.sequence = 1;
                bed->directory.apply(entry, now());
            }
        }
    }

    void runCalls()
    {
        for (size_t instance = 0; instance < beds.size(); ++instance) {
            RoutingTestBed& bed = *beds[instance];
            for (; scanned_[instance] < bed.transport.calls.size(); ++scanned_[instance])
                running_.push_back({ instance, scanned_[instance], now() + kCallTime });
        }
        const std::vector<RunningCall> running = std::exchange(running_, {});
        for (const RunningCall& entry : running) {
            const RecordedCall& recorded = beds[entry.instance]->transport.calls[entry.index];
            if (!recorded.isOpen)
                continue;
            const RecordedCall call = recorded;
            if (replicas_.at(call.replica).isDown)
                beds[entry.instance]->fail(entry.index, CallFailure::NotSent);
            else if (now() < entry.endsAt)
                running_.push_back(entry);
            else if (call.target.find(kCrash) != std::string::npos)
                crash(call.replica);
            else
                beds[entry.instance]->reply(entry.index, RoutingTestBed::success("sig-" + std::to_string(call.id)));
        }
    }

    void exchangeReports()
    {
        for (size_t sender = 0; sender < beds.size(); ++sender) {
            const CrashRecorder& seen = beds[sender]->crashes;
            const std::vector<CrashReport> reports(seen.reports.begin() + static_cast<std::ptrdiff_t>(delivered_[sender]), seen.reports.end());
            const std::vector<RequestFingerprint> cleared(seen.cleared.begin() + static_cast<std::ptrdiff_t>(deliveredClears_[sender]), seen.cleared.end());
            delivered_[sender] = seen.reports.size();
            deliveredClears_[sender] = seen.cleared.size();
            if (options_.noticeDelay < Millis::zero() || (reports.empty() && cleared.empty()))
                continue;
            for (size_t receiver = 0; receiver < beds.size(); ++receiver) {
                if (receiver != sender)
                    inTransit_.push_back({ receiver, now() + options_.noticeDelay, reports, cleared });
            }
        }
        const std::vector<Transit> inTransit = std::exchange(inTransit_, {});
        for (const Transit& notice : inTransit) {
            if (now() < notice.at) {
                inTransit_.push_back(notice);
                continue;
            }
            RoutingTestBed& bed = *beds[notice.receiver];
            for (const RequestFingerprint request : notice.cleared)
                bed.crashLedger.recordAnswer(request, now());
            bed.crashLedger.record(notice.reports, now());
            bed.dispatcher->applyQuarantines();
        }
    }

    struct RunningCall {
        size_t instance = 0;
        size_t index = 0;
        TimePoint endsAt {};
    };

    const Options options_;
    std::mt19937_64 random_;
    std::map<std::string, SimulatedReplica> replicas_;
    std::vector<TimePoint> crashedAt_;
    std::vector<size_t> delivered_;
    std::vector<size_t> deliveredClears_;
    std::vector<size_t> scanned_;
    std::vector<uint64_t> nextRequest_;
    std::vector<RunningCall> running_;
    std::vector<Transit> inTransit_;
};

} // namespace limpettrestle
