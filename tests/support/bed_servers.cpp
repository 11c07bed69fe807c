/// The test bed's backend servers.

#include "bed.h"

#include <algorithm>

namespace limpettrestle::tests {

namespace {

    /// Time after which a refused connection is known.
    constexpr Micros kRefusedDelay { 1000 };

} // namespace

void Bed::callBackend(Host& host, const CallBackend& call)
{
    const std::string server = call.address;
    if (call.request.operation != BackendOperation::Preflight)
        step(Step::Send, host.name, server);
    if (!host.alive)
        return;
    const std::string from = host.name;
    const uint64_t generation = host.generation;
    const BackendCallId id = call.call;
    if (serverDown.at(server) && !isCut(from, server)) {
        schedule(clock_.now() + kRefusedDelay, [this, from, generation, id] {
            deliver(from, generation, BackendFailed { id, ResultCode::ConnectFailed, false });
        });
        return;
    }
    auto open = std::make_shared<OpenBackendCall>();
    *open = { from, generation, id, call.request, false, false };
    schedule(clock_.now() + latency(host.zone, serverZone.at(server)), [this, from, server, open] {
        if (!isCut(from, server) && !serverDown.at(server))
            arriveAtServer(server, open);
    });
}

void Bed::arriveAtServer(const std::string& server, std::shared_ptr<OpenBackendCall> call)
{
    standins::BackendModel& model = *servers.at(server);
    const bool isWork = call->request.operation != BackendOperation::Preflight;
    if (isWork)
        step(Step::Run, call->host, server);
    if (serverDown.at(server) || model.faults.hangs)
        return;
    const standins::Arrival arrival = model.arrive(call->request, clock_.now());
    if (arrival.refusal != ResultCode::Ok || !isWork) {
        replyFromServer(server, call, arrival.refusal, false);
        return;
    }
    ServerQueue& queue = serverQueues_[server];
    queue.open.push_back(call);
    if (model.hasFreeSlot()) {
        startRun(server, call, arrival);
        return;
    }
    model.enterQueue();
    queue.waiting.push_back(call);
}

void Bed::startRun(const std::string& server, std::shared_ptr<OpenBackendCall> call, const standins::Arrival& arrival)
{
    standins::BackendModel& model = *servers.at(server);
    model.takeSlot();
    call->running = true;
    const Micros budget = std::max(call->request.budget, Micros(0));
    const Micros duration = std::min(arrival.duration, budget);
    const uint64_t incarnation = model.incarnation;
    schedule(clock_.now() + duration, [this, server, call, arrival, budget, incarnation] {
        if (servers.at(server)->incarnation == incarnation && call->running)
            finishRun(server, call, arrival, budget);
    });
}

void Bed::finishRun(const std::string& server, std::shared_ptr<OpenBackendCall> call, const standins::Arrival& arrival, Micros budget)
{
    standins::BackendModel& model = *servers.at(server);
    ServerQueue& queue = serverQueues_[server];
    call->running = false;
    model.freeSlot();
    std::erase(queue.open, call);
    ResultCode code = ResultCode::Ok;
    if (call->cancelled)
        code = ResultCode::Cancelled;
    else if (arrival.duration > budget)
        code = ResultCode::AttemptTimeout;
    else
        model.noteRun(call->request);
    replyFromServer(server, call, code, arrival.losesReply);
    while (!queue.waiting.empty() && model.hasFreeSlot()) {
        const std::shared_ptr<OpenBackendCall> next = queue.waiting.front();
        queue.waiting.erase(queue.waiting.begin());
        model.leaveQueue();
        standins::Arrival again;
        again.duration = model.shape.serviceTime;
        startRun(server, next, again);
    }
}

void Bed::replyFromServer(const std::string& server, const std::shared_ptr<OpenBackendCall>& call, ResultCode code, bool losesReply)
{
    const bool isWork = call->request.operation != BackendOperation::Preflight;
    if (isWork)
        step(Step::Reply, call->host, server);
    if (serverDown.at(server) || !hosts.at(call->host).alive)
        return;
    const Micros delay = latency(hosts.at(call->host).zone, serverZone.at(server)) + (draw(lateReplyShare) ? Micros(lateDelay) : Micros(0));
    if (losesReply) {
        schedule(clock_.now() + delay, [this, call] { deliver(call->host, call->generation, BackendFailed { call->call, ResultCode::ConnectionLost, true }); });
        return;
    }
    standins::BackendModel& model = *servers.at(server);
    std::string body;
    // A foreign reply answers another call of another query.
    const bool isForeign = draw(foreignReplyShare);
    BackendRequest request = call->request;
    if (isForeign) {
        ++request.attempt.request.sequence;
        request.body = makeBody("foreign");
    }
    BackendReply reply = model.makeReply(request, code, body);
    const bool isCorrupt = draw(model.faults.truncateShare) || draw(model.faults.corruptShare);
    reply.body = makeBody(body);
    const int copies = draw(duplicateReplyShare) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        schedule(clock_.now() + delay * (i + 1), [this, server, call, reply, isCorrupt] {
            if (isCut(server, call->host))
                return;
            // The transport checks length and checksum before it hands a reply on.
            if (isCorrupt)
                deliver(call->host, call->generation, BackendFailed { call->call, ResultCode::ChecksumMismatch, true });
            else
                deliver(call->host, call->generation, BackendReplied { call->call, reply });
        });
    }
}

void Bed::cancelBackend(Host& host, const CancelBackend& cancel)
{
    const std::string server = cancel.address;
    const std::string from = host.name;
    const AttemptId attempt = cancel.attempt;
    schedule(clock_.now() + latency(host.zone, serverZone.at(server)), [this, from, server, attempt] {
        if (isCut(from, server) || serverDown.at(server))
            return;
        ServerQueue& queue = serverQueues_[server];
        for (const auto& call : std::vector(queue.open)) {
            if (call->request.attempt != attempt || call->cancelled)
                continue;
            call->cancelled = true;
            ++servers.at(server)->counts.cancelled;
            if (call->running) {
                finishRun(server, call, {}, Micros(1));
            } else {
                std::erase(queue.waiting, call);
                std::erase(queue.open, call);
                servers.at(server)->leaveQueue();
                replyFromServer(server, call, ResultCode::Cancelled, false);
            }
        }
    });
}

} // namespace limpettrestle::tests
