#include "permitpool.h"

#include <algorithm>
#include <cmath>

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
                    static_cast<double>(renewedAt_.size())
                        / static_cast<double>(std::max<std::size_t>(1, daemonCount_)));
}

/// A bucket of less than one permit would never admit a request. The minimum of one permit is
/// within the amount that the shares of other daemons leave unused because of rounding.
double PermitPool::capacityOf(const Bucket &bucket) const
{
    return std::max(1.0, static_cast<double>(bucket.limit.burst.value()) * share());
}

void PermitPool::refill(Bucket &bucket, Base::Instant now) const
{
    bucket.level += bucket.limit.perSecond * share() * Base::toSeconds(now - bucket.filledAt);
    bucket.filledAt = now;
    bucket.level = std::min(bucket.level, capacityOf(bucket));
}

void PermitPool::refillAll(Base::Instant now)
{
    for (auto &[team, bucket] : buckets_) {
        refill(bucket, now);
    }
    for (auto &[server, bucket] : serverBuckets_) {
        refill(bucket, now);
    }
}

void PermitPool::removeExpiredMembers(Base::Instant now)
{
    const auto isExpired
        = [&](const auto &member) { return now - member.second >= membershipLength_; };
    if (std::none_of(renewedAt_.begin(), renewedAt_.end(), isExpired)) {
        return;
    }
    refillAll(now);
    std::erase_if(renewedAt_, isExpired);
    refillAll(now); // caps the levels
}

/// A team that a later configuration adds starts with its burst. Teams of the first configuration
/// start empty, because a restarted daemon may have granted their permits just before.
void PermitPool::configure(const TeamLimits &limits, Base::Instant now)
{
    removeExpiredMembers(now);
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
    removeExpiredMembers(now);
    refillAll(now);
    daemonCount_ = count;
    refillAll(now); // caps the levels
}

void PermitPool::renewMembership(const Base::VmId &member, Base::Instant now)
{
    removeExpiredMembers(now);
    if (!renewedAt_.contains(member)) {
        refillAll(now);
    }
    renewedAt_[member] = now;
}

/// A server's bucket starts empty, because the requests that led to the limit are still running.
void PermitPool::limitServer(const Base::ServerId &server,
                             std::optional<Base::RequestRate> rate,
                             Base::Instant now)
{
    if (!rate) {
        serverBuckets_.erase(server);
        return;
    }
    removeExpiredMembers(now);
    Bucket &bucket = serverBuckets_.try_emplace(server, Bucket{{}, 0, now}).first->second;
    refill(bucket, now);
    const double perSecond = std::max(*rate, minServerRate).value();
    const double burst = std::min(std::ceil(serverBurstSeconds * perSecond), maxServerBurst);
    bucket.limit = {perSecond, Permits(static_cast<std::int64_t>(burst))};
    refill(bucket, now); // caps the level
}

PermitVerdict PermitPool::admit(Bucket &bucket,
                                Urgency urgency,
                                Base::Duration longestWait,
                                Base::Instant now)
{
    removeExpiredMembers(now);
    refill(bucket, now);
    const bool isNew = urgency == Urgency::NewProgram;
    const double reserve = isNew ? newProgramReserve * capacityOf(bucket) : 0;
    const double needed = std::min(1 + reserve, capacityOf(bucket));
    const double missing = std::max(0.0, needed - bucket.level);
    const double rate = bucket.limit.perSecond * share();
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
    const auto entry = serverBuckets_.find(server);
    if (entry == serverBuckets_.end()) {
        return {};
    }
    const Base::Duration longest
        = terms.mayWait ? longestWait(terms.urgency) : Base::Duration::zero();
    return admit(entry->second, terms.urgency, longest, now);
}

void PermitPool::refund(Bucket &bucket, Base::Instant now)
{
    removeExpiredMembers(now);
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
    if (const auto entry = serverBuckets_.find(server); entry != serverBuckets_.end()) {
        refund(entry->second, now);
    }
}

bool PermitPool::hasMajoritySince(Base::Instant since) const
{
    const auto recent = std::count_if(renewedAt_.begin(),
                                      renewedAt_.end(),
                                      [&](const auto &member) { return member.second >= since; });
    return 2 * static_cast<std::size_t>(recent) > daemonCount_;
}

} // namespace Admission
