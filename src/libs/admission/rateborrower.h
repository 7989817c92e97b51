#pragma once

#include "messages.h"

#include <base/error.h>

#include <deque>
#include <optional>
#include <set>

namespace Admission {

struct BorrowerSettings
{
    /// Longest time that a call waits for a permit; its own deadline may be shorter.
    Base::Duration maximumWait = std::chrono::milliseconds(500);
    /// Maximum number of waiting calls of one team at one daemon.
    std::size_t maximumWaiting = 512;
    /// Interval at which a request is repeated while calls wait.
    Base::Duration requestInterval = std::chrono::milliseconds(50);
    /// Minimum time between requests while earlier demand is queued at the lender.
    Base::Duration minRequestInterval = std::chrono::milliseconds(10);
    /// Permits are borrowed in advance for the calls that are expected within this time.
    Base::Duration horizon = std::chrono::milliseconds(30);
    /// Permits of a grant that no call used for this time are returned.
    Base::Duration idleReturn = std::chrono::milliseconds(20);
    /// Time constant of the demand estimate.
    Base::Duration demandWindow = std::chrono::milliseconds(500);
};

/// The call is admitted.
struct AdmitCall
{
    Base::TeamId team;
    Base::RequestId request;
};

/// The call is refused and was not run; this is its final response.
struct RefuseCall
{
    Base::TeamId team;
    Base::RequestId request;
    Base::Error error;
    /// Refused although the lender did not report that the team's rate is exceeded.
    bool isWithinRate = false;
};

/// Send to the owner of the team's partition.
struct SendGrantRequest
{
    GrantRequest request;
};

/// Send to the owner of the team's partition.
struct SendGrantReturn
{
    GrantReturn grantReturn;
};

using BorrowerAction = std::variant<AdmitCall, RefuseCall, SendGrantRequest, SendGrantReturn>;

/// Permits of one team at a daemon that receives calls: holds grants, admits calls with their
/// permits, and lets calls wait for a bounded time if no permit is left.
class RateBorrower
{
public:
    RateBorrower(Base::TeamId team,
                 Base::IncarnationId self,
                 RateLimit limit,
                 BorrowerSettings settings);

    void configured(RateLimit limit);

    /// A call arrived; its admission or refusal follows as an action, now or later.
    void arrived(Base::RequestId request, Base::Instant deadline, Base::Instant now);
    /// The caller has disconnected; a waiting call is dropped without an action.
    void cancelled(Base::RequestId request, Base::Instant now);
    void granted(const Grant &grant, Base::Instant now);
    /// The team's partition has a new owner; demand is requested again.
    void ownerChanged(Base::Instant now);
    /// Refuses all waiting calls.
    void refuseAll(Base::Instant now);

    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<BorrowerAction> takeActions();

    std::size_t waiting() const { return waiting_.size(); }
    Permits held(Base::Instant now) const;

private:
    struct Held
    {
        Base::Epoch epoch;
        Base::GrantId grant;
        Permits size;
        Permits used;
        Permits returned;
        Base::Instant expiry;
        Base::Instant lastUse;
        /// Number of times that the current amounts may still be reported to the lender.
        int reportsLeft = 0;

        Permits open() const { return size - used - returned; }
    };
    struct Waiting
    {
        Base::RequestId request;
        Base::Instant since;
        Base::Instant deadline;
    };
    struct SentRequest
    {
        GrantRequestNumber number;
        Base::Instant at;
        Permits needed;
    };

    void updateArrivalRate(Base::Instant now);
    Permits expectedDemand(Base::Instant now) const;
    bool usePermit(Base::Instant now);
    void admitWaiting(Base::Instant now);
    void refuseExpired(Base::Instant now);
    void refuse(const Waiting &call, Base::Duration wait);
    void removeWaiting(Base::RequestId request);
    std::optional<Base::Duration> estimatedWait(Base::Instant now) const;
    bool isRateExceeded(Base::Instant since) const;
    void dropExpired(Base::Instant now);
    void returnIdlePermits(Base::Instant now);
    void sendRequestIfNeeded(Base::Instant now);
    void withdrawDemand(Base::Instant now);
    void sendRequest(Base::Instant now);
    void reportUsedUpGrants();
    GrantReturn grantReturnFor(const Held &held) const;

    Base::TeamId team_;
    Base::IncarnationId self_;
    RateLimit limit_;
    BorrowerSettings settings_;
    std::deque<Held> held_;
    std::deque<Waiting> waiting_;
    std::set<std::pair<Base::Instant, Base::RequestId>> deadlines_;
    std::deque<SentRequest> sentRequests_;
    GrantRequestNumber lastRequest_;
    /// The lender has not responded to the last request yet.
    bool isRequestPending_ = false;
    /// Calls of the last request that the lender has not granted yet.
    Permits queuedAtLender_;
    std::optional<Base::Instant> lastGrantAt_;
    Permits backlog_;
    Permits arrivedSinceGrant_;
    double arrivalRate_ = 0;
    std::optional<Base::Instant> lastArrival_;
    std::vector<BorrowerAction> actions_;
};

} // namespace Admission
