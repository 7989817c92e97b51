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

/// The next piece of a streamed answer.
struct OutputReply
{
    std::string text;

    bool operator==(const OutputReply &) const = default;
};

/// One ended call as callers see it.
struct TurnReply
{
    Base::CallNumber number;
    Base::ServiceId service;
    Base::ServerId server;
    std::string input;
    std::string output;
    /// Set if the call ended in an error.
    std::optional<Base::Error> error;
    Base::Tokens promptTokens;
    Base::Tokens outputTokens;

    bool operator==(const TurnReply &) const = default;
};

/// The call's turn is durable.
struct DoneReply
{
    TurnReply turn;
    /// The answer was recorded before this request came.
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

/// A plain service's answer, passed through.
struct ServiceReply
{
    int status = 200;
    std::string contentType;
    std::string body;

    bool operator==(const ServiceReply &) const = default;
};

/// Every answer to a caller's request. OutputReply may come any number of times before the one
/// final answer.
using CallerReply = std::variant<CreatedReply,
                                 OutputReply,
                                 DoneReply,
                                 DescriptionReply,
                                 EndedReply,
                                 ServiceReply,
                                 Base::Error>;

/// The form in which a caller wants the answer.
enum class AnswerStyle {
    Json,
    /// Server-sent events: "token", then "done" or "error".
    Events,
    /// OpenAI-shaped JSON.
    ChatJson,
    /// OpenAI-shaped server-sent events.
    ChatEvents
};

} // namespace CallerApi
