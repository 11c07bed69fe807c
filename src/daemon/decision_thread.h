#pragma once

/// Thread that owns the node: takes events from the inbox and hands actions to the other threads.

#include "hub.h"

namespace limpettrestle {

class DecisionThread {
public:
    DecisionThread(Hub& hub, const NodeInit& init);

    /// Runs until the node has stopped or the hub is told to stop.
    void run();

private:
    void handleInbox();
    void route(Action& action);
    void answerStatus(StatusQuery& query);
    /// Waits for room: a decision that was taken is never lost.
    template <typename T>
    void pushOrWait(BoundedRing<T>& ring, std::unique_ptr<T> item);

    Hub& hub_;
    const ClockI& clock_;
    std::string zone_;
    Node node_;
    std::vector<Action> actions_;
};

} // namespace limpettrestle
