#include "shared_state.h"

#include "../config.h"

namespace limpettrestle {

std::shared_ptr<PendingCaller> CallerTable::add(CallerTag& tag)
{
    auto caller = std::make_shared<PendingCaller>();
    absl::MutexLock lock(&mutex_);
    tag = { ++lastTag_ };
    callers_.emplace(tag.value, caller);
    return caller;
}

void CallerTable::complete(CallerTag tag, Answer answer)
{
    std::shared_ptr<PendingCaller> caller;
    {
        absl::MutexLock lock(&mutex_);
        const auto it = callers_.find(tag.value);
        if (it == callers_.end())
            return;
        caller = std::move(it->second);
        callers_.erase(it);
    }
    caller->answer = std::move(answer);
    caller->done.Notify();
}

void CallerTable::remove(CallerTag tag)
{
    absl::MutexLock lock(&mutex_);
    callers_.erase(tag.value);
}

size_t CallerTable::size() const
{
    absl::MutexLock lock(&mutex_);
    return callers_.size();
}

void TimelineBuffer::add(TimelineEvent event)
{
    absl::MutexLock lock(&mutex_);
    if (events_.size() == config::kMaxTimelineEntries)
        events_.pop_front();
    events_.push_back(std::move(event));
}

std::vector<TimelineEvent> TimelineBuffer::copy(RequestId request) const
{
    absl::MutexLock lock(&mutex_);
    std::vector<TimelineEvent> events;
    for (const TimelineEvent& event : events_) {
        if (!request.isValid() || event.request == request)
            events.push_back(event);
    }
    return events;
}

bool SharedState::post(Event event)
{
    auto item = std::make_unique<InboxItem>();
    item->event = std::move(event);
    if (inbox.push(item))
        return true;
    ++ringFull;
    return false;
}

} // namespace limpettrestle
