#include "outcomeerror.h"

namespace Backends {

namespace {

Base::ErrorCode codeOf(HttpEnd end)
{
    switch (end) {
    case HttpEnd::NotSent:
        return Base::ErrorCode::Unavailable;
    case HttpEnd::TimedOut:
        return Base::ErrorCode::Timeout;
    case HttpEnd::Cancelled:
        return Base::ErrorCode::Cancelled;
    case HttpEnd::Complete:
    case HttpEnd::Broken:
        break;
    }
    return Base::ErrorCode::BackendFailed;
}

} // namespace

Base::Error toError(const HttpOutcome &outcome, const Base::ServerId &server)
{
    Base::Error error;
    error.code = codeOf(outcome.end);
    error.step = Base::Step::Backend;
    error.peer = server.text();
    error.ran = outcome.ran;
    error.message = outcome.message;
    return error;
}

} // namespace Backends
