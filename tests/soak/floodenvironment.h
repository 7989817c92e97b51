#pragma once

#include "daemonprocess.h"
#include "daemonsettings.h"
#include "floodpeers.h"

#include <platform/platformstore.h>

#include <memory>

namespace Soak {

struct FloodSettings
{
    /// The marjoram-node program.
    std::string program;
    /// What is sent without end, and by whom: one of floodKinds().
    std::string kind;
    int callers = 0;
    std::chrono::seconds length{8};
    /// The memory that the daemons have according to their settings.
    int memoryMegabytes = 0;
    /// Folder for settings and logs.
    std::filesystem::path folder;
};

struct FloodResult
{
    double frontPeakMegabytes = 0;
    double storePeakMegabytes = 0;
    /// Requests of the sound service that were served.
    int soundBefore = 0;
    int soundDuring = 0;
    int soundAfter = 0;
    int ended = 0;
    int withoutEnd = 0;
    std::vector<std::string> exited;

    /// A run in which not even the sound service was served measures nothing, and fails.
    bool isPassed(int memoryMegabytes) const
    {
        return frontPeakMegabytes <= memoryMegabytes && exited.empty() && withoutEnd == 0
               && soundBefore > 0;
    }
};

std::vector<std::string> floodKinds();

/// Runs two fronts as processes, and three store daemons if turns are kept, with a faulty server
/// that sends without end or with callers that do not finish their requests, beside callers of a
/// sound service.
class FloodEnvironment
{
public:
    explicit FloodEnvironment(FloodSettings settings);

    /// Throws std::exception if a process or a file cannot be created.
    FloodResult run();

private:
    struct Daemon : DaemonDescription
    {
        std::unique_ptr<DaemonProcess> process;
        std::int64_t peakKilobytes = 0;
    };

    void startDaemons(const std::string &role, int count, int firstAddress);
    nlohmann::json configuration() const;
    void watchDaemons();
    double peak(const std::string &role) const;
    bool keepsTurns() const { return settings_.kind == "kept"; }

    FloodSettings settings_;
    asio::io_context context_;
    PlatformStore store_;
    FloodServer faulty_;
    FloodServer sound_;
    std::vector<Daemon> daemons_;
    std::vector<std::string> exited_;
};

} // namespace Soak
