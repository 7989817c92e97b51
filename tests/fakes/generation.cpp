#include "generation.h"

#include <base/random.h>

#include <algorithm>
#include <sstream>

namespace Fakes {

namespace {

constexpr std::int64_t defaultLength = 8;
constexpr std::uint64_t wordCount = 1000;

std::vector<std::string> words(const std::string &text)
{
    std::istringstream stream(text);
    std::vector<std::string> found;
    for (std::string word; stream >> word;) {
        found.push_back(word);
    }
    return found;
}

TokenHash hashOf(const std::string &word)
{
    return static_cast<TokenHash>(Base::hash64(word));
}

std::int64_t requestedLength(const std::string &message)
{
    const std::string mark = "words=";
    const std::size_t start = message.find(mark);
    if (start == std::string::npos) {
        return defaultLength;
    }
    return std::max<std::int64_t>(std::atoll(message.c_str() + start + mark.size()), 0);
}

std::vector<std::string> spokenAnswer(const std::string &text)
{
    std::vector<std::string> pieces;
    for (const std::string &word : words(text)) {
        pieces.push_back((pieces.empty() ? "" : " ") + word);
    }
    return pieces;
}

std::vector<std::string> answerTo(const std::string &lastMessage, std::uint64_t seed)
{
    const std::string mark = "say:";
    const std::size_t spoken = lastMessage.find(mark);
    if (spoken != std::string::npos) {
        return spokenAnswer(lastMessage.substr(spoken + mark.size()));
    }
    Base::Random random(seed);
    std::vector<std::string> pieces;
    const std::int64_t length = requestedLength(lastMessage);
    for (std::int64_t i = 0; i < length; ++i) {
        pieces.push_back((i == 0 ? "w" : " w") + std::to_string(random.below(wordCount)));
    }
    return pieces;
}

void clamp(Generation &generation, std::int64_t maximum)
{
    const auto limit = static_cast<std::size_t>(std::max<std::int64_t>(maximum, 0));
    generation.finishReason = generation.output.size() > limit ? "length" : "stop";
    generation.output.resize(std::min(generation.output.size(), limit));
}

std::string event(const nlohmann::json &chunk)
{
    return "data: " + chunk.dump() + "\n\n";
}

nlohmann::json chunk(const Generation &generation, nlohmann::json delta, nlohmann::json finish)
{
    const nlohmann::json choice{
        {"index", 0}, {"delta", std::move(delta)}, {"finish_reason", std::move(finish)}};
    return {{"object", "chat.completion.chunk"},
            {"model", generation.model},
            {"choices", nlohmann::json::array({choice})}};
}

} // namespace

std::optional<Generation> planGeneration(const nlohmann::json &request,
                                         const std::string &programHeader)
{
    try {
        Generation generation;
        std::uint64_t seed = 0;
        std::string last;
        for (const auto &message : request.at("messages")) {
            last = message.at("content").get<std::string>();
            seed = Base::hash64(last, seed);
            for (const std::string &word : words(last)) {
                generation.prompt.push_back(hashOf(word));
            }
        }
        generation.model = request.value("model", "");
        generation.isStream = request.value("stream", false);
        generation.program
            = programHeader.empty() ? "anonymous-" + std::to_string(seed) : programHeader;
        generation.output = answerTo(last, seed);
        clamp(generation, request.value("max_tokens", std::int64_t(1'000'000)));
        return generation;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

nlohmann::json usage(const Generation &generation, std::int64_t cachedTokens)
{
    const std::size_t total = generation.prompt.size() + generation.output.size();
    return {{"prompt_tokens", generation.prompt.size()},
            {"completion_tokens", generation.output.size()},
            {"total_tokens", total},
            {"prompt_tokens_details", {{"cached_tokens", cachedTokens}}}};
}

nlohmann::json wholeAnswer(const Generation &generation, std::int64_t cachedTokens)
{
    std::string text;
    for (const std::string &piece : generation.output) {
        text += piece;
    }
    const nlohmann::json choice{{"index", 0},
                                {"message", {{"role", "assistant"}, {"content", text}}},
                                {"finish_reason", generation.finishReason}};
    return {{"object", "chat.completion"},
            {"model", generation.model},
            {"choices", nlohmann::json::array({choice})},
            {"usage", usage(generation, cachedTokens)}};
}

std::string tokenEvent(const Generation &generation, std::size_t index)
{
    return event(chunk(generation, {{"content", generation.output[index]}}, nullptr));
}

std::string closingEvents(const Generation &generation, std::int64_t cachedTokens)
{
    nlohmann::json last = chunk(generation, nlohmann::json::object(), generation.finishReason);
    last["usage"] = usage(generation, cachedTokens);
    return event(last) + "data: [DONE]\n\n";
}

} // namespace Fakes
