#include "callerserver.h"

#include <base/visitor.h>
#include <callerapi/responseformat.h>

#include <sys/resource.h>

#include <algorithm>
#include <limits>

namespace Runtime {

namespace {

using Base::RequestId;
using CallerApi::AnswerStyle;

/// Descriptions of programs that are made at a time.
constexpr std::size_t maxDescriptions = 4;

/// Answers up to this size never lack memory.
constexpr std::size_t smallAnswerBytes = 16 * 1024;

/// The other half of the process's descriptors is for backend servers, peers and files.
std::size_t maxCallerDescriptors()
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return std::numeric_limits<std::size_t>::max();
    }
    return std::max<std::size_t>(1, limit.rlim_cur / 2);
}

Gateway::HttpServerSettings serverSettings(const DaemonSettings &settings)
{
    Gateway::HttpServerSettings result;
    result.address = settings.callers.address;
    result.port = settings.callers.port;
    result.maxBody = settings.maxBody;
    result.maxConnections = std::min(settings.maxConnections, maxCallerDescriptors());
    result.bodyMemory = settings.bodyMemory;
    result.backlogMemory = settings.backlogMemory;
    return result;
}

Gateway::HttpResponse toHttpResponse(CallerApi::FormattedResponse response)
{
    return {response.status,
            std::move(response.contentType),
            std::move(response.body),
            response.retryAfter};
}

Base::ErrorCode codeOf(int status)
{
    constexpr int timeoutStatus = 408;
    constexpr int tooLargeStatus = 413;
    constexpr int unavailableStatus = 503;
    switch (status) {
    case timeoutStatus:
        return Base::ErrorCode::Timeout;
    case tooLargeStatus:
        return Base::ErrorCode::TooLarge;
    case unavailableStatus:
        return Base::ErrorCode::Unavailable;
    default:
        return Base::ErrorCode::Malformed;
    }
}

/// What a caller is told about its work if the reply is not sent.
Base::Ran ranOf(const CallerApi::CallerReply &reply)
{
    return std::visit(
        Base::Visitor{[](const CallerApi::DescriptionReply &) { return Base::Ran::NotRun; },
                      [](const Base::Error &error) { return error.ran; },
                      [](const auto &) { return Base::Ran::Ran; }},
        reply);
}

Gateway::HttpResponse backlogFull(const CallerApi::CallerReply &reply)
{
    const Base::Error error{.code = Base::ErrorCode::Unavailable,
                            .step = Base::Step::Reply,
                            .ran = ranOf(reply),
                            .message = "too many responses have not been read by their callers",
                            .retryAfter = std::chrono::seconds(1)};
    return toHttpResponse(CallerApi::formatResponse(error, AnswerStyle::Json, {}));
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
              {[this](Gateway::IncomingRequest incoming) { request(std::move(incoming)); },
               [this](const Gateway::RequestHeadView &head) { return refuseHead(head); },
               [this](const Gateway::Rejection &rejection) { return reject(rejection); },
               [this](RequestId id) { callerGone(id); }})
    , descriptions_(maxDescriptions)
{}

std::optional<Gateway::HttpResponse> CallerServer::refuseHead(const Gateway::RequestHeadView &head)
{
    const std::optional<Base::Error> error = core_.query([&](const Scheduler::DaemonCore &core) {
        return core.earlyRefusal(CallerApi::bearerKey(head.authorization),
                                 CallerApi::plainServiceOf(head.target),
                                 core_.now());
    });
    return error ? std::optional(earlyResponse(*error, "head")) : std::nullopt;
}

Gateway::HttpResponse CallerServer::reject(const Gateway::Rejection &rejection)
{
    const Base::Error error{.code = codeOf(rejection.status),
                            .step = Base::Step::Parse,
                            .ran = Base::Ran::NotRun,
                            .message = rejection.problem,
                            .retryAfter = rejection.retryAfter};
    Gateway::HttpResponse response
        = earlyResponse(error, rejection.retryAfter ? "memory" : "malformed");
    response.status = rejection.status;
    return response;
}

Gateway::HttpResponse CallerServer::earlyResponse(const Base::Error &error,
                                                  const std::string &reason)
{
    metrics_
        .counter("marjoram_early_refusals_total",
                 "Requests that were refused before their bodies were kept",
                 {{"reason", reason}})
        .add();
    return toHttpResponse(CallerApi::formatResponse(error, AnswerStyle::Json, {}));
}

void CallerServer::updateMetrics()
{
    const Gateway::HttpServerUse use = server_.use();
    const auto set = [this](const char *name, const char *help, auto value) {
        metrics_.gauge(name, help).set(static_cast<double>(value));
    };
    set("marjoram_caller_connections", "Open connections of callers", use.connections);
    set("marjoram_caller_connections_displaced",
        "Connections closed or not served at the limit since the start",
        use.displacedConnections);
    set("marjoram_caller_connections_stalled",
        "Connections closed since the start as their callers did not read",
        use.stalledConnections);
    set("marjoram_body_bytes", "Bodies of requests in progress", use.bodyBytes.value());
    set("marjoram_body_peak_bytes", "The most at a time", use.peakBodyBytes.value());
    set("marjoram_backlog_bytes", "Responses that callers have not read", use.backlogBytes.value());
    set("marjoram_backlog_peak_bytes", "The most at a time", use.peakBacklogBytes.value());
    set("marjoram_responses_refused",
        "Responses replaced or cut off since the start for want of memory",
        use.refusedResponses);
}

void CallerServer::request(Gateway::IncomingRequest request)
{
    Base::Result<CallerApi::CallerRequest> parsed = CallerApi::parseCallerRequest(
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
    std::string().swap(request.body); // the parsed request has its own copy
    Scheduler::IncomingCall call{
        request.id, CallerApi::bearerKey(request.authorization), std::move(parsed.value())};
    if (!std::holds_alternative<CallerApi::DescribeProgramRequest>(call.body)) {
        pass(std::move(call));
        return;
    }
    std::optional<Scheduler::IncomingCall> next;
    {
        const std::lock_guard lock(mutex_);
        next = descriptions_.add(std::move(call));
    }
    pass(std::move(next));
}

void CallerServer::pass(std::optional<Scheduler::IncomingCall> call)
{
    if (call) {
        core_.with([&](Scheduler::DaemonCore &core, Base::Instant now) {
            core.call(std::move(*call), now);
        });
    }
}

void CallerServer::callerGone(RequestId id)
{
    std::optional<Scheduler::IncomingCall> next;
    {
        const std::lock_guard lock(mutex_);
        if (open_.erase(id) == 0) {
            return;
        }
        next = descriptions_.remove(id);
    }
    core_.with([&](Scheduler::DaemonCore &core, Base::Instant now) { core.callerGone(id, now); });
    pass(std::move(next));
}

void CallerServer::answer(const Scheduler::AnswerCaller &answer)
{
    if (!std::holds_alternative<CallerApi::DescriptionReply>(answer.reply)) {
        sendAnswer(answer);
        return;
    }
    // Formatting one takes as long as the program's history is, and the core's other actions would
    // wait for it here.
    server_.post([this, answer] { sendAnswer(answer); });
}

void CallerServer::sendAnswer(const Scheduler::AnswerCaller &answer)
{
    const bool isOutput = std::holds_alternative<CallerApi::OutputReply>(answer.reply);
    OpenRequest open;
    bool startsStream = false;
    std::optional<Scheduler::IncomingCall> next;
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
            next = descriptions_.remove(answer.request);
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
    pass(std::move(next));
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
        const bool isSmall = answer.body.size() <= smallAnswerBytes;
        server_.answer(id,
                       toHttpResponse(std::move(answer)),
                       isSmall ? std::nullopt : std::optional(backlogFull(reply)));
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
