#pragma once

#include <base/types.h>

#include <string>
#include <vector>

namespace TurnHistory {

/// A daemon with a disk that keeps turns.
struct Holder
{
    Base::VmId vm;
    Base::ZoneId zone;

    auto operator<=>(const Holder &) const = default;
};

/// Orders the holders for a key by rendezvous hashing, one of each availability zone first, so that
/// the first n are in as many zones as possible.
std::vector<Base::VmId> rankHolders(const std::string &placementKey,
                                    const std::vector<Holder> &holders);

} // namespace TurnHistory
