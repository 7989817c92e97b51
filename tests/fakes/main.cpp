#include "enginefake.h"
#include "storefake.h"
#include "toolfake.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>

namespace {

struct ListenOptions
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
};

void addListenOptions(CLI::App &command, ListenOptions &options)
{
    command.add_option("--address", options.address, "IPv4 address to listen on");
    command.add_option("--port", options.port, "port to listen on; 0 picks a free one");
}

void addEngineOptions(CLI::App &command, Fakes::EngineSettings &settings)
{
    command.add_option("--ms-per-token", settings.msPerToken, "time per generated token");
    command.add_option("--prefill", settings.prefillTokensPerSecond, "prompt tokens per second");
    command.add_option("--slots", settings.slots, "streams generated at once");
    command.add_option("--cache-tokens", settings.cacheTokens, "memory of the prefix cache");
    command.add_option("--load-lag-ms", settings.loadLagMs, "age of the load report");
    command.add_option("--event-delay-ms", settings.eventDelayMs, "age of cache events");
    command.add_option("--lose-every-nth-event", settings.loseEveryNthEvent, "gaps in events");
    command.add_flag("--checks-fencing,!--ignores-fencing",
                     settings.checksFencing,
                     "refuse orders with an old fencing number");
}

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

template<typename Fake>
int serve(Fake &fake, const ListenOptions &options)
{
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    fake.start(options.port, options.address);
    std::cout << "listening on " << fake.url() << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    fake.stop();
    return 0;
}

int run(int argc, char **argv)
{
    CLI::App app("Stand-ins for the platform's object API, a model engine and a tool service");
    app.require_subcommand(1);
    ListenOptions listen;
    Fakes::EngineSettings engineSettings;
    CLI::App *store = app.add_subcommand("store", "object API");
    CLI::App *engine = app.add_subcommand("engine", "model engine");
    CLI::App *tool = app.add_subcommand("tool", "tool service");
    for (CLI::App *command : {store, engine, tool}) {
        addListenOptions(*command, listen);
    }
    addEngineOptions(*engine, engineSettings);
    CLI11_PARSE(app, argc, argv);
    if (store->parsed()) {
        Fakes::StoreFake fake;
        return serve(fake, listen);
    }
    if (engine->parsed()) {
        Fakes::EngineFake fake(engineSettings);
        return serve(fake, listen);
    }
    Fakes::ToolFake fake;
    return serve(fake, listen);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "marjoram-fakes: " << error.what() << '\n';
        return 1;
    }
}
