#pragma once

#include "member.h"

#include <base/random.h>

#include <optional>
#include <vector>

namespace Fleet {

struct HeartbeatTargetSettings
{
    /// With up to this many peers, every interval reaches all of them.
    std::size_t fullExchangeLimit = 11;
    /// Peers that one interval reaches in a larger fleet.
    std::size_t peersPerInterval = 3;
    /// Additional daemons per interval that have not joined and were never contacted.
    std::size_t firstContactsPerInterval = 12;
};

/// Chooses the peers that one interval reaches: all of a small fleet, otherwise the next ones of a
/// random order. Every peer is reached once before a new order starts.
class HeartbeatTargets
{
public:
    HeartbeatTargets(HeartbeatTargetSettings settings, std::uint64_t seed);

    std::vector<Base::IncarnationId> choose(const Members &members);

    /// Whether one interval reaches only a part of the peers.
    bool isPartialView(const Members &members) const;

private:
    void addFirstContacts(std::vector<Base::IncarnationId> &targets, const Members &members) const;
    std::optional<Base::IncarnationId> next(const Members &members);
    void refill(const Members &members);

    HeartbeatTargetSettings settings_;
    Base::Random random_;
    std::vector<Base::IncarnationId> remainingTargets_;
};

} // namespace Fleet
