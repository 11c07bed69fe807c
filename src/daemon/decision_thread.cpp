#include "decision_thread.h"

#include <glog/logging.h>

namespace limpettrestle {

namespace {

    constexpr int kMaxEventsPerTurn = 256;

    bool isLogged(const TimelineEvent& event)
    {
        switch (event.kind) {
        case TimelineKind::RequestAdmitted:
        case TimelineKind::RequestAnswered:
        case TimelineKind::AttemptSent:
        case TimelineKind::AttemptEnded:
        case TimelineKind::HedgeSent:
        case TimelineKind::RetrySent:
        case TimelineKind::ReplyDropped:
        case TimelineKind::PermitIssued:
            return false;
        default:
            return true;
        }
    }

} // namespace

DecisionThread::DecisionThread(Hub& hub, const NodeInit& init)
    : hub_(hub)
    , clock_(*init.clock)
    , zone_(init.zone)
{
    node_.init(init);
}

void DecisionThread::run()
{
    while (!hub_.stop && node_.phase() != Phase::Stopped) {
        const auto wait = std::chrono::ceil<Millis>(node_.nextWakeup() - clock_.now());
        if (wait > Millis(0))
            hub_.inbox.wake().wait(static_cast<int>(wait.count()));
        hub_.inbox.wake().clear();
        handleInbox();
    }
    hub_.isReady = false;
    hub_.phase = Phase::Stopped;
    node_.shutdown();
}

void DecisionThread::handleInbox()
{
    bool handledAny = false;
    for (int i = 0; i < kMaxEventsPerTurn; ++i) {
        const std::unique_ptr<InboxItem> item = hub_.inbox.pop();
        if (!item)
            break;
        if (item->status) {
            answerStatus(*item->status);
            continue;
        }
        handledAny = true;
        node_.handle(item->event, actions_);
        for (Action& action : actions_)
            route(action);
        actions_.clear();
    }
    if (hub_.inbox.size() > 0)
        hub_.inbox.wake().signal();
    if (!handledAny || clock_.now() >= node_.nextWakeup()) {
        node_.handle(Tick {}, actions_);
        for (Action& action : actions_)
            route(action);
        actions_.clear();
    }
    hub_.isReady = node_.isReady();
    hub_.phase = node_.phase();
}

void DecisionThread::route(Action& action)
{
    if (auto* send = std::get_if<SendPeer>(&action)) {
        pushOrWait(hub_.peerMessages, std::make_unique<SendPeer>(std::move(*send)));
    } else if (auto* call = std::get_if<CallBackend>(&action)) {
        pushOrWait(hub_.backendCommands, std::make_unique<BackendCommand>(std::move(*call)));
    } else if (auto* cancel = std::get_if<CancelBackend>(&action)) {
        pushOrWait(hub_.backendCommands, std::make_unique<BackendCommand>(std::move(*cancel)));
    } else if (auto* answer = std::get_if<AnswerCaller>(&action)) {
        hub_.callers.complete(answer->tag, std::move(answer->answer));
    } else if (auto* read = std::get_if<ReadPlatform>(&action)) {
        pushOrWait(hub_.platformReads, std::make_unique<ReadPlatform>(*read));
    } else if (auto* event = std::get_if<TimelineEvent>(&action)) {
        if (isLogged(*event))
            LOG(INFO) << "event=" << name(event->kind) << " code=" << static_cast<int>(event->code) << " subject=\"" << event->subject << "\" number=" << event->number;
        hub_.timeline.add(std::move(*event));
    }
}

void DecisionThread::answerStatus(StatusQuery& query)
{
    query.status = node_.status();
    query.status.zone = zone_;
    query.configText = node_.configText();
    query.done.Notify();
}

template <typename T>
void DecisionThread::pushOrWait(BoundedRing<T>& ring, std::unique_ptr<T> item)
{
    while (!ring.push(item)) {
        ++hub_.ringFull;
        usleep(200);
        if (hub_.stop)
            return;
    }
}

} // namespace limpettrestle
