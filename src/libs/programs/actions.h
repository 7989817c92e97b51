#pragma once

#include "events.h"
#include "turn.h"

#include <journal/record.h>

#include <memory>
#include <variant>
#include <vector>

/// Actions that a ProgramTable requests from the daemon.
namespace Programs {

/// Appends the records together; completed by committed() or appendRefused().
struct AppendRecords
{
    Journal::Ticket ticket;
    std::vector<Journal::Record> records;
};

/// Runs a call once. The history holds the turns before it.
struct StartDispatch
{
    DispatchId dispatch;
    Base::ProgramId program;
    Base::CallNumber number;
    Base::TeamId team;
    Base::KeyId key;
    Base::ServiceId service;
    Contracts::ServiceKind kind = Contracts::ServiceKind::Model;
    bool isIdempotent = false;
    std::shared_ptr<const History> history;
    std::string input;
    /// Maximum number of tokens that the engine may generate; 0 for plain services.
    Base::Tokens outputLimit;
    /// Tokens that the program and its ancestors have consumed so far.
    Base::Tokens attainedService;
};

/// Stops a queued or running call; dispatchFinished() is still expected for it.
struct CancelDispatch
{
    DispatchId dispatch;
};

struct ReplyCreated
{
    Base::RequestId request;
    Base::ProgramId program;
};

/// The call was accepted and waits or runs.
struct ReplyAccepted
{
    Base::RequestId request;
};

/// The next part of a streamed answer.
struct ReplyOutput
{
    Base::RequestId request;
    std::string text;
};

/// The call's turn is durable; the turn holds the whole answer.
struct ReplyDone
{
    Base::RequestId request;
    std::shared_ptr<const Turn> turn;
    /// The answer was recorded before this request arrived.
    bool isRepeat = false;
};

struct ReplyError
{
    Base::RequestId request;
    Base::Error error;
};

enum class ProgramState {
    Active,
    Ending,
    Ended
};

struct ReplyDescription
{
    Base::RequestId request;
    Base::ProgramId program;
    ProgramState state = ProgramState::Active;
    /// Set once the program is ending.
    std::optional<Journal::EndReason> endReason;
    Base::Tokens budget;
    Base::Tokens spent;
    /// Tokens that are neither spent nor reserved by a running call or a child.
    Base::Tokens budgetLeft;
    Base::CallNumber nextNumber;
    std::vector<Base::ProgramId> children;
    /// Empty for an ended program.
    std::shared_ptr<const History> history;
};

struct ReplyEnded
{
    Base::RequestId request;
    Base::ProgramId program;
};

/// The program makes no further calls; engines may drop what they cached for it.
struct ReleaseEngineMemory
{
    Base::ProgramId program;
};

using ProgramAction = std::variant<AppendRecords,
                                   StartDispatch,
                                   CancelDispatch,
                                   ReplyCreated,
                                   ReplyAccepted,
                                   ReplyOutput,
                                   ReplyDone,
                                   ReplyError,
                                   ReplyDescription,
                                   ReplyEnded,
                                   ReleaseEngineMemory>;

} // namespace Programs
