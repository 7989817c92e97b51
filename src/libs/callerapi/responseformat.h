#pragma once

#include "callerreply.h"

namespace CallerApi {

/// A complete HTTP response.
struct FormattedResponse
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

/// Identifies the request in OpenAI-compatible responses.
struct ResponseContext
{
    Base::RequestId request;
    Base::ModelId model;
};

/// The response to a request that is not streamed; the reply must be final.
FormattedResponse formatResponse(const CallerReply &reply,
                                 AnswerStyle style,
                                 const ResponseContext &context);

/// The events of one reply in a streamed response.
std::vector<FormattedEvent> formatEvents(const CallerReply &reply,
                                         AnswerStyle style,
                                         const ResponseContext &context);

/// {"error": {"code", "message", "step", "peer", "ran"}}
std::string formatError(const Base::Error &error);

} // namespace CallerApi
