#pragma once

#include <base/instant.h>
#include <base/types.h>
#include <platform/store.h>

#include <map>
#include <optional>

namespace Scheduler {

/// Tracks the earliest possible expiry of this daemon's own lease by its own clock, counted from
/// the time at which a confirmed renewal was sent. Rates are lent no longer than until then.
class LeaseExpiryTracker
{
public:
    explicit LeaseExpiryTracker(Base::IncarnationId self);

    /// Records the request if it renews the own lease.
    void requestSent(const Platform::StoreRequest &request, Base::Instant now);
    /// Returns true if the reply extended the lease.
    bool replyReceived(const Platform::StoreReply &reply);

    Base::Instant expiry() const { return expiry_; }

private:
    Base::IncarnationId self_;
    Base::Instant expiry_;
    /// Expiry that each renewal in flight sets if it succeeds.
    std::map<Platform::StoreRequestId, Base::Instant> pendingRenewals_;
};

} // namespace Scheduler
