#include "rateborrower.h"

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

// A report is repeated once in a later request because it may have been lost. More repeats would
// only enlarge messages.
constexpr int reportsPerChange = 2;

// A grant for an older request is no longer valid on arrival.
constexpr Base::Duration sentRequestRetention = std::chrono::seconds(1);

// The backlog of an older grant is no longer representative of the queue at the lender.
constexpr Base::Duration maxGrantAge = std::chrono::milliseconds(300);

} // namespace

RateBorrower::RateBorrower(Base::TeamId team,
                           Base::IncarnationId self,
                           RateLimit limit,
                           BorrowerSettings settings)
    : team_(std::move(team))
    , self_(std::move(self))
    , limit_(limit)
    , settings_(settings)
{}

void RateBorrower::configured(RateLimit limit)
{
    limit_ = limit;
}

void RateBorrower::arrived(Base::RequestId request, Base::Instant deadline, Base::Instant now)
{
    dropExpired(now);
    updateArrivalRate(now);
    if (waiting_.empty() && usePermit(now)) {
        actions_.push_back(AdmitCall{team_, request});
        sendRequestIfNeeded(now);
        reportUsedUpGrants();
        return;
    }
    const Waiting call{request, now, std::min(deadline, now + settings_.maximumWait)};
    const std::optional<Base::Duration> wait = estimatedWait(now);
    if (waiting_.size() >= settings_.maximumWaiting || (wait && now + *wait > call.deadline)) {
        refuse(call, wait.value_or(settings_.maximumWait));
        return;
    }
    waiting_.push_back(call);
    deadlines_.emplace(call.deadline, call.request);
    arrivedSinceGrant_ += Permits(1);
    sendRequestIfNeeded(now);
}

void RateBorrower::cancelled(Base::RequestId request, Base::Instant now)
{
    removeWaiting(request);
    dropExpired(now);
    withdrawDemand(now);
}

void RateBorrower::granted(const Grant &grant, Base::Instant now)
{
    dropExpired(now);
    const auto answered = std::find_if(
        sentRequests_.begin(), sentRequests_.end(), [&](const SentRequest &candidate) {
            return candidate.number == grant.answers;
        });
    const bool isKnown = std::any_of(held_.begin(), held_.end(), [&](const Held &held) {
        return held.epoch == grant.epoch && held.grant == grant.grant;
    });
    if (answered == sentRequests_.end() || grant.borrower != self_) {
        return;
    }
    if (grant.answers == lastRequest_) {
        isRequestPending_ = false;
        queuedAtLender_ -= std::min(queuedAtLender_, grant.permits);
        lastGrantAt_ = now;
        backlog_ = grant.backlog;
        arrivedSinceGrant_ = Permits();
    }
    // Counted from the time of the request, so that a pause of either daemon cannot extend it.
    const Base::Instant expiry = answered->at + grant.validFor;
    if (grant.permits > Permits() && !isKnown && now < expiry) {
        held_.push_back(Held{grant.epoch, grant.grant, grant.permits, {}, {}, expiry, now, 0});
    }
    admitWaiting(now);
    sendRequestIfNeeded(now);
    reportUsedUpGrants();
}

void RateBorrower::ownerChanged(Base::Instant now)
{
    isRequestPending_ = false;
    queuedAtLender_ = Permits();
    lastGrantAt_.reset();
    backlog_ = Permits();
    sendRequestIfNeeded(now);
}

void RateBorrower::refuseAll(Base::Instant now)
{
    while (!waiting_.empty()) {
        const Waiting call = waiting_.front();
        refuse(call, estimatedWait(now).value_or(settings_.requestInterval));
        removeWaiting(call.request);
    }
}

void RateBorrower::tick(Base::Instant now)
{
    dropExpired(now);
    refuseExpired(now);
    withdrawDemand(now);
    returnIdlePermits(now);
    if (!waiting_.empty() && !sentRequests_.empty()
        && now - sentRequests_.back().at >= settings_.requestInterval) {
        sendRequest(now);
    } else {
        sendRequestIfNeeded(now);
    }
}

std::optional<Base::Instant> RateBorrower::nextWakeUp() const
{
    std::optional<Base::Instant> next;
    const auto consider = [&next](Base::Instant at) { next = next ? std::min(*next, at) : at; };
    if (!deadlines_.empty()) {
        consider(deadlines_.begin()->first);
    }
    if (!waiting_.empty() && !sentRequests_.empty()) {
        const bool hasUnreportedDemand
            = Permits(static_cast<std::int64_t>(waiting_.size())) > queuedAtLender_;
        const bool isRequestDue = hasUnreportedDemand && !isRequestPending_;
        consider(sentRequests_.back().at
                 + (isRequestDue ? settings_.minRequestInterval : settings_.requestInterval));
    }
    for (const Held &held : held_) {
        if (held.open() > Permits()) {
            consider(std::min(held.lastUse + settings_.idleReturn, held.expiry));
        }
    }
    return next;
}

std::vector<BorrowerAction> RateBorrower::takeActions()
{
    return std::exchange(actions_, {});
}

Permits RateBorrower::held(Base::Instant now) const
{
    Permits sum;
    for (const Held &held : held_) {
        if (now < held.expiry) {
            sum += held.open();
        }
    }
    return sum;
}

// Exponentially weighted arrivals per second.
void RateBorrower::updateArrivalRate(Base::Instant now)
{
    const double window = Base::toSeconds(settings_.demandWindow);
    if (lastArrival_) {
        arrivalRate_ *= std::exp(-Base::toSeconds(now - *lastArrival_) / window);
    }
    arrivalRate_ += 1.0 / window;
    lastArrival_ = now;
}

Permits RateBorrower::expectedDemand(Base::Instant now) const
{
    if (!lastArrival_) {
        return Permits();
    }
    const double age = Base::toSeconds(now - *lastArrival_);
    const double rate = arrivalRate_ * std::exp(-age / Base::toSeconds(settings_.demandWindow));
    return Permits(static_cast<std::int64_t>(rate * Base::toSeconds(settings_.horizon)));
}

bool RateBorrower::usePermit(Base::Instant now)
{
    for (Held &held : held_) {
        if (held.open() == Permits() || now >= held.expiry) {
            continue;
        }
        held.used += Permits(1);
        held.lastUse = now;
        held.reportsLeft = reportsPerChange;
        return true;
    }
    return false;
}

void RateBorrower::admitWaiting(Base::Instant now)
{
    refuseExpired(now);
    while (!waiting_.empty() && usePermit(now)) {
        const Waiting call = waiting_.front();
        waiting_.pop_front();
        deadlines_.erase({call.deadline, call.request});
        actions_.push_back(AdmitCall{team_, call.request});
    }
}

void RateBorrower::refuseExpired(Base::Instant now)
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const Base::RequestId request = deadlines_.begin()->second;
        const auto it = std::find_if(waiting_.begin(), waiting_.end(), [&](const Waiting &call) {
            return call.request == request;
        });
        refuse(*it, estimatedWait(now).value_or(settings_.requestInterval));
        removeWaiting(request);
    }
}

void RateBorrower::refuse(const Waiting &call, Base::Duration wait)
{
    const bool isOverRate = isRateExceeded(call.since);
    Base::Error error;
    error.code = isOverRate ? Base::ErrorCode::OverRate : Base::ErrorCode::Unavailable;
    error.step = Base::Step::Admit;
    error.ran = Base::Ran::NotRun;
    error.message = isOverRate ? "the team's rate is used up"
                               : "no permit from the owner of the team's rate in time";
    error.retryAfter = wait;
    actions_.push_back(RefuseCall{team_, call.request, std::move(error), !isOverRate});
}

void RateBorrower::removeWaiting(Base::RequestId request)
{
    const auto it = std::find_if(waiting_.begin(), waiting_.end(), [&](const Waiting &call) {
        return call.request == request;
    });
    if (it == waiting_.end()) {
        return;
    }
    deadlines_.erase({it->deadline, it->request});
    waiting_.erase(it);
}

// Time until a call that arrives now gets its permit; nullopt if the lender reported no backlog
// recently.
std::optional<Base::Duration> RateBorrower::estimatedWait(Base::Instant now) const
{
    if (!lastGrantAt_ || now - *lastGrantAt_ > maxGrantAge || backlog_ == Permits()
        || limit_.perSecond <= 0) {
        return std::nullopt;
    }
    const auto ahead = static_cast<double>((backlog_ + arrivedSinceGrant_).value());
    const double seconds = ahead / limit_.perSecond - Base::toSeconds(now - *lastGrantAt_);
    return Base::Duration(static_cast<std::int64_t>(std::max(0.0, seconds) * 1e6));
}

// Whether the last grant reported a backlog and arrived after the call began to wait, or at most
// maxGrantAge before.
bool RateBorrower::isRateExceeded(Base::Instant since) const
{
    return backlog_ > Permits() && lastGrantAt_ && *lastGrantAt_ + maxGrantAge >= since;
}

void RateBorrower::dropExpired(Base::Instant now)
{
    std::erase_if(held_, [now](const Held &held) { return held.expiry <= now; });
    while (!sentRequests_.empty() && now - sentRequests_.front().at > sentRequestRetention
           && sentRequests_.size() > 1) {
        sentRequests_.pop_front();
    }
}

// Returns permits that no call uses, because another daemon may wait for them.
void RateBorrower::returnIdlePermits(Base::Instant now)
{
    for (Held &held : held_) {
        if (held.open() == Permits() || now - held.lastUse < settings_.idleReturn) {
            continue;
        }
        held.returned += held.open();
        held.reportsLeft = reportsPerChange - 1;
        actions_.push_back(SendGrantReturn{grantReturnFor(held)});
    }
}

void RateBorrower::sendRequestIfNeeded(Base::Instant now)
{
    const Permits waiting(static_cast<std::int64_t>(waiting_.size()));
    if (isRequestPending_ && now - sentRequests_.back().at < settings_.requestInterval) {
        return;
    }
    if (waiting == Permits()) {
        const Permits expected = expectedDemand(now);
        if (held(now) + held(now) < expected) {
            sendRequest(now);
        }
        return;
    }
    const bool isQueued = queuedAtLender_ > Permits();
    if (waiting <= queuedAtLender_
        || (isQueued && now - sentRequests_.back().at < settings_.minRequestInterval)) {
        return;
    }
    sendRequest(now);
}

// Demand of calls that no longer wait would get permits that other daemons wait for.
void RateBorrower::withdrawDemand(Base::Instant now)
{
    if (queuedAtLender_ > Permits(static_cast<std::int64_t>(waiting_.size()))) {
        sendRequest(now);
    }
}

void RateBorrower::sendRequest(Base::Instant now)
{
    lastRequest_ = lastRequest_.next();
    GrantRequest request;
    request.team = team_;
    request.borrower = self_;
    request.number = lastRequest_;
    request.needed = Permits(static_cast<std::int64_t>(waiting_.size()));
    request.expected = expectedDemand(now);
    for (Held &held : held_) {
        if (held.reportsLeft > 0) {
            held.reportsLeft--;
            request.returns.push_back(grantReturnFor(held));
        }
    }
    sentRequests_.push_back(SentRequest{lastRequest_, now, request.needed});
    isRequestPending_ = true;
    queuedAtLender_ = request.needed;
    actions_.push_back(SendGrantRequest{std::move(request)});
}

// The lender's bucket refills only after it knows that a grant is used up, so this is reported at
// once.
void RateBorrower::reportUsedUpGrants()
{
    for (Held &held : held_) {
        if (held.open() == Permits() && held.reportsLeft == reportsPerChange) {
            held.reportsLeft--;
            actions_.push_back(SendGrantReturn{grantReturnFor(held)});
        }
    }
}

GrantReturn RateBorrower::grantReturnFor(const Held &held) const
{
    return GrantReturn{team_, held.epoch, held.grant, held.used, held.returned};
}

} // namespace Admission
