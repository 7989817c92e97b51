#include "programtable_p.h"
#include "refusals.h"

#include <base/visitor.h>

#include <algorithm>

namespace Programs {

using Base::Ran;
using Base::Step;

// Execution of a call, from its start to the commit of its result.

void ProgramTable::Private::start(ProgramEntry &entry, PendingCall call, Base::Instant now)
{
    ActiveCall active;
    active.call = std::move(call);
    if (std::optional<Base::Error> error = reserve(entry, active)) {
        // An earlier run of the same call was cancelled or failed.
        if (entry.program.turn(active.number())) {
            error->ran = Ran::MayHaveRun;
        }
        refuseCallers(active.call, *error);
        return;
    }
    entry.active = std::move(active);
    // Refused calls do not count as activity: repeating them does not keep a program alive.
    entry.lastActivity = now;
    if (entry.active->isIdempotent()) {
        dispatch(entry, now);
        return;
    }
    appendIntent(entry, now);
}

/// Limits the output to the budget that remains after the prompt.
std::optional<Base::Error> ProgramTable::Private::reserve(const ProgramEntry &entry,
                                                          ActiveCall &active) const
{
    if (!active.isModel()) {
        return std::nullopt;
    }
    const SubmitCall &request = active.call.request;
    active.promptBound = entry.program.promptBound(request.input.size());
    const Base::Tokens left = entry.budgetLeft() - active.promptBound;
    active.outputLimit
        = std::min(request.maxOutputTokens.value_or(limits_.defaultOutputTokens), left);
    if (active.outputLimit.value() < 1) {
        return overBudget("the budget does not cover the prompt and one token of output");
    }
    return std::nullopt;
}

void ProgramTable::Private::appendIntent(ProgramEntry &entry, Base::Instant now)
{
    ActiveCall &active = *entry.active;
    const SubmitCall &request = active.call.request;
    Journal::CallIntent intent;
    intent.program = request.program;
    intent.number = request.number;
    intent.bodyHash = request.bodyHash;
    intent.service = request.service;
    intent.input = request.input;
    intent.reserved = active.reserved();
    intent.isIdempotent = false;
    intent.at = now;
    active.phase = CallPhase::CommittingIntent;
    active.due = now + limits_.commitTimeout;
    append(IntentAppend{request.program, intent}, {intent});
}

void ProgramTable::Private::intentCommitted(ProgramEntry &entry,
                                            const Journal::CallIntent &intent,
                                            Base::Instant now)
{
    entry.program.apply(intent);
    if (!entry.active->isDispatchCancelled) {
        dispatch(entry, now);
        return;
    }
    recordError(entry,
                unavailable(Step::Journal,
                            Ran::NotRun,
                            "the call was cancelled before the dispatch",
                            limits_.retryAfter),
                now);
}

void ProgramTable::Private::intentRefused(ProgramEntry &entry,
                                          const Base::Error &error,
                                          Base::Instant now)
{
    Base::Error refusal = error;
    refusal.ran = Ran::NotRun;
    dropCall(entry, refusal, now);
}

void ProgramTable::Private::dispatch(ProgramEntry &entry, Base::Instant now)
{
    ActiveCall &active = *entry.active;
    const SubmitCall &request = active.call.request;
    lastDispatch_ = lastDispatch_.next();
    active.phase = CallPhase::Running;
    active.dispatch = lastDispatch_;
    active.due = now + limits_.callTimeout;
    dispatches_.emplace(lastDispatch_, request.program);

    StartDispatch action;
    action.dispatch = lastDispatch_;
    action.program = request.program;
    action.number = request.number;
    action.team = request.team;
    action.key = keyOf(active.call);
    action.service = request.service;
    action.kind = request.kind;
    action.isIdempotent = request.isIdempotent;
    action.history = entry.program.history();
    action.input = request.input;
    action.outputLimit = active.outputLimit;
    action.attainedService = attainedService(entry);
    emit(std::move(action));
}

Base::KeyId ProgramTable::Private::keyOf(const PendingCall &call) const
{
    return call.callers.empty() ? call.request.key : call.callers.front().key;
}

/// Sub-agents count with their ancestors, so that splitting a program does not raise its priority.
Base::Tokens ProgramTable::Private::attainedService(const ProgramEntry &entry) const
{
    Base::Tokens sum;
    for (const ProgramEntry *level = &entry; level;) {
        sum += level->program.charged();
        const std::optional<Base::ProgramId> &parent = level->program.created().parent;
        level = parent ? find(*parent) : nullptr;
    }
    return sum;
}

void ProgramTable::Private::dispatchStarted(DispatchId dispatch, const Base::ServerId &server)
{
    const auto found = dispatches_.find(dispatch);
    if (found != dispatches_.end()) {
        find(found->second)->active->server = server;
    }
}

void ProgramTable::Private::outputReceived(DispatchId dispatch,
                                           const std::string &text,
                                           Base::Tokens tokens)
{
    const auto found = dispatches_.find(dispatch);
    if (found == dispatches_.end()) {
        return;
    }
    ActiveCall &active = *find(found->second)->active;
    active.streamedTokens += tokens;
    active.streamed += text;
    if (active.phase != CallPhase::Running) {
        return;
    }
    for (const Caller &caller : active.call.callers) {
        if (caller.isStream) {
            emit(ReplyOutput{caller.request, text});
        }
    }
}

void ProgramTable::Private::dispatchFinished(DispatchId dispatch,
                                             const DispatchOutcome &outcome,
                                             Base::Instant now)
{
    const auto found = dispatches_.find(dispatch);
    if (found == dispatches_.end()) {
        return;
    }
    ProgramEntry &entry = *find(found->second);
    dispatches_.erase(found);
    std::visit(Base::Visitor{
                   [&](const DispatchCompleted &completed) { completeCall(entry, completed, now); },
                   [&](const DispatchFailed &failure) { failCall(entry, failure, now); }},
               outcome);
    reschedule(entry);
}

void ProgramTable::Private::completeCall(ProgramEntry &entry,
                                         const DispatchCompleted &outcome,
                                         Base::Instant now)
{
    ActiveCall &active = *entry.active;
    Journal::CallResult result = resultOf(entry, now);
    result.promptTokens = outcome.promptTokens;
    result.outputTokens = outcome.outputTokens;
    result.charged
        = active.isModel() ? outcome.promptTokens + outcome.outputTokens : Base::Tokens(0);
    const bool isTooLarge
        = static_cast<std::int64_t>(outcome.output.size()) > limits_.maxOutput.value();
    if (isTooLarge || !outcome.output.starts_with(active.streamed)) {
        result.error
            = isTooLarge ? answerTooLarge(active.server) : answerContradictsStream(active.server);
        recordResult(entry, std::move(result), now);
        return;
    }
    result.output = outcome.output;
    const std::string rest = outcome.output.substr(active.streamed.size());
    // Callers that joined a cancelled call have not received any of its stream.
    const bool wasCancelling = active.phase == CallPhase::Cancelling;
    const std::string &unseen = wasCancelling ? outcome.output : rest;
    for (const Caller &caller : active.call.callers) {
        if (caller.isStream && !unseen.empty()) {
            emit(ReplyOutput{caller.request, unseen});
        }
    }
    recordResult(entry, std::move(result), now);
}

void ProgramTable::Private::failCall(ProgramEntry &entry,
                                     const DispatchFailed &outcome,
                                     Base::Instant now)
{
    ActiveCall &active = *entry.active;
    Base::Error error = outcome.error;
    const bool hasOutput = !active.streamed.empty() || active.streamedTokens.value() > 0
                           || outcome.outputTokens.value() > 0;
    if (hasOutput) {
        error.ran = std::max(error.ran, Ran::MayHaveRun);
    }
    // The waiting callers arrived after the cancellation, so the call has to run again.
    const bool isAwaited = active.phase == CallPhase::Cancelling && !active.call.callers.empty();
    if (error.ran == Ran::NotRun && active.isIdempotent()) {
        if (isAwaited && !entry.endReason) {
            PendingCall call = std::move(active.call);
            entry.active.reset();
            start(entry, std::move(call), now);
            return;
        }
        dropCall(entry, error, now);
        return;
    }
    if (active.phase == CallPhase::Cancelling) {
        error = callCancelled(active.server);
    }
    active.streamedTokens = std::max(active.streamedTokens, outcome.outputTokens);
    if (outcome.promptTokens.value() > 0) {
        active.promptBound = outcome.promptTokens;
    }
    recordError(entry, std::move(error), now);
}

void ProgramTable::Private::dropCall(ProgramEntry &entry,
                                     const Base::Error &error,
                                     Base::Instant now)
{
    refuseCallers(entry.active->call, error);
    entry.active.reset();
    callEnded(entry, now);
}

Journal::CallResult ProgramTable::Private::resultOf(const ProgramEntry &entry,
                                                    Base::Instant now) const
{
    const ActiveCall &active = *entry.active;
    const SubmitCall &request = active.call.request;
    Journal::CallResult result;
    result.program = request.program;
    result.number = request.number;
    result.bodyHash = request.bodyHash;
    result.service = request.service;
    result.server = active.server;
    result.input = request.input;
    result.at = now;
    // Replay distinguishes a second run of a call from an applied record by its later time.
    const std::shared_ptr<const Turn> earlier = entry.program.turn(request.number);
    if (earlier) {
        result.at = std::max(now, earlier->at() + Base::Duration(1));
    }
    return result;
}

void ProgramTable::Private::recordError(ProgramEntry &entry, Base::Error error, Base::Instant now)
{
    const ActiveCall &active = *entry.active;
    Journal::CallResult result = resultOf(entry, now);
    if (error.ran != Ran::NotRun && active.isModel()) {
        result.outputTokens = active.streamedTokens;
        // The engine has read the prompt. If its size was not reported, the upper bound is charged.
        result.charged = active.promptBound + active.streamedTokens;
    }
    result.error = std::move(error);
    recordResult(entry, std::move(result), now);
}

void ProgramTable::Private::recordResult(ProgramEntry &entry,
                                         Journal::CallResult result,
                                         Base::Instant now)
{
    ActiveCall &active = *entry.active;
    active.result = std::move(result);
    active.phase = CallPhase::CommittingResult;
    active.due = now + limits_.commitTimeout;
    appendResult(entry);
}

void ProgramTable::Private::appendResult(ProgramEntry &entry)
{
    const ActiveCall &active = *entry.active;
    std::vector<Journal::ProgramRecord> records;
    if (active.uncertainIntent) {
        records.emplace_back(*active.uncertainIntent);
    }
    records.emplace_back(*active.result);
    append(ResultAppend{active.call.request.program}, std::move(records));
}

void ProgramTable::Private::resultCommitted(ProgramEntry &entry, Base::Instant now)
{
    ActiveCall ended = std::move(*entry.active);
    entry.active.reset();
    if (ended.uncertainIntent) {
        entry.program.apply(*ended.uncertainIntent);
    }
    historyBytes_ -= entry.program.historyBytes();
    entry.program.apply(*ended.result);
    historyBytes_ += entry.program.historyBytes();
    const bool wasCancelled
        = ended.result->error && ended.result->error->code == Base::ErrorCode::Cancelled;
    const bool isRerun
        = wasCancelled && ended.isIdempotent() && !entry.endReason && !ended.call.callers.empty();
    if (isRerun) {
        ended.call.arrivedAt = now;
        start(entry, std::move(ended.call), now);
        if (!entry.active) {
            callEnded(entry, now);
        }
        return;
    }
    answerCallers(entry, ended);
    callEnded(entry, now);
}

void ProgramTable::Private::answerCallers(const ProgramEntry &entry, const ActiveCall &ended)
{
    for (const Caller &caller : ended.call.callers) {
        if (ended.result->error) {
            refuse(caller.request, *ended.result->error);
            continue;
        }
        waiting_.erase(caller.request);
        emit(ReplyDone{caller.request, entry.program.turn(ended.number()), false});
    }
}

void ProgramTable::Private::callEnded(ProgramEntry &entry, Base::Instant now)
{
    entry.lastActivity = now;
    if (entry.endReason) {
        tryEnd(entry, now);
        return;
    }
    if (entry.program.nextNumber().value() > entry.program.created().maxCalls) {
        emit(ReleaseEngineMemory{entry.program.id()});
    }
    startNext(entry, now);
}

} // namespace Programs
