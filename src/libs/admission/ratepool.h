#pragma once

#include "messages.h"

#include <base/instant.h>
#include <base/types.h>

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Admission {

struct TeamDemand
{
    Base::TeamId team;
    /// Requests that reach one daemon, refused ones included.
    double perSecond = 0;

    bool operator==(const TeamDemand &) const = default;
};

struct TeamShare
{
    Base::TeamId team;
    double share = 0;

    bool operator==(const TeamShare &) const = default;
};

/// Divides rates between daemons by their demand. Every daemon has a right to an even part of each
/// rate; members put theirs into the pool for a short time and get parts of the pool. Pools of
/// different daemons with different members together never hold more than the whole, so a fleet
/// that falls apart stays within its limits without agreeing on who divides.
class RatePool
{
public:
    explicit RatePool(Base::Duration validity)
        : validity_(validity)
    {}

    /// Teams with a limit.
    void configure(const std::vector<std::pair<Base::TeamId, RateLimit>> &limits);
    /// Daemons of the fleet, members or not; each has a right to an even part.
    void setDaemonCount(std::size_t count) { daemonCount_ = count; }

    /// The member's demand replaces its earlier one; returns its shares of every team with demand.
    std::vector<TeamShare> stated(const Base::VmId &member,
                                  const std::vector<TeamDemand> &demands,
                                  Base::Instant now);

    /// Whether more than half of the daemons have stated their demand since the given time.
    bool hearsMostSince(Base::Instant since) const;

private:
    struct Member
    {
        Base::Instant statedAt;
        std::map<Base::TeamId, double> demands;
    };

    void forgetExpired(Base::Instant now);
    double shareOf(const Base::TeamId &team, double demand) const;

    Base::Duration validity_;
    std::size_t daemonCount_ = 1;
    std::unordered_map<Base::TeamId, RateLimit> limits_;
    std::map<Base::VmId, Member> members_;
};

} // namespace Admission
