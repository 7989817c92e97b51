#include "fairqueue.h"

#include <algorithm>
#include <tuple>

namespace Dispatch {

bool precedes(const QueueKey &a, const QueueKey &b)
{
    if (a.team != b.team) {
        if (a.team->service != b.team->service) {
            return a.team->service < b.team->service;
        }
        // A team that becomes active starts with the counter of the least active team. Among equal
        // counters, the team with fewer active calls is first.
        return std::tie(a.team->active, a.team->team) < std::tie(b.team->active, b.team->team);
    }
    return std::pair(a.order, a.id) < std::pair(b.order, b.id);
}

bool FairQueue::add(const QueueKey &key)
{
    auto teamQueue = findTeamQueue(key.team);
    if (teamQueue == teamQueues_.end()) {
        teamQueues_.push_back(TeamQueue{key.team, {}});
        teamQueue = std::prev(teamQueues_.end());
    }
    const bool isNew = teamQueue->calls.emplace(key.order, key.id).second;
    size_ += isNew ? 1 : 0;
    return isNew;
}

bool FairQueue::remove(const QueueKey &key)
{
    const auto teamQueue = findTeamQueue(key.team);
    if (teamQueue == teamQueues_.end() || teamQueue->calls.erase({key.order, key.id}) == 0) {
        return false;
    }
    size_--;
    if (teamQueue->calls.empty()) {
        std::swap(*teamQueue, teamQueues_.back());
        teamQueues_.pop_back();
    }
    return true;
}

std::optional<QueueKey> FairQueue::best() const
{
    std::optional<QueueKey> best;
    forEachTeam([&best](const TeamCounter &, std::size_t, const QueueKey &first) {
        if (!best || precedes(first, *best)) {
            best = first;
        }
    });
    return best;
}

std::optional<QueueKey> FairQueue::bestOf(const Base::TeamId &team) const
{
    for (const TeamQueue &teamQueue : teamQueues_) {
        if (teamQueue.team->team == team) {
            return QueueKey{
                teamQueue.team, teamQueue.calls.begin()->first, teamQueue.calls.begin()->second};
        }
    }
    return std::nullopt;
}

std::vector<QueueKey> FairQueue::firstCalls(std::size_t limit) const
{
    std::vector<QueueKey> candidates;
    for (const TeamQueue &teamQueue : teamQueues_) {
        std::size_t count = 0;
        for (const auto &[order, id] : teamQueue.calls) {
            if (count++ == limit) {
                break;
            }
            candidates.push_back(QueueKey{teamQueue.team, order, id});
        }
    }
    const std::size_t kept = std::min(limit, candidates.size());
    const auto middle = candidates.begin() + static_cast<std::ptrdiff_t>(kept);
    std::partial_sort(candidates.begin(), middle, candidates.end(), precedes);
    candidates.resize(kept);
    return candidates;
}

std::size_t FairQueue::waitingOf(const Base::TeamId &team) const
{
    for (const TeamQueue &teamQueue : teamQueues_) {
        if (teamQueue.team->team == team) {
            return teamQueue.calls.size();
        }
    }
    return 0;
}

std::vector<FairQueue::TeamQueue>::iterator FairQueue::findTeamQueue(const TeamCounter *team)
{
    return std::find_if(teamQueues_.begin(), teamQueues_.end(), [team](const TeamQueue &teamQueue) {
        return teamQueue.team == team;
    });
}

} // namespace Dispatch
