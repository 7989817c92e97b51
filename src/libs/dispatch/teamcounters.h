#pragma once

#include <base/types.h>

#include <memory>
#include <unordered_map>

namespace Dispatch {

/// Service that one team has received, divided by its weight, in tokens.
struct TeamCounter
{
    Base::TeamId team;
    double weight = 1;
    double service = 0;
    /// Waiting and running calls; the team is active while there are any.
    std::uint32_t active = 0;
};

/// Weighted virtual token counters: the team with the least service is served first. The counter of
/// a team that becomes active is raised to the least active counter, so that idle time earns no
/// credit.
/// See Sheng et al., "Fairness in Serving Large Language Models", OSDI 2024.
class TeamCounters
{
public:
    /// Adds an active call of the team; the pointer stays valid while the team is active.
    TeamCounter *enter(const Base::TeamId &team, double weight);
    void leave(TeamCounter *counter);
    void leave(const Base::TeamId &team);
    /// Adds service in tokens; a negative amount corrects an earlier charge.
    static void charge(TeamCounter *counter, double tokens);
    void charge(const Base::TeamId &team, double tokens);

    TeamCounter *find(const Base::TeamId &team) const;

private:
    double leastActive() const;

    std::unordered_map<Base::TeamId, std::unique_ptr<TeamCounter>> counters_;
    double lastService_ = 0;
};

} // namespace Dispatch
