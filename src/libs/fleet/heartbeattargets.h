#pragma once

#include "member.h"

#include <base/random.h>

#include <optional>
#include <vector>

namespace Fleet {

struct HeartbeatTargetSettings
{
    /// Up to this many peers, every interval reaches all of them.
    std::size_t fullExchangeLimit = 11;
    /// Peers reached in one interval in a larger fleet.
    std::size_t peersPerInterval = 3;
    /// Besides, daemons that were never heard of nor sent to.
    std::size_t firstContactsPerInterval = 12;
};

/// Chooses the peers that one interval reaches: all of a small fleet, else the next few of a
/// random order that reaches everyone before it starts again.
class HeartbeatTargets
{
public:
    HeartbeatTargets(HeartbeatTargetSettings settings, std::uint64_t seed);

    std::vector<Base::IncarnationId> choose(const Members &members);

    /// Whether one interval does not reach everyone.
    bool isPartialView(const Members &members) const;

private:
    void addFirstContacts(std::vector<Base::IncarnationId> &targets, const Members &members) const;
    std::optional<Base::IncarnationId> next(const Members &members);
    void refill(const Members &members);

    HeartbeatTargetSettings settings_;
    Base::Random random_;
    std::vector<Base::IncarnationId> round_;
};

} // namespace Fleet
