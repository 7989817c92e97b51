#include "redact.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace Telemetry {

namespace {

constexpr std::string_view mask = "***";

/// Names, in lower case, whose value is confidential.
constexpr std::array<std::string_view, 10> secretNames{"bearer",
                                                       "basic",
                                                       "authorization",
                                                       "api_key",
                                                       "api-key",
                                                       "apikey",
                                                       "access_token",
                                                       "password",
                                                       "secret",
                                                       "cookie"};

bool isWordCharacter(char letter)
{
    constexpr std::string_view others = "-_.+/~";
    return std::isalnum(static_cast<unsigned char>(letter)) != 0
           || others.find(letter) != std::string_view::npos;
}

std::string lowered(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    return lower;
}

bool isSecretName(const std::string &word)
{
    return std::any_of(secretNames.begin(), secretNames.end(), [&](std::string_view name) {
        return word.ends_with(name);
    });
}

/// In "Authorization: Bearer KEY" the confidential value follows the scheme.
bool isScheme(const std::string &word)
{
    return word == "bearer" || word == "basic";
}

bool hasKeyPrefix(std::string_view word, const std::vector<std::string> &prefixes)
{
    return std::any_of(prefixes.begin(), prefixes.end(), [&](const std::string &prefix) {
        return !prefix.empty() && word.find(prefix) != std::string_view::npos;
    });
}

/// A name and its value are separated only by blanks, quotes and ":" or "=".
bool isSeparator(char letter)
{
    return std::string_view(" \t:=\"'").find(letter) != std::string_view::npos;
}

} // namespace

std::string redact(std::string_view text, const std::vector<std::string> &keyPrefixes)
{
    std::string result;
    bool isSecretNext = false;
    std::size_t position = 0;
    while (position < text.size()) {
        if (!isWordCharacter(text[position])) {
            isSecretNext = isSecretNext && isSeparator(text[position]);
            result += text[position++];
            continue;
        }
        const auto end = std::find_if_not(
            text.begin() + static_cast<std::ptrdiff_t>(position), text.end(), isWordCharacter);
        const auto wordEnd = static_cast<std::size_t>(end - text.begin());
        const std::string_view word = text.substr(position, wordEnd - position);
        const std::string lower = lowered(word);
        const bool isSecret = hasKeyPrefix(word, keyPrefixes) || (isSecretNext && !isScheme(lower));
        result += isSecret ? mask : word;
        isSecretNext = !isSecret && isSecretName(lower);
        position = wordEnd;
    }
    return result;
}

} // namespace Telemetry
