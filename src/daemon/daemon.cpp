#include "daemon.h"

#include "../process/system_clock.h"
#include "admin_server.h"
#include "backend_io.h"
#include "caller_server.h"
#include "decision_thread.h"
#include "peer_io.h"
#include "platform_reader.h"

#include <csignal>
#include <glog/logging.h>
#include <prometheus/registry.h>
#include <random>
#include <thread>

namespace limpettrestle {

namespace {

    constexpr Millis kListenWait { 2000 };

    /// Start time in the upper bits, so that a later run has the greater incarnation.
    Incarnation drawIncarnation(const ClockI& clock, std::random_device& device)
    {
        const auto millis = std::chrono::duration_cast<Millis>(clock.wallNow().time_since_epoch()).count();
        return { (static_cast<uint64_t>(millis) << 20) | (device() & 0xfffffU) };
    }

    NodeInit makeInit(const DaemonSettings& settings, const ClockI& clock)
    {
        std::random_device device;
        NodeInit init;
        init.name = settings.name;
        init.zone = settings.zone;
        init.peerAddress = settings.peer.text();
        init.incarnation = drawIncarnation(clock, device);
        init.seed = settings.seed != 0 ? settings.seed : (static_cast<uint64_t>(device()) << 32 | device());
        init.clock = &clock;
        init.seeds = settings.seeds;
        init.maxRequests = settings.maxRequests;
        init.balancerLag = settings.balancerLag;
        init.drainLimit = settings.drainLimit;
        return init;
    }

    /// Blocks the shutdown signals in this thread and all that it starts.
    sigset_t blockSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        signal(SIGPIPE, SIG_IGN);
        return signals;
    }

    /// Waits for a shutdown signal and tells the node; ends when the hub stops.
    void watchSignals(Hub& hub, const sigset_t& signals)
    {
        const timespec pause { 0, 50'000'000 };
        while (!hub.stop) {
            if (sigtimedwait(&signals, nullptr, &pause) <= 0)
                continue;
            LOG(INFO) << "event=shutdown_requested";
            while (!hub.post(ShutdownRequested {}))
                usleep(1000);
        }
    }

} // namespace

int runDaemon(const DaemonSettings& settings)
{
    const sigset_t signals = blockSignals();
    SystemClock clock;
    Hub hub;
    auto registry = std::make_shared<prometheus::Registry>();
    prometheus::Histogram& latency = prometheus::BuildHistogram()
                                         .Name("limpettrestle_answer_seconds")
                                         .Help("Time from reception to answer")
                                         .Register(*registry)
                                         .Add({}, prometheus::Histogram::BucketBoundaries { 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.23, 0.3, 0.5, 1, 5 });
    CallerServer callers(hub, settings, latency);
    AdminServer admin(hub, settings, registry);
    if (!callers.bind() || !admin.bind()) {
        LOG(ERROR) << "event=bind_failed caller=" << settings.caller.text() << " admin=" << settings.admin.text();
        return 1;
    }
    std::atomic<bool> isListening { false };
    std::thread peers([&] {
        if (runPeerIo(hub, settings.peer, isListening) != ResultCode::Ok)
            hub.stop = true;
    });
    const TimePoint limit = clock.now() + kListenWait;
    while (!isListening && !hub.stop && clock.now() < limit)
        usleep(1000);
    if (!isListening) {
        LOG(ERROR) << "event=bind_failed peer=" << settings.peer.text();
        hub.stop = true;
        peers.join();
        return 1;
    }
    DecisionThread decisions(hub, makeInit(settings, clock));
    PlatformOrders configOrders(hub);
    std::thread backends([&] { runBackendIo(hub); });
    std::thread configReader([&] { runPlatformReader(hub, settings.platform, PlatformTopic::Config, configOrders); });
    std::thread memberReader([&] { runPlatformReader(hub, settings.platform, PlatformTopic::Members, configOrders); });
    std::thread callerThread([&] { callers.run(); });
    std::thread adminThread([&] { admin.run(); });
    std::thread signalThread([&] { watchSignals(hub, signals); });
    LOG(INFO) << "event=started name=" << settings.name << " zone=" << settings.zone << " caller=" << settings.caller.text()
              << " peer=" << settings.peer.text() << " admin=" << settings.admin.text();

    decisions.run();

    LOG(INFO) << "event=stopping open_callers=" << hub.callers.size();
    callers.stop();
    callerThread.join();
    hub.stop = true;
    admin.stop();
    adminThread.join();
    backends.join();
    peers.join();
    signalThread.join();
    // A watch that is open ends with the process.
    configReader.detach();
    memberReader.detach();
    LOG(INFO) << "event=stopped";
    google::FlushLogFiles(google::GLOG_INFO);
    std::_Exit(0);
}

} // namespace limpettrestle
