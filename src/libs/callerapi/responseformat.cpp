#include "responseformat.h"

#include <base/visitor.h>

#include <nlohmann/json.hpp>

namespace CallerApi {

namespace {

using Base::Visitor;
using nlohmann::json;

// The output of a backend server may contain bytes that are not valid UTF-8.
std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json errorObject(const Base::Error &error)
{
    return {{"code", Base::toString(error.code)},
            {"message", error.message},
            {"step", Base::toString(error.step)},
            {"peer", error.peer},
            {"ran", Base::toString(error.ran)}};
}

json turnObject(const TurnReply &turn)
{
    json object = {{"number", turn.number.value()},
                   {"service", turn.service.text()},
                   {"input", turn.input},
                   {"usage",
                    {{"prompt_tokens", turn.promptTokens.value()},
                     {"output_tokens", turn.outputTokens.value()}}}};
    if (turn.error) {
        object["error"] = errorObject(*turn.error);
    } else {
        object["output"] = turn.output;
    }
    return object;
}

json doneObject(const DoneReply &done)
{
    return {{"number", done.turn.number.value()},
            {"output", done.turn.output},
            {"server", done.turn.server.text()},
            {"repeat", done.isRepeat},
            {"usage",
             {{"prompt_tokens", done.turn.promptTokens.value()},
              {"output_tokens", done.turn.outputTokens.value()}}}};
}

json chatUsage(const TurnReply &turn)
{
    return {{"prompt_tokens", turn.promptTokens.value()},
            {"completion_tokens", turn.outputTokens.value()},
            {"total_tokens", turn.promptTokens.value() + turn.outputTokens.value()}};
}

json chatBase(const ResponseContext &context, const char *kind)
{
    return {{"id", "chatcmpl-" + std::to_string(context.request.value())},
            {"object", kind},
            {"model", context.model.text()}};
}

json chatObject(const DoneReply &done, const ResponseContext &context)
{
    json object = chatBase(context, "chat.completion");
    object["choices"]
        = json::array({{{"index", 0},
                        {"message", {{"role", "assistant"}, {"content", done.turn.output}}},
                        {"finish_reason", "stop"}}});
    object["usage"] = chatUsage(done.turn);
    return object;
}

json chatChunk(const ResponseContext &context, json delta, json finishReason)
{
    json object = chatBase(context, "chat.completion.chunk");
    object["choices"] = json::array(
        {{{"index", 0}, {"delta", std::move(delta)}, {"finish_reason", std::move(finishReason)}}});
    return object;
}

json descriptionObject(const DescriptionReply &description)
{
    json children = json::array();
    for (const Base::ProgramId &child : description.children) {
        children.push_back(child.text());
    }
    json turns = json::array();
    for (const TurnReply &turn : description.turns) {
        turns.push_back(turnObject(turn));
    }
    return {{"program", description.program.text()},
            {"state", description.state},
            {"budget_tokens", description.budget.value()},
            {"spent_tokens", description.spent.value()},
            {"budget_left", description.budgetLeft.value()},
            {"next_number", description.nextNumber.value()},
            {"children", std::move(children)},
            {"history", std::move(turns)}};
}

FormattedResponse errorResponse(const Base::Error &error)
{
    return {.status = Base::httpStatus(error.code),
            .body = formatError(error),
            .retryAfter = error.retryAfter};
}

FormattedResponse jsonResponse(int status, const json &object)
{
    return {.status = status, .body = dump(object)};
}

FormattedResponse doneResponse(const DoneReply &done,
                               AnswerStyle style,
                               const ResponseContext &context)
{
    if (done.turn.error) {
        return errorResponse(*done.turn.error);
    }
    return jsonResponse(
        200, style == AnswerStyle::ChatJson ? chatObject(done, context) : doneObject(done));
}

std::vector<FormattedEvent> doneEvents(const DoneReply &done,
                                       AnswerStyle style,
                                       const ResponseContext &context)
{
    if (done.turn.error) {
        return {{"error", formatError(*done.turn.error)}};
    }
    if (style != AnswerStyle::ChatEvents) {
        return {{"done", dump(doneObject(done))}};
    }
    json last = chatChunk(context, json::object(), "stop");
    last["usage"] = chatUsage(done.turn);
    return {{"", dump(last)}, {"", "[DONE]"}};
}

} // namespace

std::string formatError(const Base::Error &error)
{
    return dump({{"error", errorObject(error)}});
}

FormattedResponse formatResponse(const CallerReply &reply,
                                 AnswerStyle style,
                                 const ResponseContext &context)
{
    return std::visit(
        Visitor{
            [](const CreatedReply &created) {
                return jsonResponse(201, {{"program", created.program.text()}});
            },
            [&](const DoneReply &done) { return doneResponse(done, style, context); },
            [](const DescriptionReply &description) {
                return jsonResponse(200, descriptionObject(description));
            },
            [](const EndedReply &ended) {
                return jsonResponse(200, {{"program", ended.program.text()}, {"state", "ended"}});
            },
            [](const ServiceReply &service) {
                return FormattedResponse{service.status, service.contentType, service.body, {}};
            },
            [](const Base::Error &error) { return errorResponse(error); },
            [](const OutputReply &output) {
                return jsonResponse(200, {{"output", output.text}});
            }},
        reply);
}

std::vector<FormattedEvent> formatEvents(const CallerReply &reply,
                                         AnswerStyle style,
                                         const ResponseContext &context)
{
    if (const auto *output = std::get_if<OutputReply>(&reply)) {
        if (style == AnswerStyle::ChatEvents) {
            return {{"", dump(chatChunk(context, {{"content", output->text}}, nullptr))}};
        }
        return {{"token", dump({{"text", output->text}})}};
    }
    if (const auto *done = std::get_if<DoneReply>(&reply)) {
        return doneEvents(*done, style, context);
    }
    if (const auto *error = std::get_if<Base::Error>(&reply)) {
        return {{"error", formatError(*error)}};
    }
    return {};
}

} // namespace CallerApi
