#include "tokenledger.h"

#include <base/visitor.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Programs {

namespace {

using Base::Tokens;

/// Pause between looks for programs that are to be forgotten.
constexpr Base::Duration sweepInterval = std::chrono::seconds(10);

} // namespace

TokenLedger::TokenLedger(Base::IncarnationId self, TokenLedgerSettings settings)
    : self_(std::move(self))
    , settings_(settings)
{}

void TokenLedger::reserve(const TurnReservation &turn, Base::Instant now)
{
    Account &account = accounts_[turn.program];
    account.budget = turn.budget;
    account.retention = turn.retention;
    account.lastUse = now;
    if (!nextSweep_) {
        nextSweep_ = now + sweepInterval;
    }
    account.waiting.push_back({turn, now});
    serveWaiting(turn.program, account, now);
}

void TokenLedger::admit(Account &account, const TurnReservation &turn)
{
    account.used += turn.most;
    ++account.running;
    running_[turn.id] = {turn.program, turn.most};
    answer(turn.id, TurnVerdict::Admitted, turn.most);
}

/// What another daemon gets counts as used here.
void TokenLedger::handOver(Account &account, const TurnReservation &turn)
{
    const auto share = static_cast<std::int64_t>(static_cast<double>(account.free().value())
                                                 * settings_.transferShare);
    const Tokens amount(std::max(turn.most.value(), share));
    account.used += amount;
    answer(turn.id, TurnVerdict::Admitted, amount);
}

void TokenLedger::answer(ReservationId id, TurnVerdict verdict, Tokens amount)
{
    actions_.push_back(AnswerTurn{id, verdict, amount});
}

/// Answers what can be answered, and claims more if a turn needs it.
void TokenLedger::serveWaiting(const Base::ProgramId &program, Account &account, Base::Instant now)
{
    while (!account.waiting.empty()) {
        const WaitingTurn &first = account.waiting.front();
        if (account.free() >= first.turn.most) {
            if (first.turn.isTransfer) {
                handOver(account, first.turn);
            } else {
                admit(account, first.turn);
            }
        } else if (now - first.since >= settings_.longestWait) {
            answer(first.turn.id, TurnVerdict::Unavailable);
        } else if (account.isWriting || account.pending) {
            break;
        } else if (account.budget - account.storedTotal + account.free() < first.turn.most) {
            answer(first.turn.id, TurnVerdict::Spent);
        } else {
            claim(program, account);
            break;
        }
        account.waiting.erase(account.waiting.begin());
    }
    if (account.waiting.empty()) {
        waitingSince_.erase(program);
    } else {
        waitingSince_[program] = account.waiting.front().since;
    }
}

void TokenLedger::claim(const Base::ProgramId &program, Account &account)
{
    const Tokens left = account.budget - account.storedTotal;
    const Tokens needed = account.waiting.front().turn.most - account.free();
    const auto share = static_cast<std::int64_t>(
        std::ceil(static_cast<double>(left.value()) * settings_.claimShare));
    const Tokens amount(std::clamp(share, needed.value(), left.value()));
    const std::string writeId = self_.text() + "-" + std::to_string(++lastWrite_);
    account.pending = WriteClaim{
        program, account.version, account.storedTotal + amount, Base::WriteId(writeId)};
    account.isWriting = true;
    actions_.push_back(*account.pending);
}

void TokenLedger::resolve(Account &account, const ClaimOutcome &outcome, Base::Instant now)
{
    const WriteClaim write = *account.pending;
    const auto confirm = [&](ClaimVersion version) {
        account.claimed += write.total - account.storedTotal;
        account.storedTotal = write.total;
        account.version = version;
        account.pending.reset();
    };
    std::visit(Base::Visitor{[&](const ClaimWritten &written) { confirm(written.version); },
                             [&](const ClaimConflict &conflict) {
                                 // An earlier write of this claim was done though its answer was
                                 // lost; or others have claimed, and a new claim follows.
                                 if (conflict.stored.lastWrite == write.writeId) {
                                     confirm(conflict.stored.version);
                                     return;
                                 }
                                 account.storedTotal = conflict.stored.total;
                                 account.version = conflict.stored.version;
                                 account.pending.reset();
                             },
                             [&](const ClaimUnanswered &) {
                                 // The same write again: it is done once at most, by its condition.
                                 account.retryAt = now + settings_.claimRetry;
                             }},
               outcome);
}

void TokenLedger::claimAnswered(const Base::ProgramId &program,
                                const ClaimOutcome &outcome,
                                Base::Instant now)
{
    const auto entry = accounts_.find(program);
    if (entry == accounts_.end() || !entry->second.isWriting) {
        return;
    }
    Account &account = entry->second;
    account.isWriting = false;
    resolve(account, outcome, now);
    serveWaiting(program, account, now);
}

void TokenLedger::settle(ReservationId id, Tokens used, Base::Instant now)
{
    const auto run = running_.find(id);
    if (run == running_.end()) {
        return;
    }
    const auto entry = accounts_.find(run->second.program);
    const Tokens most = run->second.most;
    running_.erase(run);
    if (entry == accounts_.end()) {
        return;
    }
    Account &account = entry->second;
    account.used += used - most;
    --account.running;
    account.lastUse = now;
    serveWaiting(entry->first, account, now);
}

void TokenLedger::cancel(ReservationId id)
{
    for (auto &[program, since] : waitingSince_) {
        std::erase_if(accounts_[program].waiting,
                      [&](const WaitingTurn &waiting) { return waiting.turn.id == id; });
    }
    std::erase_if(waitingSince_,
                  [&](const auto &entry) { return accounts_[entry.first].waiting.empty(); });
}

void TokenLedger::tick(Base::Instant now)
{
    const auto waiting = waitingSince_;
    for (const auto &[program, since] : waiting) {
        Account &account = accounts_[program];
        if (account.retryAt && now >= *account.retryAt && account.pending && !account.isWriting) {
            account.retryAt.reset();
            account.isWriting = true;
            actions_.push_back(*account.pending);
        }
        serveWaiting(program, account, now);
    }
    if (nextSweep_ && now >= *nextSweep_) {
        forgetIdle(now);
    }
}

/// What the program had claimed here and not used stays claimed in the store, and so counts as
/// spent.
void TokenLedger::forgetIdle(Base::Instant now)
{
    std::erase_if(accounts_, [&](const auto &entry) {
        const Account &account = entry.second;
        return account.running == 0 && account.waiting.empty() && !account.isWriting
               && now - account.lastUse > account.retention;
    });
    nextSweep_ = accounts_.empty() ? std::nullopt : std::optional(now + sweepInterval);
}

std::optional<Base::Instant> TokenLedger::nextWakeUp() const
{
    std::optional<Base::Instant> next = nextSweep_;
    for (const auto &[program, since] : waitingSince_) {
        const Account &account = accounts_.at(program);
        Base::Instant due = since + settings_.longestWait;
        if (account.retryAt && account.pending && !account.isWriting) {
            due = std::min(due, *account.retryAt);
        }
        next = next ? std::min(*next, due) : due;
    }
    return next;
}

std::vector<TokenLedgerAction> TokenLedger::takeActions()
{
    return std::exchange(actions_, {});
}

} // namespace Programs
