#include "daemonsettings.h"

#include <unistd.h>

namespace Soak {

nlohmann::json daemonSettings(const DaemonDescription &daemon,
                              const std::vector<std::string> &fronts,
                              const asio::ip::tcp::endpoint &store,
                              const std::filesystem::path &folder)
{
    const auto address
        = [](const std::string &ip, int port) { return ip + ":" + std::to_string(port); };
    nlohmann::json settings
        = {{"node_name", daemon.name},
           {"ip", daemon.ip},
           {"listen", nlohmann::json::object()},
           {"port_range", {firstFreePort, firstFreePort + 10}},
           {"bootstrap", true},
           {"tolerate", {{"machines", 1}}},
           {"bounds", {{"config_apply_ms", 2000}, {"grace_s", 8}}},
           {"limits", nlohmann::json::object()},
           {"platform", {{"address", address(store.address().to_string(), store.port())}}}};
    if (daemon.role == "store") {
        const std::filesystem::path data = folder / (daemon.name + "-data");
        std::filesystem::create_directories(data);
        settings["zone"] = "zone-" + daemon.name;
        settings["data_dir"] = data.string();
        settings["limits"]["disk_mb"] = 400;
        return settings;
    }
    settings["zone"] = "zone-a";
    settings["zones"] = {{"zone-a", "region"}};
    settings["listen"] = {{"front", address(daemon.ip, callerPort)},
                          {"ready", address(daemon.ip, statusPort)},
                          {"control", address(daemon.ip, peerPort)}};
    settings["seeds"] = nlohmann::json::array();
    for (const std::string &front : fronts) {
        settings["seeds"].push_back(address(front, peerPort));
    }
    return settings;
}

std::string daemonAddress(int network, int number)
{
    constexpr int networks = 128;
    constexpr int blocks = 3;
    constexpr int blockSize = 60;
    const int block = getpid() / networks % blocks;
    return "127." + std::to_string(64 + getpid() % networks) + "." + std::to_string(network) + "."
           + std::to_string(number + block * blockSize);
}

} // namespace Soak
