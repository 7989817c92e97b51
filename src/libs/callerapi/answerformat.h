#pragma once

#include "callerreply.h"

namespace CallerApi {

/// A whole HTTP answer.
struct FormattedAnswer
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::optional<Base::Duration> retryAfter;
};

/// A server-sent event; the name may be empty.
struct FormattedEvent
{
    std::string name;
    std::string data;
};

/// Names the request in chat-shaped answers.
struct AnswerContext
{
    Base::RequestId request;
    Base::ModelId model;
};

/// The answer to a request that is not streamed; the reply must be a final one.
FormattedAnswer formatAnswer(const CallerReply &reply,
                             AnswerStyle style,
                             const AnswerContext &context);

/// The events of one reply on a stream.
std::vector<FormattedEvent> formatEvents(const CallerReply &reply,
                                         AnswerStyle style,
                                         const AnswerContext &context);

/// {"error": {"code", "message", "step", "peer", "ran"}}
std::string formatError(const Base::Error &error);

} // namespace CallerApi
