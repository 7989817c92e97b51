#include "permitpool.h"

#include <algorithm>

namespace Admission {

namespace {

/// Callers honour a Retry-After of up to a third of the time that they have left.
constexpr Base::Duration longestRetry = std::chrono::seconds(2);

/// Part of the burst that new programs leave to the requests of those under way.
constexpr double newProgramReserve = 0.25;

/// Short against the deadlines of 1.2 s and more; a program has 1.3 times its time on idle servers.
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

/// The members' part of every limit, from 0 to 1.
double PermitPool::part() const
{
    return std::min(1.0,
                    static_cast<double>(joinedAt_.size())
                        / static_cast<double>(std::max<std::size_t>(1, daemonCount_)));
}

/// A bucket of less than one permit would never admit anything; the bound of one permit is within
/// what the parts of other daemons leave unused by rounding.
double PermitPool::capacityOf(const Bucket &bucket) const
{
    return std::max(1.0, static_cast<double>(bucket.limit.burst.value()) * part());
}

void PermitPool::refill(Bucket &bucket, Base::Instant now) const
{
    bucket.level += bucket.limit.perSecond * part() * Base::toSeconds(now - bucket.filledAt);
    bucket.filledAt = now;
    bucket.level = std::min(bucket.level, capacityOf(bucket));
}

void PermitPool::refillAll(Base::Instant now)
{
    for (auto &[team, bucket] : buckets_) {
        refill(bucket, now);
    }
}

void PermitPool::forgetExpired(Base::Instant now)
{
    const auto isExpired = [&](const auto &member) { return now - member.second >= membership_; };
    if (std::none_of(joinedAt_.begin(), joinedAt_.end(), isExpired)) {
        return;
    }
    refillAll(now);
    std::erase_if(joinedAt_, isExpired);
    refillAll(now); // caps the levels
}

/// A team that is new in a later document starts with its burst. The first document is no sign of a
/// new team: a daemon that starts again may have given its permits away just before.
void PermitPool::configure(const TeamLimits &limits, Base::Instant now)
{
    forgetExpired(now);
    refillAll(now);
    std::unordered_map<Base::TeamId, Bucket> next;
    for (const auto &[team, limit] : limits) {
        const auto known = buckets_.find(team);
        Bucket bucket{limit, 0, now};
        if (known != buckets_.end()) {
            bucket.level = known->second.level;
        } else if (isConfigured_) {
            bucket.level = capacityOf(bucket);
        }
        refill(bucket, now); // caps the level
        next.emplace(team, bucket);
    }
    buckets_ = std::move(next);
    isConfigured_ = true;
}

void PermitPool::setDaemonCount(std::size_t count, Base::Instant now)
{
    forgetExpired(now);
    refillAll(now);
    daemonCount_ = count;
    refillAll(now); // caps the levels
}

void PermitPool::joined(const Base::VmId &member, Base::Instant now)
{
    forgetExpired(now);
    if (!joinedAt_.contains(member)) {
        refillAll(now);
    }
    joinedAt_[member] = now;
}

PermitVerdict PermitPool::admit(const Base::TeamId &team, Urgency urgency, Base::Instant now)
{
    const auto entry = buckets_.find(team);
    if (entry == buckets_.end()) {
        return {};
    }
    forgetExpired(now);
    Bucket &bucket = entry->second;
    refill(bucket, now);
    const bool isNew = urgency == Urgency::NewProgram;
    const double needed = 1 + (isNew ? newProgramReserve * capacityOf(bucket) : 0);
    const double missing = std::max(0.0, needed - bucket.level);
    const double rate = bucket.limit.perSecond * part();
    const Base::Duration wait = missing > 0 ? durationOf(missing, rate) : Base::Duration::zero();
    if (wait <= longestWait(urgency)) {
        bucket.level -= 1;
        return {true, wait, {}};
    }
    return {false, {}, std::min(wait, longestRetry)};
}

void PermitPool::refund(const Base::TeamId &team, Base::Instant now)
{
    const auto entry = buckets_.find(team);
    if (entry == buckets_.end()) {
        return;
    }
    forgetExpired(now);
    refill(entry->second, now);
    entry->second.level = std::min(entry->second.level + 1, capacityOf(entry->second));
}

bool PermitPool::hasMajoritySince(Base::Instant since) const
{
    const auto heard = std::count_if(joinedAt_.begin(), joinedAt_.end(), [&](const auto &member) {
        return member.second >= since;
    });
    return 2 * static_cast<std::size_t>(heard) > daemonCount_;
}

} // namespace Admission
