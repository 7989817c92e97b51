#include "refusals.h"

#include <utility>

namespace Programs {

using Base::Error;
using Base::ErrorCode;
using Base::Ran;
using Base::Step;

namespace {

Error localError(ErrorCode code, Step step, Ran ran, std::string message)
{
    return Error{code, step, {}, ran, std::move(message), std::nullopt};
}

Error serverError(
    ErrorCode code, Step step, const Base::ServerId &server, Ran ran, std::string message)
{
    return Error{code, step, server.text(), ran, std::move(message), std::nullopt};
}

} // namespace

Error unknownProgram(Ran ran)
{
    return localError(ErrorCode::UnknownProgram, Step::Order, ran, "unknown program");
}

Error programEnded(Ran ran)
{
    return localError(ErrorCode::ProgramEnded, Step::Order, ran, "the program has ended");
}

Error keyIsWithdrawn(Ran ran)
{
    return localError(ErrorCode::Unauthorized, Step::Authenticate, ran, "the key is not in force");
}

Error numberConflict(std::string message)
{
    return localError(ErrorCode::NumberConflict, Step::Order, Ran::NotRun, std::move(message));
}

Error malformed(std::string message)
{
    return localError(ErrorCode::Malformed, Step::Order, Ran::NotRun, std::move(message));
}

Error tooLarge(std::string message)
{
    return localError(ErrorCode::TooLarge, Step::Order, Ran::NotRun, std::move(message));
}

Error overBudget(std::string message)
{
    return localError(ErrorCode::OverBudget, Step::Reserve, Ran::NotRun, std::move(message));
}

Error unavailable(Step step, Ran ran, std::string message, Base::Duration retryAfter)
{
    Error error = localError(ErrorCode::Unavailable, step, ran, std::move(message));
    error.retryAfter = retryAfter;
    return error;
}

Error callTimedOut(const Base::ServerId &server)
{
    return serverError(
        ErrorCode::Timeout, Step::Backend, server, Ran::MayHaveRun, "no answer within the timeout");
}

Error callCancelled(const Base::ServerId &server)
{
    return serverError(ErrorCode::Cancelled,
                       Step::Dispatch,
                       server,
                       Ran::MayHaveRun,
                       "cancelled because no caller waits for the answer");
}

Error ownerLost(const Base::ServerId &server)
{
    return serverError(ErrorCode::BackendFailed,
                       Step::Recover,
                       server,
                       Ran::MayHaveRun,
                       "the daemon that ran the call was lost before the result was committed");
}

Error answerTooLarge(const Base::ServerId &server)
{
    return serverError(ErrorCode::TooLarge,
                       Step::Backend,
                       server,
                       Ran::Ran,
                       "the answer exceeds the size limit for recorded outputs");
}

Error answerContradictsStream(const Base::ServerId &server)
{
    return serverError(ErrorCode::BackendFailed,
                       Step::Backend,
                       server,
                       Ran::Ran,
                       "the answer does not begin with the output that was streamed");
}

} // namespace Programs
