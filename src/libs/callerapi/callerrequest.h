#pragma once

#include <base/error.h>
#include <base/types.h>

#include <optional>
#include <string>
#include <variant>

/// The callers' HTTP interface: typed requests in, JSON answers and event streams out.
namespace CallerApi {

struct CreateProgramRequest
{
    Base::Tokens budget;
    std::uint32_t maxCalls = 0;
    std::optional<Base::Duration> deadline;
    std::optional<Base::ProgramId> parent;
};

struct SubmitCallRequest
{
    Base::ProgramId program;
    Base::CallNumber number;
    Base::ServiceId service;
    std::string input;
    bool isStream = false;
    std::optional<Base::Tokens> maxOutput;
    Base::BodyHash bodyHash;
};

struct DescribeProgramRequest
{
    Base::ProgramId program;
};

struct EndProgramRequest
{
    Base::ProgramId program;
};

/// OpenAI-compatible request, executed as a program of one call.
struct ChatCompletionRequest
{
    Base::ModelId model;
    std::string input;
    bool isStream = false;
    std::optional<Base::Tokens> maxOutput;
    Base::BodyHash bodyHash;
};

/// A request forwarded to a plain service.
struct PlainServiceRequest
{
    Base::ServiceId service;
    std::string method;
    /// Path below the service's route, with its query.
    std::string target;
    std::string contentType;
    std::string body;
};

using CallerRequest = std::variant<CreateProgramRequest,
                                   SubmitCallRequest,
                                   DescribeProgramRequest,
                                   EndProgramRequest,
                                   ChatCompletionRequest,
                                   PlainServiceRequest>;

/// Parts of an HTTP request that the parser uses.
struct HttpRequestView
{
    std::string_view method;
    std::string_view target;
    std::string_view contentType;
    std::string_view body;
};

/// Parses and validates a caller's request; errors are Malformed, UnknownProgram or TooLarge at
/// Step::Parse.
Base::Result<CallerRequest> parseCallerRequest(const HttpRequestView &request,
                                               Base::Bytes bodyLimit);

/// The plain service that a request's target names; nothing if it names none.
std::optional<Base::ServiceId> plainServiceOf(std::string_view target);

/// The key of an "Authorization: Bearer KEY" header; empty if there is none.
std::string bearerKey(std::string_view authorization);

} // namespace CallerApi
