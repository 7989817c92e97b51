#include "exchange.h"

#include <algorithm>

namespace Proxy {

/// The ids of requests are kept in tables, here and at other daemons.
bool Exchange::checkIds()
{
    constexpr std::size_t maxIdBytes = 128;
    const std::size_t longest = std::max({traits_.id.size(),
                                          traits_.program.text().size(),
                                          traits_.session.size(),
                                          traits_.previousTurn.size(),
                                          traits_.resumedAttempt.size()});
    if (longest > maxIdBytes) {
        respondWithError(
            400, "bad_id", "an id has more than " + std::to_string(maxIdBytes) + " bytes");
        return false;
    }
    return true;
}

bool Exchange::findRoute()
{
    RequestRoute found = Proxy::findRoute(table_.get(), request_.head, traits_);
    route_ = found.route;
    service_ = found.service;
    team_ = found.team;
    if (found.refusal) {
        respondWithError(found.refusal->status,
                         found.refusal->outcome,
                         std::move(found.refusal->detail),
                         found.refusal->retryAfter);
        return false;
    }
    return true;
}

/// Rejects what no history can make valid, and turns that could not be kept after they ran.
bool Exchange::checkHistoryFields()
{
    if (!route_->isHistoryKept) {
        return true;
    }
    if (traits_.id.empty() || traits_.isPreviousTurnMalformed) {
        respondWithError(400, "bad_turn", "the id of the turn or of the previous one is malformed");
        return false;
    }
    if (!owner_.history_.isAvailable || !owner_.history_.isAvailable()) {
        respondWithError(503,
                         "history_unavailable",
                         "too few daemons that keep turns are known",
                         owner_.settings_.retryAfterBusy);
        return false;
    }
    return true;
}

/// Looks for the previous turns while the rate and the budget are checked.
void Exchange::findHistory()
{
    placementKey_ = traits_.program.isEmpty() ? traits_.id : traits_.program.text();
    if (!route_->isHistoryKept || traits_.previousTurn.empty()) {
        history_ = TurnHistory::LookupResult::Found;
        return;
    }
    auto self = shared_from_this();
    owner_.history_.find(TurnHistory::TurnId(traits_.previousTurn),
                         placementKey_,
                         [self](TurnHistory::LookupResult result, const TurnHistory::Chain &chain) {
                             self->onHistory(result, chain);
                         });
}

void Exchange::onHistory(TurnHistory::LookupResult result, const TurnHistory::Chain &chain)
{
    if (isEnded_) {
        return;
    }
    history_ = result;
    historyTime_ = now() - request_.arrivedAt;
    if (result == TurnHistory::LookupResult::Found) {
        const Base::TeamId team = team_ ? team_->team.id : Base::TeamId{};
        if (chain.team != team) {
            history_ = TurnHistory::LookupResult::Absent;
        } else if (!request_.bodyLease.resize(request_.bodyLease.size() + chain.bytes())) {
            respondWithError(503,
                             "no_memory",
                             "too many bodies of requests are kept",
                             owner_.settings_.retryAfterBusy);
            return;
        } else {
            prefix_ = chain.joined();
            placementKey_ = chain.placementKey;
            chainTurns_ = chain.contents.size();
        }
    }
    if (isAdmitted_) {
        onAdmitted();
    }
}

/// Makes the first attempt once the request is admitted and what it continues is known.
void Exchange::onAdmitted()
{
    isAdmitted_ = true;
    if (!history_ || !isStreamVersionKnown_) {
        return;
    }
    switch (*history_) {
    case TurnHistory::LookupResult::Found:
        break;
    case TurnHistory::LookupResult::Absent:
        respondWithError(404, "no_turn", "the previous turn does not exist");
        return;
    case TurnHistory::LookupResult::Unavailable:
        respondWithError(503,
                         "history_unavailable",
                         "the previous turn cannot be read now",
                         owner_.settings_.retryAfterBusy);
        return;
    }
    if (prefix_.size() + request_.body.size() > table_->document().limits.bodyBytes) {
        respondWithError(413, "history_too_large", "the turn and its predecessors are too large");
        return;
    }
    startAttempt();
}

/// Turns carry a token budget; all other requests of a program are tool calls.
bool Exchange::isTurn() const
{
    return route_->programRetention && traits_.programBudget && !traits_.program.isEmpty();
}

Admission::Urgency Exchange::urgency() const
{
    if (traits_.program.isEmpty()) {
        return Admission::Urgency::Started;
    }
    if (!isTurn()) {
        return Admission::Urgency::ToolCall;
    }
    const bool continuesTurn = route_->isHistoryKept && !traits_.previousTurn.empty();
    return continuesTurn || owner_.recentPrograms_.contains(traits_.program)
               ? Admission::Urgency::Started
               : Admission::Urgency::NewProgram;
}

Admission::ProgramProfile Exchange::programProfile() const
{
    const std::uint32_t priority
        = team_ ? team_->priority.value_or(route_->priority) : route_->priority;
    return {traits_.program, team_ ? team_->team.id : Base::TeamId{}, priority};
}

/// Refuses a turn that the servers cannot finish, before it takes a permit or a part of a budget.
bool Exchange::checkLoad()
{
    if (!isTurn()) {
        return true;
    }
    const bool isFirst = urgency_ == Admission::Urgency::NewProgram;
    const Admission::ProgramProfile profile = programProfile();
    if (const auto refusal
        = owner_.load_.decide(service_->id, profile, isFirst, traits_.programTimeLeft, now())) {
        respondWithError(503, refusal->outcome, refusal->detail, refusal->retryAfter);
        return false;
    }
    owner_.load_.turnStarted(service_->id, profile, now());
    isCountedTurn_ = true;
    return true;
}

void Exchange::checkRate()
{
    if (team_) {
        urgency_ = urgency();
    }
    if (!checkLoad()) {
        return;
    }
    if (!team_) {
        checkBudget();
        return;
    }
    auto self = shared_from_this();
    owner_.controls_.takePermit(
        team_->team, urgency_, [self](const Admission::PermitVerdict &verdict) {
            self->onPermitVerdict(verdict);
        });
}

void Exchange::onPermitVerdict(const Admission::PermitVerdict &verdict)
{
    if (isEnded_) {
        if (verdict.isAdmitted) {
            owner_.controls_.returnPermit(team_->team);
        }
        return;
    }
    if (!verdict.isAdmitted) {
        respondWithError(
            429, "over_rate", "rate limit of the team is exceeded", verdict.retryAfter);
        return;
    }
    hasPermit_ = true;
    if (verdict.wait == Base::Duration::zero()) {
        checkBudget();
        return;
    }
    auto self = shared_from_this();
    rateTimer_.emplace(owner_.context_, verdict.wait);
    rateTimer_->async_wait([self](const std::error_code &error) {
        if (!error && !self->isEnded_) {
            self->checkBudget();
        }
    });
}

void Exchange::checkBudget()
{
    if (!isTurn()) {
        onAdmitted();
        return;
    }
    auto self = shared_from_this();
    reservation_ = owner_.controls_.reserveTokens(
        traits_, *route_->programRetention, [self](BudgetVerdict verdict) {
            self->onBudgetVerdict(verdict);
        });
}

void Exchange::onBudgetVerdict(BudgetVerdict verdict)
{
    isReserved_ = verdict == BudgetVerdict::Admitted;
    if (isEnded_) {
        settle();
        return;
    }
    switch (verdict) {
    case BudgetVerdict::Admitted:
        onAdmitted();
        break;
    case BudgetVerdict::Exhausted:
        respondWithError(402, "over_budget", "token budget of the program is exhausted");
        break;
    case BudgetVerdict::Unavailable:
        respondWithError(503,
                         "budget_unknown",
                         "token budget of the program cannot be checked",
                         owner_.settings_.retryAfterBusy);
        break;
    }
}

} // namespace Proxy
