#pragma once

#include <dispatch/settings.h>

#include <string>
#include <vector>

namespace Experiment {

enum class AdmissionMode {
    /// RateLender and RateBorrower, as in the daemons.
    Grants,
    /// Every daemon has the team's rate and burst divided by the number of daemons.
    StaticSplit,
    /// One bucket that every daemon sees without delay.
    SingleBucket
};

/// One combination of admission and dispatch.
struct Policy
{
    std::string name;
    AdmissionMode admission = AdmissionMode::Grants;
    Dispatch::DispatchSettings dispatch;
    /// One dispatcher per daemon, with slots by grants; otherwise one for the fleet.
    bool isDistributed = false;
};

/// All policies that can be compared; the first is the project's own.
std::vector<Policy> allPolicies();

} // namespace Experiment
