#include "eventloop.h"

#include <algorithm>

namespace Experiment {

void EventLoop::at(Base::Instant time, std::function<void()> run)
{
    events_.push(Event{std::max(time, now_), ++order_, std::move(run)});
}

void EventLoop::run(Base::Instant until)
{
    while (!events_.empty() && events_.top().time <= until) {
        const Event event = events_.top();
        events_.pop();
        now_ = event.time;
        event.run();
    }
}

} // namespace Experiment
