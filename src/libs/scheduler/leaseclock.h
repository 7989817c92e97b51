#pragma once

#include <base/instant.h>
#include <base/types.h>
#include <platform/store.h>

#include <map>
#include <optional>

namespace Scheduler {

/// Until when this daemon's lease surely stands, by its own clock: counted from when a confirmed
/// renewal was sent. Whoever lends on the strength of the lease stops then.
class LeaseClock
{
public:
    explicit LeaseClock(Base::IncarnationId self);

    /// Notes renewals of the own lease among the ownership manager's store requests.
    void sent(const Platform::StoreRequest &request, Base::Instant now);
    /// True if the reply moved the end.
    bool replied(const Platform::StoreReply &reply);

    Base::Instant until() const { return until_; }

private:
    Base::IncarnationId self_;
    Base::Instant until_;
    /// End that each unanswered renewal would give.
    std::map<Platform::StoreRequestId, Base::Instant> renewals_;
};

} // namespace Scheduler
