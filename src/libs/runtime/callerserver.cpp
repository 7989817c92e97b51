#include "callerserver.h"

#include <callerapi/responseformat.h>

namespace Runtime {

namespace {

using Base::RequestId;
using CallerApi::AnswerStyle;

Gateway::HttpServerSettings serverSettings(const DaemonSettings &settings)
{
    Gateway::HttpServerSettings result;
    result.address = settings.callers.address;
    result.port = settings.callers.port;
    // Bodies up to twice the limit are read, so that parseCallerRequest() can refuse them with a
    // specific error.
    result.maxBody = Base::Bytes(settings.maxBody.value() * 2);
    return result;
}

bool isStreamStyle(AnswerStyle style)
{
    return style == AnswerStyle::Events || style == AnswerStyle::ChatEvents;
}

Base::ModelId modelOf(const CallerApi::CallerRequest &request)
{
    const auto *chat = std::get_if<CallerApi::ChatCompletionRequest>(&request);
    return chat ? chat->model : Base::ModelId();
}

} // namespace

CallerServer::CallerServer(asio::io_context &context,
                           const DaemonSettings &settings,
                           SynchronizedCore &core,
                           Telemetry::Metrics &metrics)
    : maxBody_(settings.maxBody)
    , core_(core)
    , metrics_(metrics)
    , server_(context,
              serverSettings(settings),
              {[this](const Gateway::IncomingRequest &incoming) { request(incoming); },
               [this](RequestId id) { callerGone(id); }})
{}

void CallerServer::request(const Gateway::IncomingRequest &request)
{
    const Base::Result<CallerApi::CallerRequest> parsed = CallerApi::parseCallerRequest(
        {request.method, request.target, request.contentType, request.body}, maxBody_);
    if (!parsed) {
        send(request.id, {}, parsed.error());
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        open_[request.id]
            = OpenRequest{modelOf(parsed.value()), AnswerStyle::Json, false, core_.now()};
    }
    Scheduler::IncomingCall call{
        request.id, CallerApi::bearerKey(request.authorization), parsed.value()};
    core_.with(
        [&](Scheduler::DaemonCore &core, Base::Instant now) { core.call(std::move(call), now); });
}

void CallerServer::callerGone(RequestId id)
{
    {
        const std::lock_guard lock(mutex_);
        if (open_.erase(id) == 0) {
            return;
        }
    }
    core_.with([&](Scheduler::DaemonCore &core, Base::Instant now) { core.callerGone(id, now); });
}

void CallerServer::answer(const Scheduler::AnswerCaller &answer)
{
    const bool isOutput = std::holds_alternative<CallerApi::OutputReply>(answer.reply);
    OpenRequest open;
    bool startsStream = false;
    {
        const std::lock_guard lock(mutex_);
        const auto entry = open_.find(answer.request);
        if (entry == open_.end()) {
            return;
        }
        const bool isDone = std::holds_alternative<CallerApi::DoneReply>(answer.reply);
        entry->second.style = answer.style;
        startsStream
            = isStreamStyle(answer.style) && !entry->second.isStreaming && (isOutput || isDone);
        entry->second.isStreaming = entry->second.isStreaming || startsStream;
        open = entry->second;
        if (!isOutput) {
            open_.erase(entry);
        }
    }
    if (startsStream) {
        server_.startStream(answer.request);
        metrics_.distribution("marjoram_first_token_seconds", "Time to the first token of a stream")
            .add(Base::toSeconds(core_.now() - open.receivedAt));
    }
    send(answer.request, open, answer.reply);
    if (!isOutput) {
        metrics_.distribution("marjoram_request_seconds", "Time to the whole answer")
            .add(Base::toSeconds(core_.now() - open.receivedAt));
    }
}

void CallerServer::send(RequestId id, const OpenRequest &open, const CallerApi::CallerReply &reply)
{
    const CallerApi::ResponseContext context{id, open.model};
    if (!open.isStreaming) {
        CallerApi::FormattedResponse answer = CallerApi::formatResponse(reply, open.style, context);
        metrics_
            .counter("marjoram_requests_total",
                     "Answered requests",
                     {{"status", std::to_string(answer.status)}})
            .add();
        server_.answer(id,
                       {answer.status,
                        std::move(answer.contentType),
                        std::move(answer.body),
                        answer.retryAfter});
        return;
    }
    for (const CallerApi::FormattedEvent &event :
         CallerApi::formatEvents(reply, open.style, context)) {
        server_.sendEvent(id, event.name, event.data);
    }
    if (!std::holds_alternative<CallerApi::OutputReply>(reply)) {
        metrics_.counter("marjoram_streams_total", "Ended streams").add();
        server_.endStream(id);
    }
}

void CallerServer::answerAll(const Base::Error &error)
{
    std::unordered_map<RequestId, OpenRequest> open;
    {
        const std::lock_guard lock(mutex_);
        open.swap(open_);
    }
    for (const auto &[id, entry] : open) {
        send(id, entry, error);
    }
}

} // namespace Runtime
