#include "engineclient.h"

#include "modelreply.h"
#include "outcomeerror.h"

#include <nlohmann/json.hpp>

namespace Backends {

namespace {

using Json = nlohmann::json;

constexpr Timeout orderTimeout{2000};
constexpr Timeout connectTimeout{500};

/// A report names the programs whose prompts the engine keeps.
constexpr std::size_t maxReportBytes = 4 * 1024 * 1024;

std::string chatBody(const ModelCall &call)
{
    Json messages = Json::array();
    for (const ChatMessage &message : call.messages) {
        messages.push_back({{"role", message.role}, {"content", message.content}});
    }
    Json body{{"model", call.model.text()},
              {"messages", std::move(messages)},
              {"max_tokens", call.maxOutputTokens.value()},
              {"stream", call.stream}};
    if (call.stream) {
        body["stream_options"] = {{"include_usage", true}};
    }
    return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

HttpRequest chatRequest(const ModelCall &call)
{
    HttpRequest request;
    request.method = "POST";
    request.url = call.engine.baseUrl + "/v1/chat/completions";
    request.headers
        = {{"Content-Type", "application/json"}, {"X-Marjoram-Program", call.program.text()}};
    request.body = chatBody(call);
    request.connectTimeout = call.timeouts.connect;
    request.totalTimeout = call.timeouts.total;
    request.idleTimeout = call.timeouts.idle;
    return request;
}

HttpRequest releaseRequest(const ReleaseOrder &order)
{
    HttpRequest request;
    request.method = "POST";
    request.url = order.engine.baseUrl + "/orders/release";
    request.headers = {{"Content-Type", "application/json"},
                       {"X-Fencing-Epoch", std::to_string(order.epoch.value())}};
    request.body = Json{{"program", order.program.text()}}.dump();
    // Releasing a program is idempotent.
    request.mayRepeat = true;
    request.connectTimeout = connectTimeout;
    request.totalTimeout = orderTimeout;
    return request;
}

OrderOutcome toOrderOutcome(const HttpOutcome &outcome)
{
    if (outcome.end != HttpEnd::Complete) {
        return OrderOutcome::Unanswered;
    }
    switch (outcome.status) {
    case 200:
    case 204:
        return OrderOutcome::Confirmed;
    case 409:
        return OrderOutcome::Fenced;
    default:
        return OrderOutcome::Unanswered;
    }
}

Base::Error loadReportError(const EngineAddress &engine, const HttpOutcome &outcome)
{
    Base::Error error = toError(outcome, engine.server);
    if (outcome.end == HttpEnd::Complete) {
        error.message = "no valid load report, HTTP status " + std::to_string(outcome.status);
    }
    return error;
}

std::optional<LoadReport> parseReport(const std::string &body)
{
    try {
        const Json json = Json::parse(body);
        LoadReport report;
        report.running = json.at("running").get<int>();
        report.queued = json.at("queued").get<int>();
        const auto ageMs
            = json.at("now_ms").get<std::int64_t>() - json.at("as_of_ms").get<std::int64_t>();
        report.age = std::chrono::milliseconds(ageMs);
        for (const Json &program : json.value("cached_programs", Json::array())) {
            report.cachedPrograms.emplace_back(program.get<std::string>());
        }
        return report;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace

EngineClient::EngineClient(HttpClient &http)
    : http_(http)
{}

HttpRequestId EngineClient::call(const ModelCall &call, ModelHandler handler)
{
    const auto reply
        = std::make_shared<ModelReply>(call.engine.server, call.stream, std::move(handler));
    HttpHandlers handlers;
    handlers.onHeaders = [reply](const HttpReplyHead &head) { reply->handleHead(head); };
    handlers.onData = [reply](std::string_view data) { return reply->handleData(data); };
    handlers.onDone = [reply](const HttpOutcome &outcome) { reply->handleEnd(outcome); };
    return http_.start(chatRequest(call), std::move(handlers));
}

void EngineClient::release(const ReleaseOrder &order, std::function<void(OrderOutcome)> handler)
{
    HttpHandlers handlers;
    handlers.onDone = [handler = std::move(handler)](const HttpOutcome &outcome) {
        handler(toOrderOutcome(outcome));
    };
    http_.start(releaseRequest(order), std::move(handlers));
}

void EngineClient::loadReport(const EngineAddress &engine,
                              std::function<void(Base::Result<LoadReport>)> handler)
{
    HttpRequest request;
    request.url = engine.baseUrl + "/load";
    request.mayRepeat = true;
    request.connectTimeout = connectTimeout;
    request.totalTimeout = orderTimeout;
    request.maxResponseBytes = maxReportBytes;
    const auto body = std::make_shared<std::string>();
    HttpHandlers handlers;
    handlers.onData = [body](std::string_view data) {
        body->append(data);
        return FlowControl::Continue;
    };
    handlers.onDone = [body, engine, handler = std::move(handler)](const HttpOutcome &outcome) {
        const auto report = parseReport(*body);
        if (outcome.end == HttpEnd::Complete && outcome.status == 200 && report) {
            handler(*report);
        } else {
            handler(loadReportError(engine, outcome));
        }
    };
    http_.start(std::move(request), std::move(handlers));
}

} // namespace Backends
