#include "permitpool.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Admission {

namespace {

/// Callers honour a Retry-After of up to a third of their remaining time.
constexpr Base::Duration maxRetryAfter = std::chrono::seconds(2);

/// Fraction of the burst that new programs leave to programs in progress.
constexpr double newProgramReserve = 0.25;

/// Short compared to the request deadlines of at least 1.2 s. The time limit of a program is 1.3
/// times its duration on idle servers.
constexpr Base::Duration longestStartedWait = std::chrono::milliseconds(200);
constexpr Base::Duration longestToolWait = std::chrono::milliseconds(400);

/// A server that takes no requests gets this rate, as only a response can lift its limit.
constexpr Base::RequestRate minServerRate(0.25);

/// Burst of a server's bucket, as the time in which its rate fills it.
constexpr double serverBurstSeconds = 1;
constexpr double maxServerBurst = 1e6;

/// A cold server crashes well above its rate, and two pools may grant its permits at a time.
constexpr double coldBurstSeconds = 0.25;

/// Part of its share of cold servers' limits that a member adds until its membership in an earlier
/// pool has certainly expired. That pool may grant the whole rate and burst once more: 1.4 rates
/// and a burst of a quarter are less than the 1.5 rates and 5 requests that are allowed.
constexpr double newMemberShare = 0.4;

/// Time for which a pool with less than one permit of a cold server keeps an unused one. Without
/// it, all pools of a split fleet could have one at the same time.
constexpr double coldPermitSeconds = 0.1;

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

/// Time until the permits are refilled, at most one hour.
Base::Duration refillTime(double permits, double rate)
{
    constexpr double maxSeconds = 3600;
    const double seconds = rate > 0 ? std::min(maxSeconds, permits / rate) : maxSeconds;
    return std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

/// The members' share of every limit, from 0 to 1.
double PermitPool::share() const
{
    return std::min(1.0,
                    static_cast<double>(members_.size())
                        / static_cast<double>(std::max<std::size_t>(1, daemonCount_)));
}

/// The members' share of the limits of cold servers.
double PermitPool::coldShare(Base::Instant now) const
{
    if (!isCountKnown_ || now < coldFrom_) {
        return 0;
    }
    double shares = 0;
    for (const auto &[vm, member] : members_) {
        shares += now - member.joinedAt >= membershipLength_ ? 1 : newMemberShare;
    }
    return std::min(1.0, shares / static_cast<double>(std::max<std::size_t>(1, daemonCount_)));
}

double PermitPool::shareOf(const Bucket &bucket) const
{
    return bucket.isCold ? coldShare_ : share();
}

/// A bucket of less than one permit would never admit a request. The minimum of one permit is
/// within the amount that the shares of other daemons leave unused because of rounding.
double PermitPool::capacityOf(const Bucket &bucket) const
{
    return std::max(1.0, static_cast<double>(bucket.limit.burst.value()) * shareOf(bucket));
}

void PermitPool::refill(Bucket &bucket, Base::Instant now) const
{
    const double rate = bucket.limit.perSecond * shareOf(bucket);
    bucket.level += rate * Base::toSeconds(now - bucket.filledAt);
    bucket.filledAt = now;
    const double burst = static_cast<double>(bucket.limit.burst.value()) * shareOf(bucket);
    if (!bucket.isCold || burst >= 1) {
        bucket.level = std::min(bucket.level, capacityOf(bucket));
        return;
    }
    const double kept = std::min(1.0, rate * coldPermitSeconds);
    if (bucket.level >= 1 + kept) {
        bucket.level -= std::floor(bucket.level - kept); // unused permits are dropped
    }
}

void PermitPool::refillAll(Base::Instant now)
{
    for (auto &[team, bucket] : buckets_) {
        refill(bucket, now);
    }
    for (auto &[server, entry] : serverBuckets_) {
        refill(entry.bucket, now);
    }
}

/// Removes expired members and cold limits, and counts new members in full once they are due.
void PermitPool::updateMembers(Base::Instant now)
{
    endCold(now);
    const auto isExpired
        = [&](const auto &member) { return now - member.second.renewedAt >= membershipLength_; };
    const bool hasExpired = std::any_of(members_.begin(), members_.end(), isExpired);
    if (!hasExpired && (serverBuckets_.empty() || coldShare(now) == coldShare_)) {
        return;
    }
    refillAll(now);
    std::erase_if(members_, isExpired);
    coldShare_ = coldShare(now);
    refillAll(now); // caps the levels
}

/// A team that a later configuration adds starts with its burst. Teams of the first configuration
/// start empty, because a restarted daemon may have granted their permits just before.
void PermitPool::configure(const TeamLimits &limits, Base::Instant now)
{
    updateMembers(now);
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
    updateMembers(now);
    refillAll(now);
    daemonCount_ = count;
    isCountKnown_ = true;
    coldShare_ = coldShare(now);
    refillAll(now); // caps the levels
}

void PermitPool::renewMembership(const Base::VmId &member, Base::Instant now)
{
    updateMembers(now);
    const auto known = members_.find(member);
    if (known != members_.end()) {
        known->second.renewedAt = now;
        return;
    }
    refillAll(now);
    members_[member] = {now, now};
    coldShare_ = coldShare(now);
}

/// A server's bucket starts empty, because the requests that led to the limit are still running.
void PermitPool::limitServer(const Base::ServerId &server,
                             std::optional<Base::RequestRate> rate,
                             Base::Instant now)
{
    updateMembers(now);
    const auto known = serverBuckets_.find(server);
    if (!rate && (known == serverBuckets_.end() || !known->second.cold)) {
        serverBuckets_.erase(server);
        return;
    }
    ServerBucket &entry
        = serverBuckets_.try_emplace(server, ServerBucket{{{}, 0, now, false}, {}, {}})
              .first->second;
    entry.stated = rate;
    setRate(entry, now);
}

/// The bucket of a server that becomes cold starts empty, whatever it held before.
void PermitPool::limitColdServer(const Base::ServerId &server,
                                 const ColdRate &cold,
                                 Base::Instant now)
{
    updateMembers(now);
    if (cold.until <= now) {
        return;
    }
    ServerBucket &entry
        = serverBuckets_.try_emplace(server, ServerBucket{{{}, 0, now, false}, {}, {}})
              .first->second;
    if (!entry.cold) {
        refill(entry.bucket, now);
        entry.bucket.level = std::min(entry.bucket.level, -cold.phase);
        entry.cold = cold;
    } else {
        entry.cold->until = std::max(entry.cold->until, cold.until);
        entry.cold->rate = std::min(entry.cold->rate, cold.rate);
    }
    nextColdEnd_ = std::min(nextColdEnd_, entry.cold->until);
    setRate(entry, now);
}

void PermitPool::admitColdFrom(Base::Instant time)
{
    coldFrom_ = time;
}

/// Sets the smaller of the stated and the cold rate.
void PermitPool::setRate(ServerBucket &server, Base::Instant now)
{
    Bucket &bucket = server.bucket;
    refill(bucket, now);
    const bool isCold = server.cold.has_value();
    double perSecond = isCold ? server.cold->rate.value() : std::numeric_limits<double>::infinity();
    if (server.stated) {
        perSecond = std::min(perSecond, std::max(*server.stated, minServerRate).value());
    }
    const double burst = isCold ? std::max(1.0, std::floor(coldBurstSeconds * perSecond))
                                : std::ceil(serverBurstSeconds * perSecond);
    bucket.isCold = isCold;
    bucket.limit = {perSecond, Permits(static_cast<std::int64_t>(std::min(burst, maxServerBurst)))};
    refill(bucket, now); // caps the level
}

/// Every decision calls this, so the servers are searched only when a limit may have ended.
void PermitPool::endCold(Base::Instant now)
{
    if (now < nextColdEnd_) {
        return;
    }
    nextColdEnd_ = Base::Instant::max();
    for (auto entry = serverBuckets_.begin(); entry != serverBuckets_.end();) {
        ServerBucket &server = entry->second;
        const bool hasEnded = server.cold && now >= server.cold->until;
        if (hasEnded && !server.stated) {
            entry = serverBuckets_.erase(entry);
            continue;
        }
        if (hasEnded) {
            server.cold.reset();
            setRate(server, now);
        } else if (server.cold) {
            nextColdEnd_ = std::min(nextColdEnd_, server.cold->until);
        }
        ++entry;
    }
}

PermitVerdict PermitPool::admit(Bucket &bucket,
                                Urgency urgency,
                                Base::Duration longestWait,
                                Base::Instant now)
{
    updateMembers(now);
    refill(bucket, now);
    const bool isNew = urgency == Urgency::NewProgram;
    const double reserve = isNew ? newProgramReserve * capacityOf(bucket) : 0;
    const double needed = std::min(1 + reserve, capacityOf(bucket));
    const double missing = std::max(0.0, needed - bucket.level);
    const double rate = bucket.limit.perSecond * shareOf(bucket);
    const Base::Duration wait = missing > 0 ? refillTime(missing, rate) : Base::Duration::zero();
    if (wait <= longestWait) {
        bucket.level -= 1;
        return {true, wait, {}};
    }
    return {false, {}, std::min(wait, maxRetryAfter)};
}

PermitVerdict PermitPool::admit(const Base::TeamId &team, Urgency urgency, Base::Instant now)
{
    const auto entry = buckets_.find(team);
    return entry == buckets_.end() ? PermitVerdict{}
                                   : admit(entry->second, urgency, longestWait(urgency), now);
}

PermitVerdict PermitPool::admitToServer(const Base::ServerId &server,
                                        const ServerPermitTerms &terms,
                                        Base::Instant now)
{
    updateMembers(now); // removes ended cold limits
    const auto entry = serverBuckets_.find(server);
    if (entry == serverBuckets_.end()) {
        return {};
    }
    const Base::Duration longest
        = terms.mayWait ? longestWait(terms.urgency) : Base::Duration::zero();
    return admit(entry->second.bucket, terms.urgency, longest, now);
}

void PermitPool::refund(Bucket &bucket, Base::Instant now)
{
    updateMembers(now);
    refill(bucket, now);
    bucket.level = std::min(bucket.level + 1, capacityOf(bucket));
}

void PermitPool::refund(const Base::TeamId &team, Base::Instant now)
{
    if (const auto entry = buckets_.find(team); entry != buckets_.end()) {
        refund(entry->second, now);
    }
}

void PermitPool::refundToServer(const Base::ServerId &server, Base::Instant now)
{
    updateMembers(now); // removes ended cold limits
    if (const auto entry = serverBuckets_.find(server); entry != serverBuckets_.end()) {
        refund(entry->second.bucket, now);
    }
}

bool PermitPool::hasMajoritySince(Base::Instant since) const
{
    const auto recent = std::count_if(members_.begin(), members_.end(), [&](const auto &member) {
        return member.second.renewedAt >= since;
    });
    return 2 * static_cast<std::size_t>(recent) > daemonCount_;
}

} // namespace Admission
