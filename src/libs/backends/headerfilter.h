#pragma once

#include "httpclient.h"

namespace Backends {

/// Removes confidential and connection-specific parts of a caller's request before it is sent to a
/// backend server: keys, cookies, proxy and hop-by-hop headers, and query parameters that look like
/// keys.
class HeaderFilter
{
public:
    /// Values that contain the caller's key are removed in addition to well-known names.
    explicit HeaderFilter(std::string callerKey);

    std::vector<HttpHeader> filterHeaders(const std::vector<HttpHeader> &headers) const;
    /// Path and query without the parameters that carry keys.
    std::string filterTarget(std::string_view target) const;

    /// Headers of a server's response without the hop-by-hop headers.
    static std::vector<HttpHeader> filterReplyHeaders(const std::vector<HttpHeader> &headers);

    /// Whether the text contains the caller's key, plain or percent-encoded.
    bool containsKey(std::string_view text) const;

private:
    bool isSecret(std::string_view name, std::string_view value) const;

    std::string callerKey_;
};

} // namespace Backends
