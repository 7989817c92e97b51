#include "ratepool.h"

#include <algorithm>
#include <set>

namespace Admission {

void RatePool::configure(const std::vector<std::pair<Base::TeamId, RateLimit>> &limits)
{
    limits_.clear();
    limits_.insert(limits.begin(), limits.end());
}

std::vector<TeamShare> RatePool::stated(const Base::VmId &member,
                                        const std::vector<TeamDemand> &demands,
                                        Base::Instant now)
{
    forgetExpired(now);
    Member &entry = members_[member];
    entry.statedAt = now;
    entry.demands.clear();
    for (const TeamDemand &demand : demands) {
        entry.demands[demand.team] = std::max(0.0, demand.perSecond);
    }
    std::set<Base::TeamId> teams;
    for (const auto &[vm, other] : members_) {
        for (const auto &[team, demand] : other.demands) {
            teams.insert(team);
        }
    }
    std::vector<TeamShare> shares;
    for (const Base::TeamId &team : teams) {
        if (limits_.contains(team)) {
            const auto own = entry.demands.find(team);
            shares.push_back({team, shareOf(team, own == entry.demands.end() ? 0 : own->second)});
        }
    }
    return shares;
}

bool RatePool::hearsMostSince(Base::Instant since) const
{
    const auto heard = std::count_if(members_.begin(), members_.end(), [&](const auto &entry) {
        return entry.second.statedAt >= since;
    });
    return 2 * static_cast<std::size_t>(heard) > daemonCount_;
}

void RatePool::forgetExpired(Base::Instant now)
{
    std::erase_if(members_,
                  [&](const auto &entry) { return now - entry.second.statedAt >= validity_; });
}

double RatePool::shareOf(const Base::TeamId &team, double demand) const
{
    const double members = static_cast<double>(members_.size());
    const double pool
        = std::min(1.0, members / static_cast<double>(std::max<std::size_t>(1, daemonCount_)));
    const double rate = std::max(1e-9, limits_.at(team).perSecond);
    double total = 0;
    for (const auto &[vm, member] : members_) {
        if (const auto each = member.demands.find(team); each != member.demands.end()) {
            total += each->second / rate;
        }
    }
    if (total <= pool) {
        return demand / rate + (pool - total) / members;
    }
    return pool * demand / rate / total;
}

} // namespace Admission
