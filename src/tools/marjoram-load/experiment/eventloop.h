#pragma once

#include <base/instant.h>

#include <functional>
#include <queue>
#include <vector>

namespace Experiment {

/// Events in order of virtual time; equal times run in the order of scheduling.
class EventLoop
{
public:
    Base::Instant now() const { return now_; }
    void at(Base::Instant time, std::function<void()> run);
    void after(Base::Duration delay, std::function<void()> run)
    {
        at(now_ + delay, std::move(run));
    }
    /// Runs until no event is left or the time is reached.
    void run(Base::Instant until);

private:
    struct Event
    {
        Base::Instant time;
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator>(const Event &other) const
        {
            return std::pair(time, order) > std::pair(other.time, other.order);
        }
    };

    Base::Instant now_;
    std::uint64_t order_ = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

inline Base::Duration fromSeconds(double seconds)
{
    return Base::Duration(static_cast<std::int64_t>(seconds * 1e6));
}

inline Base::Instant instantAt(double seconds)
{
    return Base::Instant(fromSeconds(seconds));
}

} // namespace Experiment
