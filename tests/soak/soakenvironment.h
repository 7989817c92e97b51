#pragma once

#include "daemonprocess.h"
#include "rawcaller.h"

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
    /// Folder for settings and logs.
    std::filesystem::path folder;
};

struct SoakResult
{
    std::vector<std::string> violations;
    int served = 0;
    int refused = 0;
    int runs = 0;
    int faults = 0;
    /// Attempts to resume a stream that were served, and that were not.
    int resumed = 0;
    int notResumed = 0;
    /// Requests whose connection ended before the response, by the circumstance that allows it.
    std::map<std::string, int> cuts;
};

/// Runs daemons as processes with fakes of the platform's store and of backend servers, with
/// callers and with random faults from a seed. No faults are injected in the last seconds, in which
/// the daemons have to recover.
class SoakEnvironment
{
public:
    explicit SoakEnvironment(SoakSettings settings);

    /// Throws std::exception if a process or a file cannot be created.
    SoakResult run();

private:
    static constexpr std::size_t daemonCount = 4;
    static constexpr std::size_t holderCount = 4;

    /// One daemon and the relays to and from it.
    struct Daemon
    {
        std::string name;
        std::string ip;
        std::unique_ptr<FaultRelay> callers;
        std::unique_ptr<FaultRelay> store;
        std::unique_ptr<DaemonProcess> process;
        /// Time by which a daemon must have exited after SIGTERM.
        std::optional<Base::Instant> stopDeadline;
        /// Requests may be in progress at the end of a stop if the process was paused within it.
        bool wasPausedInStop = false;
        bool isExitExpected = false;
        bool isPaused = false;
    };
    /// One daemon that keeps turns, and the relay from it to the platform's store.
    struct Holder
    {
        std::string name;
        std::string ip;
        std::filesystem::path dataFolder;
        std::unique_ptr<FaultRelay> store;
        std::unique_ptr<DaemonProcess> process;
        bool isExitExpected = false;
        bool isPaused = false;
    };
    struct Team
    {
        std::string name;
        std::vector<std::string> keys;
        TeamLimit limit;
    };

    void setUpDaemons();
    void setUpHolders();
    void writeSettings(const Holder &holder, bool isFirstStart) const;
    void setUpBackends();
    void setUpCallers();
    void writeSettings(const Daemon &daemon, bool isFirstStart) const;
    void writeConfiguration(Base::Random &random);
    Gateway selectEntryPoint();
    Gateway selectForRawCaller(bool isDirect);
    std::size_t selectRunning(std::size_t first) const;
    std::string currentKey(const std::string &team) const;

    void runFor(std::chrono::milliseconds duration);
    void pollProcesses();
    void checkProcesses();
    void checkRequestAccount(const Daemon &daemon);
    void schedule(std::chrono::milliseconds delay, std::function<void()> action);
    std::chrono::milliseconds randomDuration(int minMs, int maxMs);
    static std::chrono::milliseconds randomDuration(Base::Random &random, int minMs, int maxMs);

    void stopDaemonsInTurn();
    void stopHolder(Holder &holder);
    void waitForDaemonsToStop();
    void startFaults();
    void scheduleFault();
    void injectFault();
    void injectDaemonFault();
    void injectHolderFault();
    void killHolder(Holder &holder, bool losesDisk);
    void pauseHolder(Holder &holder);
    void checkHolders();
    bool areHoldersRunning() const;
    void injectStoreFault();
    void injectBackendFault();
    void injectCallerFault();
    void changeConfiguration(Base::Random &random);
    void killDaemon(Daemon &daemon);
    void stopDaemon(Daemon &daemon);
    void pauseDaemon(Daemon &daemon);
    void startDaemon(Daemon &daemon);
    void drain(std::size_t backend);
    void scheduleRestart();
    void restartBackend();
    /// Returns the time for which the link is disturbed.
    std::chrono::milliseconds injectLinkFault(FaultRelay &relay);
    void disturbed(const std::string &name, std::chrono::milliseconds length);
    void extendFaultPeriod(std::chrono::milliseconds duration);
    void clearFaults();
    void checkRecovery();

    SoakSettings settings_;
    asio::io_context context_;
    Base::Random random_;
    /// Draws what was added later, so that the seeds of earlier failures draw the same faults.
    Base::Random stopRandom_;
    Base::Random restartRandom_;
    PlatformStore store_;
    Ledger ledger_;
    std::array<Daemon, daemonCount> daemons_;
    std::array<Holder, holderCount> holders_;
    /// All holders have been running without a fault since then.
    Base::Instant holdersCalmSince_;
    std::vector<std::unique_ptr<BackendStub>> backends_;
    std::vector<std::shared_ptr<SoakCaller>> callers_;
    std::vector<std::shared_ptr<RawCaller>> rawCallers_;
    std::vector<Team> teams_;
    std::uint64_t version_ = 0;
    int keyNumber_ = 0;
    int faults_ = 0;
    bool areFaultsStopped_ = true;
    /// Servers that are down at this time would not be in use when the recovery is checked.
    Base::Instant lastRestart_;
    Base::Instant faultsActiveUntil_;
};

} // namespace Soak
