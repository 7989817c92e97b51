#pragma once

#include "messages.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

namespace Admission {

struct LenderSettings
{
    /// Longest validity of a grant; a new owner waits as long after the old owner's lease.
    Base::Duration grantLength = std::chrono::milliseconds(250);
    /// Shortest time between two rounds of grants to queued demand.
    Base::Duration roundInterval = std::chrono::milliseconds(2);
    /// Part of the free permits that one request may borrow for calls that are only expected.
    double expectedShare = 0.25;
};

/// Action of the lender: send the grant to the borrower.
struct SendGrant
{
    Base::IncarnationId borrower;
    Grant grant;
};

/// The one bucket of a team, at the owner of the team's partition. The level and the permits that
/// are lent and not accounted for never exceed the burst together; refill stops at that sum.
/// Therefore no window w sees more than burst + rate * w calls admitted by borrowers.
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
    /// Ownership lost: lends nothing more and forgets its grants.
    void lost();
    /// A new contract; permits that are out stay counted.
    void configured(RateLimit limit, Base::Instant now);

    void requested(const GrantRequest &request, Base::Instant now);
    /// Credits the unused permits once; a return after the grant's expiry is ignored.
    void returned(const GrantReturn &statement, Base::Instant now);

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
        AskNumber number;
        Permits needed;
        Permits expected;
        Base::Instant askedAt;
        bool isQueued = false;
    };

    bool mayLend(Base::Instant now) const;
    void refill(Base::Instant now);
    void account(const GrantReturn &statement);
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
