#include "decision_thread.h"

#include <glog/logging.h>

namespace limpettrestle {

namespace {

    constexpr int kMaxEventsPerTurn = 256;

    /// Returns false for the events that occur in the normal handling of every request.
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

DecisionThread::DecisionThread(SharedState& shared, const NodeInit& init)
    : shared_(shared)
    , clock_(*init.clock)
    , zone_(init.zone)
{
    node_.init(init);
}

void DecisionThread::run()
{
    while (!shared_.isStopping && node_.phase() != Phase::Stopped) {
        const auto wait = std::chrono::ceil<Millis>(node_.nextWakeup() - clock_.now());
        if (wait > Millis(0))
            shared_.inbox.wake().wait(static_cast<int>(wait.count()));
        shared_.inbox.wake().clear();
        handleInbox();
    }
    shared_.isReady = false;
    shared_.phase = Phase::Stopped;
    node_.shutdown();
}

void DecisionThread::handleInbox()
{
    bool hasHandledEvent = false;
    for (int i = 0; i < kMaxEventsPerTurn; ++i) {
        const std::unique_ptr<InboxItem> item = shared_.inbox.pop();
        if (!item)
            break;
        if (item->statusQuery) {
            answerStatusQuery(*item->statusQuery);
            continue;
        }
        hasHandledEvent = true;
        node_.handle(item->event, actions_);
        for (Action& action : actions_)
            dispatch(action);
        actions_.clear();
    }
    if (shared_.inbox.size() > 0)
        shared_.inbox.wake().signal();
    if (!hasHandledEvent || clock_.now() >= node_.nextWakeup()) {
        node_.handle(Tick {}, actions_);
        for (Action& action : actions_)
            dispatch(action);
        actions_.clear();
    }
    shared_.isReady = node_.isReady();
    shared_.phase = node_.phase();
}

void DecisionThread::dispatch(Action& action)
{
    if (auto* send = std::get_if<SendPeer>(&action)) {
        pushOrWait(shared_.peerMessages, std::make_unique<SendPeer>(std::move(*send)));
    } else if (auto* call = std::get_if<CallBackend>(&action)) {
        pushOrWait(shared_.backendCommands, std::make_unique<BackendCommand>(std::move(*call)));
    } else if (auto* cancel = std::get_if<CancelBackend>(&action)) {
        pushOrWait(shared_.backendCommands, std::make_unique<BackendCommand>(std::move(*cancel)));
    } else if (auto* answer = std::get_if<AnswerCaller>(&action)) {
        shared_.callers.complete(answer->tag, std::move(answer->answer));
    } else if (auto* read = std::get_if<ReadPlatform>(&action)) {
        pushOrWait(shared_.platformReads, std::make_unique<ReadPlatform>(*read));
    } else if (auto* event = std::get_if<TimelineEvent>(&action)) {
        if (isLogged(*event))
            LOG(INFO) << "event=" << name(event->kind) << " code=" << static_cast<int>(event->code) << " subject=\"" << event->subject << "\" number=" << event->number;
        shared_.timeline.add(std::move(*event));
    }
}

void DecisionThread::answerStatusQuery(StatusQuery& query)
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
        ++shared_.ringFull;
        usleep(200);
        if (shared_.isStopping)
            return;
    }
}

} // namespace limpettrestle
