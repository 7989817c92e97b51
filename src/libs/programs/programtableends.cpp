#include "programtable_p.h"
#include "refusals.h"

#include <algorithm>

namespace Programs {

using Base::Ran;
using Base::Step;

// Cancellation, ends of programs and timers.

/// Cancels a run; the program waits for the report of what it consumed.
void ProgramTable::Private::cancel(ProgramEntry &entry, Base::Instant now)
{
    ActiveCall &active = *entry.active;
    active.phase = CallPhase::Cancelling;
    active.due = now + limits_.cancelTimeout;
    emit(CancelDispatch{active.dispatch});
}

/// Acts on a program some of whose callers left.
void ProgramTable::Private::callersLeft(ProgramEntry &entry, Base::Instant now)
{
    std::vector<Base::CallNumber> unwanted;
    for (const auto &[number, call] : entry.parked) {
        if (call.callers.empty()) {
            unwanted.push_back(number);
        }
    }
    for (const Base::CallNumber number : unwanted) {
        unpark(entry, number);
    }
    const bool isUnwanted = entry.active && entry.active->call.callers.empty()
                            && entry.active->phase == CallPhase::Running;
    // Plain services cannot be stopped half-way, and a non-idempotent call must not be.
    if (isUnwanted && entry.active->isIdempotent() && entry.active->isModel()) {
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
        dropCallersOf(*entry, key, now);
        if (entry->program.created().key == key) {
            requestEnd(*entry, Journal::EndReason::KeyWithdrawn, now);
        }
    }
}

void ProgramTable::Private::dropCallersOf(ProgramEntry &entry,
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
        // A call that only withdrawn keys asked for must not start any more.
        const bool isIntending = entry.active->phase == CallPhase::Intending;
        const bool hadCallers = !entry.active->call.callers.empty();
        const bool staysWanted = std::ranges::any_of(entry.active->call.callers, isKept);
        if (isIntending && !staysWanted && (hadCallers || entry.active->call.request.key == key)) {
            entry.active->isAbandoned = true;
        }
        dropFrom(entry.active->call, ranOf(*entry.active));
        // The call now runs for a caller whose key is in force.
        if (staysWanted) {
            entry.active->call.request.key = entry.active->call.callers.front().key;
        }
    }
    callersLeft(entry, now);
}

/// What is true of a call whose callers are told before its result is committed.
Ran ProgramTable::Private::ranOf(const ActiveCall &active) const
{
    switch (active.phase) {
    case CallPhase::Intending:
        return active.isAbandoned ? Ran::NotRun : Ran::MayHaveRun;
    case CallPhase::Running:
    case CallPhase::Cancelling:
        return Ran::MayHaveRun;
    case CallPhase::Recording:
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
    if (active.phase == CallPhase::Intending) {
        active.isAbandoned = true;
        refuseCallers(active.call, programEnded(Ran::NotRun));
        return;
    }
    // A non-idempotent call goes on to its end, and its callers hear the outcome.
    if (active.phase == CallPhase::Running && active.isIdempotent()) {
        refuseCallers(active.call, programEnded(Ran::MayHaveRun));
        cancel(entry, now);
    }
}

/// Appends the end once no call and no child is left.
void ProgramTable::Private::tryEnd(ProgramEntry &entry, Base::Instant now)
{
    const bool isQuiet
        = !entry.active && entry.program.children().empty() && entry.newChildren == 0;
    if (!entry.endReason || !isQuiet || entry.isEndAppended) {
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
    entry.endAppendAt.reset();
    append(EndAppend{created.program}, std::move(records));
}

void ProgramTable::Private::endCommitted(const Base::ProgramId &program, Base::Instant now)
{
    ProgramEntry &entry = *find(program);
    for (const Base::RequestId request : entry.enders) {
        waiting_.erase(request);
        emit(ReplyEnded{request, program});
    }
    remember(entry, now);
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

void ProgramTable::Private::remember(const ProgramEntry &entry, Base::Instant now)
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
    forgetEnded(now);
}

void ProgramTable::Private::forgetEnded(Base::Instant now)
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
    // Calls that wait for a number which never comes do not keep a program alive.
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
    consider(entry.endAppendAt);
    if (!entry.endReason) {
        consider(entry.program.created().deadline);
    }
    if (isIdle(entry)) {
        consider(entry.lastActivity + limits_.idleTimeout);
    }
    if (entry.active) {
        consider(entry.active->due);
        consider(entry.active->appendAt);
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
    forgetEnded(now);
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
    if (entry.endAppendAt && *entry.endAppendAt <= now) {
        entry.endAppendAt.reset();
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
    if (active.appendAt && *active.appendAt <= now) {
        active.appendAt.reset();
        appendResult(entry);
    }
    if (!active.due || *active.due > now) {
        return;
    }
    active.due.reset();
    switch (active.phase) {
    case CallPhase::Intending:
        active.isAbandoned = true;
        refuseCallers(active.call,
                      tryLater(Step::Journal, Ran::NotRun, "the intent was not committed in time"));
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
    case CallPhase::Recording:
        refuseCallers(
            active.call,
            tryLater(Step::Journal, ranOf(active), "the result was not committed in time"));
        return;
    }
}

} // namespace Programs
