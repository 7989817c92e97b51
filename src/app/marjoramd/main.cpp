#include <rpc/tlsfactory.h>
#include <runtime/daemonruntime.h>

#include <CLI/CLI.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

namespace {

constexpr int invalidSettingsExit = 2;
constexpr int drainTimeoutExit = 3;
constexpr const char *version = "0.1.0";

/// Reads and checks the settings file; prints all problems and returns nothing if there are any.
std::optional<Runtime::DaemonSettings> loadSettings(const std::string &file)
{
    const std::ifstream input(file);
    if (!input) {
        std::cerr << "marjoramd: " << file << ": cannot be read\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << input.rdbuf();
    Runtime::ParsedSettings parsed = Runtime::parseSettings(text.str());
    for (const Base::SettingsProblem &problem : parsed.problems) {
        std::cerr << "marjoramd: " << file << ": " << problem.path << ": found " << problem.found
                  << ", expected " << problem.expected << '\n';
    }
    if (!parsed.problems.empty()) {
        return std::nullopt;
    }
    return std::move(parsed.settings);
}

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

/// Runs the daemon; starts a new incarnation whenever the current one is fenced.
int run(const Runtime::DaemonSettings &settings)
{
    Rpc::discardThriftOutput();
    const sigset_t signals = stopSignals();
    // The signals are blocked in all threads; the signal thread below polls for them.
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    while (true) {
        Runtime::DaemonRuntime runtime(settings, randomSeed());
        runtime.start();
        std::atomic<bool> isFinished = false;
        std::thread signalThread([&] {
            const timespec timeout{0, 100'000'000};
            while (!isFinished) {
                if (sigtimedwait(&signals, nullptr, &timeout) > 0) {
                    runtime.requestStop();
                }
            }
        });
        const Runtime::ExitReason end = runtime.wait();
        isFinished = true;
        signalThread.join();
        if (end != Runtime::ExitReason::Fenced) {
            return end == Runtime::ExitReason::Stopped ? 0 : drainTimeoutExit;
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("marjoramd: scheduler daemon for agent programs");
    std::string file;
    bool isCheckOnly = false;
    app.add_option("--settings", file, "settings file (JSON)")->required();
    app.add_flag("--check", isCheckOnly, "check the settings and exit");
    app.set_version_flag("--version", version);
    CLI11_PARSE(app, argc, argv);
    const std::optional<Runtime::DaemonSettings> settings = loadSettings(file);
    if (!settings) {
        return invalidSettingsExit;
    }
    if (isCheckOnly) {
        std::cout << "marjoramd: " << file << ": settings are valid\n";
        return 0;
    }
    try {
        return run(*settings);
    } catch (const std::exception &error) {
        std::cerr << "marjoramd: " << error.what() << '\n';
        return 1;
    }
}
