#include "floodenvironment.h"

#include <map>

namespace Soak {

namespace {

using nlohmann::json;

constexpr std::size_t writeBytes = 65536;
constexpr std::size_t maxBodyBytes = 4 * 1024 * 1024;
constexpr int kilobytesPerMegabyte = 1000;
constexpr int timeoutMs = 2500;

const std::string plainHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: flood\r\n";
const std::string streamHead
    = plainHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Repeats the text up to the size of one write.
std::string repeated(const std::string &text)
{
    std::string result;
    while (result.size() + text.size() <= writeBytes) {
        result += text;
    }
    return result;
}

/// 0x10000 bytes are one write.
std::string chunk(std::string content)
{
    content.resize(writeBytes, '\n');
    return "10000\r\n" + content + "\r\n";
}

struct Flood
{
    FloodRequest request;
    FloodResponse response;
};

std::map<std::string, Flood> floods()
{
    constexpr std::size_t eventBytes = 1000;
    const std::string events = chunk(repeated("data: " + std::string(eventBytes, 'x') + "\n\n"));
    const std::string filling = std::string(writeBytes, 'x');
    const FloodRequest stream{"POST", "/events/x", "flood-key", 4};
    const FloodRequest plain{"GET", "/plain/x", "flood-key"};
    const FloodRequest body{"POST", "/plain/x", "flood-key", maxBodyBytes, 1000};
    FloodRequest kept = stream;
    kept.target = "/kept/x";
    FloodRequest late = stream;
    late.isReading = false;
    FloodRequest badKey = body;
    badKey.key = "unknown-key";
    return {{"events", {stream, {streamHead, events}}},
            {"kept", {kept, {streamHead, events}}},
            {"event", {stream, {streamHead + "6\r\ndata: \r\n", chunk(filling)}}},
            {"body", {plain, {plainHead + "\r\n", filling}}},
            {"interim", {plain, {"", repeated("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n")}}},
            {"blank", {plain, {"", repeated("\r\n")}}},
            {"late", {late, {streamHead, events}}},
            {"bodies", {body, {plainHead + "\r\n", {}}}},
            {"badkey", {badKey, {plainHead + "\r\n", {}}}}};
}

FloodResponse soundResponse()
{
    constexpr auto runTime = std::chrono::milliseconds(50);
    return {plainHead + "Content-Length: 2\r\n\r\nok", {}, runTime};
}

json route(const char *name, const char *kind, const char *service)
{
    return {{"name", name},
            {"host", "soak.example"},
            {"path_prefix", std::string("/") + name + "/"},
            {"kind", kind},
            {"service", service},
            {"attempts", 3},
            {"timeout_ms", timeoutMs},
            {"goal_ms", 250}};
}

} // namespace

json floodConfiguration(bool keepsTurns)
{
    json kept = route("kept", "stream", "faulty");
    kept["retained"] = true;
    kept["retain_s"] = 60;
    json routes = {route("events", "stream", "faulty"),
                   route("plain", "idempotent", "faulty"),
                   route("sound", "idempotent", "sound")};
    if (keepsTurns) {
        routes.push_back(kept);
    }
    return {{"version", 1},
            {"routes", routes},
            {"services", {{{"name", "faulty"}, {"engine", {{"stride", 20}}}}, {{"name", "sound"}}}},
            {"tenants",
             {{{"name", "flood"}, {"api_keys", {"flood-key"}}},
              {{"name", "sound"}, {"api_keys", {"sound-key"}}}}},
            {"limits",
             {{"header_bytes", 16384},
              {"body_bytes", maxBodyBytes},
              {"header_timeout_ms", 5000},
              {"idle_timeout_ms", 10000}}}};
}

std::vector<std::string> floodKinds()
{
    std::vector<std::string> names;
    for (const auto &[name, flood] : floods()) {
        names.push_back(name);
    }
    return names;
}

FloodEnvironment::FloodEnvironment(FloodSettings settings)
    : settings_(std::move(settings))
    , store_(context_)
    , faulty_("i-faulty", "faulty", floods().at(settings_.kind).response)
    , sound_("i-sound", "sound", soundResponse())
    // The soak uses third numbers below 250, and runs in parallel have different process ids.
    , daemons_({settings_.program,
                settings_.folder,
                "127." + std::to_string(64 + getpid() % 128) + ".251.",
                store_.endpoint(),
                {{"memory_mb", settings_.memoryMegabytes}}})
{
    store_.put("servers", faulty_.id(), faulty_.entry());
    store_.put("servers", sound_.id(), sound_.entry());
    store_.put("config", "main", floodConfiguration(keepsTurns()));
}

void FloodEnvironment::watchDaemons()
{
    constexpr auto interval = std::chrono::milliseconds(50);
    for (const FloodDaemons::Daemon &daemon : daemons_.all()) {
        std::int64_t &peak = peakKilobytes_[daemon.role];
        peak = std::max(peak, daemon.process->peakKilobytes());
        if (const std::optional<int> status = daemon.process->poll()) {
            exited_.push_back(daemon.name + ", wait status " + std::to_string(*status));
        }
    }
    const auto timer = std::make_shared<asio::steady_timer>(context_, interval);
    timer->async_wait([this, timer](const std::error_code &) { watchDaemons(); });
}

double FloodEnvironment::peak(const std::string &role) const
{
    const auto highest = peakKilobytes_.find(role);
    const std::int64_t kilobytes = highest == peakKilobytes_.end() ? 0 : highest->second;
    return static_cast<double>(kilobytes) * 1.024 / kilobytesPerMegabyte;
}

FloodResult FloodEnvironment::run()
{
    constexpr auto startTime = std::chrono::seconds(2); // until the daemons know each other
    constexpr auto endTime = std::chrono::seconds(5);
    constexpr int soundCallers = 8;
    if (keepsTurns()) {
        daemons_.start("store", 3, 50);
    }
    daemons_.start("front", 2, 10);
    watchDaemons();
    context_.run_for(startTime);
    std::vector<asio::ip::tcp::endpoint> fronts;
    for (const FloodDaemons::Daemon &daemon : daemons_.all()) {
        if (daemon.role == "front") {
            fronts.emplace_back(asio::ip::make_address(daemon.ip), FloodPorts::callers);
        }
    }
    FloodResult result;
    FloodCallers sound("s", {"GET", "/sound/x", "sound-key"}, fronts, soundCallers);
    context_.run_for(std::min(settings_.length, std::chrono::seconds(2)));
    result.soundBefore = sound.served();
    FloodCallers flood("f", floods().at(settings_.kind).request, fronts, settings_.callers);
    context_.run_for(settings_.length);
    result.soundDuring = sound.served() - result.soundBefore;
    flood.stop();
    context_.run_for(std::min(settings_.length, std::chrono::seconds(5)));
    result.soundAfter = sound.served() - result.soundBefore - result.soundDuring;
    const auto end = std::chrono::steady_clock::now() + endTime;
    while (flood.open() > 0 && std::chrono::steady_clock::now() < end) {
        context_.run_for(std::chrono::milliseconds(100));
    }
    result.ended = flood.ended();
    result.withoutEnd = flood.open();
    result.frontPeakMegabytes = peak("front");
    result.storePeakMegabytes = peak("store");
    result.exited = exited_;
    return result;
}

} // namespace Soak
