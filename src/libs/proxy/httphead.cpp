#include "httphead.h"

#include <algorithm>
#include <array>

namespace Proxy {

namespace {

constexpr std::array<std::string_view, 11> connectionFields{"Connection",
                                                            "Keep-Alive",
                                                            "Proxy-Connection",
                                                            "Proxy-Authenticate",
                                                            "Proxy-Authorization",
                                                            "TE",
                                                            "Trailer",
                                                            "Transfer-Encoding",
                                                            "Upgrade",
                                                            "Expect",
                                                            "Content-Length"};

bool isConnectionField(std::string_view name)
{
    return std::any_of(connectionFields.begin(), connectionFields.end(), [&](auto field) {
        return equalsIgnoringCase(field, name);
    });
}

/// Short strings are stored within the object.
std::size_t allocatedBytes(const std::string &text)
{
    static const std::size_t ownCapacity = std::string().capacity();
    return text.capacity() > ownCapacity ? text.capacity() : 0;
}

void appendFields(std::string &out, const HeaderFields &headers)
{
    for (const HeaderField &field : headers.all()) {
        out.append(field.name).append(": ").append(field.value).append("\r\n");
    }
}

} // namespace

std::vector<std::string_view> listElements(std::string_view value)
{
    std::vector<std::string_view> result;
    while (!value.empty()) {
        const std::size_t comma = std::min(value.find(','), value.size());
        result.push_back(trimmed(value.substr(0, comma)));
        value.remove_prefix(std::min(comma + 1, value.size()));
    }
    return result;
}

void HeaderFields::add(std::string name, std::string value)
{
    fields_.push_back({std::move(name), std::move(value)});
}

void HeaderFields::set(std::string_view name, std::string value)
{
    remove(name);
    add(std::string(name), std::move(value));
}

void HeaderFields::remove(std::string_view name)
{
    std::erase_if(fields_,
                  [&](const HeaderField &field) { return equalsIgnoringCase(field.name, name); });
}

std::optional<std::string_view> HeaderFields::find(std::string_view name) const
{
    for (const HeaderField &field : fields_) {
        if (equalsIgnoringCase(field.name, name)) {
            return field.value;
        }
    }
    return std::nullopt;
}

std::size_t HeaderFields::count(std::string_view name) const
{
    return static_cast<std::size_t>(
        std::count_if(fields_.begin(), fields_.end(), [&](const HeaderField &field) {
            return equalsIgnoringCase(field.name, name);
        }));
}

std::string_view RequestHead::path() const
{
    const std::string_view whole = target;
    return whole.substr(0, whole.find('?'));
}

std::size_t allocatedBytes(const RequestHead &head)
{
    const std::vector<HeaderField> &fields = head.headers.all();
    std::size_t bytes = allocatedBytes(head.method) + allocatedBytes(head.target)
                        + fields.capacity() * sizeof(HeaderField);
    for (const HeaderField &field : fields) {
        bytes += allocatedBytes(field.name) + allocatedBytes(field.value);
    }
    return bytes;
}

void removeConnectionFields(HeaderFields &headers)
{
    std::vector<std::string> named;
    for (const HeaderField &field : headers.all()) {
        if (equalsIgnoringCase(field.name, "Connection")) {
            for (const std::string_view element : listElements(field.value)) {
                named.emplace_back(element);
            }
        }
    }
    std::erase_if(headers.all(), [&](const HeaderField &field) {
        return isConnectionField(field.name)
               || std::any_of(named.begin(), named.end(), [&](const std::string &name) {
                      return equalsIgnoringCase(name, field.name);
                  });
    });
}

std::string serializeRequest(const RequestHead &head, std::size_t bodySize)
{
    std::string out;
    out.reserve(1024);
    out.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\n");
    appendFields(out, head.headers);
    const bool hasBodyByMethod
        = head.method == "POST" || head.method == "PUT" || head.method == "PATCH";
    if (bodySize > 0 || hasBodyByMethod) {
        out.append("Content-Length: ").append(std::to_string(bodySize)).append("\r\n");
    }
    out.append("\r\n");
    return out;
}

std::string serializeResponse(const ResponseHead &head, const Framing &framing, bool isKeepAlive)
{
    std::string out;
    out.reserve(512);
    out.append("HTTP/1.1 ").append(std::to_string(head.status)).append(" ");
    out.append(head.reason).append("\r\n");
    appendFields(out, head.headers);
    if (framing.kind == BodyFraming::Chunked) {
        out.append("Transfer-Encoding: chunked\r\n");
    } else if (framing.kind == BodyFraming::Length && framing.length) {
        out.append("Content-Length: ").append(std::to_string(*framing.length)).append("\r\n");
    }
    if (!isKeepAlive) {
        out.append("Connection: close\r\n");
    }
    out.append("\r\n");
    return out;
}

std::string_view reasonOf(int status)
{
    switch (status) {
    case 100:
        return "Continue";
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 402:
        return "Payment Required";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 413:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 501:
        return "Not Implemented";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

} // namespace Proxy
