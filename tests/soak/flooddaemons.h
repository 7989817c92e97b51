#pragma once

#include "daemonprocess.h"
#include "daemonsettings.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <vector>

namespace Soak {

/// Ports of every daemon on its own address.
namespace FloodPorts {
inline constexpr int callers = callerPort;
inline constexpr int status = statusPort;
inline constexpr int peers = peerPort;
/// The first of the ports for communication between daemons: turns at store daemons.
inline constexpr int turns = firstFreePort;
inline constexpr int relay = firstFreePort + 1;
} // namespace FloodPorts

struct FloodDaemonSettings
{
    /// The marjoram-node program.
    std::string program;
    /// Folder for settings and logs.
    std::filesystem::path folder;
    /// The first three numbers of the daemons' addresses, with a dot at the end.
    std::string network;
    asio::ip::tcp::endpoint store;
    /// The limits of each process.
    nlohmann::json limits;
};

/// Daemons as processes, each with an address of its own.
class FloodDaemons
{
public:
    struct Daemon : DaemonDescription
    {
        std::unique_ptr<DaemonProcess> process;
    };

    explicit FloodDaemons(FloodDaemonSettings settings);

    /// Throws std::exception if a process or a file cannot be created.
    void start(const std::string &role, int count, int firstAddress);
    const std::vector<Daemon> &all() const { return daemons_; }

private:
    nlohmann::json settingsOf(const Daemon &daemon) const;

    FloodDaemonSettings settings_;
    std::vector<Daemon> daemons_;
};

} // namespace Soak
