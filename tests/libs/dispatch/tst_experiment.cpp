#include "../../../src/tools/marjoram-load/experiment/simulation.h"

#include <criterion/criterion.h>

#include <fstream>

namespace {

Experiment::Scenario shipped(const std::string &name)
{
    std::ifstream file(std::string(SCENARIO_FOLDER) + "/" + name);
    std::vector<Base::SettingsProblem> problems;
    Experiment::Scenario scenario = Experiment::readScenario(nlohmann::json::parse(file), problems);
    cr_assert(problems.empty(), "%s: %s", name.c_str(), problems.front().path.c_str());
    return scenario;
}

} // namespace

Test(experiment, shippedScenariosAreValid)
{
    cr_assert_eq(shipped("wattlebird.json").teams.size(), 8U);
    cr_assert_eq(shipped("zanon.json").teams.size(), 8U);
    cr_assert_gt(shipped("wattlebird-daemon-loss.json").daemonLossSeconds, 0);
}

Test(experiment, runsAreReproducibleAndStayWithinTheRate)
{
    Experiment::Scenario scenario = shipped("wattlebird-daemon-loss.json");
    scenario.seconds = 120;
    scenario.warmUpSeconds = 20;
    scenario.daemonLossSeconds = 60;
    for (const Experiment::Policy &policy : Experiment::allPolicies()) {
        const Experiment::RunResult first = Experiment::Simulation(scenario, policy, 3).run();
        const Experiment::RunResult second = Experiment::Simulation(scenario, policy, 3).run();
        cr_assert(first.programSeconds == second.programSeconds);
        cr_assert_gt(first.programSeconds.size(), 50U);
        if (policy.admission == Experiment::AdmissionMode::Grants) {
            cr_assert_leq(first.worstExcess, 1e-3, "%s", policy.name.c_str());
        }
    }
}
