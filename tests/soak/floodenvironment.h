#pragma once

#include "flooddaemons.h"
#include "floodpeers.h"

#include <platform/platformstore.h>

#include <map>

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

/// Routes to the services "sound" and "faulty"; each service has a server of that name.
nlohmann::json floodConfiguration(bool keepsTurns);

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
    void watchDaemons();
    double peak(const std::string &role) const;
    bool keepsTurns() const { return settings_.kind == "kept"; }

    FloodSettings settings_;
    asio::io_context context_;
    PlatformStore store_;
    FloodServer faulty_;
    FloodServer sound_;
    FloodDaemons daemons_;
    /// The most memory that a daemon of a role had at a time.
    std::map<std::string, std::int64_t> peakKilobytes_;
    std::vector<std::string> exited_;
};

} // namespace Soak
