#pragma once

#include "requestplacer.h"

#include <map>
#include <optional>

namespace Dispatch {

/// Whether a connection leads to the listed process of its server; the surest first.
enum class ProcessCertainty {
    /// The process was alive when the connection was open: what the list says holds for it.
    Certain,
    /// There is no sign that it had ended before. What the list says may be used if it would hold
    /// for any other process of the server as well.
    Probable,
    /// An idle connection to it was closed before, as a server does from time to time, and a
    /// process when it ends. The server has to be asked, if it can be.
    Unsure,
    /// It has probably ended before the connection was opened, and another one may have taken its
    /// place. What the list says must not be used unless the server confirms it.
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
    /// Signs of one kind since the last proof of life.
    struct Signs
    {
        std::optional<Base::Instant> first;
        Base::Instant last;

        void add(Base::Instant at);
        void refute(Base::Instant aliveAt);
        bool isBefore(Base::Instant time) const { return first && *first <= time; }
    };

    struct Process
    {
        Base::ServiceId service;
        /// The last proof that it was alive.
        std::optional<Base::Instant> aliveAt;
        Signs idleClosed;
        Signs failed;
        /// When the next process of the server was first listed.
        std::optional<Base::Instant> succeededAt;
        /// The time of the first list without it; unset while it is listed.
        std::optional<Base::Instant> leftAt;
    };

    void recordSuccessor(const ServerInstance &instance, Base::Instant now);

    Settings settings_;
    std::map<ServerInstance, Process> processes_;
};

} // namespace Dispatch
