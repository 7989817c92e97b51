#pragma once

#include <fleet/topology.h>

#include <vector>

namespace Ownership {

/// A daemon that may be a witness.
struct WitnessOption
{
    Fleet::Daemon daemon;
    /// Whether it may be chosen. A daemon that is not eligible may only be kept as a witness.
    bool isEligible = true;
};

/// Returns two witnesses in other zones than the daemon's, if possible in two different ones;
/// current witnesses are preferred. Without daemons in other zones, the witnesses are in the same
/// zone. Empty if there are fewer than two options.
std::vector<Base::IncarnationId> chooseWitnesses(const Fleet::Daemon &self,
                                                 const std::vector<WitnessOption> &options,
                                                 const std::vector<Base::IncarnationId> &current);

} // namespace Ownership
