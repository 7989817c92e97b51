#pragma once

#include <base/instant.h>
#include <base/types.h>

#include <variant>
#include <vector>

/// Enforces the fleet-wide rate and burst of teams by short-lived grants from the owner of the
/// team's partition.
namespace Admission {

/// Number of calls that may be admitted.
using Permits = Base::StrongNumber<struct PermitsTag, std::int64_t>;

/// Sequence number of the grant requests of one borrower for one team.
using GrantRequestNumber = Base::StrongNumber<struct GrantRequestNumberTag, std::uint64_t>;

/// Rate limit of a team: sustained calls per second and maximum burst.
struct RateLimit
{
    double perSecond = 0;
    Permits burst;

    bool operator==(const RateLimit &) const = default;
};

/// Sent by a borrower to the lender: the used and the returned permits of one grant. Both amounts
/// are cumulative, so repeated and reordered messages are harmless. Returned permits are never used
/// afterwards.
struct GrantReturn
{
    Base::TeamId team;
    Base::Epoch epoch;
    Base::GrantId grant;
    Permits used;
    Permits returned;

    bool operator==(const GrantReturn &) const = default;
};

/// Sent by a borrower to the lender; replaces the borrower's earlier demand for the team.
struct GrantRequest
{
    Base::TeamId team;
    Base::IncarnationId borrower;
    GrantRequestNumber number;
    /// Calls that currently wait at the borrower.
    Permits needed;
    /// Further calls that the borrower expects soon; lent only if no demand is queued.
    Permits expected;
    std::vector<GrantReturn> returns;

    bool operator==(const GrantRequest &) const = default;
};

/// Sent by the lender to a borrower. Valid for `validFor` from the time when the borrower sent the
/// request `answers`, on the borrower's clock. Zero permits mean that the demand is queued at the
/// lender.
struct Grant
{
    Base::TeamId team;
    Base::Epoch epoch;
    Base::GrantId grant;
    GrantRequestNumber answers;
    Permits permits;
    Base::Duration validFor{0};
    /// Permits that all borrowers have requested and the lender has not granted yet.
    Permits backlog;
    /// Lets a daemon that restarted at the same address reject grants for its predecessor, whose
    /// request numbers may equal its own.
    Base::IncarnationId borrower;

    bool operator==(const Grant &) const = default;
};

using Message = std::variant<GrantRequest, Grant, GrantReturn>;

} // namespace Admission
