#include "rateshares.h"

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

/// Longest Retry-After that a used-up rate leads to.
constexpr Base::Duration longestRetry = std::chrono::seconds(1);

/// Time constant of the demand; the bounds count in windows of 5 s.
constexpr Base::Duration demandWindow = std::chrono::milliseconds(500);

/// Requests a second below which a team has no demand.
constexpr double leastDemand = 0.05;

/// Part of the burst that new programs leave to the requests of those under way.
constexpr double newProgramReserve = 0.25;

/// Short against the deadlines of 1.2 s and more; a program has 1.4 times its time on idle servers.
constexpr Base::Duration longestStartedWait = std::chrono::milliseconds(200);
constexpr Base::Duration longestToolWait = std::chrono::milliseconds(400);

Base::Duration longestWait(Urgency urgency)
{
    switch (urgency) {
    case Urgency::NewProgram:
        return Base::Duration::zero();
    case Urgency::Started:
        return longestStartedWait;
    case Urgency::ToolCall:
        break;
    }
    return longestToolWait;
}

/// Time in which the permits are refilled; over an hour counts as never.
Base::Duration durationOf(double permits, double rate)
{
    constexpr double never = 3600;
    const double seconds = rate > 0 ? std::min(never, permits / rate) : never;
    return std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

double RateShares::shareOf(const Bucket &bucket) const
{
    return bucket.share.value_or(share_);
}

/// Brings the level up to date, over the end of a team's share if it lies in between.
void RateShares::refill(Bucket &bucket, Base::Instant now)
{
    if (bucket.share && bucket.shareUntil <= now) {
        refillUntil(bucket, std::max(bucket.filledAt, bucket.shareUntil));
        bucket.share.reset();
    }
    refillUntil(bucket, now);
}

void RateShares::refillUntil(Bucket &bucket, Base::Instant until)
{
    const double share = shareOf(bucket);
    if (bucket.isNew && share > 0) {
        bucket.isNew = false;
        bucket.level = static_cast<double>(bucket.limit.burst.value()) * share;
    } else {
        bucket.level += bucket.limit.perSecond * share * Base::toSeconds(until - bucket.filledAt);
    }
    bucket.filledAt = until;
    capLevel(bucket);
}

/// A bucket of less than one permit would never admit anything; the bound of one permit is within
/// what the parts of other daemons leave unused by rounding.
double RateShares::capacityOf(const Bucket &bucket) const
{
    return std::max(1.0, static_cast<double>(bucket.limit.burst.value()) * shareOf(bucket));
}

void RateShares::capLevel(Bucket &bucket) const
{
    bucket.level = std::min(bucket.level, capacityOf(bucket));
}

void RateShares::configure(const std::vector<std::pair<Base::TeamId, RateLimit>> &limits,
                           Base::Instant now)
{
    std::unordered_map<Base::TeamId, Bucket> next;
    for (const auto &[team, limit] : limits) {
        Bucket bucket;
        if (const auto known = buckets_.find(team); known != buckets_.end()) {
            refill(known->second, now);
            bucket = known->second;
        }
        if (bucket.isNew) {
            bucket.countedAt = now;
        }
        bucket.limit = limit;
        bucket.filledAt = now;
        capLevel(bucket);
        next.emplace(team, bucket);
    }
    buckets_ = std::move(next);
}

void RateShares::setShare(double share, Base::Instant now)
{
    for (auto &[team, bucket] : buckets_) {
        refill(bucket, now);
    }
    share_ = share;
    for (auto &[team, bucket] : buckets_) {
        capLevel(bucket);
    }
}

void RateShares::setTeamShares(const std::vector<TeamShare> &shares,
                               Base::Instant validUntil,
                               Base::Instant now)
{
    for (const TeamShare &share : shares) {
        const auto entry = buckets_.find(share.team);
        if (entry == buckets_.end()) {
            continue;
        }
        refill(entry->second, now);
        entry->second.share = share.share;
        entry->second.shareUntil = validUntil;
        capLevel(entry->second);
    }
}

std::vector<TeamDemand> RateShares::demands(Base::Instant now)
{
    std::vector<TeamDemand> result;
    for (auto &[team, bucket] : buckets_) {
        const double elapsed = Base::toSeconds(now - bucket.countedAt);
        if (elapsed > 0) {
            const double weight = 1 - std::exp(-elapsed / Base::toSeconds(demandWindow));
            bucket.demand += weight * (bucket.arrivals / elapsed - bucket.demand);
            bucket.arrivals = 0;
            bucket.countedAt = now;
        }
        if (bucket.demand > leastDemand) {
            result.push_back({team, bucket.demand});
        }
    }
    return result;
}

ShareVerdict RateShares::admit(const Base::TeamId &team, Urgency urgency, Base::Instant now)
{
    const auto entry = buckets_.find(team);
    if (entry == buckets_.end()) {
        return {};
    }
    Bucket &bucket = entry->second;
    bucket.arrivals += 1;
    refill(bucket, now);
    const bool isNew = urgency == Urgency::NewProgram;
    const double needed = 1 + (isNew ? newProgramReserve * capacityOf(bucket) : 0);
    const double missing = std::max(0.0, needed - bucket.level);
    const double rate = bucket.limit.perSecond * shareOf(bucket);
    const Base::Duration wait = missing > 0 ? durationOf(missing, rate) : Base::Duration::zero();
    if (wait <= longestWait(urgency)) {
        bucket.level -= 1;
        return {true, wait, {}};
    }
    return {false, {}, std::min(wait, longestRetry)};
}

void RateShares::refund(const Base::TeamId &team, Base::Instant now)
{
    if (const auto entry = buckets_.find(team); entry != buckets_.end()) {
        refill(entry->second, now);
        entry->second.level += 1;
        capLevel(entry->second);
    }
}

} // namespace Admission
