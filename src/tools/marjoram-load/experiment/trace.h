#pragma once

#include "scenario.h"

namespace Experiment {

/// One call of a program, as drawn before the run so that all policies meet the same programs.
struct Turn
{
    Dispatch::ServiceKind kind = Dispatch::ServiceKind::Model;
    std::int64_t newTokens = 0;
    std::int64_t outputTokens = 0;
    /// Service time of a plain call.
    double seconds = 0;
    /// Pause of the program before the next call.
    double pauseAfter = 0;
};

struct ProgramTrace
{
    Base::ProgramId program;
    std::size_t team = 0;
    double arrival = 0;
    std::vector<Turn> turns;
};

/// Programs of all teams in order of arrival.
std::vector<ProgramTrace> drawTrace(const Scenario &scenario, std::uint64_t seed);

/// Tokens that a team's calls finish by `until` if no call ever waits and every prefix is cached.
std::vector<double> demandBy(const Scenario &scenario,
                             const std::vector<ProgramTrace> &trace,
                             double from,
                             double until);

} // namespace Experiment
