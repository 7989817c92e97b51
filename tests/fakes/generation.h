#pragma once

#include "prefixcache.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace Fakes {

/// What the model engine's stand-in makes of one chat completion request.
struct Generation
{
    std::string model;
    /// Key of the prefix cache.
    std::string program;
    std::vector<TokenHash> prompt;
    /// Pieces of the answer; their concatenation is the answer's text.
    std::vector<std::string> output;
    /// "stop", or "length" if max_tokens cut the answer.
    std::string finishReason;
    bool isStream = false;
};

/// Derives the answer from the request alone. "words=N" in the last message sets the length, and
/// "say:" there makes the rest of the message the answer. No value if the request is malformed.
std::optional<Generation> planGeneration(const nlohmann::json &request,
                                         const std::string &programHeader);

nlohmann::json usage(const Generation &generation, std::int64_t cachedTokens);
nlohmann::json wholeAnswer(const Generation &generation, std::int64_t cachedTokens);
/// Server-sent events of a streamed answer.
std::string tokenEvent(const Generation &generation, std::size_t index);
std::string closingEvents(const Generation &generation, std::int64_t cachedTokens);

} // namespace Fakes
