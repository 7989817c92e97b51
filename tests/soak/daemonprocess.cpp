#include "daemonprocess.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <array>
#include <csignal>
#include <fstream>
#include <system_error>

namespace Soak {

DaemonProcess::DaemonProcess(std::string program,
                             std::string role,
                             std::filesystem::path settings,
                             std::filesystem::path log)
    : program_(std::move(program))
    , role_(std::move(role))
    , settings_(std::move(settings))
    , log_(std::move(log))
{}

DaemonProcess::~DaemonProcess()
{
    if (isRunning()) {
        signal(SIGKILL);
        waitpid(pid_, nullptr, 0);
    }
}

void DaemonProcess::start()
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr int logMode = 0644;
    posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, logMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A daemon that inherited the sockets of the test would keep them open when the test closes
    // them.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::string settings = settings_.string();
    std::string option = "--settings";
    std::string role = role_;
    std::array<char *, 5> arguments{
        program_.data(), option.data(), settings.data(), role.data(), nullptr};
    const int error
        = posix_spawn(&pid_, program_.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        pid_ = 0;
        throw std::system_error(error, std::generic_category(), "start " + program_);
    }
}

void DaemonProcess::signal(int number) const
{
    if (isRunning()) {
        kill(pid_, number);
    }
}

std::optional<int> DaemonProcess::poll()
{
    int status = 0;
    if (!isRunning() || waitpid(pid_, &status, WNOHANG) != pid_) {
        return std::nullopt;
    }
    pid_ = 0;
    return status;
}

std::int64_t DaemonProcess::peakKilobytes() const
{
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    const std::string name = "VmHWM:";
    for (std::string line; isRunning() && std::getline(status, line);) {
        if (line.starts_with(name)) {
            return std::stoll(line.substr(name.size()));
        }
    }
    return 0;
}

} // namespace Soak
