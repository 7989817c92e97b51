#include "turnadmission.h"

#include <base/visitor.h>

#include <asio/post.hpp>

namespace Proxy {

namespace {

BudgetVerdict toBudgetVerdict(Programs::TurnVerdict verdict)
{
    switch (verdict) {
    case Programs::TurnVerdict::Admitted:
        return BudgetVerdict::Admitted;
    case Programs::TurnVerdict::Spent:
        return BudgetVerdict::Spent;
    case Programs::TurnVerdict::Unavailable:
        break;
    }
    return BudgetVerdict::Unavailable;
}

} // namespace

TurnAdmission::TurnAdmission(asio::io_context &context,
                             Base::IncarnationId self,
                             ClaimWriter writer,
                             std::function<Base::Instant()> now)
    : ledger_(std::move(self), {})
    , writer_(std::move(writer))
    , now_(std::move(now))
    , timer_(context)
{}

Programs::ReservationId TurnAdmission::reserve(const RequestTraits &turn,
                                               Base::Duration retention,
                                               std::function<void(BudgetVerdict)> answer)
{
    lastId_ = lastId_.next();
    const Programs::ReservationId id = lastId_;
    answers_.emplace(id, std::move(answer));
    ledger_.reserve({id, turn.program, *turn.programBudget, turn.maxOutput, retention}, now_());
    runActions();
    return id;
}

void TurnAdmission::settle(Programs::ReservationId id, Base::Tokens used)
{
    ledger_.settle(id, used, now_());
    runActions();
}

void TurnAdmission::runActions()
{
    for (const Programs::TokenLedgerAction &action : ledger_.takeActions()) {
        std::visit(
            Base::Visitor{
                [this](const Programs::AnswerTurn &verdict) {
                    // Answered from the event loop: the caller of reserve() has
                    // not been told the number yet.
                    auto answer = answers_.extract(verdict.id);
                    asio::post(timer_.get_executor(),
                               [call = std::move(answer.mapped()),
                                verdict = toBudgetVerdict(verdict.verdict)] { call(verdict); });
                },
                [this](const Programs::WriteClaim &claim) {
                    writer_(claim,
                            [this, program = claim.program](const Programs::ClaimOutcome &outcome) {
                                ledger_.claimAnswered(program, outcome, now_());
                                runActions();
                            });
                }},
            action);
    }
    armTimer();
}

void TurnAdmission::armTimer()
{
    const std::optional<Base::Instant> next = ledger_.nextWakeUp();
    if (!next || (timerDue_ && *timerDue_ <= *next)) {
        return;
    }
    timerDue_ = next;
    timer_.expires_after(std::max(Base::Duration::zero(), *next - now_()));
    timer_.async_wait([this](const std::error_code &error) {
        if (error) {
            return;
        }
        timerDue_.reset();
        ledger_.tick(now_());
        runActions();
    });
}

} // namespace Proxy
