#include "tokenledger.h"

#include <base/visitor.h>

#include <algorithm>
#include <cmath>

namespace Programs {

namespace {

using Base::Tokens;

/// Pause between searches for idle programs.
constexpr Base::Duration sweepInterval = std::chrono::seconds(10);

Tokens shareOf(Tokens amount, double share)
{
    return Tokens(
        static_cast<std::int64_t>(std::ceil(static_cast<double>(amount.value()) * share)));
}

/// Whether the loss of one allocation would leave no room for a turn.
bool isSmallBudget(const TurnReservation &turn)
{
    const Tokens maximum = std::max(turn.maxTokens, turn.turnMaximum);
    return turn.budget < maximum + maximum;
}

/// A small budget may be exceeded by the allocation that replaces a lost one instead.
bool isOverdraftAllowed(const TurnReservation &turn)
{
    return turn.mayOverdraw && !isSmallBudget(turn);
}

} // namespace

TokenLedger::TokenLedger(Base::IncarnationId self, TokenLedgerSettings settings)
    : self_(std::move(self))
    , settings_(settings)
{}

/// A coordinator that was lost while turns overdrew its allocation leaves no record of their tokens
/// in the store. The use that daemons report is counted instead if it exceeds the allocations.
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

/// Tokens that are granted to another daemon count as used here.
void TokenLedger::grantTokens(Account &account, const TurnReservation &turn)
{
    const Tokens share = shareOf(account.free(), settings_.grantShare);
    const Tokens amount = std::max(turn.maxTokens, share);
    account.used += amount;
    account.granted += amount;
    answer(turn.id, TurnVerdict::Admitted, amount);
}

void TokenLedger::returnTokens(const Base::ProgramId &program,
                               Base::Tokens amount,
                               Base::Instant now)
{
    const auto entry = accounts_.find(program);
    if (entry == accounts_.end()) {
        return;
    }
    Account &account = entry->second;
    account.used -= amount;
    account.granted -= amount;
    serveWaiting(program, account, now);
}

void TokenLedger::answer(ReservationId id, TurnVerdict verdict, Tokens amount)
{
    actions_.push_back(AnswerTurn{id, verdict, amount});
}

/// The overdraft is limited to one turn's maximum while the store responds, as the allocation is
/// already in flight, and to a share of the budget while it does not.
bool TokenLedger::mayOverdraw(const Account &account, const TurnReservation &turn) const
{
    const Tokens unrecorded
        = isStoreUnavailable()
              ? std::min(shareOf(account.budget, settings_.overdraftShare), turn.maxTokens)
              : turn.maxTokens;
    const Tokens limit = std::max(unrecorded, account.recordedOverdraft);
    const Tokens overdraft = turn.maxTokens - account.free();
    return isOverdraftAllowed(turn) && overdraft <= std::min(limit, account.unallocated());
}

/// A small budget of which a part may be lost covers one turn more, as a program may exceed its
/// budget by one turn's maximum.
bool TokenLedger::isCovered(const Account &account, const TurnReservation &turn) const
{
    const Tokens left = account.unallocated();
    const Tokens available = left + account.free();
    if (available >= turn.maxTokens) {
        return true;
    }
    return isSmallBudget(turn) && left >= Tokens(0)
           && available + account.inDoubt() >= turn.maxTokens;
}

/// Returns whether the turn waits until its overdraft is recorded.
bool TokenLedger::recordOverdraft(const Base::ProgramId &program,
                                  Account &account,
                                  const TurnReservation &turn,
                                  Base::Instant now)
{
    const Tokens limit = shareOf(account.budget, settings_.overdraftShare);
    const Tokens overdraft = turn.maxTokens - account.free();
    const bool isUseful = isOverdraftAllowed(turn) && isStoreUnavailable()
                          && account.recordedOverdraft < limit
                          && overdraft <= std::min(limit, account.unallocated());
    if (!isUseful || now < account.nextRecordAt) {
        return false;
    }
    if (!std::exchange(account.isRecording, true)) {
        actions_.push_back(RecordOverdraft{program, limit, account.retention});
    }
    return true;
}

void TokenLedger::overdraftRecorded(const RecordOverdraft &overdraft,
                                    bool isRecorded,
                                    Base::Instant now)
{
    const auto entry = accounts_.find(overdraft.program);
    if (entry == accounts_.end()) {
        return;
    }
    Account &account = entry->second;
    account.isRecording = false;
    if (isRecorded) {
        account.recordedOverdraft = overdraft.limit;
    } else {
        account.nextRecordAt = now + settings_.recordBackoff;
    }
    serveWaiting(overdraft.program, account, now);
    if (!isStoreUnavailable()) {
        endOverdraft(overdraft.program, account);
    }
}

/// Once the allocations cover what was used, nothing would be lost with this daemon.
void TokenLedger::endOverdraft(const Base::ProgramId &program, Account &account)
{
    if (account.recordedOverdraft > Tokens(0) && account.overdraft() == Tokens(0)) {
        account.recordedOverdraft = {};
        actions_.push_back(RecordOverdraft{program, {}, account.retention});
    }
}

void TokenLedger::recordOverdraftOf(const Base::VmId &coordinator,
                                    const RecordOverdraft &overdraft,
                                    Base::Instant now)
{
    Account &account = accounts_[overdraft.program];
    account.retention = std::max(account.retention, overdraft.retention);
    account.lastUse = now;
    account.remoteOverdraft[coordinator] = overdraft.limit;
    if (!nextSweep_) {
        nextSweep_ = now + sweepInterval;
    }
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

/// Answers the first waiting turn; returns false if it keeps waiting.
bool TokenLedger::serveFirst(const Base::ProgramId &program, Account &account, Base::Instant now)
{
    const WaitingTurn &first = account.waiting.front();
    const TurnReservation &turn = first.turn;
    if (account.free() < turn.maxTokens) {
        if (!account.pending && !isCovered(account, turn)) {
            answer(turn.id, TurnVerdict::Exhausted);
            return true;
        }
        const bool isOverdrawn = mayOverdraw(account, turn);
        if (!account.pending) {
            allocate(program, account, turn.maxTokens - account.free(), !isOverdrawn);
        }
        if (!isOverdrawn) {
            awaitAllocation(account);
            if (recordOverdraft(program, account, turn, now)) {
                return false;
            }
            const bool mustRefuse
                = isStoreUnavailable() || now - first.since >= settings_.allocationTimeout;
            if (mustRefuse) {
                answer(turn.id, TurnVerdict::Unavailable, account.overdraft());
            }
            return mustRefuse;
        }
    }
    if (turn.isTokenGrant) {
        grantTokens(account, turn);
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
    if (isStoreUnavailable() || nextBatchAt_) {
        deferredWrites_.push_back(program);
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

void TokenLedger::applyOutcome(Account &account, const AllocationOutcome &outcome)
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
                                 // Either an earlier write of this allocation was executed and
                                 // its response was lost, or another daemon has allocated and
                                 // this allocation has to be computed again.
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
                                 // The write is repeated later. It is conditional on the version,
                                 // so it is executed at most once.
                                 deferredWrites_.push_back(write.program);
                             }},
               outcome);
}

void TokenLedger::updateStoreState(const AllocationOutcome &outcome, Base::Instant now)
{
    if (std::holds_alternative<AllocationUnanswered>(outcome)) {
        backoff_ = isStoreUnavailable() ? std::min(settings_.maxBackoff, 2 * backoff_)
                                        : settings_.initialBackoff;
        nextProbeAt_ = now + backoff_;
        nextBatchAt_.reset();
        return;
    }
    if (isStoreUnavailable()) {
        nextProbeAt_.reset();
        nextBatchAt_ = now;
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
    updateStoreState(outcome, now);
    applyOutcome(account, outcome);
    coverOverdraft(program, account);
    if (!isStoreUnavailable()) {
        endOverdraft(program, account);
    }
    if (isStoreUnavailable()) {
        // Turns that may not overdraw the allocation are refused at once.
        const auto waiting = waitingSince_;
        for (const auto &[each, since] : waiting) {
            serveWaiting(each, accounts_[each], now);
        }
        return;
    }
    serveWaiting(program, account, now);
}

/// Allocates tokens that turns have used beyond the confirmed allocation.
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

/// Writes a single allocation while the store does not respond, and a batch once it does.
void TokenLedger::writeDeferred()
{
    std::size_t left = isStoreUnavailable() ? 1 : settings_.writesPerBatch;
    while (left > 0 && !deferredWrites_.empty()) {
        const auto entry = accounts_.find(deferredWrites_.front());
        deferredWrites_.pop_front();
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
    if (isStoreUnavailable() && now >= *nextProbeAt_) {
        nextProbeAt_ = now + settings_.allocationTimeout; // replaced when the response arrives
        if (deferredWrites_.empty()) {
            nextProbeAt_.reset(); // no write to probe with; the next allocation probes the store
        }
        writeDeferred();
    }
    if (nextBatchAt_ && now >= *nextBatchAt_) {
        writeDeferred();
        nextBatchAt_
            = deferredWrites_.empty() ? std::nullopt : std::optional(now + settings_.batchInterval);
    }
    const auto waiting = waitingSince_;
    for (const auto &[program, since] : waiting) {
        serveWaiting(program, accounts_[program], now);
    }
    if (nextSweep_ && now >= *nextSweep_) {
        evictIdle(now);
    }
}

/// Unused tokens of an evicted program stay allocated in the store, so they count as spent.
void TokenLedger::evictIdle(Base::Instant now)
{
    std::erase_if(accounts_, [&](const auto &entry) {
        const Account &account = entry.second;
        return account.running == 0 && account.waiting.empty() && !account.pending
               && !account.isRecording && now - account.lastUse > account.retention;
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
    consider(nextProbeAt_);
    consider(nextBatchAt_);
    for (const auto &[program, since] : waitingSince_) {
        consider(since + settings_.allocationTimeout);
    }
    return next;
}

std::vector<TokenLedgerAction> TokenLedger::takeActions()
{
    return std::exchange(actions_, {});
}

} // namespace Programs
