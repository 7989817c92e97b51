#include "experimentcommand.h"

#include "experiment/summary.h"

#include <fstream>
#include <iostream>
#include <memory>

namespace {

constexpr int settingsExitCode = 2;

struct Options
{
    std::string scenario;
    std::size_t seeds = 10;
    double load = 1;
    double rate = 1;
    std::vector<std::string> policies;
    std::string csv;
    std::string plot;
};

std::optional<Experiment::Scenario> load(const std::string &path)
{
    std::ifstream file(path);
    const nlohmann::json document = nlohmann::json::parse(file, nullptr, false);
    if (document.is_discarded()) {
        std::cerr << path << ": not a JSON document\n";
        return std::nullopt;
    }
    std::vector<Base::SettingsProblem> problems;
    Experiment::Scenario scenario = Experiment::readScenario(document, problems);
    for (const Base::SettingsProblem &problem : problems) {
        std::cerr << path << ": " << problem.path << ": found " << problem.found << ", expected "
                  << problem.expected << '\n';
    }
    if (!problems.empty()) {
        return std::nullopt;
    }
    return scenario;
}

void scale(Experiment::Scenario &scenario, double load, double rate)
{
    for (Experiment::TeamLoad &team : scenario.teams) {
        team.programsPerSecond *= load;
        team.limit.perSecond *= load * rate;
    }
}

std::vector<Experiment::Policy> choose(const std::vector<std::string> &names)
{
    std::vector<Experiment::Policy> chosen;
    for (Experiment::Policy &policy : Experiment::allPolicies()) {
        const bool isNamed = std::find(names.begin(), names.end(), policy.name) != names.end();
        if (names.empty() || isNamed) {
            chosen.push_back(std::move(policy));
        }
    }
    return chosen;
}

int run(const Options &options)
{
    std::optional<Experiment::Scenario> scenario = load(options.scenario);
    if (!scenario) {
        return settingsExitCode;
    }
    scale(*scenario, options.load, options.rate);
    std::vector<Experiment::RunResult> all;
    std::vector<Experiment::PolicySummary> summaries;
    for (const Experiment::Policy &policy : choose(options.policies)) {
        std::vector<Experiment::RunResult> runs;
        for (std::size_t seed = 1; seed <= options.seeds; seed++) {
            runs.push_back(Experiment::Simulation(*scenario, policy, seed).run());
        }
        summaries.push_back(Experiment::summarize(runs));
        all.insert(all.end(), runs.begin(), runs.end());
    }
    std::cout << scenario->name << ": load " << options.load << ", rate " << options.rate << ", "
              << options.seeds << " seeds, mean ± standard deviation over seeds\n\n";
    Experiment::printTable(summaries, std::cout);
    if (!options.csv.empty()) {
        std::ofstream file(options.csv);
        Experiment::printCsv(all, file);
    }
    if (!options.plot.empty()) {
        std::ofstream file(options.plot);
        Experiment::printSvg(scenario->name, summaries, file);
    }
    return 0;
}

} // namespace

void addExperimentCommand(CLI::App &app, int &exitCode)
{
    auto options = std::make_shared<Options>();
    std::vector<std::string> names;
    for (const Experiment::Policy &policy : Experiment::allPolicies()) {
        names.push_back(policy.name);
    }
    CLI::App *command = app.add_subcommand("experiment", "Compare policies on virtual time");
    command->add_option("scenario", options->scenario, "Scenario in JSON")
        ->required()
        ->check(CLI::ExistingFile);
    command->add_option("--seeds", options->seeds, "Seeds to run, from 1")
        ->check(CLI::PositiveNumber);
    command->add_option("--load", options->load, "Factor on the scenario's programs and rates")
        ->check(CLI::PositiveNumber);
    command->add_option("--rate", options->rate, "Factor on the rates alone")
        ->check(CLI::PositiveNumber);
    command->add_option("--policy", options->policies, "Policies to compare; all if none is named")
        ->check(CLI::IsMember(names));
    command->add_option("--csv", options->csv, "Write one row for each run");
    command->add_option("--plot", options->plot, "Write a plot as SVG");
    command->callback([options, &exitCode] { exitCode = run(*options); });
}
