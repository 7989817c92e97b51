#include "httpsyntax.h"

#include <algorithm>
#include <cctype>

namespace Base {

namespace {

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

/// A character of a token (RFC 9110, section 5.6.2).
bool isTokenCharacter(char c)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return isLetter || isDigit(c) || marks.find(c) != std::string_view::npos;
}

bool isControlCharacter(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return (byte < 0x20 && c != '\t') || byte == 0x7f;
}

/// "HTTP/" and two digits with a dot between them.
bool isVersion(std::string_view text)
{
    return text.size() == 8 && text.starts_with("HTTP/") && isDigit(text[5]) && text[6] == '.'
           && isDigit(text[7]);
}

} // namespace

std::optional<int> parseStatusLine(std::string_view line)
{
    const std::size_t versionEnd = std::min(line.find(' '), line.size());
    const std::size_t begin = std::min(line.find_first_not_of(' ', versionEnd), line.size());
    const std::string_view code = line.substr(begin, line.find(' ', begin) - begin);
    const bool isNumber = code.size() == 3 && std::all_of(code.begin(), code.end(), isDigit);
    if (!isVersion(line.substr(0, versionEnd)) || !isNumber || code < "100" || code > "599") {
        return std::nullopt;
    }
    return (code[0] - '0') * 100 + (code[1] - '0') * 10 + (code[2] - '0');
}

std::string_view fieldLineProblem(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
        return "header line without a colon";
    }
    const std::string_view name = line.substr(0, colon);
    if (name.empty() || !std::all_of(name.begin(), name.end(), isTokenCharacter)) {
        return "invalid header name";
    }
    return hasControlCharacters(line.substr(colon)) ? "control character in a header value" : "";
}

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return std::tolower(static_cast<unsigned char>(x))
                      == std::tolower(static_cast<unsigned char>(y));
           });
}

std::string_view trimmed(std::string_view text)
{
    const char *blanks = " \t";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

bool hasControlCharacters(std::string_view line)
{
    return std::any_of(line.begin(), line.end(), isControlCharacter);
}

} // namespace Base
