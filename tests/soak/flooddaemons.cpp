#include "flooddaemons.h"

#include <fstream>

namespace Soak {

namespace {

using nlohmann::json;

constexpr int diskMegabytes = 400;
constexpr int freePorts = 11;

} // namespace

FloodDaemons::FloodDaemons(FloodDaemonSettings settings)
    : settings_(std::move(settings))
{}

json FloodDaemons::settingsOf(const Daemon &daemon) const
{
    const auto address = [&](int port) { return daemon.ip + ":" + std::to_string(port); };
    json settings = {{"node_name", daemon.name},
                     {"ip", daemon.ip},
                     {"listen", json::object()},
                     {"port_range", {FloodPorts::turns, FloodPorts::turns + freePorts - 1}},
                     {"bootstrap", true},
                     {"tolerate", {{"machines", 1}}},
                     {"bounds", {{"config_apply_ms", 2000}, {"grace_s", 8}}},
                     {"limits", settings_.limits},
                     {"platform", {{"address", settings_.store}}}};
    if (daemon.role == "store") {
        const std::filesystem::path data = settings_.folder / (daemon.name + "-data");
        std::filesystem::create_directories(data);
        settings["zone"] = "zone-" + daemon.name;
        settings["data_dir"] = data.string();
        settings["limits"]["disk_mb"] = diskMegabytes;
        return settings;
    }
    settings["zone"] = "zone-a";
    settings["zones"] = {{"zone-a", "region"}};
    settings["listen"] = {{"front", address(FloodPorts::callers)},
                          {"ready", address(FloodPorts::status)},
                          {"control", address(FloodPorts::peers)}};
    settings["seeds"] = json::array();
    for (const Daemon &other : daemons_) {
        if (other.role == "front") {
            settings["seeds"].push_back(other.ip + ":" + std::to_string(FloodPorts::peers));
        }
    }
    return settings;
}

void FloodDaemons::start(const std::string &role, int count, int firstAddress)
{
    for (int i = 0; i < count; ++i) {
        daemons_.push_back({role + "-" + std::to_string(i),
                            role,
                            settings_.network + std::to_string(firstAddress + i),
                            nullptr});
    }
    for (Daemon &daemon : daemons_) {
        if (daemon.process) {
            continue;
        }
        const std::filesystem::path file = settings_.folder / (daemon.name + ".json");
        std::ofstream(file) << settingsOf(daemon).dump(2);
        daemon.process = std::make_unique<DaemonProcess>(
            settings_.program, role, file, settings_.folder / (daemon.name + ".log"));
        daemon.process->start();
    }
}

} // namespace Soak
