#pragma once

#include "types.h"

#include <variant>
#include <vector>

namespace Dispatch {

/// Sequence number of the slot requests of one borrower for one server.
using SlotRequestNumber = Base::StrongNumber<struct SlotRequestNumberTag, std::uint64_t>;

/// Waiting calls of one team at a borrower for one server.
struct TeamDemand
{
    Base::TeamId team;
    double weight = 1;
    std::uint32_t waiting = 0;
    /// Order key of the first waiting call (see FairQueue); the least key is first within a team.
    double firstKey = 0;
    /// Expected cost of the first waiting call, in tokens.
    Base::Tokens firstCost;

    bool operator==(const TeamDemand &) const = default;
};

struct HeldSlot
{
    Base::Epoch epoch;
    SlotId slot;
    Base::TeamId team;

    bool operator==(const HeldSlot &) const = default;
};

/// Sent by a dispatcher to the owner of the server's partition: the complete current demand and all
/// held slots. Replaces the borrower's earlier requests.
struct SlotRequest
{
    Base::ServerId server;
    Base::IncarnationId borrower;
    SlotRequestNumber number;
    std::vector<TeamDemand> demands;
    std::vector<HeldSlot> held;

    bool operator==(const SlotRequest &) const = default;
};

/// Sent by the owner to a dispatcher: one call may run on the server. The dispatcher holds the slot
/// until it returns it.
struct SlotGrant
{
    Base::ServerId server;
    Base::Epoch epoch;
    SlotId slot;
    /// The team whose call may run.
    Base::TeamId team;
    /// Waiting calls of all borrowers, according to the lender.
    std::uint32_t backlog = 0;

    bool operator==(const SlotGrant &) const = default;
};

/// Sent by a dispatcher to the owner: the slot is free again.
struct SlotReturn
{
    Base::ServerId server;
    Base::Epoch epoch;
    SlotId slot;
    /// The team that used it; empty if it was not used.
    Base::TeamId team;
    /// Cost of the call in tokens; 0 if the slot was not used.
    Base::Tokens cost;

    bool operator==(const SlotReturn &) const = default;
};

using Message = std::variant<SlotRequest, SlotGrant, SlotReturn>;

} // namespace Dispatch
