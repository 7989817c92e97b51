#include "flooddaemons.h"

#include <fstream>

namespace Soak {

FloodDaemons::FloodDaemons(FloodDaemonSettings settings)
    : settings_(std::move(settings))
{}

nlohmann::json FloodDaemons::settingsOf(const Daemon &daemon) const
{
    std::vector<std::string> fronts;
    for (const Daemon &other : daemons_) {
        if (other.role == "front") {
            fronts.push_back(other.ip);
        }
    }
    nlohmann::json settings = daemonSettings(daemon, fronts, settings_.store, settings_.folder);
    settings["limits"].update(settings_.limits);
    return settings;
}

void FloodDaemons::start(const std::string &role, int count, int firstAddress)
{
    for (int i = 0; i < count; ++i) {
        const std::string ip = settings_.network + std::to_string(firstAddress + i);
        daemons_.push_back({{role + "-" + std::to_string(i), role, ip}, nullptr});
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
