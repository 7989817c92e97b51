#pragma once

#include "events.h"
#include "program.h"

#include <map>

namespace Programs {

/// A request that waits for the answer of a call.
struct Caller
{
    Base::RequestId request;
    Base::KeyId key;
    bool isStream = false;
};

/// A call that was taken and has not started, or one that is under way.
struct PendingCall
{
    SubmitCall request;
    std::vector<Caller> callers;
    Base::Instant arrivedAt;
};

enum class CallPhase {
    /// The intent of a non-idempotent call is being committed.
    Intending,
    /// A backend server has the call, or it waits in a dispatch queue.
    Running,
    /// The call was cancelled and may still report what it consumed.
    Cancelling,
    /// The result is being committed.
    Recording
};

/// The one call of a program that is under way.
struct ActiveCall
{
    PendingCall call;
    CallPhase phase = CallPhase::Intending;
    /// Not to be dispatched once its intent is committed: its callers were told so.
    bool isAbandoned = false;
    DispatchId dispatch;
    Base::ServerId server;
    Base::Tokens promptBound;
    Base::Tokens outputLimit;
    std::string streamed;
    Base::Tokens streamedTokens;
    /// Set while recording. The intent is an uncertain one that recovery found.
    std::optional<Journal::CallResult> result;
    std::optional<Journal::CallIntent> foundIntent;
    /// End of the phase, if it is bounded.
    std::optional<Base::Instant> due;
    /// When to repeat a refused append of the result.
    std::optional<Base::Instant> appendAt;

    bool isIdempotent() const { return call.request.isIdempotent; }
    bool isModel() const { return call.request.kind == Contracts::ServiceKind::Model; }
    Base::CallNumber number() const { return call.request.number; }
    Base::Tokens reserved() const { return promptBound + outputLimit; }
};

/// A program and what is under way for it.
struct ProgramEntry
{
    explicit ProgramEntry(Program state)
        : program(std::move(state))
    {}

    Program program;
    std::optional<ActiveCall> active;
    /// Calls that arrived before their turn.
    std::map<Base::CallNumber, PendingCall> parked;
    /// Set once the program is ending.
    std::optional<Journal::EndReason> endReason;
    std::vector<Base::RequestId> enders;
    bool isEndAppended = false;
    std::optional<Base::Instant> endAppendAt;
    /// Children whose creation is not committed yet.
    Base::Tokens reservedByNewChildren;
    std::uint32_t newChildren = 0;
    std::uint32_t lastChild = 0;
    /// When a call last started, ended or was answered from the history.
    Base::Instant lastActivity;
    /// Key in the table's timer queue.
    std::optional<Base::Instant> timer;

    /// Budget that nothing has spent or reserved.
    Base::Tokens budgetLeft() const;
};

/// An ended program, remembered for late requests.
struct EndedProgram
{
    Base::TeamId team;
    Journal::EndReason reason = Journal::EndReason::ByCaller;
    Base::Tokens budget;
    Base::Tokens spent;
    Base::CallNumber nextNumber;
    Base::Instant endedAt;
};

} // namespace Programs
