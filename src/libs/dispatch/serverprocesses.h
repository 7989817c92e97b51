#pragma once

#include "requestplacer.h"

#include <map>
#include <optional>

namespace Dispatch {

/// Whether a connection leads to the listed process of its server; the surest first.
enum class ProcessCertainty {
    /// The process was alive when the connection was open.
    Certain,
    /// There is no sign that it had ended before.
    Probable,
    /// An idle connection to it was closed before, as a server does from time to time, and a
    /// process when it ends.
    Unsure,
    /// It has probably ended before the connection was opened, and another one may have taken its
    /// place.
    Doubtful
};

/// Returns the name of the certainty, for logs.
const char *nameOf(ProcessCertainty certainty);

/// A sign that a process has ended.
enum class EndSign {
    IdleClosed,
    /// A connection was refused or broke off, or another process answers at the address.
    Failed
};

/// When the listed process of each server was known to be alive. A server that starts again under
/// its id may serve requests, with another software version, before the list shows it: the version
/// of an entry holds for a connection only if the process of the entry was alive while the
/// connection was open. Decides without input and output; all times are of one clock.
class ServerProcesses
{
public:
    struct Settings
    {
        /// Time for which processes that have left the list are remembered.
        Base::Duration retention = std::chrono::seconds(60);
    };

    explicit ServerProcesses(Settings settings)
        : settings_(settings)
    {}

    void serversChanged(const std::vector<ListedServer> &servers, Base::Instant now);
    /// The process has proved that it was alive at the given time.
    void wasAlive(const ServerInstance &process, Base::Instant at);
    /// A request that was sent at the given time was answered on a connection that had been opened
    /// before.
    void responded(const ServerInstance &process, Base::Instant connectedAt, Base::Instant sentAt);
    void mayHaveEnded(const ServerInstance &process, EndSign sign, Base::Instant at);

    /// Whether a connection that was opened to the process at the given time leads to it.
    ProcessCertainty certainty(const ServerInstance &process, Base::Instant connectedAt) const;
    /// Whether a listed process of the service has probably ended.
    bool hasDoubtful(const Base::ServiceId &service) const;
    /// Number of listed processes that have probably ended.
    std::size_t doubtfulCount() const;

private:
    struct Process
    {
        Base::ServiceId service;
        /// The last proof that it was alive.
        std::optional<Base::Instant> aliveAt;
        /// The first signs after that proof that it has ended.
        std::optional<Base::Instant> idleClosedAt;
        std::optional<Base::Instant> failedAt;
        /// The time of the first list without it; unset while it is listed.
        std::optional<Base::Instant> leftAt;
    };

    Settings settings_;
    std::map<ServerInstance, Process> processes_;
};

} // namespace Dispatch
