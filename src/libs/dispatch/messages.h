#pragma once

#include "types.h"

#include <variant>
#include <vector>

namespace Dispatch {

/// Position of a request among those of one borrower for one server; grows with each.
using SlotRequestNumber = Base::StrongNumber<struct SlotRequestNumberTag, std::uint64_t>;

/// Calls of one team that wait at a borrower for one server.
struct TeamDemand
{
    Base::TeamId team;
    double weight = 1;
    std::uint32_t waiting = 0;
    /// Order key of the first of them (see FairQueue); the least goes first within the team.
    double firstKey = 0;
    /// Expected cost of the first of them, in tokens.
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

/// Dispatcher to the owner of the server's partition: the whole current demand and all slots held;
/// replaces what the borrower said before.
struct SlotRequest
{
    Base::ServerId server;
    Base::IncarnationId borrower;
    SlotRequestNumber number;
    std::vector<TeamDemand> demands;
    std::vector<HeldSlot> held;

    bool operator==(const SlotRequest &) const = default;
};

/// Owner to dispatcher: one call may run on the server; the slot is held until it is returned.
struct SlotGrant
{
    Base::ServerId server;
    Base::Epoch epoch;
    SlotId slot;
    /// The team whose turn it is.
    Base::TeamId team;
    /// Calls of all borrowers that wait at the lender.
    std::uint32_t backlog = 0;

    bool operator==(const SlotGrant &) const = default;
};

/// Dispatcher to owner: the slot is free again.
struct SlotReturn
{
    Base::ServerId server;
    Base::Epoch epoch;
    SlotId slot;
    /// The team that used it; empty if it was not used.
    Base::TeamId team;
    /// What the call cost, in tokens; 0 if the slot was not used.
    Base::Tokens cost;

    bool operator==(const SlotReturn &) const = default;
};

using Message = std::variant<SlotRequest, SlotGrant, SlotReturn>;

} // namespace Dispatch
