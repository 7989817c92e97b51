#pragma once

#include "passthrough.h"
#include "ratesharing.h"

#include <dispatch/requestquarantine.h>

namespace Proxy {

/// Keeps requests that crash servers from all servers, whichever daemon they come to. Crashes are
/// reported to the keepers of the request, which add up the evidence; the first of them that
/// responds tells the decision to all. Daemons that miss it, or start later, learn it with the join
/// requests of the pools.
class QuarantineSharing
{
public:
    QuarantineSharing(Base::VmId self,
                      RateSharing &rates,
                      PeerLink &peers,
                      Telemetry::Log &log,
                      Telemetry::Metrics &metrics,
                      std::function<Base::Instant()> now);

    bool isQuarantined(const Dispatch::RequestFingerprints &request) const;
    /// A server ended the connection on which it had the request.
    void crashed(const Dispatch::CrashReport &report);
    /// A server has responded to the request.
    void completed(const Dispatch::RequestFingerprints &request);

    void onReport(const Dispatch::CrashReport &report);
    void onNotice(const QuarantineNotice &notice);

private:
    void fillResponse(const PoolJoinRequest &request, PoolJoinResponse &response) const;
    void onJoinResponse(const Base::VmId &sender, const PoolJoinResponse &response);
    void decide(const Dispatch::QuarantineStatement &statement);
    /// Returns whether the statement was news.
    bool learn(const Dispatch::QuarantineStatement &statement);
    void logChange(const Dispatch::QuarantineStatement &statement, const char *source);
    QuarantineReport toReport(const Dispatch::QuarantineStatement &statement) const;
    Dispatch::QuarantineStatement fromReport(const QuarantineReport &report) const;
    bool isCoordinatorOf(const Dispatch::RequestFingerprint &request) const;

    Base::VmId self_;
    PeerLink &peers_;
    Telemetry::Log &log_;
    Telemetry::Metrics &metrics_;
    std::function<Base::Instant()> now_;
    Dispatch::RequestQuarantine quarantine_;
};

/// The controls through which requests use the quarantine; \a sharing must outlive them.
QuarantineControls quarantineControls(QuarantineSharing &sharing);

} // namespace Proxy
