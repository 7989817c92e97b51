#pragma once

#include "messages.h"
#include "teamcounters.h"

#include <optional>
#include <set>
#include <vector>

namespace Dispatch {

/// What orders one waiting call.
struct QueueKey
{
    TeamCounter *team = nullptr;
    /// Attained service of the program plus the time of arrival in ageing units; least first.
    double order = 0;
    DispatchId id;
};

/// Waiting calls ordered between teams by their counters and within a team by the order key.
/// The cost of a choice grows with the number of teams that wait, not with the number of calls.
class FairQueue
{
public:
    /// Returns whether the call was not there yet.
    bool add(const QueueKey &key);
    /// Returns whether the call was there.
    bool remove(const QueueKey &key);

    /// First call of the team with the least service; nothing if the queue is empty.
    std::optional<QueueKey> best() const;
    /// First call of the given team.
    std::optional<QueueKey> bestOf(const Base::TeamId &team) const;
    /// The first calls of each team, at most `limit` in all, in order of the teams' counters.
    std::vector<QueueKey> front(std::size_t limit) const;

    std::size_t size() const { return size_; }
    bool isEmpty() const { return size_ == 0; }
    std::size_t waitingOf(const Base::TeamId &team) const;

    /// Calls `visit(counter, waiting, first)` for each team that waits.
    template<typename Visit>
    void forEachTeam(Visit visit) const
    {
        for (const Lane &lane : lanes_) {
            const auto &[order, id] = *lane.calls.begin();
            visit(*lane.team, lane.calls.size(), QueueKey{lane.team, order, id});
        }
    }

private:
    using Item = std::pair<double, DispatchId>;
    struct Lane
    {
        TeamCounter *team = nullptr;
        std::set<Item> calls;
    };

    std::vector<Lane>::iterator laneOf(const TeamCounter *team);

    std::vector<Lane> lanes_;
    std::size_t size_ = 0;
};

/// Whether `a` goes before `b`.
bool goesBefore(const QueueKey &a, const QueueKey &b);

} // namespace Dispatch
