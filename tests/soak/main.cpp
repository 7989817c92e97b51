#include "floodenvironment.h"
#include "restartenvironment.h"
#include "soakenvironment.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

/// Reads the seeds of a file: the first number of each line; the rest of a line is a comment.
std::vector<std::uint64_t> readSeeds(const std::string &file)
{
    std::vector<std::uint64_t> seeds;
    std::ifstream input(file);
    for (std::string line; std::getline(input, line);) {
        std::uint64_t seed = 0;
        if (std::istringstream(line) >> seed) {
            seeds.push_back(seed);
        }
    }
    return seeds;
}

bool runSeed(const std::string &program, std::uint64_t seed, int seconds)
{
    const auto folder
        = std::filesystem::temp_directory_path()
          / ("marjoram-soak-" + std::to_string(getpid()) + "-" + std::to_string(seed));
    std::filesystem::create_directories(folder);
    const Soak::SoakResult result
        = Soak::SoakEnvironment({program, seed, std::chrono::seconds(seconds), folder}).run();
    std::cout << "seed " << seed << ": " << result.faults << " faults, " << result.runs << " runs, "
              << result.served << " served, " << result.refused << " refused, " << result.resumed
              << " of " << result.resumed + result.notResumed << " resumptions served, "
              << result.violations.size() << " violations" << std::endl;
    for (const auto &[circumstance, count] : result.cuts) {
        std::cout << "  connections ended before the response, " << circumstance << ": " << count
                  << '\n';
    }
    for (const std::string &violation : result.violations) {
        std::cout << "  " << violation << '\n';
    }
    if (result.violations.empty()) {
        std::filesystem::remove_all(folder);
    } else {
        std::cout << "  logs are kept in " << folder.string() << std::endl;
    }
    return result.violations.empty();
}

bool runFlood(Soak::FloodSettings settings)
{
    settings.folder = std::filesystem::temp_directory_path()
                      / ("marjoram-flood-" + std::to_string(getpid()) + "-" + settings.kind);
    std::filesystem::remove_all(settings.folder);
    std::filesystem::create_directories(settings.folder);
    const Soak::FloodResult result = Soak::FloodEnvironment(settings).run();
    const bool isPassed = result.isPassed(settings.memoryMegabytes);
    std::cout << (isPassed ? "passed " : "FAILED ") << settings.kind << ", " << settings.callers
              << " callers, " << settings.length.count() << " s, " << settings.memoryMegabytes
              << " MB: peak of a front " << result.frontPeakMegabytes << " MB, of a store daemon "
              << result.storePeakMegabytes << " MB; sound service " << result.soundBefore
              << " before, " << result.soundDuring << " during, " << result.soundAfter << " after; "
              << result.ended << " requests ended, " << result.withoutEnd << " without an end"
              << std::endl;
    for (const std::string &exited : result.exited) {
        std::cout << "  exited: " << exited << std::endl;
    }
    if (isPassed) {
        std::filesystem::remove_all(settings.folder);
    } else {
        std::cout << "  logs are kept in " << settings.folder.string() << std::endl;
    }
    return isPassed;
}

bool runRestart(Soak::RestartSettings settings)
{
    settings.folder = std::filesystem::temp_directory_path()
                      / ("marjoram-restart-" + std::to_string(getpid()) + "-" + settings.scenario
                         + "-" + std::to_string(settings.seed));
    std::filesystem::create_directories(settings.folder);
    const Soak::RestartResult result = Soak::RestartEnvironment(settings).run();
    const bool isPassed = result.isPassed();
    if (!isPassed) {
        // The form of a failed case of the other tests, which KNOWN-RED.txt can name.
        std::string name = settings.scenario;
        std::replace(name.begin(), name.end(), '-', '_');
        std::cout << "[FAIL] restart::" << name << '\n';
    }
    std::cout << (isPassed ? "passed " : "FAILED ") << settings.scenario << ", seed "
              << settings.seed << ", " << settings.recordStores
              << " record stores: " << result.streams << " streams, " << result.complete
              << " complete, " << result.resumed << " resumptions served, " << result.refusals
              << " refused, " << result.givenUp << " streams given up; mixed within a response "
              << result.mixedWithin << ", over attempts " << result.mixedOver << std::endl;
    for (const std::string &exited : result.exited) {
        std::cout << "  exited: " << exited << std::endl;
    }
    if (isPassed) {
        std::filesystem::remove_all(settings.folder);
    } else {
        std::cout << "  logs are kept in " << settings.folder.string() << std::endl;
    }
    return isPassed;
}

bool runRestarts(Soak::RestartSettings settings,
                 const std::vector<std::string> &scenarios,
                 const std::vector<std::uint64_t> &seeds)
{
    int failed = 0;
    for (const std::string &scenario : scenarios) {
        settings.scenario = scenario;
        for (const std::uint64_t seed : seeds) {
            settings.seed = seed;
            failed += runRestart(settings) ? 0 : 1;
        }
    }
    return failed == 0 && !seeds.empty();
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("marjoram-soak: runs daemons as processes with random faults");
    std::string program;
    std::string file;
    std::uint64_t first = 1;
    std::uint64_t count = 0;
    int seconds = 20;
    app.add_option("--program", program, "the marjoram-node program")->required();
    app.add_option("--seeds-file", file, "file with a seed at the beginning of each line");
    app.add_option("--seed", first, "the first seed");
    app.add_option("--count", count, "number of consecutive seeds");
    app.add_option("--seconds", seconds, "duration of fault injection for each seed");
    Soak::FloodSettings flood;
    flood.callers = 60;
    flood.memoryMegabytes = 96;
    std::vector<std::string> kinds;
    app.add_option("--flood", kinds, "measures daemons that receive bytes without end")
        ->check(CLI::IsMember(Soak::floodKinds()));
    app.add_option("--callers", flood.callers, "number of callers of a flood");
    app.add_option("--memory-mb", flood.memoryMegabytes, "memory of a daemon in a flood");
    Soak::RestartSettings restart;
    std::vector<std::string> scenarios;
    app.add_option("--restart", scenarios, "restarts a server with another software version")
        ->check(CLI::IsMember(Soak::restartScenarios()));
    app.add_option("--record-stores", restart.recordStores, "daemons that keep stream records");
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    if (!kinds.empty()) {
        flood.program = program;
        flood.length = std::chrono::seconds(seconds);
        const auto failed = std::count_if(kinds.begin(), kinds.end(), [&flood](const auto &kind) {
            flood.kind = kind;
            return !runFlood(flood);
        });
        return failed == 0 ? 0 : 1;
    }
    std::vector<std::uint64_t> seeds = readSeeds(file);
    for (std::uint64_t i = 0; i < count; ++i) {
        seeds.push_back(first + i);
    }
    if (!scenarios.empty()) {
        restart.program = program;
        return runRestarts(restart, scenarios, seeds) ? 0 : 1;
    }
    int failed = 0;
    for (const std::uint64_t seed : seeds) {
        failed += runSeed(program, seed, seconds) ? 0 : 1;
    }
    std::cout << seeds.size() - static_cast<std::size_t>(failed) << " passed, " << failed
              << " failed" << std::endl;
    return failed == 0 && !seeds.empty() ? 0 : 1;
}
