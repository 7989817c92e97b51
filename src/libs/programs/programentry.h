#pragma once

#include "events.h"
#include "program.h"

#include <map>

namespace Programs {

/// A request that waits for the result of a call.
struct Caller
{
    Base::RequestId request;
    Base::KeyId key;
    bool isStream = false;
};

/// A call that was accepted and has not ended.
struct PendingCall
{
    SubmitCall request;
    std::vector<Caller> callers;
    Base::Instant arrivedAt;
};

enum class CallPhase {
    /// The intent of a non-idempotent call is being committed.
    CommittingIntent,
    /// The call runs on a backend server or waits in a dispatch queue.
    Running,
    /// The call was cancelled; its consumed tokens may still be reported.
    Cancelling,
    /// The result is being committed.
    CommittingResult
};

/// The call of a program that is in progress.
struct ActiveCall
{
    PendingCall call;
    CallPhase phase = CallPhase::CommittingIntent;
    /// The call is not dispatched after the commit of its intent, as its callers got an error.
    bool isDispatchCancelled = false;
    DispatchId dispatch;
    Base::ServerId server;
    Base::Tokens promptBound;
    Base::Tokens outputLimit;
    std::string streamed;
    Base::Tokens streamedTokens;
    /// Set while the result is being committed.
    std::optional<Journal::CallResult> result;
    /// Uncertain intent that was found during recovery and is committed with the result.
    std::optional<Journal::CallIntent> uncertainIntent;
    /// Time when the phase times out, if it does.
    std::optional<Base::Instant> due;
    /// Time when a refused append of the result is repeated.
    std::optional<Base::Instant> appendRetryAt;

    bool isIdempotent() const { return call.request.isIdempotent; }
    bool isModel() const { return call.request.kind == Contracts::ServiceKind::Model; }
    Base::CallNumber number() const { return call.request.number; }
    Base::Tokens reserved() const { return promptBound + outputLimit; }
};

/// A program with its pending calls and requests.
struct ProgramEntry
{
    explicit ProgramEntry(Program state)
        : program(std::move(state))
    {}

    Program program;
    std::optional<ActiveCall> active;
    /// Calls that arrived before earlier numbers.
    std::map<Base::CallNumber, PendingCall> parked;
    /// Set once the program is ending.
    std::optional<Journal::EndReason> endReason;
    /// Requests that wait for the end of the program.
    std::vector<Base::RequestId> endRequests;
    bool isEndAppended = false;
    /// Time when a refused append of the end is repeated.
    std::optional<Base::Instant> endAppendRetryAt;
    /// Budgets and number of the children whose creation is not committed yet.
    Base::Tokens reservedByNewChildren;
    std::uint32_t newChildren = 0;
    std::uint32_t lastChild = 0;
    /// Time when a call last started, ended or was answered from the history.
    Base::Instant lastActivity;
    /// Key in the table's timer queue.
    std::optional<Base::Instant> timer;

    /// Budget that is neither spent nor reserved.
    Base::Tokens budgetLeft() const;
};

/// Summary of an ended program, kept for late requests.
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
