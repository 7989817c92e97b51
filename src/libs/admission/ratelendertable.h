#pragma once

#include "ratelender.h"

#include <set>

namespace Admission {

/// The lenders of all teams whose partitions this daemon owns.
class RateLenderTable
{
public:
    explicit RateLenderTable(LenderSettings settings);

    /// Adds the team; see RateLender::acquired().
    void acquired(const Base::TeamId &team,
                  RateLimit limit,
                  Base::Epoch epoch,
                  Base::Instant now,
                  Base::Instant waitUntil,
                  Base::Instant leaseUntil);
    /// The daemon's lease was extended; applies to all teams.
    void renewed(Base::Instant leaseUntil);
    void lost(const Base::TeamId &team);
    void configured(const Base::TeamId &team, RateLimit limit, Base::Instant now);

    /// Messages about teams that this daemon does not own are dropped.
    void requested(const GrantRequest &request, Base::Instant now);
    void returned(const GrantReturn &grantReturn, Base::Instant now);

    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<SendGrant> takeActions();

    bool owns(const Base::TeamId &team) const { return lenders_.contains(team); }
    std::size_t size() const { return lenders_.size(); }

private:
    struct Entry
    {
        RateLender lender;
        std::optional<Base::Instant> wakeUp;
    };

    /// Takes the actions of the lender and updates its wake-up time.
    void collectActions(const Base::TeamId &team, Entry &entry);

    LenderSettings settings_;
    std::unordered_map<Base::TeamId, Entry> lenders_;
    std::set<std::pair<Base::Instant, Base::TeamId>> wakeUps_;
    std::vector<SendGrant> actions_;
};

} // namespace Admission
