#include "headerfilter.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace Backends {

namespace {

/// Hop-by-hop headers (RFC 9110, 7.6.1) and headers that the HTTP client sets itself.
constexpr std::array connectionHeaders{"connection",
                                       "keep-alive",
                                       "te",
                                       "trailer",
                                       "transfer-encoding",
                                       "upgrade",
                                       "host",
                                       "content-length",
                                       "expect"};

constexpr std::array secretHeaders{"authorization", "cookie", "set-cookie", "x-forwarded-user"};

/// Name parts that identify credentials, compared after normalized().
constexpr std::array secretNameParts{"apikey",
                                     "accesskey",
                                     "accesstoken",
                                     "authtoken",
                                     "authorization",
                                     "secret",
                                     "password",
                                     "credential"};

/// Full names that identify credentials, with or without a leading "x".
constexpr std::array secretNames{"key", "token", "auth", "sig", "signature", "bearer"};

std::string lowered(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    return lower;
}

/// The letters, in lower case, and digits of a name.
std::string normalized(std::string_view name)
{
    std::string text = lowered(name);
    std::erase_if(text, [](unsigned char letter) { return std::isalnum(letter) == 0; });
    return text;
}

template<std::size_t Size>
bool contains(const std::array<const char *, Size> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool hasSecretName(std::string_view name)
{
    const std::string text = normalized(name);
    if (contains(secretNames, text)
        || (text.starts_with('x') && contains(secretNames, text.substr(1)))) {
        return true;
    }
    return std::any_of(secretNameParts.begin(), secretNameParts.end(), [&](const char *part) {
        return text.find(part) != std::string::npos;
    });
}

int hexValue(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    const int letter = std::tolower(static_cast<unsigned char>(digit));
    return letter >= 'a' && letter <= 'f' ? letter - 'a' + 10 : -1;
}

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            const int high = hexValue(text[i + 1]);
            const int low = hexValue(text[i + 2]);
            if (high >= 0 && low >= 0) {
                decoded += static_cast<char>(high * 16 + low);
                i += 2;
                continue;
            }
        }
        decoded += text[i] == '+' ? ' ' : text[i];
    }
    return decoded;
}

/// Names that a Connection header declares as hop-by-hop.
std::vector<std::string> connectionTokens(const std::vector<HttpHeader> &headers)
{
    std::vector<std::string> tokens;
    for (const HttpHeader &header : headers) {
        if (lowered(header.name) != "connection") {
            continue;
        }
        std::string token;
        for (const char letter : lowered(header.value) + ",") {
            if (letter == ',') {
                tokens.push_back(std::exchange(token, std::string()));
            } else if (letter != ' ') {
                token += letter;
            }
        }
    }
    return tokens;
}

bool isConnectionHeader(const std::string &name)
{
    return contains(connectionHeaders, name) || name.starts_with("proxy-");
}

} // namespace

HeaderFilter::HeaderFilter(std::string callerKey)
    : callerKey_(std::move(callerKey))
{}

std::vector<HttpHeader> HeaderFilter::filterHeaders(const std::vector<HttpHeader> &headers) const
{
    const std::vector<std::string> hopByHop = connectionTokens(headers);
    std::vector<HttpHeader> kept;
    for (const HttpHeader &header : headers) {
        const std::string name = lowered(header.name);
        const bool isDeclared = std::find(hopByHop.begin(), hopByHop.end(), name) != hopByHop.end();
        if (!isConnectionHeader(name) && !isDeclared && !contains(secretHeaders, name)
            && !isSecret(header.name, header.value)) {
            kept.push_back(header);
        }
    }
    return kept;
}

std::string HeaderFilter::filterTarget(std::string_view target) const
{
    const std::size_t mark = target.find('?');
    std::string filtered(target.substr(0, mark));
    if (mark == std::string_view::npos) {
        return filtered;
    }
    char separator = '?';
    std::string_view rest = target.substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = rest.find_first_of("&;");
        const std::string_view parameter = rest.substr(0, end);
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
        const std::size_t equals = parameter.find('=');
        const std::string name = percentDecoded(parameter.substr(0, equals));
        const std::string value = equals == std::string_view::npos
                                      ? std::string()
                                      : percentDecoded(parameter.substr(equals + 1));
        if (!isSecret(name, value)) {
            filtered += separator;
            filtered += parameter;
            separator = '&';
        }
    }
    return filtered;
}

std::vector<HttpHeader> HeaderFilter::filterReplyHeaders(const std::vector<HttpHeader> &headers)
{
    const std::vector<std::string> hopByHop = connectionTokens(headers);
    std::vector<HttpHeader> kept;
    for (const HttpHeader &header : headers) {
        const std::string name = lowered(header.name);
        const bool isDeclared = std::find(hopByHop.begin(), hopByHop.end(), name) != hopByHop.end();
        if (!isConnectionHeader(name) && !isDeclared) {
            kept.push_back(header);
        }
    }
    return kept;
}

bool HeaderFilter::containsKey(std::string_view text) const
{
    return !callerKey_.empty()
           && (text.find(callerKey_) != std::string_view::npos
               || percentDecoded(text).find(callerKey_) != std::string::npos);
}

bool HeaderFilter::isSecret(std::string_view name, std::string_view value) const
{
    return hasSecretName(name) || containsKey(name) || containsKey(value);
}

} // namespace Backends
