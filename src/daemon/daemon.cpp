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

    constexpr Millis kListenTimeout { 2000 };

    /// The upper bits hold the start time in milliseconds, so that a later run has a greater incarnation.
    /// The lower 20 bits are random.
    Incarnation generateIncarnation(const ClockI& clock, std::random_device& randomDevice)
    {
        const auto millis = std::chrono::duration_cast<Millis>(clock.wallNow().time_since_epoch()).count();
        return { (static_cast<uint64_t>(millis) << 20) | (randomDevice() & 0xfffffU) };
    }

    NodeInit makeNodeInit(const DaemonSettings& settings, const ClockI& clock)
    {
        std::random_device randomDevice;
        NodeInit init;
        init.name = settings.name;
        init.zone = settings.zone;
        init.peerAddress = settings.peer.toString();
        init.incarnation = generateIncarnation(clock, randomDevice);
        init.seed = settings.seed != 0 ? settings.seed : (static_cast<uint64_t>(randomDevice()) << 32 | randomDevice());
        init.clock = &clock;
        init.seeds = settings.seeds;
        init.maxRequests = settings.maxRequests;
        init.balancerLag = settings.balancerLag;
        init.drainLimit = settings.drainLimit;
        return init;
    }

    /// Blocks SIGTERM and SIGINT in this thread and in the threads that it starts, and ignores SIGPIPE.
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

    /// Posts `ShutdownRequested` for each SIGTERM or SIGINT until `SharedState::isStopping` is set.
    void watchSignals(SharedState& shared, const sigset_t& signals)
    {
        const timespec pause { 0, 50'000'000 };
        while (!shared.isStopping) {
            if (sigtimedwait(&signals, nullptr, &pause) <= 0)
                continue;
            LOG(INFO) << "event=shutdown_requested";
            while (!shared.post(ShutdownRequested {}))
                usleep(1000);
        }
    }

} // namespace

int runDaemon(const DaemonSettings& settings)
{
    const sigset_t signals = blockSignals();
    SystemClock clock;
    SharedState shared;
    auto registry = std::make_shared<prometheus::Registry>();
    prometheus::Histogram& answerLatency = prometheus::BuildHistogram()
                                               .Name("limpettrestle_answer_seconds")
                                               .Help("Time from reception to answer")
                                               .Register(*registry)
                                               .Add({}, prometheus::Histogram::BucketBoundaries { 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.23, 0.3, 0.5, 1, 5 });
    CallerServer callerServer(shared, settings, answerLatency);
    AdminServer adminServer(shared, settings, registry);
    if (!callerServer.bind() || !adminServer.bind()) {
        LOG(ERROR) << "event=bind_failed caller=" << settings.caller.toString() << " admin=" << settings.admin.toString();
        return 1;
    }
    std::atomic<bool> isListening { false };
    std::thread peerThread([&] {
        if (runPeerIo(shared, settings.peer, isListening) != ResultCode::Ok)
            shared.isStopping = true;
    });
    const TimePoint listenDeadline = clock.now() + kListenTimeout;
    while (!isListening && !shared.isStopping && clock.now() < listenDeadline)
        usleep(1000);
    if (!isListening) {
        LOG(ERROR) << "event=bind_failed peer=" << settings.peer.toString();
        shared.isStopping = true;
        peerThread.join();
        return 1;
    }
    DecisionThread decisionThread(shared, makeNodeInit(settings, clock));
    PlatformReadRequests platformReadRequests(shared);
    std::thread backendThread([&] { runBackendIo(shared); });
    std::thread configReaderThread([&] { runPlatformReader(shared, settings.platform, PlatformTopic::Config, platformReadRequests); });
    std::thread memberReaderThread([&] { runPlatformReader(shared, settings.platform, PlatformTopic::Members, platformReadRequests); });
    std::thread callerThread([&] { callerServer.run(); });
    std::thread adminThread([&] { adminServer.run(); });
    std::thread signalThread([&] { watchSignals(shared, signals); });
    LOG(INFO) << "event=started name=" << settings.name << " zone=" << settings.zone << " caller=" << settings.caller.toString()
              << " peer=" << settings.peer.toString() << " admin=" << settings.admin.toString();

    decisionThread.run();

    LOG(INFO) << "event=stopping open_callers=" << shared.callers.size();
    callerServer.stop();
    callerThread.join();
    shared.isStopping = true;
    adminServer.stop();
    adminThread.join();
    backendThread.join();
    peerThread.join();
    signalThread.join();
    // The reader threads may be blocked in a long poll of the platform. The process exits without
    // waiting for them.
    configReaderThread.detach();
    memberReaderThread.detach();
    LOG(INFO) << "event=stopped";
    google::FlushLogFiles(google::GLOG_INFO);
    std::_Exit(0);
}

} // namespace limpettrestle
