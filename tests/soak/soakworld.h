#pragma once

#include "daemonprocess.h"
#include "soakcaller.h"

#include <platform/platformstore.h>

#include <array>
#include <filesystem>

namespace Soak {

struct SoakSettings
{
    /// The marjoram-node program.
    std::string program;
    std::uint64_t seed = 1;
    std::chrono::seconds length{20};
    /// Where settings and logs go.
    std::filesystem::path folder;
};

struct SoakResult
{
    std::vector<std::string> violations;
    int served = 0;
    int refused = 0;
    int runs = 0;
    int faults = 0;
};

/// Daemons as processes before stand-ins of the platform's store and of backend servers, with
/// callers, and faults drawn from a seed. The last seconds are calm: there the fleet has to serve.
class SoakWorld
{
public:
    explicit SoakWorld(SoakSettings settings);

    /// Throws std::exception if the world can't be set up.
    SoakResult run();

private:
    static constexpr std::size_t daemonCount = 4;

    /// One daemon and the links to it and from it.
    struct Daemon
    {
        std::string name;
        std::string ip;
        std::unique_ptr<FaultRelay> callers;
        std::unique_ptr<FaultRelay> store;
        std::unique_ptr<DaemonProcess> process;
        /// When a daemon that was asked to end has to be gone.
        std::optional<Base::Instant> stopBy;
        bool mayEnd = false;
        bool isPaused = false;
    };
    struct Team
    {
        std::string name;
        std::vector<std::string> keys;
        TeamLimit limit;
    };

    void setUpDaemons();
    void setUpBackends();
    void setUpCallers();
    void writeSettings(const Daemon &daemon, bool isFirstStart) const;
    void writeConfiguration();
    asio::ip::tcp::endpoint chooseEntry();
    std::string keyOf(const std::string &team) const;

    void runFor(std::chrono::milliseconds duration);
    void look();
    void checkProcesses();
    void later(std::chrono::milliseconds pause, std::function<void()> action);
    std::chrono::milliseconds between(int shortest, int longest);

    void beginFaults();
    void nextFault();
    void drawFault();
    void disturbDaemon();
    void disturbStore();
    void disturbBackend();
    void disturbCallers();
    void changeConfiguration();
    void killDaemon(Daemon &daemon);
    void stopDaemon(Daemon &daemon);
    void pauseDaemon(Daemon &daemon);
    void startDaemon(Daemon &daemon);
    void drain(std::size_t backend);
    void linkFault(FaultRelay &relay);
    void disturbed(std::chrono::milliseconds duration);
    void heal();
    void checkRecovery();

    SoakSettings settings_;
    asio::io_context context_;
    Base::Random random_;
    PlatformStore store_;
    Ledger ledger_;
    std::array<Daemon, daemonCount> daemons_;
    std::vector<std::unique_ptr<BackendStub>> backends_;
    std::vector<std::shared_ptr<SoakCaller>> callers_;
    std::vector<Team> teams_;
    std::vector<std::unique_ptr<asio::steady_timer>> timers_;
    std::uint64_t version_ = 0;
    int keyNumber_ = 0;
    int faults_ = 0;
    bool isCalm_ = true;
    Base::Instant disturbedUntil_;
};

} // namespace Soak
