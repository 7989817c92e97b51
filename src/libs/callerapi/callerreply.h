#pragma once

#include <base/error.h>
#include <base/types.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace CallerApi {

struct CreatedReply
{
    Base::ProgramId program;

    bool operator==(const CreatedReply &) const = default;
};

/// The next piece of a streamed response.
struct OutputReply
{
    std::string text;

    bool operator==(const OutputReply &) const = default;
};

/// One completed call in the caller interface.
struct TurnReply
{
    Base::CallNumber number;
    Base::ServiceId service;
    Base::ServerId server;
    std::string input;
    std::string output;
    /// Set if the call failed.
    std::optional<Base::Error> error;
    Base::Tokens promptTokens;
    Base::Tokens outputTokens;

    bool operator==(const TurnReply &) const = default;
};

/// The call's turn is durable.
struct DoneReply
{
    TurnReply turn;
    /// The result was recorded before this request arrived.
    bool isRepeat = false;

    bool operator==(const DoneReply &) const = default;
};

struct DescriptionReply
{
    Base::ProgramId program;
    /// "active", "ending" or "ended".
    std::string state;
    Base::Tokens budget;
    Base::Tokens spent;
    Base::Tokens budgetLeft;
    Base::CallNumber nextNumber;
    std::vector<Base::ProgramId> children;
    std::vector<TurnReply> turns;

    bool operator==(const DescriptionReply &) const = default;
};

struct EndedReply
{
    Base::ProgramId program;

    bool operator==(const EndedReply &) const = default;
};

/// The unchanged response of a plain service.
struct ServiceReply
{
    int status = 200;
    std::string contentType;
    std::string body;

    bool operator==(const ServiceReply &) const = default;
};

/// Any reply to a caller's request. Any number of OutputReply may precede the single final
/// reply.
using CallerReply = std::variant<CreatedReply,
                                 OutputReply,
                                 DoneReply,
                                 DescriptionReply,
                                 EndedReply,
                                 ServiceReply,
                                 Base::Error>;

/// Format of the response that the caller requested.
enum class AnswerStyle {
    Json,
    /// Server-sent events: "token", then "done" or "error".
    Events,
    /// OpenAI-compatible JSON.
    ChatJson,
    /// OpenAI-compatible server-sent events.
    ChatEvents
};

} // namespace CallerApi
