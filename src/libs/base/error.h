#pragma once

#include "instant.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace Base {

/// Whether the work of a failed request was executed.
enum class Ran {
    NotRun,
    MayHaveRun,
    Ran
};

enum class ErrorCode {
    Malformed,
    Unauthorized,
    OverBudget,
    UnknownProgram,
    NumberConflict,
    TooLarge,
    OverRate,
    Unavailable,
    Timeout,
    BackendFailed,
    Cancelled,
    ProgramEnded,
    Internal
};

/// Processing step of a request in which an error occurred.
enum class Step {
    Parse,
    Authenticate,
    Admit,
    Route,
    Forward,
    Order,
    Reserve,
    Journal,
    Dispatch,
    Backend,
    Reply,
    Recover,
    Configure
};

/// An error with the step and the peer at which it occurred.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    Step step = Step::Parse;
    /// Daemon, backend server or "platform"; empty if the error is local.
    std::string peer;
    Ran ran = Ran::NotRun;
    std::string message;
    /// Delay after which the caller may retry; empty if a retry does not help.
    std::optional<Duration> retryAfter;

    bool operator==(const Error &) const = default;
};

template<typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/// Wire names, as in the callers' error object ("not_run", "over_rate", "dispatch").
std::string_view toString(Ran ran);
std::string_view toString(ErrorCode code);
std::string_view toString(Step step);

/// HTTP status that callers receive for an error.
int httpStatus(ErrorCode code);

} // namespace Base
