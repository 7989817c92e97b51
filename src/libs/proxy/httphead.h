#pragma once

#include <base/httpsyntax.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Proxy {

struct HeaderField
{
    std::string name;
    std::string value;

    bool operator==(const HeaderField &) const = default;
};

/// Header fields in their order; names are case-insensitive.
class HeaderFields
{
public:
    void add(std::string name, std::string value);
    /// Replaces every field of that name.
    void set(std::string_view name, std::string value);
    void remove(std::string_view name);

    /// Returns the value of the first field of that name, or nothing if there is none.
    std::optional<std::string_view> find(std::string_view name) const;
    bool contains(std::string_view name) const { return find(name).has_value(); }
    std::size_t count(std::string_view name) const;

    const std::vector<HeaderField> &all() const { return fields_; }
    std::vector<HeaderField> &all() { return fields_; }

private:
    std::vector<HeaderField> fields_;
};

struct RequestHead
{
    std::string method;
    /// Path and query as received.
    std::string target;
    HeaderFields headers;
    /// False for HTTP/1.0.
    bool isHttp11 = true;
    bool isKeepAlive = true;

    /// The target without its query.
    std::string_view path() const;
};

/// Returns the bytes that the head takes beside the object itself.
std::size_t allocatedBytes(const RequestHead &head);

struct ResponseHead
{
    int status = 0;
    std::string reason;
    HeaderFields headers;
    bool isKeepAlive = true;
};

using Base::equalsIgnoringCase;
using Base::trimmed;
/// Returns the trimmed elements of a comma-separated field value, empty ones included.
std::vector<std::string_view> listElements(std::string_view value);

/// Removes the hop-by-hop fields, including those that are named by Connection (RFC 9110, section
/// 7.6.1), and the framing of the body.
void removeConnectionFields(HeaderFields &headers);

std::string serializeRequest(const RequestHead &head, std::size_t bodySize);

/// How the end of a response body is determined.
enum class BodyFraming {
    /// Content-Length, or no body.
    Length,
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose
};

struct Framing
{
    BodyFraming kind = BodyFraming::Length;
    std::optional<std::uint64_t> length;
};

std::string serializeResponse(const ResponseHead &head, const Framing &framing, bool isKeepAlive);

/// Returns the standard reason phrase.
std::string_view reasonOf(int status);

} // namespace Proxy
