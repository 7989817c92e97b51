#pragma once

#include <admission/messages.h>
#include <base/settingsreader.h>
#include <dispatch/types.h>

#include <string>
#include <vector>

/// Experiments with the decision libraries on virtual time, against small engine models.
namespace Experiment {

/// Servers of one kind and what they can do.
struct ServerGroup
{
    std::string name;
    Base::ServiceId service;
    Dispatch::ServiceKind kind = Dispatch::ServiceKind::Model;
    std::size_t count = 1;
    std::uint32_t slots = 1;
    double prefillPerSecond = 8000;
    double secondsPerOutputToken = 0.025;
    /// Prefix cache of one engine.
    std::int64_t cacheTokens = 0;
};

/// One team and the programs that it sends. Sizes are means of exponential distributions.
struct TeamLoad
{
    Base::TeamId team;
    double weight = 1;
    Admission::RateLimit limit;
    double programsPerSecond = 0;
    /// Factor on the programs that a misbehaving team sends above its habit.
    double flood = 1;
    double turns = 1;
    std::int64_t firstPromptTokens = 0;
    std::int64_t turnTokens = 0;
    std::int64_t outputTokens = 0;
    double pauseSeconds = 0;
    /// Chance that a turn is followed by a call to the plain service.
    double toolChance = 0;
    double toolSeconds = 0;
};

struct Scenario
{
    std::string name;
    double seconds = 0;
    /// Programs that arrive before this time are not measured.
    double warmUpSeconds = 0;
    std::size_t daemons = 1;
    double oneWayMilliseconds = 1.5;
    double reportIntervalSeconds = 0.5;
    double reportLagSeconds = 0.2;
    double cacheEventLagSeconds = 0.5;
    double cacheEventLoss = 0;
    /// Daemon 0 loses its admission state at this time; never if 0.
    double daemonLossSeconds = 0;
    double leaseSeconds = 3;
    Base::ServiceId model;
    Base::ServiceId tool;
    std::vector<ServerGroup> servers;
    std::vector<TeamLoad> teams;
};

/// Reads and checks a scenario document; problems are added to the list.
Scenario readScenario(const nlohmann::json &document, std::vector<Base::SettingsProblem> &problems);

} // namespace Experiment
