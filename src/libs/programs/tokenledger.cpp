#include "tokenledger.h"

#include <base/visitor.h>

#include <algorithm>
#include <cmath>

namespace Programs {

namespace {

using Base::Tokens;

/// Pause between looks for programs that are to be forgotten.
constexpr Base::Duration sweepInterval = std::chrono::seconds(10);

Tokens shareOf(Tokens amount, double share)
{
    return Tokens(
        static_cast<std::int64_t>(std::ceil(static_cast<double>(amount.value()) * share)));
}

} // namespace

TokenLedger::TokenLedger(Base::IncarnationId self, TokenLedgerSettings settings)
    : self_(std::move(self))
    , settings_(settings)
{}

/// A home that was lost with turns on credit leaves no claim of them; what daemons have handed to
/// callers is counted where it is more than the claims.
Tokens TokenLedger::Account::unallocated() const
{
    const auto sum = [](const std::map<Base::VmId, Tokens> &parts) {
        Tokens total;
        for (const auto &[vm, tokens] : parts) {
            total += tokens;
        }
        return total;
    };
    return budget - std::max(storedTotal, sum(reportedUse)) - sum(remoteOverdraft);
}

void TokenLedger::reserve(const TurnReservation &turn, Base::Instant now)
{
    Account &account = accounts_[turn.program];
    account.budget = turn.budget;
    account.retention = turn.retention;
    account.lastUse = now;
    if (turn.reportedUse) {
        Tokens &known = account.reportedUse[turn.reportedUse->first];
        known = std::max(known, turn.reportedUse->second);
    }
    if (turn.remoteOverdraft) {
        account.remoteOverdraft[turn.remoteOverdraft->first] = turn.remoteOverdraft->second;
    }
    if (!nextSweep_) {
        nextSweep_ = now + sweepInterval;
    }
    account.waiting.push_back({turn, now});
    serveWaiting(turn.program, account, now);
}

void TokenLedger::admit(Account &account, const TurnReservation &turn)
{
    account.used += turn.maxTokens;
    ++account.running;
    running_[turn.id] = {turn.program, turn.maxTokens};
    answer(turn.id, TurnVerdict::Admitted, turn.maxTokens);
}

/// What another daemon gets counts as used here.
void TokenLedger::handOver(Account &account, const TurnReservation &turn)
{
    const Tokens share = shareOf(account.free(), settings_.transferShare);
    const Tokens amount = std::max(turn.maxTokens, share);
    account.used += amount;
    answer(turn.id, TurnVerdict::Admitted, amount);
}

void TokenLedger::answer(ReservationId id, TurnVerdict verdict, Tokens amount)
{
    actions_.push_back(AnswerTurn{id, verdict, amount});
}

/// One turn's most while the store answers, as the claim is on its way; more while it does not.
bool TokenLedger::mayOverdraw(const Account &account, const TurnReservation &turn) const
{
    const Tokens limit
        = isStoreAway() ? shareOf(account.budget, settings_.overdraftShare) : turn.maxTokens;
    const Tokens overdraft = turn.maxTokens - account.free();
    return turn.mayOverdraw && overdraft <= std::min(limit, account.unallocated());
}

void TokenLedger::serveWaiting(const Base::ProgramId &program, Account &account, Base::Instant now)
{
    while (!account.waiting.empty() && serveFirst(program, account, now)) {
        account.waiting.erase(account.waiting.begin());
    }
    if (account.waiting.empty()) {
        waitingSince_.erase(program);
    } else {
        waitingSince_[program] = account.waiting.front().since;
    }
}

/// Answers the first waiting turn; returns false if it goes on waiting.
bool TokenLedger::serveFirst(const Base::ProgramId &program, Account &account, Base::Instant now)
{
    const WaitingTurn &first = account.waiting.front();
    const TurnReservation &turn = first.turn;
    if (account.free() < turn.maxTokens) {
        if (!account.pending && account.unallocated() + account.free() < turn.maxTokens) {
            answer(turn.id, TurnVerdict::Exhausted);
            return true;
        }
        const bool isOverdrawn = mayOverdraw(account, turn);
        if (!account.pending) {
            allocate(program, account, turn.maxTokens - account.free(), !isOverdrawn);
        }
        if (!isOverdrawn) {
            awaitAllocation(account);
            const bool isHopeless = isStoreAway() || now - first.since >= settings_.longestWait;
            if (isHopeless) {
                answer(turn.id, TurnVerdict::Unavailable, account.overdraft());
            }
            return isHopeless;
        }
    }
    if (turn.isTransfer) {
        handOver(account, turn);
    } else {
        admit(account, turn);
    }
    return true;
}

void TokenLedger::allocate(const Base::ProgramId &program,
                           Account &account,
                           Tokens needed,
                           bool isAwaited)
{
    const Tokens left = account.unallocated();
    const Tokens amount
        = std::max(needed, std::min(left, shareOf(left, settings_.allocationShare)));
    const std::string writeId = self_.text() + "-" + std::to_string(++lastWrite_);
    account.pending = WriteAllocation{program,
                                      account.version,
                                      account.budget - left + amount,
                                      Base::WriteId(writeId),
                                      account.retention,
                                      isAwaited};
    account.pendingAmount = amount;
    if (isStoreAway() || nextRound_) {
        deferred_.push_back(program);
    } else {
        write(account);
    }
}

void TokenLedger::awaitAllocation(Account &account)
{
    if (!account.pending || std::exchange(account.pending->isAwaited, true)) {
        return;
    }
    if (account.isWriting) {
        actions_.push_back(ExpediteAllocation{account.pending->program});
    }
}

void TokenLedger::write(Account &account)
{
    account.isWriting = true;
    actions_.push_back(*account.pending);
}

void TokenLedger::resolve(Account &account, const AllocationOutcome &outcome)
{
    const WriteAllocation write = *account.pending;
    const auto confirm = [&](AllocationVersion version) {
        account.allocated += account.pendingAmount;
        account.storedTotal = write.total;
        account.version = version;
        account.pending.reset();
    };
    std::visit(Base::Visitor{[&](const AllocationWritten &written) { confirm(written.version); },
                             [&](const AllocationConflict &conflict) {
                                 // An earlier write of this claim was done though its answer was
                                 // lost; or others have claimed, and a new claim follows.
                                 if (conflict.stored.lastWrite == write.writeId) {
                                     confirm(conflict.stored.version);
                                     return;
                                 }
                                 account.storedTotal
                                     = std::max(account.storedTotal, conflict.stored.total);
                                 account.version = conflict.stored.version;
                                 account.pending.reset();
                             },
                             [&](const AllocationUnanswered &) {
                                 // The same write again later: by its condition it is done once.
                                 deferred_.push_back(write.program);
                             }},
               outcome);
}

void TokenLedger::noteStore(const AllocationOutcome &outcome, Base::Instant now)
{
    if (std::holds_alternative<AllocationUnanswered>(outcome)) {
        probePause_ = isStoreAway() ? std::min(settings_.longestProbe, 2 * probePause_)
                                    : settings_.firstProbe;
        probeAt_ = now + probePause_;
        nextRound_.reset();
        return;
    }
    if (isStoreAway()) {
        probeAt_.reset();
        nextRound_ = now;
    }
}

void TokenLedger::allocationAnswered(const Base::ProgramId &program,
                                     const AllocationOutcome &outcome,
                                     Base::Instant now)
{
    const auto entry = accounts_.find(program);
    if (entry == accounts_.end() || !entry->second.isWriting) {
        return;
    }
    Account &account = entry->second;
    account.isWriting = false;
    noteStore(outcome, now);
    resolve(account, outcome);
    coverOverdraft(program, account);
    if (isStoreAway()) {
        // Turns that can't run on credit are refused at once.
        const auto waiting = waitingSince_;
        for (const auto &[each, since] : waiting) {
            serveWaiting(each, accounts_[each], now);
        }
        return;
    }
    serveWaiting(program, account, now);
}

/// Turns have run on credit beyond the claim that was confirmed.
void TokenLedger::coverOverdraft(const Base::ProgramId &program, Account &account)
{
    if (!account.pending && account.free() < Tokens(0)) {
        allocate(program, account, Tokens(0) - account.free(), true);
    }
}

void TokenLedger::settle(ReservationId id, Tokens used, Base::Instant now)
{
    const auto run = running_.find(id);
    if (run == running_.end()) {
        return;
    }
    const auto entry = accounts_.find(run->second.program);
    const Tokens maxTokens = run->second.maxTokens;
    running_.erase(run);
    if (entry == accounts_.end()) {
        return;
    }
    Account &account = entry->second;
    account.used += used - maxTokens;
    --account.running;
    account.lastUse = now;
    serveWaiting(entry->first, account, now);
}

/// One claim tries a store that is away; once it answers, the others follow in rounds.
void TokenLedger::writeDeferred()
{
    std::size_t left = isStoreAway() ? 1 : settings_.writesPerRound;
    while (left > 0 && !deferred_.empty()) {
        const auto entry = accounts_.find(deferred_.front());
        deferred_.pop_front();
        const bool isDue
            = entry != accounts_.end() && entry->second.pending && !entry->second.isWriting;
        if (isDue) {
            write(entry->second);
            --left;
        }
    }
}

void TokenLedger::tick(Base::Instant now)
{
    if (isStoreAway() && now >= *probeAt_) {
        probeAt_ = now + settings_.longestWait; // until the answer says more
        if (deferred_.empty()) {
            probeAt_.reset(); // nothing to try it with: the next claim will tell
        }
        writeDeferred();
    }
    if (nextRound_ && now >= *nextRound_) {
        writeDeferred();
        nextRound_ = deferred_.empty() ? std::nullopt : std::optional(now + settings_.writeRound);
    }
    const auto waiting = waitingSince_;
    for (const auto &[program, since] : waiting) {
        serveWaiting(program, accounts_[program], now);
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
        return account.running == 0 && account.waiting.empty() && !account.pending
               && now - account.lastUse > account.retention;
    });
    nextSweep_ = accounts_.empty() ? std::nullopt : std::optional(now + sweepInterval);
}

std::optional<Base::Instant> TokenLedger::nextWakeUp() const
{
    std::optional<Base::Instant> next = nextSweep_;
    const auto consider = [&](std::optional<Base::Instant> due) {
        if (due) {
            next = next ? std::min(*next, *due) : due;
        }
    };
    consider(probeAt_);
    consider(nextRound_);
    for (const auto &[program, since] : waitingSince_) {
        consider(since + settings_.longestWait);
    }
    return next;
}

std::vector<TokenLedgerAction> TokenLedger::takeActions()
{
    return std::exchange(actions_, {});
}

} // namespace Programs
