#pragma once

#include "callerconnection.h"

#include <telemetry/log.h>
#include <telemetry/metrics.h>

namespace Proxy {

/// How a request that was read completely ended for its caller.
enum class RequestEnding {
    /// The response of a server was passed on completely.
    Answered,
    /// The daemon sent a complete response of its own.
    Refused,
    /// The daemon closed the connection within the response, or without one.
    Cut,
    CallerGone
};

/// Counts the requests that were read completely, and how each of them ended. Requests that were
/// read and never handled count as dropped, so none is missing from the sum.
class RequestAccount
{
public:
    RequestAccount(Telemetry::Log &log, Telemetry::Metrics &metrics);

    void requestRead() { read_.add(); }
    void requestEnded(RequestEnding ending);
    /// A request was refused that would be cut off when the process ends.
    void refusedByShutdown() { refusedByShutdown_.add(); }
    /// Logs a connection that the daemon closed with unhandled or unsent bytes on it.
    void connectionClosed(const ConnectionEnd &end);

    std::uint64_t droppedRequests() const { return dropped_.value(); }
    /// Counts for the log line at the end of the process; \a active requests have not ended.
    std::vector<Telemetry::LogDetail> summary(std::size_t active) const;

private:
    Telemetry::Log &log_;
    Telemetry::Metrics &metrics_;
    Telemetry::Counter &read_;
    Telemetry::Counter &answered_;
    Telemetry::Counter &refused_;
    Telemetry::Counter &cut_;
    Telemetry::Counter &callerGone_;
    Telemetry::Counter &dropped_;
    Telemetry::Counter &refusedByShutdown_;
    /// Connections that the daemon closed while bytes had arrived that it had not read.
    std::uint64_t unreadConnections_ = 0;
};

} // namespace Proxy
