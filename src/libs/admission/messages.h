#pragma once

#include <base/instant.h>
#include <base/types.h>

#include <variant>
#include <vector>

/// Fleet-wide rate and burst of teams, by short grants from the owner of the team's partition.
namespace Admission {

/// Number of calls that may be admitted.
using Permits = Base::StrongNumber<struct PermitsTag, std::int64_t>;

/// Position of a request among those of one borrower for one team; grows with each.
using AskNumber = Base::StrongNumber<struct AskNumberTag, std::uint64_t>;

/// A team's contract: sustained calls per second and the most admitted at one moment.
struct RateLimit
{
    double perSecond = 0;
    Permits burst;

    bool operator==(const RateLimit &) const = default;
};

/// Borrower to lender: what became of one grant so far. Both amounts are cumulative, so that
/// repeats and reordering do no harm; permits returned are never used afterwards.
struct GrantReturn
{
    Base::TeamId team;
    Base::Epoch epoch;
    Base::GrantId grant;
    Permits used;
    Permits returned;

    bool operator==(const GrantReturn &) const = default;
};

/// Borrower to lender: replaces the borrower's earlier demand for the team.
struct GrantRequest
{
    Base::TeamId team;
    Base::IncarnationId borrower;
    AskNumber number;
    /// Calls that wait at the borrower now.
    Permits needed;
    /// Further calls that the borrower expects soon; lent only out of plenty.
    Permits expected;
    std::vector<GrantReturn> returns;

    bool operator==(const GrantRequest &) const = default;
};

/// Lender to borrower. Valid for `validFor` from when the borrower sent the request `answers`,
/// on the borrower's clock. Zero permits is an answer too: the demand is queued at the lender.
struct Grant
{
    Base::TeamId team;
    Base::Epoch epoch;
    Base::GrantId grant;
    AskNumber answers;
    Permits permits;
    Base::Duration validFor{0};
    /// Permits asked for at the lender by all borrowers that are not granted yet.
    Permits backlog;
    /// A daemon that restarted at the same address must not take its predecessor's grants: their
    /// numbers answer requests of its own.
    Base::IncarnationId borrower;

    bool operator==(const Grant &) const = default;
};

using Message = std::variant<GrantRequest, Grant, GrantReturn>;

} // namespace Admission
