#pragma once

#include "messages.h"

#include <base/instant.h>
#include <base/types.h>

#include <optional>
#include <unordered_map>
#include <vector>

namespace Admission {

struct ShareVerdict
{
    bool isAdmitted = true;
    /// When the next request of the team fits; set for refusals only.
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
    /// Part of one team's limit; goes before the general one until it is cleared.
    void setTeamShare(const Base::TeamId &team, std::optional<double> share, Base::Instant now);

    ShareVerdict admit(const Base::TeamId &team, Base::Instant now);

private:
    struct Bucket
    {
        RateLimit limit;
        std::optional<double> share;
        double level = 0;
        Base::Instant filledAt;
        bool isNew = true;
    };

    double shareOf(const Bucket &bucket) const;
    void refill(Bucket &bucket, Base::Instant now);
    void capLevel(Bucket &bucket) const;

    double share_ = 0;
    std::unordered_map<Base::TeamId, Bucket> buckets_;
};

} // namespace Admission
