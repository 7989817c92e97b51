#pragma once

#include <fakes/enginefake.h>
#include <fakes/storefake.h>
#include <fakes/toolfake.h>

#include <asio/ip/tcp.hpp>
#include <sys/resource.h>
#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <string>

namespace Crowd {

struct GatewayDaemonOptions
{
    /// Limit of the process on open descriptors; 0 leaves that of the test.
    rlim_t descriptors = 0;
    /// Further members of the object "callers" in the settings, each preceded by a comma.
    std::string callerSettings;
};

/// A process of marjoramd with its stand-ins on loopback addresses of the test, and a team with a
/// key. The process is killed when the object is destroyed.
class GatewayDaemon
{
public:
    /// Throws std::exception if a process does not start or the configuration is refused.
    explicit GatewayDaemon(GatewayDaemonOptions options = {});
    ~GatewayDaemon();

    GatewayDaemon(const GatewayDaemon &) = delete;
    GatewayDaemon &operator=(const GatewayDaemon &) = delete;

    const asio::ip::tcp::endpoint &callers() const { return callers_; }
    const asio::ip::tcp::endpoint &status() const { return status_; }
    const std::string &key() const { return key_; }
    Fakes::ToolFake &tool() { return tool_; }

    bool isRunning();
    /// The most memory that the process has had at a time.
    std::int64_t peakBytes() const;
    /// Bytes that the system holds for the daemon's sockets of callers and that it has not read.
    std::int64_t unreadBytes() const;
    std::int64_t openSockets() const;

private:
    void writeSettings() const;
    void startProcess();
    void awaitReady() const;
    void configure();
    /// Runs marjoramctl and returns its output.
    std::string control(const std::string &arguments) const;

    GatewayDaemonOptions options_;
    std::filesystem::path folder_;
    Fakes::StoreFake store_;
    Fakes::EngineFake engine_;
    Fakes::ToolFake tool_;
    asio::ip::tcp::endpoint callers_;
    asio::ip::tcp::endpoint status_;
    asio::ip::tcp::endpoint operators_;
    asio::ip::tcp::endpoint peers_;
    std::string key_;
    pid_t pid_ = 0;
};

} // namespace Crowd
