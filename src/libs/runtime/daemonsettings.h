#pragma once

#include <base/settingsreader.h>
#include <base/types.h>
#include <operators/operatorservice.h>
#include <rpc/tlssettings.h>
#include <scheduler/daemoncore.h>
#include <telemetry/log.h>

/// A daemon's process: settings, sockets, threads and the clock around a DaemonCore.
namespace Runtime {

struct ListenAddress
{
    std::string address;
    std::uint16_t port = 0;
};

/// Settings of one daemon, as read from its JSON file.
struct DaemonSettings
{
    Base::VmId vm;
    Base::ZoneId zone;
    ListenAddress callers;
    Base::Bytes maxBody{4'000'000};
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
    /// Time in which a balancer is expected to notice that the daemon is leaving.
    Base::Duration leaveNotice = std::chrono::seconds(3);
    /// Longest wait for requests under way at a shutdown.
    Base::Duration drainTimeout = std::chrono::minutes(10);
    /// Longest wait for other daemons to take the partitions over, once no request is under way.
    /// Without it a fleet that stops as a whole would wait for itself.
    Base::Duration handoverTimeout = std::chrono::seconds(10);
    Base::Bytes witnessCapacity{64 << 20};
    Telemetry::LogSettings log;
};

/// Settings, and what is wrong with them; usable only if there are no problems.
struct ParsedSettings
{
    DaemonSettings settings;
    std::vector<Base::SettingsProblem> problems;
};

/// Reads the JSON text; malformed JSON is a problem at path "/".
ParsedSettings parseSettings(const std::string &text);

/// The core's settings for one incarnation.
Scheduler::CoreSettings coreSettings(const DaemonSettings &settings,
                                     const Base::IncarnationId &incarnation,
                                     std::uint64_t seed);

} // namespace Runtime
