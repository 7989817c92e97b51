#pragma once

#include <asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace Soak {

constexpr std::uint16_t callerPort = 7080;
constexpr std::uint16_t statusPort = 7081;
constexpr std::uint16_t peerPort = 7082;
constexpr std::uint16_t firstFreePort = 7083;

/// One daemon of a small fleet that is started anew for each run.
struct DaemonDescription
{
    std::string name;
    /// "front" or "store".
    std::string role;
    std::string ip;
};

/// Returns the settings of the daemon. The other fronts of the fleet are those of \a fronts.
nlohmann::json daemonSettings(const DaemonDescription &daemon,
                              const std::vector<std::string> &fronts,
                              const asio::ip::tcp::endpoint &store,
                              const std::filesystem::path &folder);

/// Returns an address of this run, for numbers below 60: runs in parallel have different process
/// ids, and the soak uses networks below 250.
std::string daemonAddress(int network, int number);

} // namespace Soak
