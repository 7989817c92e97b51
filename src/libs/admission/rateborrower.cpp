#include "rateborrower.h"

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

// A lost statement is repeated once with a later request; more would only fill messages.
constexpr int statementsPerChange = 2;

// Requests older than this can't be answered by a grant that is still valid.
constexpr Base::Duration askMemory = std::chrono::seconds(1);

// An answer older than this says nothing about the queue at the lender.
constexpr Base::Duration answerMemory = std::chrono::milliseconds(300);

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
    noteArrival(now);
    if (waiting_.empty() && usePermit(now)) {
        actions_.push_back(AdmitCall{team_, request});
        askIfNeeded(now);
        stateUsedUp();
        return;
    }
    const Waiting call{request, now, std::min(deadline, now + settings_.maximumWait)};
    const std::optional<Base::Duration> wait = knownWait(now);
    if (waiting_.size() >= settings_.maximumWaiting || (wait && now + *wait > call.deadline)) {
        refuse(call, wait.value_or(settings_.maximumWait));
        return;
    }
    waiting_.push_back(call);
    deadlines_.emplace(call.deadline, call.request);
    arrivedSinceAnswer_ += Permits(1);
    askIfNeeded(now);
}

void RateBorrower::cancelled(Base::RequestId request, Base::Instant now)
{
    dropWaiting(request);
    dropExpired(now);
    withdrawDemand(now);
}

void RateBorrower::granted(const Grant &grant, Base::Instant now)
{
    dropExpired(now);
    const auto asked = std::find_if(asks_.begin(), asks_.end(), [&](const Ask &candidate) {
        return candidate.number == grant.answers;
    });
    const bool isKnown = std::any_of(held_.begin(), held_.end(), [&](const Held &held) {
        return held.epoch == grant.epoch && held.grant == grant.grant;
    });
    if (asked == asks_.end() || grant.borrower != self_) {
        return;
    }
    if (grant.answers == lastAsk_) {
        isAsking_ = false;
        queuedAtLender_ -= std::min(queuedAtLender_, grant.permits);
        answeredAt_ = now;
        backlog_ = grant.backlog;
        arrivedSinceAnswer_ = Permits();
    }
    // Counted from when this daemon asked: neither side's pause can make it valid for longer.
    const Base::Instant expiry = asked->at + grant.validFor;
    if (grant.permits > Permits() && !isKnown && now < expiry) {
        held_.push_back(Held{grant.epoch, grant.grant, grant.permits, {}, {}, expiry, now, 0});
    }
    admitWaiting(now);
    askIfNeeded(now);
    stateUsedUp();
}

void RateBorrower::ownerChanged(Base::Instant now)
{
    isAsking_ = false;
    queuedAtLender_ = Permits();
    answeredAt_.reset();
    backlog_ = Permits();
    askIfNeeded(now);
}

void RateBorrower::refuseAll(Base::Instant now)
{
    while (!waiting_.empty()) {
        const Waiting call = waiting_.front();
        refuse(call, knownWait(now).value_or(settings_.askInterval));
        dropWaiting(call.request);
    }
}

void RateBorrower::tick(Base::Instant now)
{
    dropExpired(now);
    refuseLate(now);
    withdrawDemand(now);
    returnIdle(now);
    if (!waiting_.empty() && !asks_.empty() && now - asks_.back().at >= settings_.askInterval) {
        ask(now);
    } else {
        askIfNeeded(now);
    }
}

std::optional<Base::Instant> RateBorrower::nextWakeUp() const
{
    std::optional<Base::Instant> next;
    const auto consider = [&next](Base::Instant at) { next = next ? std::min(*next, at) : at; };
    if (!deadlines_.empty()) {
        consider(deadlines_.begin()->first);
    }
    if (!waiting_.empty() && !asks_.empty()) {
        const bool isBehind = Permits(static_cast<std::int64_t>(waiting_.size())) > queuedAtLender_;
        const bool isSoon = isBehind && !isAsking_;
        consider(asks_.back().at
                 + (isSoon ? settings_.shortestAskInterval : settings_.askInterval));
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
void RateBorrower::noteArrival(Base::Instant now)
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
        held.statementsLeft = statementsPerChange;
        return true;
    }
    return false;
}

void RateBorrower::admitWaiting(Base::Instant now)
{
    refuseLate(now);
    while (!waiting_.empty() && usePermit(now)) {
        const Waiting call = waiting_.front();
        waiting_.pop_front();
        deadlines_.erase({call.deadline, call.request});
        actions_.push_back(AdmitCall{team_, call.request});
    }
}

void RateBorrower::refuseLate(Base::Instant now)
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const Base::RequestId request = deadlines_.begin()->second;
        const auto it = std::find_if(waiting_.begin(), waiting_.end(), [&](const Waiting &call) {
            return call.request == request;
        });
        refuse(*it, knownWait(now).value_or(settings_.askInterval));
        dropWaiting(request);
    }
}

void RateBorrower::refuse(const Waiting &call, Base::Duration wait)
{
    const bool isUsedUp = isRateUsedUp(call.since);
    Base::Error error;
    error.code = isUsedUp ? Base::ErrorCode::OverRate : Base::ErrorCode::Unavailable;
    error.step = Base::Step::Admit;
    error.ran = Base::Ran::NotRun;
    error.message = isUsedUp ? "the team's rate is used up"
                             : "no permit from the owner of the team's rate in time";
    error.retryAfter = wait;
    actions_.push_back(RefuseCall{team_, call.request, std::move(error), !isUsedUp});
}

void RateBorrower::dropWaiting(Base::RequestId request)
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

// Time until a call that arrives now gets its permit, if the lender's answer allows to tell.
std::optional<Base::Duration> RateBorrower::knownWait(Base::Instant now) const
{
    if (!answeredAt_ || now - *answeredAt_ > answerMemory || backlog_ == Permits()
        || limit_.perSecond <= 0) {
        return std::nullopt;
    }
    const auto ahead = static_cast<double>((backlog_ + arrivedSinceAnswer_).value());
    const double seconds = ahead / limit_.perSecond - Base::toSeconds(now - *answeredAt_);
    return Base::Duration(static_cast<std::int64_t>(std::max(0.0, seconds) * 1e6));
}

// Whether the lender said, since a call began to wait, that demand exceeds the rate.
bool RateBorrower::isRateUsedUp(Base::Instant since) const
{
    return backlog_ > Permits() && answeredAt_ && *answeredAt_ + answerMemory >= since;
}

void RateBorrower::dropExpired(Base::Instant now)
{
    std::erase_if(held_, [now](const Held &held) { return held.expiry <= now; });
    while (!asks_.empty() && now - asks_.front().at > askMemory && asks_.size() > 1) {
        asks_.pop_front();
    }
}

// Permits must not be stranded where no call comes while another daemon waits for them.
void RateBorrower::returnIdle(Base::Instant now)
{
    for (Held &held : held_) {
        if (held.open() == Permits() || now - held.lastUse < settings_.idleReturn) {
            continue;
        }
        held.returned += held.open();
        held.statementsLeft = statementsPerChange - 1;
        actions_.push_back(SendGrantReturn{statementOf(held)});
    }
}

void RateBorrower::askIfNeeded(Base::Instant now)
{
    const Permits waiting(static_cast<std::int64_t>(waiting_.size()));
    if (isAsking_ && now - asks_.back().at < settings_.askInterval) {
        return;
    }
    if (waiting == Permits()) {
        const Permits expected = expectedDemand(now);
        if (held(now) + held(now) < expected) {
            ask(now);
        }
        return;
    }
    const bool isQueued = queuedAtLender_ > Permits();
    if (waiting <= queuedAtLender_
        || (isQueued && now - asks_.back().at < settings_.shortestAskInterval)) {
        return;
    }
    ask(now);
}

// Demand of calls that are gone would draw permits that others wait for.
void RateBorrower::withdrawDemand(Base::Instant now)
{
    if (queuedAtLender_ > Permits(static_cast<std::int64_t>(waiting_.size()))) {
        ask(now);
    }
}

void RateBorrower::ask(Base::Instant now)
{
    lastAsk_ = lastAsk_.next();
    GrantRequest request;
    request.team = team_;
    request.borrower = self_;
    request.number = lastAsk_;
    request.needed = Permits(static_cast<std::int64_t>(waiting_.size()));
    request.expected = expectedDemand(now);
    for (Held &held : held_) {
        if (held.statementsLeft > 0) {
            held.statementsLeft--;
            request.returns.push_back(statementOf(held));
        }
    }
    asks_.push_back(Ask{lastAsk_, now, request.needed});
    isAsking_ = true;
    queuedAtLender_ = request.needed;
    actions_.push_back(SendGrantRequest{std::move(request)});
}

// The lender can refill only when it knows that a grant is spent, so that is said at once.
void RateBorrower::stateUsedUp()
{
    for (Held &held : held_) {
        if (held.open() == Permits() && held.statementsLeft == statementsPerChange) {
            held.statementsLeft--;
            actions_.push_back(SendGrantReturn{statementOf(held)});
        }
    }
}

GrantReturn RateBorrower::statementOf(const Held &held) const
{
    return GrantReturn{team_, held.epoch, held.grant, held.used, held.returned};
}

} // namespace Admission
