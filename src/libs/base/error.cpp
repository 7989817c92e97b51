#include "error.h"

namespace Base {

std::string_view toString(Ran ran)
{
    switch (ran) {
    case Ran::NotRun:
        return "not_run";
    case Ran::MayHaveRun:
        return "may_have_run";
    case Ran::Ran:
        return "ran";
    }
    return "may_have_run";
}

std::string_view toString(ErrorCode code)
{
    switch (code) {
    case ErrorCode::Malformed:
        return "malformed";
    case ErrorCode::Unauthorized:
        return "unauthorized";
    case ErrorCode::OverBudget:
        return "over_budget";
    case ErrorCode::UnknownProgram:
        return "unknown_program";
    case ErrorCode::NumberConflict:
        return "number_conflict";
    case ErrorCode::TooLarge:
        return "too_large";
    case ErrorCode::OverRate:
        return "over_rate";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Timeout:
        return "timeout";
    case ErrorCode::BackendFailed:
        return "backend_failed";
    case ErrorCode::Cancelled:
        return "cancelled";
    case ErrorCode::ProgramEnded:
        return "program_ended";
    case ErrorCode::Internal:
        break;
    }
    return "internal";
}

std::string_view toString(Step step)
{
    switch (step) {
    case Step::Parse:
        return "parse";
    case Step::Authenticate:
        return "authenticate";
    case Step::Admit:
        return "admit";
    case Step::Route:
        return "route";
    case Step::Forward:
        return "forward";
    case Step::Order:
        return "order";
    case Step::Reserve:
        return "reserve";
    case Step::Journal:
        return "journal";
    case Step::Dispatch:
        return "dispatch";
    case Step::Backend:
        return "backend";
    case Step::Reply:
        return "reply";
    case Step::Recover:
        return "recover";
    case Step::Configure:
        return "configure";
    }
    return "parse";
}

int httpStatus(ErrorCode code)
{
    switch (code) {
    case ErrorCode::Malformed:
        return 400;
    case ErrorCode::Unauthorized:
        return 401;
    case ErrorCode::OverBudget:
        return 402;
    case ErrorCode::UnknownProgram:
        return 404;
    case ErrorCode::NumberConflict:
    case ErrorCode::ProgramEnded:
        return 409;
    case ErrorCode::TooLarge:
        return 413;
    case ErrorCode::OverRate:
        return 429;
    case ErrorCode::BackendFailed:
        return 502;
    case ErrorCode::Timeout:
        return 504;
    case ErrorCode::Unavailable:
    case ErrorCode::Cancelled:
        return 503;
    case ErrorCode::Internal:
        break;
    }
    return 500;
}

} // namespace Base
