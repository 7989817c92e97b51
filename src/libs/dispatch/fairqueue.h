#pragma once

#include "messages.h"
#include "teamcounters.h"

#include <optional>
#include <set>
#include <vector>

namespace Dispatch {

/// Sort key of a waiting call.
struct QueueKey
{
    TeamCounter *team = nullptr;
    /// Attained service of the program plus the arrival time times the ageing rate; the least key
    /// is first.
    double order = 0;
    DispatchId id;
};

/// Queue of waiting calls, ordered between teams by their counters and within a team by order key.
/// The cost of choosing a call grows with the number of waiting teams, not of waiting calls.
class FairQueue
{
public:
    /// Returns false if the call is queued already.
    bool add(const QueueKey &key);
    /// Returns false if the call is not queued.
    bool remove(const QueueKey &key);

    /// First call of the team with the least service; nullopt if the queue is empty.
    std::optional<QueueKey> best() const;
    /// First call of the given team.
    std::optional<QueueKey> bestOf(const Base::TeamId &team) const;
    /// The first `limit` calls in the order of precedes().
    std::vector<QueueKey> firstCalls(std::size_t limit) const;

    std::size_t size() const { return size_; }
    bool isEmpty() const { return size_ == 0; }
    std::size_t waitingOf(const Base::TeamId &team) const;

    /// Calls `visit(counter, waiting, first)` for each team with waiting calls.
    template<typename Visit>
    void forEachTeam(Visit visit) const
    {
        for (const TeamQueue &teamQueue : teamQueues_) {
            const auto &[order, id] = *teamQueue.calls.begin();
            visit(*teamQueue.team, teamQueue.calls.size(), QueueKey{teamQueue.team, order, id});
        }
    }

private:
    using Item = std::pair<double, DispatchId>;
    struct TeamQueue
    {
        TeamCounter *team = nullptr;
        std::set<Item> calls;
    };

    std::vector<TeamQueue>::iterator findTeamQueue(const TeamCounter *team);

    std::vector<TeamQueue> teamQueues_;
    std::size_t size_ = 0;
};

/// Whether `a` is before `b` in the order of a FairQueue.
bool precedes(const QueueKey &a, const QueueKey &b);

} // namespace Dispatch
