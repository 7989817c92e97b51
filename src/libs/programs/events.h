#pragma once

#include <base/error.h>
#include <base/types.h>
#include <contracts/servicekind.h>

#include <optional>
#include <string>
#include <variant>

/// Requests and events that a ProgramTable handles.
namespace Programs {

/// Identifies one run of a call at a backend server, inside one daemon incarnation.
using DispatchId = Base::StrongNumber<struct DispatchIdTag, std::uint64_t>;

struct CreateProgram
{
    Base::RequestId request;
    /// Identifier of the new program, unique in the fleet and chosen by the accepting daemon.
    /// Unused if there is a parent: the table then names the child "<parent>.<number>".
    Base::ProgramId program;
    Base::TeamId team;
    Base::KeyId key;
    Base::Tokens budget;
    /// 0 for the default of the limits.
    std::uint32_t maxCalls = 0;
    std::optional<Base::Instant> deadline;
    std::optional<Base::ProgramId> parent;
};

struct SubmitCall
{
    Base::RequestId request;
    Base::ProgramId program;
    Base::TeamId team;
    Base::KeyId key;
    Base::CallNumber number;
    Base::BodyHash bodyHash;
    Base::ServiceId service;
    Contracts::ServiceKind kind = Contracts::ServiceKind::Model;
    bool isIdempotent = false;
    std::string input;
    /// Unset for the default of the limits.
    std::optional<Base::Tokens> maxOutputTokens;
    bool isStream = false;
};

struct DescribeProgram
{
    Base::RequestId request;
    Base::ProgramId program;
    Base::TeamId team;
};

struct EndProgram
{
    Base::RequestId request;
    Base::ProgramId program;
    Base::TeamId team;
};

/// The backend server completed the call with the whole output.
struct DispatchCompleted
{
    std::string output;
    Base::Tokens promptTokens;
    Base::Tokens outputTokens;
};

/// The run failed. The error's `ran` must be accurate: a run that may have reached a backend
/// server is never NotRun. Token counts are those reported by the engine, 0 if it reported none.
struct DispatchFailed
{
    Base::Error error;
    Base::Tokens promptTokens;
    Base::Tokens outputTokens;
};

using DispatchOutcome = std::variant<DispatchCompleted, DispatchFailed>;

} // namespace Programs
