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
    /// Most calls of one team that wait at one daemon.
    std::size_t maximumWaiting = 512;
    /// Demand is repeated after this time without permits.
    Base::Duration askInterval = std::chrono::milliseconds(50);
    /// Demand that grew while it is queued at the lender is stated no more often than this.
    Base::Duration shortestAskInterval = std::chrono::milliseconds(10);
    /// Permits are borrowed ahead for the calls that are expected in this time.
    Base::Duration horizon = std::chrono::milliseconds(30);
    /// Permits that no call used for this time are returned.
    Base::Duration idleReturn = std::chrono::milliseconds(20);
    /// Time constant of the demand estimate.
    Base::Duration demandWindow = std::chrono::milliseconds(500);
};

/// The call may go on.
struct AdmitCall
{
    Base::TeamId team;
    Base::RequestId request;
};

/// The call's final answer; it was not run.
struct RefuseCall
{
    Base::TeamId team;
    Base::RequestId request;
    Base::Error error;
    /// Refused although the lender never said that the team's rate is used up.
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
    GrantReturn statement;
};

using BorrowerAction = std::variant<AdmitCall, RefuseCall, SendGrantRequest, SendGrantReturn>;

/// One team's permits at a daemon where calls arrive: holds grants, admits calls from them, and
/// lets calls wait for a bounded time when there are none.
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
    /// The caller is gone; a waiting call is dropped without an action.
    void cancelled(Base::RequestId request, Base::Instant now);
    void granted(const Grant &grant, Base::Instant now);
    /// The team's partition has another owner; demand is stated again.
    void ownerChanged(Base::Instant now);
    /// Refuses all that wait.
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
        /// How often the present amounts may still be stated to the lender.
        int statementsLeft = 0;

        Permits open() const { return size - used - returned; }
    };
    struct Waiting
    {
        Base::RequestId request;
        Base::Instant since;
        Base::Instant deadline;
    };
    struct Ask
    {
        AskNumber number;
        Base::Instant at;
        Permits needed;
    };

    void noteArrival(Base::Instant now);
    Permits expectedDemand(Base::Instant now) const;
    bool usePermit(Base::Instant now);
    void admitWaiting(Base::Instant now);
    void refuseLate(Base::Instant now);
    void refuse(const Waiting &call, Base::Duration wait);
    void dropWaiting(Base::RequestId request);
    std::optional<Base::Duration> knownWait(Base::Instant now) const;
    bool isRateUsedUp(Base::Instant since) const;
    void dropExpired(Base::Instant now);
    void returnIdle(Base::Instant now);
    void askIfNeeded(Base::Instant now);
    void withdrawDemand(Base::Instant now);
    void ask(Base::Instant now);
    void stateUsedUp();
    GrantReturn statementOf(const Held &held) const;

    Base::TeamId team_;
    Base::IncarnationId self_;
    RateLimit limit_;
    BorrowerSettings settings_;
    std::deque<Held> held_;
    std::deque<Waiting> waiting_;
    std::set<std::pair<Base::Instant, Base::RequestId>> deadlines_;
    std::deque<Ask> asks_;
    AskNumber lastAsk_;
    /// The last request is neither answered nor old enough to be repeated.
    bool isAsking_ = false;
    /// Calls of the last request that the lender has not granted yet.
    Permits queuedAtLender_;
    std::optional<Base::Instant> answeredAt_;
    Permits backlog_;
    Permits arrivedSinceAnswer_;
    double arrivalRate_ = 0;
    std::optional<Base::Instant> lastArrival_;
    std::vector<BorrowerAction> actions_;
};

} // namespace Admission
