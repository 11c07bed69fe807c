/// Simulated backend servers of the test bed.

#include "bed.h"

#include <algorithm>

namespace limpettrestle::tests {

namespace {

    /// Time after which the caller learns of a refused connection.
    constexpr Micros kConnectionRefusedDelay { 1000 };

} // namespace

void TestBed::callBackend(TestInstance& instance, const CallBackend& call)
{
    const std::string server = call.address;
    if (call.request.operation != BackendOperation::Preflight)
        reportStep(Step::Send, instance.name, server);
    if (!instance.isAlive)
        return;
    const std::string from = instance.name;
    const uint64_t generation = instance.generation;
    const BackendCallId id = call.call;
    if (isServerDown.at(server) && !isCut(from, server)) {
        schedule(clock_.now() + kConnectionRefusedDelay, [this, from, generation, id] {
            deliver(from, generation, BackendFailed { id, ResultCode::ConnectFailed, false });
        });
        return;
    }
    auto open = std::make_shared<OpenBackendCall>();
    *open = { from, generation, id, call.request, false, false };
    schedule(clock_.now() + latency(instance.zone, serverZone.at(server)), [this, from, server, open] {
        if (!isCut(from, server) && !isServerDown.at(server))
            receiveAtServer(server, open);
    });
}

void TestBed::receiveAtServer(const std::string& server, std::shared_ptr<OpenBackendCall> call)
{
    standins::BackendModel& model = *servers.at(server);
    const bool isWork = call->request.operation != BackendOperation::Preflight;
    if (isWork)
        reportStep(Step::Run, call->instance, server);
    if (isServerDown.at(server) || model.faults.hangs)
        return;
    const standins::AdmissionResult admission = model.admit(call->request, clock_.now());
    if (admission.refusal != ResultCode::Ok || !isWork) {
        replyFromServer(server, call, admission.refusal, false);
        return;
    }
    ServerQueue& queue = serverQueues_[server];
    queue.open.push_back(call);
    if (model.hasFreeSlot()) {
        startRun(server, call, admission);
        return;
    }
    model.enterQueue();
    queue.waiting.push_back(call);
}

void TestBed::startRun(const std::string& server, std::shared_ptr<OpenBackendCall> call, const standins::AdmissionResult& admission)
{
    standins::BackendModel& model = *servers.at(server);
    model.takeSlot();
    call->isRunning = true;
    const Micros budget = std::max(call->request.budget, Micros(0));
    const Micros duration = std::min(admission.duration, budget);
    const uint64_t incarnation = model.incarnation;
    schedule(clock_.now() + duration, [this, server, call, admission, budget, incarnation] {
        if (servers.at(server)->incarnation == incarnation && call->isRunning)
            finishRun(server, call, admission, budget);
    });
}

void TestBed::finishRun(const std::string& server, std::shared_ptr<OpenBackendCall> call, const standins::AdmissionResult& admission, Micros budget)
{
    standins::BackendModel& model = *servers.at(server);
    ServerQueue& queue = serverQueues_[server];
    call->isRunning = false;
    model.freeSlot();
    std::erase(queue.open, call);
    ResultCode code = ResultCode::Ok;
    if (call->isCancelled)
        code = ResultCode::Cancelled;
    else if (admission.duration > budget)
        code = ResultCode::AttemptTimeout;
    else
        model.recordRun(call->request);
    replyFromServer(server, call, code, admission.losesReply);
    while (!queue.waiting.empty() && model.hasFreeSlot()) {
        const std::shared_ptr<OpenBackendCall> next = queue.waiting.front();
        queue.waiting.erase(queue.waiting.begin());
        model.leaveQueue();
        standins::AdmissionResult again;
        again.duration = model.parameters.serviceTime;
        startRun(server, next, again);
    }
}

void TestBed::replyFromServer(const std::string& server, const std::shared_ptr<OpenBackendCall>& call, ResultCode code, bool losesReply)
{
    const bool isWork = call->request.operation != BackendOperation::Preflight;
    if (isWork)
        reportStep(Step::Reply, call->instance, server);
    if (isServerDown.at(server) || !instances.at(call->instance).isAlive)
        return;
    const Micros delay = latency(instances.at(call->instance).zone, serverZone.at(server)) + (randomChance(lateReplyShare) ? Micros(lateDelay) : Micros(0));
    if (losesReply) {
        schedule(clock_.now() + delay, [this, call] { deliver(call->instance, call->generation, BackendFailed { call->call, ResultCode::ConnectionLost, true }); });
        return;
    }
    standins::BackendModel& model = *servers.at(server);
    std::string body;
    // A foreign reply belongs to another call with another query.
    const bool isForeign = randomChance(foreignReplyShare);
    BackendRequest request = call->request;
    if (isForeign) {
        ++request.attempt.request.sequence;
        request.body = makeBody("foreign");
    }
    BackendReply reply = model.makeReply(request, code, body);
    const bool isCorrupt = randomChance(model.faults.truncateShare) || randomChance(model.faults.corruptShare);
    reply.body = makeBody(body);
    const int copies = randomChance(duplicateReplyShare) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        schedule(clock_.now() + delay * (i + 1), [this, server, call, reply, isCorrupt] {
            if (isCut(server, call->instance))
                return;
            // The real transport verifies length and checksum before it delivers a reply.
            if (isCorrupt)
                deliver(call->instance, call->generation, BackendFailed { call->call, ResultCode::ChecksumMismatch, true });
            else
                deliver(call->instance, call->generation, BackendReplied { call->call, reply });
        });
    }
}

void TestBed::cancelBackend(TestInstance& instance, const CancelBackend& cancel)
{
    const std::string server = cancel.address;
    const std::string from = instance.name;
    const AttemptId attempt = cancel.attempt;
    schedule(clock_.now() + latency(instance.zone, serverZone.at(server)), [this, from, server, attempt] {
        if (isCut(from, server) || isServerDown.at(server))
            return;
        ServerQueue& queue = serverQueues_[server];
        for (const auto& call : std::vector(queue.open)) {
            if (call->request.attempt != attempt || call->isCancelled)
                continue;
            call->isCancelled = true;
            ++servers.at(server)->counts.cancelled;
            if (call->isRunning) {
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
