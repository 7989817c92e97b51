#include "prompt.h"

#include <nlohmann/json.hpp>

namespace Runtime {

namespace {

using Backends::ChatMessage;

bool isMessage(const nlohmann::json &value)
{
    return value.is_object() && value.contains("role") && value["role"].is_string()
           && value.contains("content") && value["content"].is_string();
}

void appendInput(std::vector<ChatMessage> &messages, const std::string &input)
{
    if (!input.empty() && input.front() == '[') {
        const nlohmann::json document = nlohmann::json::parse(input, nullptr, false);
        if (document.is_array() && !document.empty()
            && std::all_of(document.begin(), document.end(), isMessage)) {
            for (const nlohmann::json &message : document) {
                messages.push_back(
                    {message["role"].get<std::string>(), message["content"].get<std::string>()});
            }
            return;
        }
    }
    messages.push_back({"user", input});
}

} // namespace

std::vector<ChatMessage> promptMessages(const Programs::History *history, const std::string &input)
{
    std::vector<ChatMessage> messages;
    if (history) {
        for (const auto &turn : *history) {
            if (turn->error()) {
                continue;
            }
            // Turns of plain services have no output tokens; they are tool messages of the prompt.
            const bool isTool = turn->outputTokens().value() == 0;
            if (isTool) {
                messages.push_back(
                    {"tool", turn->service().text() + ": " + std::string(turn->output())});
                continue;
            }
            appendInput(messages, std::string(turn->input()));
            messages.push_back({"assistant", std::string(turn->output())});
        }
    }
    appendInput(messages, input);
    return messages;
}

} // namespace Runtime
