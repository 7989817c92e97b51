#include "programtable_p.h"
#include "refusals.h"

#include <algorithm>

namespace Programs {

using Base::Ran;
using Base::Step;

// Cancellation, ending of programs, and timers.

/// Cancels a run. The program waits for the report of the consumed tokens.
void ProgramTable::Private::cancel(ProgramEntry &entry, Base::Instant now)
{
    ActiveCall &active = *entry.active;
    active.phase = CallPhase::Cancelling;
    active.due = now + limits_.cancelTimeout;
    emit(CancelDispatch{active.dispatch});
}

/// Drops parked calls without callers, and cancels the active call if it has none.
void ProgramTable::Private::handleRemovedCallers(ProgramEntry &entry, Base::Instant now)
{
    std::vector<Base::CallNumber> withoutCallers;
    for (const auto &[number, call] : entry.parked) {
        if (call.callers.empty()) {
            withoutCallers.push_back(number);
        }
    }
    for (const Base::CallNumber number : withoutCallers) {
        unpark(entry, number);
    }
    const bool isRunningWithoutCallers = entry.active && entry.active->call.callers.empty()
                                         && entry.active->phase == CallPhase::Running;
    // Calls of plain services cannot be interrupted, and non-idempotent calls must not be.
    if (isRunningWithoutCallers && entry.active->isIdempotent() && entry.active->isModel()) {
        cancel(entry, now);
    }
    reschedule(entry);
}

void ProgramTable::Private::keyWithdrawn(const Base::KeyId &key, Base::Instant now)
{
    withdrawnKeys_.insert(key);
    std::vector<Base::ProgramId> ids;
    ids.reserve(entries_.size());
    for (const auto &[id, entry] : entries_) {
        ids.push_back(id);
    }
    std::ranges::sort(ids);
    for (const Base::ProgramId &id : ids) {
        ProgramEntry *entry = find(id);
        if (!entry) {
            continue;
        }
        dropCallersOfKey(*entry, key, now);
        if (entry->program.created().key == key) {
            requestEnd(*entry, Journal::EndReason::KeyWithdrawn, now);
        }
    }
}

void ProgramTable::Private::dropCallersOfKey(ProgramEntry &entry,
                                             const Base::KeyId &key,
                                             Base::Instant now)
{
    const auto isKept = [&key](const Caller &caller) { return caller.key != key; };
    const auto dropFrom = [&](PendingCall &call, Ran ran) {
        const auto first = std::stable_partition(call.callers.begin(), call.callers.end(), isKept);
        for (auto caller = first; caller != call.callers.end(); ++caller) {
            refuse(caller->request, keyIsWithdrawn(ran));
        }
        call.callers.erase(first, call.callers.end());
    };
    for (auto &[number, call] : entry.parked) {
        dropFrom(call, Ran::NotRun);
    }
    if (entry.active) {
        // A call that was only requested with withdrawn keys must not be dispatched.
        const bool isCommittingIntent = entry.active->phase == CallPhase::CommittingIntent;
        const bool hadCallers = !entry.active->call.callers.empty();
        const bool keepsCaller = std::ranges::any_of(entry.active->call.callers, isKept);
        if (isCommittingIntent && !keepsCaller
            && (hadCallers || entry.active->call.request.key == key)) {
            entry.active->isDispatchCancelled = true;
        }
        dropFrom(entry.active->call, ranOf(*entry.active));
        // The call continues under the key of a remaining caller.
        if (keepsCaller) {
            entry.active->call.request.key = entry.active->call.callers.front().key;
        }
    }
    handleRemovedCallers(entry, now);
}

/// Returns whether a call has run, for callers that get an error before its result is committed.
Ran ProgramTable::Private::ranOf(const ActiveCall &active) const
{
    switch (active.phase) {
    case CallPhase::CommittingIntent:
        return active.isDispatchCancelled ? Ran::NotRun : Ran::MayHaveRun;
    case CallPhase::Running:
    case CallPhase::Cancelling:
        return Ran::MayHaveRun;
    case CallPhase::CommittingResult:
        break;
    }
    return active.result->error ? active.result->error->ran : Ran::Ran;
}

void ProgramTable::Private::requestEnd(ProgramEntry &entry,
                                       Journal::EndReason reason,
                                       Base::Instant now)
{
    if (!entry.endReason) {
        entry.endReason = reason;
        stopCalls(entry, now);
        const std::vector<Journal::ChildReserved> children = entry.program.children();
        for (const Journal::ChildReserved &child : children) {
            if (ProgramEntry *childEntry = find(child.child)) {
                requestEnd(*childEntry, reason, now);
            }
        }
    }
    tryEnd(entry, now);
    reschedule(entry);
}

void ProgramTable::Private::stopCalls(ProgramEntry &entry, Base::Instant now)
{
    while (!entry.parked.empty()) {
        PendingCall call = unpark(entry, entry.parked.begin()->first);
        refuseCallers(call, programEnded(Ran::NotRun));
    }
    if (!entry.active) {
        return;
    }
    ActiveCall &active = *entry.active;
    if (active.phase == CallPhase::CommittingIntent) {
        active.isDispatchCancelled = true;
        refuseCallers(active.call, programEnded(Ran::NotRun));
        return;
    }
    // A non-idempotent call runs to its end, and its callers get the result.
    if (active.phase == CallPhase::Running && active.isIdempotent()) {
        refuseCallers(active.call, programEnded(Ran::MayHaveRun));
        cancel(entry, now);
    }
}

/// Appends the end of the program once it has no active call and no children.
void ProgramTable::Private::tryEnd(ProgramEntry &entry, Base::Instant now)
{
    const bool hasNoPendingWork
        = !entry.active && entry.program.children().empty() && entry.newChildren == 0;
    if (!entry.endReason || !hasNoPendingWork || entry.isEndAppended) {
        return;
    }
    const Journal::ProgramCreated &created = entry.program.created();
    std::vector<Journal::ProgramRecord> records;
    records.emplace_back(Journal::ProgramEnded{created.program, *entry.endReason, now});
    if (created.parent) {
        records.emplace_back(
            Journal::ChildSettled{*created.parent, created.program, entry.program.charged()});
    }
    entry.isEndAppended = true;
    entry.endAppendRetryAt.reset();
    append(EndAppend{created.program}, std::move(records));
}

void ProgramTable::Private::endCommitted(const Base::ProgramId &program, Base::Instant now)
{
    ProgramEntry &entry = *find(program);
    for (const Base::RequestId request : entry.endRequests) {
        waiting_.erase(request);
        emit(ReplyEnded{request, program});
    }
    rememberEnded(entry, now);
    const std::optional<Base::ProgramId> parent = entry.program.created().parent;
    const Base::Tokens spent = entry.program.charged();
    erase(program);
    emit(ReleaseEngineMemory{program});
    ProgramEntry *parentEntry = parent ? find(*parent) : nullptr;
    if (!parentEntry) {
        return;
    }
    parentEntry->program.apply(Journal::ChildSettled{*parent, program, spent});
    parentEntry->lastActivity = now;
    tryEnd(*parentEntry, now);
    reschedule(*parentEntry);
}

void ProgramTable::Private::rememberEnded(const ProgramEntry &entry, Base::Instant now)
{
    EndedProgram ended;
    ended.team = entry.program.created().team;
    ended.reason = entry.endReason.value_or(Journal::EndReason::ByCaller);
    ended.budget = entry.program.created().budget;
    ended.spent = entry.program.charged();
    ended.nextNumber = entry.program.nextNumber();
    ended.endedAt = now;
    if (ended_.insert_or_assign(entry.program.id(), ended).second) {
        endedOrder_.push_back(entry.program.id());
    }
    evictEnded(now);
}

void ProgramTable::Private::evictEnded(Base::Instant now)
{
    while (!endedOrder_.empty()) {
        const auto oldest = ended_.find(endedOrder_.front());
        const bool isKept = oldest != ended_.end()
                            && oldest->second.endedAt + limits_.endedRetention > now
                            && ended_.size() <= limits_.maxEndedPrograms;
        if (isKept) {
            return;
        }
        if (oldest != ended_.end()) {
            ended_.erase(oldest);
        }
        endedOrder_.pop_front();
    }
}

// Timers

bool ProgramTable::Private::isIdle(const ProgramEntry &entry) const
{
    // Parked calls that wait for a missing number do not keep a program alive.
    return !entry.active && !entry.endReason && entry.newChildren == 0
           && entry.program.children().empty();
}

std::optional<Base::Instant> ProgramTable::Private::dueTime(const ProgramEntry &entry) const
{
    std::optional<Base::Instant> due;
    const auto consider = [&due](std::optional<Base::Instant> at) {
        if (at && (!due || *at < *due)) {
            due = at;
        }
    };
    consider(entry.endAppendRetryAt);
    if (!entry.endReason) {
        consider(entry.program.created().deadline);
    }
    if (isIdle(entry)) {
        consider(entry.lastActivity + limits_.idleTimeout);
    }
    if (entry.active) {
        consider(entry.active->due);
        consider(entry.active->appendRetryAt);
    }
    for (const auto &[number, call] : entry.parked) {
        const bool waitsForActive = entry.active && number == entry.active->number().next();
        if (!waitsForActive) {
            consider(call.arrivedAt + limits_.parkTimeout);
        }
    }
    return due;
}

void ProgramTable::Private::reschedule(ProgramEntry &entry)
{
    const std::optional<Base::Instant> due = dueTime(entry);
    if (due == entry.timer) {
        return;
    }
    if (entry.timer) {
        timers_.erase({*entry.timer, entry.program.id()});
    }
    if (due) {
        timers_.emplace(*due, entry.program.id());
    }
    entry.timer = due;
}

std::optional<Base::Instant> ProgramTable::Private::nextWakeUp() const
{
    return timers_.empty() ? std::nullopt : std::optional(timers_.begin()->first);
}

void ProgramTable::Private::tick(Base::Instant now)
{
    evictEnded(now);
    while (!timers_.empty() && timers_.begin()->first <= now) {
        const Base::ProgramId program = timers_.begin()->second;
        runTimers(*find(program), now);
        reschedule(*find(program));
    }
}

void ProgramTable::Private::runTimers(ProgramEntry &entry, Base::Instant now)
{
    expireParked(entry, now);
    if (entry.active) {
        runCallTimers(entry, now);
    }
    if (entry.endAppendRetryAt && *entry.endAppendRetryAt <= now) {
        entry.endAppendRetryAt.reset();
        entry.isEndAppended = false;
        tryEnd(entry, now);
    }
    if (entry.endReason) {
        return;
    }
    const std::optional<Base::Instant> deadline = entry.program.created().deadline;
    if (deadline && *deadline <= now) {
        requestEnd(entry, Journal::EndReason::DeadlinePassed, now);
        return;
    }
    if (isIdle(entry) && entry.lastActivity + limits_.idleTimeout <= now) {
        requestEnd(entry, Journal::EndReason::Expired, now);
    }
}

void ProgramTable::Private::runCallTimers(ProgramEntry &entry, Base::Instant now)
{
    ActiveCall &active = *entry.active;
    if (active.appendRetryAt && *active.appendRetryAt <= now) {
        active.appendRetryAt.reset();
        appendResult(entry);
    }
    if (!active.due || *active.due > now) {
        return;
    }
    active.due.reset();
    switch (active.phase) {
    case CallPhase::CommittingIntent:
        active.isDispatchCancelled = true;
        refuseCallers(
            active.call,
            retryableError(Step::Journal, Ran::NotRun, "the intent was not committed in time"));
        return;
    case CallPhase::Running:
        emit(CancelDispatch{active.dispatch});
        dispatches_.erase(active.dispatch);
        recordError(entry, callTimedOut(active.server), now);
        return;
    case CallPhase::Cancelling:
        dispatches_.erase(active.dispatch);
        recordError(entry, callCancelled(active.server), now);
        return;
    case CallPhase::CommittingResult:
        refuseCallers(
            active.call,
            retryableError(Step::Journal, ranOf(active), "the result was not committed in time"));
        return;
    }
}

} // namespace Programs
