#include "fairqueue.h"

#include <algorithm>
#include <tuple>

namespace Dispatch {

bool goesBefore(const QueueKey &a, const QueueKey &b)
{
    if (a.team != b.team) {
        if (a.team->service != b.team->service) {
            return a.team->service < b.team->service;
        }
        // A newcomer starts level with the least active team; the one that asks for less goes
        // first.
        return std::tie(a.team->active, a.team->team) < std::tie(b.team->active, b.team->team);
    }
    return std::pair(a.order, a.id) < std::pair(b.order, b.id);
}

bool FairQueue::add(const QueueKey &key)
{
    auto lane = laneOf(key.team);
    if (lane == lanes_.end()) {
        lanes_.push_back(Lane{key.team, {}});
        lane = std::prev(lanes_.end());
    }
    const bool isNew = lane->calls.emplace(key.order, key.id).second;
    size_ += isNew ? 1 : 0;
    return isNew;
}

bool FairQueue::remove(const QueueKey &key)
{
    const auto lane = laneOf(key.team);
    if (lane == lanes_.end() || lane->calls.erase({key.order, key.id}) == 0) {
        return false;
    }
    size_--;
    if (lane->calls.empty()) {
        std::swap(*lane, lanes_.back());
        lanes_.pop_back();
    }
    return true;
}

std::optional<QueueKey> FairQueue::best() const
{
    std::optional<QueueKey> best;
    forEachTeam([&best](const TeamCounter &, std::size_t, const QueueKey &first) {
        if (!best || goesBefore(first, *best)) {
            best = first;
        }
    });
    return best;
}

std::optional<QueueKey> FairQueue::bestOf(const Base::TeamId &team) const
{
    for (const Lane &lane : lanes_) {
        if (lane.team->team == team) {
            return QueueKey{lane.team, lane.calls.begin()->first, lane.calls.begin()->second};
        }
    }
    return std::nullopt;
}

std::vector<QueueKey> FairQueue::front(std::size_t limit) const
{
    std::vector<QueueKey> firsts;
    for (const Lane &lane : lanes_) {
        std::size_t count = 0;
        for (const auto &[order, id] : lane.calls) {
            if (count++ == limit) {
                break;
            }
            firsts.push_back(QueueKey{lane.team, order, id});
        }
    }
    const std::size_t kept = std::min(limit, firsts.size());
    const auto middle = firsts.begin() + static_cast<std::ptrdiff_t>(kept);
    std::partial_sort(firsts.begin(), middle, firsts.end(), goesBefore);
    firsts.resize(kept);
    return firsts;
}

std::size_t FairQueue::waitingOf(const Base::TeamId &team) const
{
    for (const Lane &lane : lanes_) {
        if (lane.team->team == team) {
            return lane.calls.size();
        }
    }
    return 0;
}

std::vector<FairQueue::Lane>::iterator FairQueue::laneOf(const TeamCounter *team)
{
    return std::find_if(
        lanes_.begin(), lanes_.end(), [team](const Lane &lane) { return lane.team == team; });
}

} // namespace Dispatch
