#pragma once

#include "ratepool.h"

#include <base/instant.h>
#include <base/types.h>

#include <optional>
#include <unordered_map>
#include <vector>

namespace Admission {

/// What a refusal would cost: a program that has begun is lost with everything it has done.
enum class Urgency {
    /// The first request of a program, as far as this daemon knows.
    NewProgram,
    /// A program under way, or a request without a program.
    Started,
    /// A call that a program makes once; its refusal ends the program.
    ToolCall
};

struct ShareVerdict
{
    bool isAdmitted = true;
    /// The request's permit is there after this time; set for admitted requests only.
    Base::Duration wait{};
    /// When a request of this urgency fits; set for refusals only.
    Base::Duration retryAfter{};
};

/// This daemon's part of each team's rate and burst. The parts of all daemons add up to the whole,
/// so that no window sees more than burst + rate * length over the fleet.
class RateShares
{
public:
    /// The limits of every team that has one; levels of teams that stay are kept.
    void configure(const std::vector<std::pair<Base::TeamId, RateLimit>> &limits,
                   Base::Instant now);
    /// Part of all limits that is this daemon's, from 0 to 1. Nothing is admitted before it is
    /// known.
    void setShare(double share, Base::Instant now);
    /// Parts of some teams' limits that go before the general one until the given time.
    void setTeamShares(const std::vector<TeamShare> &shares,
                       Base::Instant validUntil,
                       Base::Instant now);

    /// Requests of each team that reach this daemon; teams without any are left out.
    std::vector<TeamDemand> demands(Base::Instant now);

    /// Urgent requests may wait for their permit for a short time; new programs leave permits to
    /// those under way.
    ShareVerdict admit(const Base::TeamId &team, Urgency urgency, Base::Instant now);
    /// The admitted request was not sent to any server.
    void refund(const Base::TeamId &team, Base::Instant now);

private:
    struct Bucket
    {
        RateLimit limit;
        std::optional<double> share;
        Base::Instant shareUntil;
        double level = 0;
        Base::Instant filledAt;
        /// Mean arrivals a second, and those since it was last brought up to date.
        double demand = 0;
        double arrivals = 0;
        Base::Instant countedAt;
        bool isNew = true;
    };

    double shareOf(const Bucket &bucket) const;
    double capacityOf(const Bucket &bucket) const;
    void refill(Bucket &bucket, Base::Instant now);
    void refillUntil(Bucket &bucket, Base::Instant until);
    void capLevel(Bucket &bucket) const;

    double share_ = 0;
    std::unordered_map<Base::TeamId, Bucket> buckets_;
};

} // namespace Admission
