#pragma once

/// Thread that owns the node: handles the events of the inbox and passes the resulting actions to the
/// other threads.

#include "shared_state.h"

namespace limpettrestle {

class DecisionThread {
public:
    DecisionThread(SharedState& shared, const NodeInit& init);

    /// Runs until the node has stopped or `SharedState::isStopping` is set.
    void run();

private:
    void handleInbox();
    /// Passes an action to the thread that performs it.
    void dispatch(Action& action);
    void answerStatusQuery(StatusQuery& query);
    /// Blocks until the queue has room, so that no action is lost. Gives up at shutdown.
    template <typename T>
    void pushOrWait(BoundedRing<T>& ring, std::unique_ptr<T> item);

    SharedState& shared_;
    const ClockI& clock_;
    std::string zone_;
    Node node_;
    std::vector<Action> actions_;
};

} // namespace limpettrestle
