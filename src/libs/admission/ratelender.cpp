#include "ratelender.h"

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

// Rounding errors of the refill must not delay a permit that is due.
constexpr double levelTolerance = 1e-6;

double asDouble(Permits permits)
{
    return static_cast<double>(permits.value());
}

} // namespace

RateLender::RateLender(Base::TeamId team, RateLimit limit, LenderSettings settings)
    : team_(std::move(team))
    , limit_(limit)
    , settings_(settings)
{}

void RateLender::acquired(Base::Epoch epoch,
                          Base::Instant now,
                          Base::Instant waitUntil,
                          Base::Instant leaseUntil)
{
    lost();
    epoch_ = epoch;
    waitUntil_ = std::max(now, waitUntil);
    leaseUntil_ = leaseUntil;
    // Grants of the previous owner are valid until then, so the refill starts afterwards.
    refilledAt_ = waitUntil_;
    nextRound_ = waitUntil_;
}

void RateLender::renewed(Base::Instant leaseUntil)
{
    leaseUntil_ = std::max(leaseUntil_, leaseUntil);
}

void RateLender::lost()
{
    level_ = 0;
    outstanding_ = Permits();
    loans_.clear();
    demands_.clear();
    queue_.clear();
    leaseUntil_ = Base::Instant();
}

void RateLender::configured(RateLimit limit, Base::Instant now)
{
    refill(now);
    limit_ = limit;
    const double available = asDouble(limit_.burst - outstanding_);
    level_ = std::clamp(level_, 0.0, std::max(0.0, available));
}

void RateLender::requested(const GrantRequest &request, Base::Instant now)
{
    refill(now);
    for (const GrantReturn &grantReturn : request.returns) {
        applyReturn(grantReturn);
    }
    Demand &demand = demands_[request.borrower];
    if (request.number <= demand.number) {
        return;
    }
    demand.number = request.number;
    demand.needed = request.needed;
    demand.expected = request.expected;
    demand.requestedAt = now;
    if (!mayLend(now)) {
        enqueue(request.borrower, demand);
        return;
    }
    serveQueue(now);
    if (demand.isQueued) {
        // The demand is served in the order of the queue; the empty grant reports the backlog.
        lend(request.borrower, Permits(), now);
        return;
    }
    const Permits needed = std::min(demand.needed, lendable());
    Permits ahead;
    if (queue_.empty() && needed == demand.needed) {
        const double free = asDouble(lendable() - needed);
        const Permits share(static_cast<std::int64_t>(free * settings_.expectedShare));
        ahead = std::min(demand.expected, share);
    }
    demand.needed -= needed;
    if (demand.needed > Permits()) {
        enqueue(request.borrower, demand);
    }
    lend(request.borrower, needed + ahead, now);
}

void RateLender::returned(const GrantReturn &grantReturn, Base::Instant now)
{
    refill(now);
    applyReturn(grantReturn);
    serveQueue(now);
}

void RateLender::tick(Base::Instant now)
{
    refill(now);
    serveQueue(now);
}

std::optional<Base::Instant> RateLender::nextWakeUp() const
{
    const Base::Instant earliest = std::max(nextRound_, refilledAt_);
    if (queue_.empty() || limit_.perSecond <= 0 || earliest >= leaseUntil_) {
        return std::nullopt;
    }
    const double missing = 1.0 - level_;
    if (missing <= levelTolerance) {
        return nextRound_;
    }
    const bool isCapped = asDouble(limit_.burst) < 1.0 + asDouble(outstanding_);
    if (isCapped && !loans_.empty()) {
        return std::max(nextRound_, loans_.begin()->second.expiry);
    }
    const double seconds = (missing - levelTolerance) / limit_.perSecond;
    const auto micros = static_cast<std::int64_t>(std::ceil(seconds * 1e6));
    return std::max(nextRound_, refilledAt_ + Base::Duration(micros));
}

std::vector<SendGrant> RateLender::takeActions()
{
    return std::exchange(actions_, {});
}

Permits RateLender::backlog() const
{
    Permits sum;
    for (const Base::IncarnationId &borrower : queue_) {
        sum += demands_.at(borrower).needed;
    }
    return sum;
}

bool RateLender::mayLend(Base::Instant now) const
{
    return now >= waitUntil_ && now < leaseUntil_;
}

// Applies expiries in chronological order: a grant limits the refill until it expires.
void RateLender::refill(Base::Instant now)
{
    const auto refillTo = [this](Base::Instant until) {
        if (until <= refilledAt_) {
            return;
        }
        const double added = limit_.perSecond * Base::toSeconds(until - refilledAt_);
        const double available = std::max(0.0, asDouble(limit_.burst - outstanding_));
        level_ = std::max(level_, std::min(level_ + added, available));
        refilledAt_ = until;
    };
    while (!loans_.empty() && loans_.begin()->second.expiry <= now) {
        const Loan expired = loans_.begin()->second;
        refillTo(expired.expiry);
        outstanding_ -= expired.open();
        loans_.erase(loans_.begin());
    }
    refillTo(now);
}

void RateLender::applyReturn(const GrantReturn &grantReturn)
{
    const auto it = loans_.find(grantReturn.grant);
    if (grantReturn.epoch != epoch_ || it == loans_.end()) {
        return;
    }
    Loan &loan = it->second;
    const Permits used = std::max(loan.used, grantReturn.used);
    const Permits returned = std::max(loan.returned, grantReturn.returned);
    if (used + returned > loan.size) {
        return;
    }
    outstanding_ -= used - loan.used;
    outstanding_ -= returned - loan.returned;
    level_ += asDouble(returned - loan.returned);
    loan.used = used;
    loan.returned = returned;
}

Permits RateLender::lendable() const
{
    return Permits(static_cast<std::int64_t>(std::floor(level_ + levelTolerance)));
}

void RateLender::lend(const Base::IncarnationId &borrower, Permits amount, Base::Instant now)
{
    Grant grant{team_,
                epoch_,
                {},
                demands_.at(borrower).number,
                amount,
                settings_.grantLength,
                backlog(),
                borrower};
    if (amount > Permits()) {
        lastGrant_ = lastGrant_.next();
        grant.grant = lastGrant_;
        loans_[lastGrant_] = Loan{amount, {}, {}, now + settings_.grantLength};
        level_ -= asDouble(amount);
        outstanding_ += amount;
    }
    actions_.push_back(SendGrant{borrower, std::move(grant)});
}

void RateLender::enqueue(const Base::IncarnationId &borrower, Demand &demand)
{
    if (!demand.isQueued) {
        demand.isQueued = true;
        queue_.push_back(borrower);
    }
}

// Grants one permit per borrower and turn, so that a borrower with many waiting calls does not
// starve others.
void RateLender::serveQueue(Base::Instant now)
{
    if (queue_.empty() || now < nextRound_ || !mayLend(now) || lendable() == Permits()) {
        return;
    }
    nextRound_ = now + settings_.roundInterval;
    std::map<Base::IncarnationId, Permits> shares;
    Permits left = lendable();
    while (left > Permits() && !queue_.empty()) {
        const Base::IncarnationId borrower = queue_.front();
        queue_.pop_front();
        Demand &demand = demands_[borrower];
        demand.isQueued = false;
        // The grant would have expired on arrival; a borrower that still waits has sent a newer
        // request.
        if (now - demand.requestedAt >= settings_.grantLength || demand.needed == Permits()) {
            continue;
        }
        shares[borrower] += Permits(1);
        left -= Permits(1);
        demand.needed -= Permits(1);
        if (demand.needed > Permits()) {
            enqueue(borrower, demand);
        }
    }
    for (const auto &[borrower, amount] : shares) {
        lend(borrower, amount, now);
    }
}

} // namespace Admission
