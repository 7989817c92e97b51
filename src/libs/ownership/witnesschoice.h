#pragma once

#include <fleet/world.h>

#include <vector>

namespace Ownership {

/// What a daemon may be used for as a witness.
struct WitnessOption
{
    Fleet::Daemon daemon;
    /// A witness that is not well may be kept for a while, but is not chosen anew.
    bool isChoosable = true;
};

/// Two witnesses in other zones, in two different ones if there are, the current ones first. In a
/// fleet of one zone they are in that zone. Empty if there are not two.
std::vector<Base::IncarnationId> chooseWitnesses(const Fleet::Daemon &self,
                                                 const std::vector<WitnessOption> &options,
                                                 const std::vector<Base::IncarnationId> &current);

} // namespace Ownership
