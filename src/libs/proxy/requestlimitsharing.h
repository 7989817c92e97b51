#pragma once

#include "passthrough.h"
#include "ratesharing.h"

#include <contracts/route.h>
#include <dispatch/coldservers.h>
#include <dispatch/requestlimits.h>

namespace Proxy {

/// Enforces the limits that backend servers state, and those of cold servers, on the requests of
/// all daemons together. A server belongs to a group of RateSharing, whose coordinator grants the
/// permits for its requests and tells the other daemons about changed limits with its join
/// responses.
class RequestLimitSharing
{
public:
    using PermitCallback = RateSharing::PermitCallback;

    RequestLimitSharing(Base::VmId self,
                        RateSharing &rates,
                        PeerLink &peers,
                        Telemetry::Log &log,
                        Telemetry::Metrics &metrics,
                        std::function<Base::Instant()> now);

    /// Sets the periods and rates of cold servers.
    void configure(const std::vector<Contracts::RoutedService> &services);
    /// No request to a cold server is permitted before the given time, from which on all daemons
    /// know each other.
    void admitColdFrom(Base::Instant time);
    /// The zone's servers count as cold again.
    void zoneReopened(const Base::ZoneId &zone);

    bool isLimited(const Dispatch::ServerInstance &instance) const;
    /// A server stated a limit, or none, in a response to this daemon.
    void stated(const Dispatch::LimitStatement &statement);
    void onReport(const LimitReport &report);

    /// Calls back once, either immediately or after the response of the server's coordinator.
    void acquire(const Dispatch::ServerInstance &instance,
                 const Admission::ServerPermitTerms &terms,
                 PermitCallback callback);
    /// Returns a permit that was not used.
    void refund(const Base::ServerId &server);

    void onPermitRequest(const Base::VmId &sender, const ServerPermitRequest &request);
    void onPermitReturn(const ServerPermitReturn &permit);

    /// Forgets the limits of servers that are not in the list.
    void serversChanged(const std::vector<Dispatch::ListedServer> &servers);

private:
    void applyCold(const Base::ServerId &server,
                   const Dispatch::ColdLimit &cold,
                   Admission::PermitPool &pool,
                   Base::Instant now) const;
    std::optional<ColdReport> coldReportOf(const Dispatch::ServerInstance &instance) const;
    Admission::PermitVerdict decide(const Dispatch::ServerInstance &instance,
                                    const Admission::ServerPermitTerms &terms,
                                    Admission::PermitPool &pool,
                                    Base::Instant now) const;
    void updateColdCount();
    bool apply(const Dispatch::LimitStatement &statement, const char *source);
    LimitReport reportOf(const Dispatch::ServerInstance &instance) const;
    LimitReport toReport(const Dispatch::LimitStatement &statement) const;
    std::vector<LimitReport> recentReports(const std::vector<TeamGroup> &groups) const;

    Base::VmId self_;
    RateSharing &rates_;
    PeerLink &peers_;
    Telemetry::Log &log_;
    Telemetry::Metrics &metrics_;
    std::function<Base::Instant()> now_;
    Dispatch::RequestLimits limits_;
    Dispatch::ColdServers cold_;
};

/// The controls through which requests use the limits; \a sharing must outlive them.
LimitControls limitControls(RequestLimitSharing &sharing);

} // namespace Proxy
