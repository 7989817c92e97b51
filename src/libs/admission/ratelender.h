#pragma once

#include "messages.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

namespace Admission {

struct LenderSettings
{
    /// Maximum validity of a grant; a new owner waits this long after the old owner's lease.
    Base::Duration grantLength = std::chrono::milliseconds(250);
    /// Minimum time between two rounds of grants for queued demand.
    Base::Duration roundInterval = std::chrono::milliseconds(2);
    /// Fraction of the free permits that one request may borrow for expected calls.
    double expectedShare = 0.25;
};

/// Send the grant to the borrower.
struct SendGrant
{
    Base::IncarnationId borrower;
    Grant grant;
};

/// Token bucket of a team, at the owner of the team's partition. The sum of the level and of the
/// outstanding permits never exceeds the burst; the refill stops at that sum. Therefore borrowers
/// admit at most burst + rate * w calls in any window of length w.
class RateLender
{
public:
    RateLender(Base::TeamId team, RateLimit limit, LenderSettings settings);

    /// Ownership gained: starts with an empty bucket and lends nothing before `waitUntil` (end of
    /// the previous owner's lease plus a grant's length) nor at or after `leaseUntil`.
    void acquired(Base::Epoch epoch,
                  Base::Instant now,
                  Base::Instant waitUntil,
                  Base::Instant leaseUntil);
    /// The owner's lease was extended.
    void renewed(Base::Instant leaseUntil);
    /// Ownership lost: lends nothing and discards its loans.
    void lost();
    /// Changes the limit; outstanding permits stay counted.
    void configured(RateLimit limit, Base::Instant now);

    void requested(const GrantRequest &request, Base::Instant now);
    /// Credits the unused permits once; a return after the grant's expiry is ignored.
    void returned(const GrantReturn &grantReturn, Base::Instant now);

    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<SendGrant> takeActions();

    /// Permits in the bucket at the last event.
    double level() const { return level_; }
    /// Permits that are lent and neither returned nor known to be used.
    Permits outstanding() const { return outstanding_; }
    Permits backlog() const;

private:
    struct Loan
    {
        Permits size;
        Permits used;
        Permits returned;
        Base::Instant expiry;

        Permits open() const { return size - used - returned; }
    };
    struct Demand
    {
        GrantRequestNumber number;
        Permits needed;
        Permits expected;
        Base::Instant requestedAt;
        bool isQueued = false;
    };

    bool mayLend(Base::Instant now) const;
    void refill(Base::Instant now);
    void applyReturn(const GrantReturn &grantReturn);
    Permits lendable() const;
    void lend(const Base::IncarnationId &borrower, Permits amount, Base::Instant now);
    void enqueue(const Base::IncarnationId &borrower, Demand &demand);
    void serveQueue(Base::Instant now);

    Base::TeamId team_;
    RateLimit limit_;
    LenderSettings settings_;
    Base::Epoch epoch_;
    Base::Instant waitUntil_;
    Base::Instant leaseUntil_;
    Base::Instant refilledAt_;
    Base::Instant nextRound_;
    double level_ = 0;
    Permits outstanding_;
    Base::GrantId lastGrant_;
    std::map<Base::GrantId, Loan> loans_;
    std::unordered_map<Base::IncarnationId, Demand> demands_;
    std::deque<Base::IncarnationId> queue_;
    std::vector<SendGrant> actions_;
};

} // namespace Admission
