#include "rateshares.h"

#include <algorithm>

namespace Admission {

namespace {

/// Longest Retry-After that a used-up rate leads to.
constexpr Base::Duration longestRetry = std::chrono::seconds(1);

} // namespace

double RateShares::shareOf(const Bucket &bucket) const
{
    return bucket.share.value_or(share_);
}

void RateShares::refill(Bucket &bucket, Base::Instant now)
{
    const double share = shareOf(bucket);
    if (bucket.isNew && share > 0) {
        bucket.isNew = false;
        bucket.level = static_cast<double>(bucket.limit.burst.value()) * share;
    } else {
        bucket.level += bucket.limit.perSecond * share * Base::toSeconds(now - bucket.filledAt);
    }
    bucket.filledAt = now;
    capLevel(bucket);
}

/// A bucket of less than one permit would never admit anything; the bound of one permit is within
/// what the parts of other daemons leave unused by rounding.
void RateShares::capLevel(Bucket &bucket) const
{
    const double capacity
        = std::max(1.0, static_cast<double>(bucket.limit.burst.value()) * shareOf(bucket));
    bucket.level = std::min(bucket.level, capacity);
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

void RateShares::setTeamShare(const Base::TeamId &team,
                              std::optional<double> share,
                              Base::Instant now)
{
    const auto bucket = buckets_.find(team);
    if (bucket == buckets_.end()) {
        return;
    }
    refill(bucket->second, now);
    bucket->second.share = share;
    capLevel(bucket->second);
}

ShareVerdict RateShares::admit(const Base::TeamId &team, Base::Instant now)
{
    const auto entry = buckets_.find(team);
    if (entry == buckets_.end()) {
        return {};
    }
    Bucket &bucket = entry->second;
    refill(bucket, now);
    if (bucket.level >= 1) {
        bucket.level -= 1;
        return {};
    }
    const double rate = bucket.limit.perSecond * shareOf(bucket);
    const double wait = rate > 0 ? (1 - bucket.level) / rate : Base::toSeconds(longestRetry);
    const auto retryAfter
        = std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(wait));
    return {false, std::min(retryAfter, longestRetry)};
}

} // namespace Admission
