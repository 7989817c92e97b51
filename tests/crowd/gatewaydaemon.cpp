#include "gatewaydaemon.h"

#include "crowdclient.h"

#include <libs/loopback.h>

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <system_error>

namespace Crowd {

namespace {

using Endpoint = asio::ip::tcp::endpoint;
using nlohmann::json;

constexpr const char *operatorToken = "crowd-operator-token";
/// SHA-256 of the token.
constexpr const char *operatorTokenHash
    = "54a47349d5139cf4bbe1888c6f8b2e7e89b498705b08ffbd1d0e37679501edd9";

/// More than the requests of a crowd, so that none waits for a slot.
constexpr int engineSlots = 256;

constexpr std::int64_t kilobyte = 1024;

/// Only bounds a test that would wait for ever.
constexpr int maxReadinessPolls = 600;
constexpr int readinessPollMilliseconds = 100;

std::filesystem::path makeFolder()
{
    std::string name = std::filesystem::temp_directory_path() / "gatewaycrowd-XXXXXX";
    if (!mkdtemp(name.data())) {
        throw std::system_error(errno, std::generic_category(), "mkdtemp");
    }
    return name;
}

std::string run(const std::string &command)
{
    FILE *pipe = popen(command.c_str(), "r");
    if (!pipe) {
        throw std::system_error(errno, std::generic_category(), command);
    }
    std::string output;
    std::array<char, 4096> buffer{};
    for (std::size_t size = 0; (size = std::fread(buffer.data(), 1, buffer.size(), pipe)) > 0;) {
        output.append(buffer.data(), size);
    }
    if (pclose(pipe) != 0) {
        throw std::runtime_error("failed: " + command + ": " + output);
    }
    return output;
}

json listenAddress(const Endpoint &endpoint)
{
    return {{"address", endpoint.address().to_string()}, {"port", endpoint.port()}};
}

json withCertificates(json settings, const std::filesystem::path &folder, const std::string &name)
{
    settings["certificate"] = folder / (name + ".pem");
    settings["private_key"] = folder / (name + ".key");
    settings["trust"] = folder / "authority.pem";
    return settings;
}

std::string text(const Endpoint &endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

/// Address and port as in /proc/net/tcp.
std::string procText(const Endpoint &endpoint)
{
    std::array<char, 16> result{};
    const std::uint32_t address = endpoint.address().to_v4().to_uint();
    std::snprintf(result.data(),
                  result.size(),
                  "%08X:%04X",
                  htonl(address),
                  static_cast<unsigned>(endpoint.port()));
    return result.data();
}

Fakes::EngineSettings engineSettings()
{
    Fakes::EngineSettings settings;
    settings.msPerToken = 0;
    settings.prefillTokensPerSecond = 1e12;
    settings.slots = engineSlots;
    return settings;
}

} // namespace

GatewayDaemon::GatewayDaemon(GatewayDaemonOptions options)
    : options_(std::move(options))
    , folder_(makeFolder())
    , engine_(engineSettings())
    , callers_(freeEndpoint<asio::ip::tcp>())
    , status_(freeEndpoint<asio::ip::tcp>())
    , operators_(freeEndpoint<asio::ip::tcp>())
    , peers_(freeEndpoint<asio::ip::tcp>())
{
    const std::string address = callers_.address().to_string();
    store_.start(freeEndpoint<asio::ip::tcp>().port(), address);
    engine_.start(freeEndpoint<asio::ip::tcp>().port(), address);
    tool_.start(freeEndpoint<asio::ip::tcp>().port(), address);
    run(std::string(MAKE_CERTIFICATES) + " " + folder_.string());
    writeSettings();
    startProcess();
    awaitReady();
    configure();
}

GatewayDaemon::~GatewayDaemon()
{
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
    std::error_code ignored; // leftover files do not change the result of the test
    std::filesystem::remove_all(folder_, ignored);
}

void GatewayDaemon::writeSettings() const
{
    json callers = listenAddress(callers_);
    callers.update(json::parse("{" + options_.callerSettings + "}"));
    json operators = withCertificates(listenAddress(operators_), folder_, "peer");
    operators["accounts"] = {{{"name", "crowd"}, {"token_sha256", operatorTokenHash}}};
    const json settings{{"vm", "vm-1"},
                        {"zone", "zone-a"},
                        {"callers", callers},
                        {"status", listenAddress(status_)},
                        {"operators", operators},
                        {"peers", withCertificates(listenAddress(peers_), folder_, "peer")},
                        {"platform", {{"url", store_.url()}}},
                        {"leave_notice_ms", 0},
                        {"handover_timeout_ms", 1000}};
    std::ofstream(folder_ / "daemon.json") << settings;
    json profile = withCertificates(listenAddress(operators_), folder_, "operator");
    profile["operator"] = "crowd";
    profile["token"] = operatorToken;
    std::ofstream(folder_ / "profile.json") << profile;
}

void GatewayDaemon::startProcess()
{
    rlimit previous{};
    ::getrlimit(RLIMIT_NOFILE, &previous);
    if (options_.descriptors > 0) {
        const rlimit lower{options_.descriptors, previous.rlim_max};
        ::setrlimit(RLIMIT_NOFILE, &lower);
    }
    const std::string log = folder_ / "daemon.log";
    std::string program = MARJORAMD;
    std::string option = "--settings";
    std::string settings = folder_ / "daemon.json";
    std::array<char *, 4> arguments{program.data(), option.data(), settings.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr int logMode = 0644;
    posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, logMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error
        = posix_spawn(&pid_, program.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    ::setrlimit(RLIMIT_NOFILE, &previous);
    if (error != 0) {
        pid_ = 0;
        throw std::system_error(error, std::generic_category(), "start " + program);
    }
}

void GatewayDaemon::awaitReady() const
{
    for (int i = 0; i < maxReadinessPolls; ++i) {
        try {
            if (requestOnce(status_, "GET", "/healthz", {}, {}).status == 200) {
                return;
            }
        } catch (const std::system_error &) {
            // The daemon does not listen yet.
        }
        ::poll(nullptr, 0, readinessPollMilliseconds);
    }
    std::ostringstream log;
    log << std::ifstream(folder_ / "daemon.log").rdbuf();
    throw std::runtime_error("the daemon does not become ready: " + log.str());
}

std::string GatewayDaemon::control(const std::string &arguments) const
{
    return run(std::string(MARJORAMCTL) + " --profile " + (folder_ / "profile.json").string() + " "
               + arguments);
}

void GatewayDaemon::configure()
{
    const std::string engine = text({callers_.address(), engine_.port()});
    const std::string tool = text({callers_.address(), tool_.port()});
    control("team add club --rate 1000 --burst 2000 --budget 100000000");
    control("service put planner --kind model --model menu-1 --idempotent");
    control("service put stock --kind plain --route /stock --idempotent");
    control("server put engine-1 --service planner --address " + engine + " --zone zone-a --slots "
            + std::to_string(engineSlots));
    control("server put tool-1 --service stock --address " + tool + " --zone zone-a --slots 64");
    key_ = control("key issue club");
    key_.erase(key_.find_last_not_of(" \n") + 1);
}

bool GatewayDaemon::isRunning()
{
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
        pid_ = 0;
    }
    return pid_ > 0;
}

std::int64_t GatewayDaemon::peakBytes() const
{
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    const std::string name = "VmHWM:";
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name)) {
            return std::stoll(line.substr(name.size())) * kilobyte;
        }
    }
    return 0;
}

std::int64_t GatewayDaemon::unreadBytes() const
{
    std::ifstream table("/proc/net/tcp");
    const std::string address = procText(callers_);
    std::int64_t unread = 0;
    std::string line;
    std::getline(table, line); // the titles of the columns
    while (std::getline(table, line)) {
        std::istringstream columns(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        columns >> number >> local >> remote >> state >> queues;
        constexpr const char *listening = "0A"; // its queue counts connections
        const std::size_t colon = queues.find(':');
        if (local == address && state != listening && colon != std::string::npos) {
            unread += std::stoll(queues.substr(colon + 1), nullptr, 16);
        }
    }
    return unread;
}

std::int64_t GatewayDaemon::openSockets() const
{
    std::int64_t count = 0;
    std::error_code error;
    const std::filesystem::path folder = "/proc/" + std::to_string(pid_) + "/fd";
    for (const auto &entry : std::filesystem::directory_iterator(folder, error)) {
        const std::filesystem::path target = std::filesystem::read_symlink(entry, error);
        count += target.string().starts_with("socket:") ? 1 : 0;
    }
    return count;
}

} // namespace Crowd
