#include "trace.h"

#include <base/random.h>

#include <algorithm>
#include <cmath>

namespace Experiment {

namespace {

double exponential(Base::Random &random, double mean)
{
    return -std::log(1.0 - random.unit()) * mean;
}

std::int64_t tokens(Base::Random &random, std::int64_t mean)
{
    // At least a quarter of the mean: no prompt and no answer is empty.
    const auto base = static_cast<double>(mean);
    return static_cast<std::int64_t>(0.25 * base + exponential(random, 0.75 * base)) + 1;
}

ProgramTrace drawProgram(const TeamLoad &team, Base::Random &random)
{
    ProgramTrace program;
    const auto turns = std::lround(1 + exponential(random, team.turns - 1));
    for (long i = 0; i < turns; i++) {
        Turn turn;
        turn.newTokens = tokens(random, i == 0 ? team.firstPromptTokens : team.turnTokens);
        turn.outputTokens = tokens(random, team.outputTokens);
        const bool usesTool = random.chance(team.toolChance);
        const double pause = exponential(random, team.pauseSeconds);
        turn.pauseAfter = usesTool ? 0 : pause;
        program.turns.push_back(turn);
        if (usesTool) {
            const double seconds = exponential(random, team.toolSeconds);
            program.turns.push_back(Turn{Dispatch::ServiceKind::Plain, 0, 0, seconds, pause});
        }
    }
    return program;
}

} // namespace

std::vector<ProgramTrace> drawTrace(const Scenario &scenario, std::uint64_t seed)
{
    std::vector<ProgramTrace> trace;
    for (std::size_t team = 0; team < scenario.teams.size(); team++) {
        const TeamLoad &load = scenario.teams[team];
        // Every team has numbers of its own, so that one team's flood leaves the others' as is.
        Base::Random random(Base::hash64(load.team.text(), seed));
        const double perSecond = load.programsPerSecond * load.flood;
        double at = perSecond > 0 ? exponential(random, 1 / perSecond) : scenario.seconds;
        for (std::size_t n = 0; at < scenario.seconds; n++) {
            ProgramTrace program = drawProgram(load, random);
            program.program = Base::ProgramId(load.team.text() + "-" + std::to_string(n));
            program.team = team;
            program.arrival = at;
            trace.push_back(std::move(program));
            at += exponential(random, 1 / perSecond);
        }
    }
    std::stable_sort(trace.begin(), trace.end(), [](const auto &a, const auto &b) {
        return a.arrival < b.arrival;
    });
    return trace;
}

std::vector<double> demandBy(const Scenario &scenario,
                             const std::vector<ProgramTrace> &trace,
                             double from,
                             double until)
{
    const auto model
        = std::find_if(scenario.servers.begin(),
                       scenario.servers.end(),
                       [&](const ServerGroup &group) { return group.service == scenario.model; });
    std::vector<double> demand(scenario.teams.size(), 0);
    for (const ProgramTrace &program : trace) {
        double at = program.arrival;
        for (const Turn &turn : program.turns) {
            const auto fresh = static_cast<double>(turn.newTokens);
            const auto output = static_cast<double>(turn.outputTokens);
            at += turn.seconds;
            if (turn.kind == Dispatch::ServiceKind::Model) {
                at += fresh / model->prefillPerSecond + output * model->secondsPerOutputToken;
            }
            if (at >= from && at < until) {
                demand[program.team] += fresh + output;
            }
            at += turn.pauseAfter;
        }
    }
    return demand;
}

} // namespace Experiment
