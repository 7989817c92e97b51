#include "httpsyntax.h"

#include <algorithm>

namespace Base {

namespace {

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
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

} // namespace Base
