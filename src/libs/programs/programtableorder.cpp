#include "programtable_p.h"
#include "refusals.h"

#include <algorithm>

namespace Programs {

using Base::Ran;
using Base::Step;

// Order of a program's calls: repeated requests, conflicts, and calls that arrive early.

void ProgramTable::Private::submit(SubmitCall request, Base::Instant now)
{
    if (std::optional<Base::Error> error = checkPartition(request.program)) {
        refuse(request.request, std::move(*error));
        return;
    }
    ProgramEntry *entry = findForTeam(request.program, request.team);
    if (!entry) {
        const EndedProgram *ended = findEnded(request.program, request.team);
        if (!ended) {
            refuse(request.request, unknownProgram(Ran::MayHaveRun));
            return;
        }
        const bool isNew = request.number >= ended->nextNumber;
        refuse(request.request, programEnded(isNew ? Ran::NotRun : Ran::MayHaveRun));
        return;
    }
    if (std::optional<Base::Error> error = checkCall(*entry, request)) {
        refuse(request.request, std::move(*error));
        return;
    }
    if (!answerDuplicate(*entry, request, now)) {
        acceptCall(*entry, std::move(request), now);
    }
    reschedule(*entry);
}

std::optional<Base::Error> ProgramTable::Private::checkCall(const ProgramEntry &entry,
                                                            const SubmitCall &request) const
{
    if (request.number.value() == 0) {
        return malformed("call numbers start at 1");
    }
    if (static_cast<std::int64_t>(request.input.size()) > limits_.maxInput.value()) {
        return tooLarge("the input exceeds the size limit");
    }
    if (withdrawnKeys_.contains(request.key)) {
        // The request may repeat a call that was accepted while the key was valid.
        const bool isKnown = request.number < entry.program.nextNumber()
                             || (entry.active && entry.active->number() == request.number);
        return keyIsWithdrawn(isKnown ? Ran::MayHaveRun : Ran::NotRun);
    }
    return std::nullopt;
}

/// Answers a request for a call that is active, parked or recorded; returns false for a new call.
bool ProgramTable::Private::answerDuplicate(ProgramEntry &entry,
                                            const SubmitCall &request,
                                            Base::Instant now)
{
    const bool isActive = entry.active && entry.active->number() == request.number;
    const auto parked = entry.parked.find(request.number);
    const std::shared_ptr<const Turn> turn = entry.program.turn(request.number);
    if (!isActive && parked == entry.parked.end() && !turn) {
        return false;
    }
    const Base::BodyHash known = isActive ? entry.active->call.request.bodyHash
                                 : parked != entry.parked.end() ? parked->second.request.bodyHash
                                                                : turn->bodyHash();
    if (known != request.bodyHash) {
        refuse(request.request, numberConflict("the number belongs to a call with another body"));
        return true;
    }
    if (isActive) {
        attachToActive(*entry.active, request);
    } else if (parked != entry.parked.end()) {
        attachCaller(parked->second, request);
    } else {
        answerRecorded(entry, request, now);
    }
    return true;
}

void ProgramTable::Private::answerRecorded(ProgramEntry &entry,
                                           const SubmitCall &request,
                                           Base::Instant now)
{
    const std::shared_ptr<const Turn> turn = entry.program.turn(request.number);
    if (!turn->error()) {
        entry.lastActivity = now;
        emit(ReplyAccepted{request.request});
        if (request.isStream) {
            emit(ReplyOutput{request.request, std::string(turn->output())});
        }
        emit(ReplyDone{request.request, turn, true});
        return;
    }
    const bool isLast = request.number.next() == entry.program.nextNumber() && !entry.active;
    const bool mayRunAgain = turn->isIdempotent() && request.isIdempotent && isLast
                             && !entry.endReason && !isLeaving(request.program);
    if (!mayRunAgain) {
        refuse(request.request, *turn->error());
        return;
    }
    PendingCall call{request, {}, now};
    attachCaller(call, request);
    start(entry, std::move(call), now);
}

void ProgramTable::Private::attachCaller(PendingCall &call, const SubmitCall &request)
{
    if (call.callers.size() >= limits_.maxCallersPerCall) {
        refuse(
            request.request,
            retryableError(Step::Order, Ran::MayHaveRun, "too many requests wait for this call"));
        return;
    }
    call.callers.push_back({request.request, request.key, request.isStream});
    waiting_.emplace(request.request, request.program);
    emit(ReplyAccepted{request.request});
}

void ProgramTable::Private::attachToActive(ActiveCall &active, const SubmitCall &request)
{
    const size_t callers = active.call.callers.size();
    attachCaller(active.call, request);
    const bool isAttached = active.call.callers.size() > callers;
    if (!isAttached || !request.isStream) {
        return;
    }
    const bool hasAnswer = active.phase == CallPhase::CommittingResult && !active.result->error;
    const std::string &text = hasAnswer ? active.result->output : active.streamed;
    // Output that a failed or cancelled run streamed is not part of the answer.
    const bool isPartOfAnswer = hasAnswer || active.phase == CallPhase::Running;
    if (isPartOfAnswer && !text.empty()) {
        emit(ReplyOutput{request.request, text});
    }
}

void ProgramTable::Private::acceptCall(ProgramEntry &entry, SubmitCall request, Base::Instant now)
{
    if (std::optional<Base::Error> error = checkNewCall(entry, request)) {
        refuse(request.request, std::move(*error));
        return;
    }
    PendingCall call{std::move(request), {}, now};
    attachCaller(call, call.request);
    if (call.request.number == entry.program.nextNumber() && !entry.active) {
        start(entry, std::move(call), now);
        return;
    }
    park(entry, std::move(call));
}

std::optional<Base::Error> ProgramTable::Private::checkNewCall(const ProgramEntry &entry,
                                                               const SubmitCall &request) const
{
    if (entry.endReason) {
        return programEnded(Ran::NotRun);
    }
    if (isLeaving(request.program)) {
        return retryableError(Step::Route, Ran::NotRun, "the program moves to another daemon");
    }
    if (request.number.value() > entry.program.created().maxCalls) {
        return overBudget("the program has reached its maximum number of calls");
    }
    if (entry.program.historyBytes() >= limits_.maxHistory) {
        return tooLarge("the program's history has reached its size limit");
    }
    const Base::CallNumber next = entry.program.nextNumber();
    if (request.number == next && !entry.active) {
        return std::nullopt;
    }
    const bool isNear = request.number.value() <= next.value() + limits_.maxParkedCalls;
    if (!isNear || entry.parked.size() >= limits_.maxParkedCalls) {
        return numberConflict("the number is out of order, next is "
                              + std::to_string(next.value()));
    }
    const auto size = static_cast<std::int64_t>(request.input.size());
    if (parkedBytes_.value() + size > limits_.maxParkedBytes.value()) {
        return retryableError(Step::Order, Ran::NotRun, "too many calls wait for earlier numbers");
    }
    return std::nullopt;
}

void ProgramTable::Private::park(ProgramEntry &entry, PendingCall call)
{
    parkedBytes_ += Base::Bytes(static_cast<std::int64_t>(call.request.input.size()));
    const Base::CallNumber number = call.request.number;
    entry.parked.emplace(number, std::move(call));
}

PendingCall ProgramTable::Private::unpark(ProgramEntry &entry, Base::CallNumber number)
{
    PendingCall call = std::move(entry.parked.extract(number).mapped());
    parkedBytes_ -= Base::Bytes(static_cast<std::int64_t>(call.request.input.size()));
    return call;
}

void ProgramTable::Private::startNext(ProgramEntry &entry, Base::Instant now)
{
    const Base::CallNumber next = entry.program.nextNumber();
    if (!entry.active && !entry.endReason && entry.parked.contains(next)) {
        start(entry, unpark(entry, next), now);
    }
}

void ProgramTable::Private::expireParked(ProgramEntry &entry, Base::Instant now)
{
    std::vector<Base::CallNumber> expired;
    for (const auto &[number, call] : entry.parked) {
        // The next call waits only for the active one, which has its own timeout.
        const bool waitsForActive = entry.active && number == entry.active->number().next();
        if (!waitsForActive && call.arrivedAt + limits_.parkTimeout <= now) {
            expired.push_back(number);
        }
    }
    for (const Base::CallNumber number : expired) {
        PendingCall call = unpark(entry, number);
        refuseCallers(call,
                      numberConflict("an earlier call did not arrive in time, next is "
                                     + std::to_string(entry.program.nextNumber().value())));
    }
}

void ProgramTable::Private::refuseCallers(PendingCall &call, const Base::Error &error)
{
    for (const Caller &caller : std::exchange(call.callers, {})) {
        refuse(caller.request, error);
    }
}

} // namespace Programs
