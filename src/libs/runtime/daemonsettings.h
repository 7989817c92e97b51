#pragma once

#include <base/settingsreader.h>
#include <base/types.h>
#include <operators/operatorservice.h>
#include <rpc/tlssettings.h>
#include <scheduler/daemoncore.h>
#include <telemetry/log.h>

/// The daemon process: runs a DaemonCore with settings, sockets, threads and a clock.
namespace Runtime {

struct ListenAddress
{
    std::string address;
    std::uint16_t port = 0;
};

/// Settings of a daemon, read from a JSON file.
struct DaemonSettings
{
    Base::VmId vm;
    Base::ZoneId zone;
    ListenAddress callers;
    Base::Bytes maxBody{4'000'000};
    /// The most connections of callers at a time.
    std::size_t maxConnections = 512;
    /// For the bodies of all requests that are not answered yet; one request gets at most half.
    Base::Bytes bodyMemory{48'000'000};
    /// For all responses that callers have not read yet.
    Base::Bytes backlogMemory{32'000'000};
    /// Serves /healthz and /metrics.
    ListenAddress status;
    /// Serves the operators' Thrift interface.
    ListenAddress operators;
    Rpc::TlsSettings operatorTls;
    std::vector<Operators::OperatorAccount> operatorAccounts;
    ListenAddress peers;
    Rpc::TlsSettings peerTls;
    std::string platformUrl;
    std::uint16_t partitions = 256;
    unsigned workers = 2;
    /// Time within which a load balancer is expected to notice that the daemon is leaving.
    Base::Duration leaveNotice = std::chrono::seconds(3);
    /// Maximum wait for requests in progress at a shutdown.
    Base::Duration drainTimeout = std::chrono::minutes(10);
    /// Maximum wait for other daemons to take over the partitions, once no request is in progress.
    /// Without this limit, no daemon of a fleet that stops as a whole would end before
    /// drainTimeout.
    Base::Duration handoverTimeout = std::chrono::seconds(10);
    Base::Bytes witnessCapacity{64 << 20};
    Telemetry::LogSettings log;
};

/// Parsed settings with the problems found; valid only if there are no problems.
struct ParsedSettings
{
    DaemonSettings settings;
    std::vector<Base::SettingsProblem> problems;
};

/// Parses the JSON text; malformed JSON is reported as a problem at path "/".
ParsedSettings parseSettings(const std::string &text);

/// Returns the core's settings for an incarnation.
Scheduler::CoreSettings coreSettings(const DaemonSettings &settings,
                                     const Base::IncarnationId &incarnation,
                                     std::uint64_t seed);

} // namespace Runtime
