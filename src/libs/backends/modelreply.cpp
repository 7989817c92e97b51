#include "modelreply.h"

#include "outcomeerror.h"

#include <nlohmann/json.hpp>

namespace Backends {

namespace {

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr std::size_t maxEventBytes = 1024 * 1024;
constexpr std::size_t maxBodyBytes = 16 * 1024 * 1024;
constexpr std::size_t maxQuotedBytes = 200;
constexpr std::string_view streamTerminator = "[DONE]";

const Json *member(const Json &object, const char *name)
{
    if (!object.is_object()) {
        return nullptr;
    }
    const auto found = object.find(name);
    return found == object.end() ? nullptr : &*found;
}

const Json *firstChoice(const Json &chunk)
{
    const Json *choices = member(chunk, "choices");
    return choices && choices->is_array() && !choices->empty() ? &choices->front() : nullptr;
}

std::string textOf(const Json *object, const char *name)
{
    const Json *value = object ? member(*object, name) : nullptr;
    return value && value->is_string() ? value->get<std::string>() : std::string();
}

Base::Tokens tokensOf(const Json &usage, const char *name)
{
    const Json *value = member(usage, name);
    return Base::Tokens(value && value->is_number_integer() ? value->get<std::int64_t>() : 0);
}

} // namespace

ModelReply::ModelReply(Base::ServerId server, bool isStream, ModelHandler handler)
    : server_(std::move(server))
    , isStream_(isStream)
    , handler_(std::move(handler))
{}

void ModelReply::handleHead(const HttpReplyHead &head)
{
    status_ = head.status;
}

FlowControl ModelReply::handleData(std::string_view data)
{
    if (isFinished_) {
        return FlowControl::Continue;
    }
    if (isStream_ && status_ == statusOk) {
        return handleStream(data);
    }
    if (body_.size() + data.size() > maxBodyBytes) {
        return fail("the response exceeds the limit of " + std::to_string(maxBodyBytes) + " bytes");
    }
    body_.append(data);
    return FlowControl::Continue;
}

FlowControl ModelReply::handleStream(std::string_view data)
{
    FlowControl flow = FlowControl::Continue;
    reader_.feed(data);
    while (const auto event = reader_.next()) {
        const FlowControl requested = handleEvent(*event);
        if (requested == FlowControl::Stop) {
            return requested;
        }
        if (requested == FlowControl::Pause) {
            flow = requested;
        }
    }
    if (reader_.pendingBytes() > maxEventBytes) {
        return fail("an event exceeds the limit of " + std::to_string(maxEventBytes) + " bytes");
    }
    return flow;
}

FlowControl ModelReply::handleEvent(const std::string &data)
{
    if (isFinished_) {
        return FlowControl::Continue;
    }
    if (data == streamTerminator) {
        emitDone();
        return FlowControl::Continue;
    }
    return handleChunk(data);
}

FlowControl ModelReply::handleChunk(const std::string &data)
{
    const Json chunk = Json::parse(data, nullptr, false);
    if (const Json *error = member(chunk, "error")) {
        return fail("the engine reports an error: " + error->dump().substr(0, maxQuotedBytes));
    }
    const Json *choices = member(chunk, "choices");
    if (!choices || !choices->is_array()) {
        return fail("an event is not a completion chunk: " + data.substr(0, maxQuotedBytes));
    }
    if (const Json *usage = member(chunk, "usage"); usage && usage->is_object()) {
        hasUsage_ = true;
        done_.promptTokens = tokensOf(*usage, "prompt_tokens");
        done_.outputTokens = tokensOf(*usage, "completion_tokens");
    }
    const Json *choice = firstChoice(chunk);
    if (!choice) {
        return FlowControl::Continue;
    }
    if (const std::string reason = textOf(choice, "finish_reason"); !reason.empty()) {
        done_.finishReason = reason;
    }
    std::string text = textOf(member(*choice, "delta"), "content");
    return text.empty() ? FlowControl::Continue : emitPiece(std::move(text));
}

void ModelReply::handleWholeResponse()
{
    const Json answer = Json::parse(body_, nullptr, false);
    const Json *choice = firstChoice(answer);
    const Json *message = choice ? member(*choice, "message") : nullptr;
    const Json *content = message ? member(*message, "content") : nullptr;
    if (!content || !content->is_string()) {
        fail("the response is not a chat completion: " + body_.substr(0, maxQuotedBytes));
        return;
    }
    if (const Json *usage = member(answer, "usage"); usage && usage->is_object()) {
        hasUsage_ = true;
        done_.promptTokens = tokensOf(*usage, "prompt_tokens");
        done_.outputTokens = tokensOf(*usage, "completion_tokens");
    }
    done_.finishReason = textOf(choice, "finish_reason");
    emitPiece(content->get<std::string>());
    emitDone();
}

void ModelReply::handleEnd(const HttpOutcome &outcome)
{
    if (isFinished_) {
        return;
    }
    if (outcome.end == HttpEnd::Complete && status_ == statusOk && !isStream_) {
        handleWholeResponse();
    }
    if (isFinished_) {
        return;
    }
    isFinished_ = true;
    Base::Error error = toError(outcome, server_);
    if (failure_) {
        error = backendError(*failure_);
    } else if (outcome.end == HttpEnd::Complete && status_ != statusOk) {
        error = backendError("HTTP status " + std::to_string(status_) + ": "
                             + body_.substr(0, maxQuotedBytes));
    } else if (outcome.end == HttpEnd::Complete) {
        error = backendError("the stream ended before the [DONE] event");
    }
    handler_(ModelFailed{std::move(error), pieces_});
}

FlowControl ModelReply::emitPiece(std::string text)
{
    pieces_ += Base::Tokens(1);
    return handler_(TokenPiece{std::move(text)});
}

void ModelReply::emitDone()
{
    isFinished_ = true;
    if (!hasUsage_) {
        done_.outputTokens = pieces_;
    }
    handler_(done_);
}

FlowControl ModelReply::fail(std::string message)
{
    failure_ = std::move(message);
    return FlowControl::Stop;
}

Base::Error ModelReply::backendError(std::string message) const
{
    Base::Error error;
    error.code = Base::ErrorCode::BackendFailed;
    error.step = Base::Step::Backend;
    error.peer = server_.text();
    error.ran = Base::Ran::MayHaveRun;
    error.message = std::move(message);
    return error;
}

} // namespace Backends
