#pragma once

#include "backendstub.h"
#include "daemonprocess.h"
#include "daemonsettings.h"
#include "streamcaller.h"

#include <platform/platformstore.h>

#include <filesystem>

namespace Soak {

struct RestartSettings
{
    /// The marjoram-node program.
    std::string program;
    /// One of restartScenarios().
    std::string scenario;
    std::uint64_t seed = 1;
    /// Daemons that keep the records of streams; fronts keep them if there are none.
    int recordStores = 2;
    /// Folder for settings and logs.
    std::filesystem::path folder;
};

struct RestartResult
{
    int streams = 0;
    /// Streams that were complete in the end.
    int complete = 0;
    /// Resumptions by callers that were served.
    int resumed = 0;
    /// Streams whose resumptions were all refused, and the refused resumptions.
    int givenUp = 0;
    int refusals = 0;
    /// Streams with events of two software versions.
    int mixedWithin = 0;
    int mixedOver = 0;
    std::vector<std::string> exited;

    /// A run without resumptions measures nothing, and fails.
    bool isPassed() const
    {
        return mixedWithin == 0 && mixedOver == 0 && exited.empty() && resumed > 0;
    }
};

std::vector<std::string> restartScenarios();

/// Runs three fronts as processes with two servers of one service, of which one is restarted under
/// its id with another software version, and callers that resume streams at other fronts.
class RestartEnvironment
{
public:
    explicit RestartEnvironment(RestartSettings settings);

    /// Throws std::exception if a process or a file cannot be created.
    RestartResult run();

private:
    struct Daemon : DaemonDescription
    {
        std::unique_ptr<FaultRelay> store;
        std::unique_ptr<DaemonProcess> process;
    };

    /// What happens while one front is out of step.
    struct Beside
    {
        /// It is stopped, or else cut off from the store.
        bool isFrontStopped = false;
        /// A server of another version joins, or else one is restarted with it.
        bool isJoining = false;
        /// The daemons that keep records of streams are cut off as well.
        bool isUnrecorded = false;
        std::chrono::milliseconds length{};
    };

    struct Caller
    {
        std::shared_ptr<StreamCaller> stream;
        int number = 0;
        int breaksLeft = 0;
        int refusalsLeft = 0;
        std::size_t front = 0;
    };

    void startDaemons(const std::string &role, int count, int firstAddress);
    nlohmann::json configuration() const;
    void list(const BackendStub &server);

    void restartInOutage();
    void restartBeside(Beside beside);
    void restartListed();
    void beginRestart(std::chrono::milliseconds entryAfter);
    void repeatEqualRequests();
    void signalOthers(const Daemon &front, int signal);
    void stopStores();
    void continueStores();
    void setStoreFault(LinkFault fault);

    void startCaller(Caller &caller);
    void onEnd(Caller &caller, StreamEnd end);
    void resumeLater(Caller &caller);
    void count(Caller &caller, StreamEnd end);
    StreamAttempt attempt(Caller &caller, bool isResumption);
    std::size_t chooseFront(std::size_t other, bool isResumption);
    void schedule(std::chrono::milliseconds delay, std::function<void()> action);
    void watchDaemons();

    RestartSettings settings_;
    asio::io_context context_;
    Base::Random random_;
    PlatformStore store_;
    /// The servers report to it; its checks are those of other tests.
    Ledger ledger_;
    std::vector<std::unique_ptr<BackendStub>> servers_;
    std::vector<Daemon> daemons_;
    std::vector<asio::ip::tcp::endpoint> fronts_;
    std::vector<Caller> callers_;
    /// The front that misses news. Streams begin at others, and are resumed there once that is set.
    std::optional<std::size_t> outOfStep_;
    bool isResumedOutOfStep_ = false;
    int turns_ = 0;
    bool isStopping_ = false;
    RestartResult result_;
};

} // namespace Soak
