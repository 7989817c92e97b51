#pragma once

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>

namespace Soak {

/// One marjoram-node process; killed when the object is destroyed.
class DaemonProcess
{
public:
    DaemonProcess(std::string program,
                  std::string role,
                  std::filesystem::path settings,
                  std::filesystem::path log);
    ~DaemonProcess();

    DaemonProcess(const DaemonProcess &) = delete;
    DaemonProcess &operator=(const DaemonProcess &) = delete;

    /// Throws std::system_error if the process cannot be started.
    void start();
    void signal(int number) const;
    /// Reaps the process. Returns its wait status once it has exited.
    std::optional<int> poll();
    bool isRunning() const { return pid_ > 0; }
    /// Returns 0 if it does not run.
    pid_t pid() const { return pid_; }
    /// Returns the most memory that the process has had at a time, 0 if it does not run.
    std::int64_t peakKilobytes() const;

private:
    std::string program_;
    std::string role_;
    std::filesystem::path settings_;
    std::filesystem::path log_;
    pid_t pid_ = 0;
};

} // namespace Soak
