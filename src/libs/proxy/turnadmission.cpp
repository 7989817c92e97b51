#include "turnadmission.h"

#include <base/visitor.h>

#include <asio/post.hpp>

namespace Proxy {

namespace {

/// Pause between looks for programs that have paused for longer than their retention.
constexpr Base::Duration sweepInterval = std::chrono::seconds(10);

/// For this time after a claim that the store did not answer, claims go to other daemons first.
constexpr Base::Duration relayTime = std::chrono::seconds(1);

/// Daemons that are asked to write a claim; a store that turns machines away serves most of them.
constexpr int relayAttempts = 4;

/// Questions for one turn's tokens: two to a home that is lost, two to the next in rank.
constexpr int coordinatorAttempts = 4;

BudgetVerdict toBudgetVerdict(Programs::TurnVerdict verdict)
{
    switch (verdict) {
    case Programs::TurnVerdict::Admitted:
        return BudgetVerdict::Admitted;
    case Programs::TurnVerdict::Exhausted:
        return BudgetVerdict::Exhausted;
    case Programs::TurnVerdict::Unavailable:
        break;
    }
    return BudgetVerdict::Unavailable;
}

} // namespace

TurnAdmission::TurnAdmission(asio::io_context &context,
                             Base::VmId self,
                             Base::IncarnationId incarnation,
                             PeerLink &peers,
                             GroupWriter writer,
                             std::function<Base::Instant()> now)
    : self_(std::move(self))
    , peers_(peers)
    , ledger_(std::move(incarnation), {})
    , groups_({})
    , writer_(std::move(writer))
    , now_(std::move(now))
    , timer_(context)
{}

bool TurnAdmission::knowsAllOf(const Base::ProgramId &program) const
{
    return hasMajority_ && hasMajority_()
           && peers_.roster().isPreferredCoordinator(dutyOf(program));
}

/// All programs of a group have one home, so that their claims are written together.
std::string TurnAdmission::dutyOf(const Base::ProgramId &program) const
{
    return "claims/" + std::to_string(groups_.groupOf(program).value());
}

/// A daemon that hears nobody is the home of all that it serves.
Base::VmId TurnAdmission::coordinatorOf(const Base::ProgramId &program) const
{
    if (peers_.isAlone()) {
        return self_;
    }
    return peers_.roster().coordinatorFor(dutyOf(program), now_());
}

Programs::ReservationId TurnAdmission::addAnswer(Answer answer)
{
    lastId_ = lastId_.next();
    answers_.emplace(lastId_, std::move(answer));
    return lastId_;
}

Programs::ReservationId TurnAdmission::reserve(const RequestTraits &turn,
                                               Base::Duration retention,
                                               std::function<void(BudgetVerdict)> answer)
{
    const Programs::ReservationId id
        = addAnswer([answer = std::move(answer)](Programs::TurnVerdict verdict, Base::Tokens) {
              answer(toBudgetVerdict(verdict));
          });
    Programs::TurnReservation reservation{
        id, turn.program, *turn.programBudget, turn.maxOutput, retention};
    reservation.mayOverdraw = knowsAllOf(turn.program);
    const Base::Instant now = now_();
    if (coordinatorOf(turn.program) == self_) {
        ledger_.reserve(reservation, now);
    } else {
        tokenGrants_.reserve(reservation, now);
    }
    runActions();
    return id;
}

void TurnAdmission::settle(Programs::ReservationId id, Base::Tokens used)
{
    if (tokenGrants_.isRunning(id)) {
        tokenGrants_.settle(id, used, now_());
    } else {
        ledger_.settle(id, used, now_());
    }
    runActions();
}

void TurnAdmission::onTokenRequest(const Base::VmId &sender, const TokenRequest &request)
{
    if (!requests_.emplace(sender, request.number).second) {
        return;
    }
    const Programs::ReservationId id
        = addAnswer([this, sender, number = request.number](Programs::TurnVerdict verdict,
                                                            Base::Tokens amount) {
              requests_.erase({sender, number});
              peers_.answer(sender, TokenAnswer{number, verdict, amount});
          });
    Programs::TurnReservation reservation{
        id, request.program, request.budget, request.needed, request.retention};
    reservation.isTokenGrant = true;
    reservation.mayOverdraw = knowsAllOf(request.program);
    reservation.reportedUse = {sender, request.used};
    ledger_.reserve(reservation, now_());
    runActions();
    if (answers_.contains(id)) {
        peers_.answer(sender, StillWorking{request.number});
    }
}

void TurnAdmission::runActions()
{
    runTokenGrantActions();
    runLedgerActions();
    armTimer();
}

void TurnAdmission::runTokenGrantActions()
{
    for (const Programs::TokenGrantAction &action : tokenGrants_.takeActions()) {
        std::visit(
            Base::Visitor{[this](const Programs::AnswerTurn &answer) { giveAnswer(answer); },
                          [this](const Programs::AskCoordinator &ask) { askCoordinator(ask, 1); },
                          [this](const Programs::ReserveLocally &local) { reserveLocally(local); }},
            action);
    }
}

void TurnAdmission::runLedgerActions()
{
    for (const Programs::TokenLedgerAction &action : ledger_.takeActions()) {
        std::visit(Base::Visitor{[this](const Programs::AnswerTurn &answer) { giveAnswer(answer); },
                                 [this](const Programs::WriteAllocation &allocation) {
                                     writeAllocation(allocation);
                                 },
                                 [this](const Programs::ExpediteAllocation &expedite) {
                                     groups_.expedite(expedite.program, now_());
                                     runGroupActions();
                                 }},
                   action);
    }
}

void TurnAdmission::writeInGroup(const Programs::WriteAllocation &allocation,
                                 AllocationCallback answer)
{
    allocationCallbacks_.emplace(allocation.writeId, std::move(answer));
    groups_.write(allocation, now_());
    runGroupActions();
}

void TurnAdmission::runGroupActions()
{
    for (const Programs::AllocationGroupAction &action : groups_.takeActions()) {
        std::visit(Base::Visitor{[this](const Programs::WriteGroup &write) {
                                     writer_(write,
                                             [this, group = write.group](const auto &outcome) {
                                                 groups_.groupAnswered(group, outcome, now_());
                                                 runGroupActions();
                                             });
                                 },
                                 [this](const Programs::AnswerAllocation &answer) {
                                     auto entry = allocationCallbacks_.extract(answer.writeId);
                                     if (!entry.empty()) {
                                         entry.mapped()(answer.outcome);
                                     }
                                 }},
                   action);
    }
    armTimer();
}

void TurnAdmission::askCoordinator(const Programs::AskCoordinator &ask, int attempt)
{
    const Base::VmId coordinator = coordinatorOf(ask.program);
    if (coordinator == self_ || attempt > coordinatorAttempts) {
        tokenGrants_.answered(ask.id, Programs::TurnVerdict::Unavailable, {}, now_());
        runTokenGrantActions();
        return;
    }
    const QuestionNumber number = peers_.nextNumber();
    const TokenRequest request{
        number, ask.program, ask.budget, ask.needed, ask.retention, ask.used};
    peers_.ask(
        coordinator, number, request, [this, ask, attempt, coordinator](const PeerBody *body) {
            const auto *answer = body ? std::get_if<TokenAnswer>(body) : nullptr;
            if (!answer) {
                askCoordinator(ask, attempt + 1);
                runActions();
                return;
            }
            answeredBy_[ask.id] = coordinator;
            tokenGrants_.answered(ask.id, answer->verdict, answer->amount, now_());
            runActions();
            answeredBy_.erase(ask.id);
        });
}

/// Answers from the event loop: the caller of reserve() has not been told the number yet.
void TurnAdmission::giveAnswer(const Programs::AnswerTurn &answer)
{
    auto entry = answers_.extract(answer.id);
    if (entry.empty()) {
        return;
    }
    asio::post(timer_.get_executor(),
               [call = std::move(entry.mapped()), answer] { call(answer.verdict, answer.amount); });
}

/// The home gave nothing. Many daemons that claim beside it would only meet each other's writes, so
/// this one goes on only where it is the home itself by now.
void TurnAdmission::reserveLocally(const Programs::ReserveLocally &local)
{
    Programs::TurnReservation turn = local.turn;
    if (coordinatorOf(turn.program) != self_) {
        giveAnswer({turn.id, Programs::TurnVerdict::Unavailable, {}});
        return;
    }
    const auto coordinator = answeredBy_.find(turn.id);
    if (coordinator != answeredBy_.end() && local.coordinatorOverdraft > Base::Tokens(0)) {
        turn.remoteOverdraft = {coordinator->second, local.coordinatorOverdraft};
    }
    ledger_.reserve(turn, now_());
}

/// A store that turns this daemon away may still serve others: they write the claim for it.
void TurnAdmission::writeAllocation(const Programs::WriteAllocation &allocation)
{
    if (relayUntil_ && now_() < *relayUntil_) {
        relayAllocation(allocation, 1);
        return;
    }
    writeInGroup(allocation, [this, allocation](const Programs::AllocationOutcome &outcome) {
        if (std::holds_alternative<Programs::AllocationUnanswered>(outcome)) {
            relayUntil_ = now_() + relayTime;
            relayAllocation(allocation, 1);
            return;
        }
        relayUntil_.reset();
        allocationAnswered(allocation.program, outcome);
    });
}

void TurnAdmission::relayAllocation(const Programs::WriteAllocation &allocation, int attempt)
{
    const std::string key = allocation.writeId.text() + std::to_string(attempt);
    const Base::VmId peer = peers_.roster().coordinatorFor(key, now_());
    if (attempt > relayAttempts) {
        allocationAnswered(allocation.program, Programs::AllocationUnanswered{});
        return;
    }
    if (peer == self_) {
        relayAllocation(allocation, attempt + 1);
        return;
    }
    const QuestionNumber number = peers_.nextNumber();
    peers_.ask(peer, number, ClaimRelay{number, allocation}, [=, this](const PeerBody *body) {
        const auto *answer = body ? std::get_if<ClaimRelayAnswer>(body) : nullptr;
        const bool isAnswered
            = answer && !std::holds_alternative<Programs::AllocationUnanswered>(answer->outcome);
        if (isAnswered) {
            allocationAnswered(allocation.program, answer->outcome);
        } else {
            relayAllocation(allocation, attempt + 1);
        }
    });
}

void TurnAdmission::onClaimRelay(const Base::VmId &sender, const ClaimRelay &relay)
{
    if (!requests_.emplace(sender, relay.number).second) {
        return;
    }
    peers_.answer(sender, StillWorking{relay.number});
    writeInGroup(relay.allocation, [=, this, number = relay.number](const auto &outcome) {
        requests_.erase({sender, number});
        peers_.answer(sender, ClaimRelayAnswer{number, outcome});
    });
}

void TurnAdmission::allocationAnswered(const Base::ProgramId &program,
                                       const Programs::AllocationOutcome &outcome)
{
    ledger_.allocationAnswered(program, outcome, now_());
    runActions();
}

void TurnAdmission::armTimer()
{
    const Base::Instant now = now_();
    if (!nextSweep_) {
        nextSweep_ = now + sweepInterval;
    }
    const Base::Instant next = std::min({*nextSweep_,
                                         ledger_.nextWakeUp().value_or(*nextSweep_),
                                         groups_.nextWakeUp().value_or(*nextSweep_)});
    if (timerDue_ && *timerDue_ <= next) {
        return;
    }
    timerDue_ = next;
    timer_.expires_after(std::max(Base::Duration::zero(), next - now));
    timer_.async_wait([this](const std::error_code &error) {
        if (error) {
            return;
        }
        timerDue_.reset();
        const Base::Instant due = now_();
        if (due >= *nextSweep_) {
            nextSweep_.reset();
            tokenGrants_.sweep(due);
        }
        ledger_.tick(due);
        groups_.tick(due);
        runGroupActions();
        runActions();
    });
}

} // namespace Proxy
