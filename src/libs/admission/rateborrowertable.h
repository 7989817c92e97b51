#pragma once

#include "rateborrower.h"

#include <set>
#include <unordered_map>

namespace Admission {

/// The borrowers of all teams at one daemon.
class RateBorrowerTable
{
public:
    RateBorrowerTable(Base::IncarnationId self, BorrowerSettings settings);

    /// Adds the team or changes its limit.
    void configured(const Base::TeamId &team, RateLimit limit);
    /// Removes the team; its waiting calls are refused.
    void removed(const Base::TeamId &team, Base::Instant now);

    /// A call of an unknown team is refused at once.
    void arrived(const Base::TeamId &team,
                 Base::RequestId request,
                 Base::Instant deadline,
                 Base::Instant now);
    void cancelled(const Base::TeamId &team, Base::RequestId request, Base::Instant now);
    void granted(const Grant &grant, Base::Instant now);
    void ownerChanged(const Base::TeamId &team, Base::Instant now);

    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<BorrowerAction> takeActions();

    std::size_t waiting(const Base::TeamId &team) const;

private:
    struct Entry
    {
        RateBorrower borrower;
        std::optional<Base::Instant> wakeUp;
    };

    /// Takes the actions of the borrower and updates its wake-up time.
    void collectActions(const Base::TeamId &team, Entry &entry);

    Base::IncarnationId self_;
    BorrowerSettings settings_;
    std::unordered_map<Base::TeamId, Entry> borrowers_;
    std::set<std::pair<Base::Instant, Base::TeamId>> wakeUps_;
    std::vector<BorrowerAction> actions_;
};

} // namespace Admission
