#include "teamcounters.h"

#include <algorithm>
#include <limits>

namespace Dispatch {

TeamCounter *TeamCounters::enter(const Base::TeamId &team, double weight)
{
    std::unique_ptr<TeamCounter> &counter = counters_[team];
    if (!counter) {
        counter = std::make_unique<TeamCounter>();
        counter->team = team;
    }
    counter->weight = weight;
    if (counter->active == 0) {
        counter->service = std::max(counter->service, leastActive());
    }
    counter->active++;
    return counter.get();
}

void TeamCounters::leave(TeamCounter *counter)
{
    counter->active--;
    if (counter->active == 0) {
        lastService_ = std::max(lastService_, counter->service);
    }
}

void TeamCounters::charge(TeamCounter *counter, double tokens)
{
    counter->service += tokens / counter->weight;
}

void TeamCounters::leave(const Base::TeamId &team)
{
    if (TeamCounter *counter = find(team)) {
        leave(counter);
    }
}

void TeamCounters::charge(const Base::TeamId &team, double tokens)
{
    if (TeamCounter *counter = find(team)) {
        charge(counter, tokens);
    }
}

TeamCounter *TeamCounters::find(const Base::TeamId &team) const
{
    const auto it = counters_.find(team);
    return it == counters_.end() ? nullptr : it->second.get();
}

double TeamCounters::leastActive() const
{
    double least = std::numeric_limits<double>::max();
    for (const auto &[team, counter] : counters_) {
        if (counter->active > 0) {
            least = std::min(least, counter->service);
        }
    }
    // Without an active team, counters continue from that of the last team that was active.
    return least == std::numeric_limits<double>::max() ? lastService_ : least;
}

} // namespace Dispatch
