#pragma once

#include "httpclient.h"

namespace Backends {

/// Removes what must not leave for a backend server from a caller's request: keys, cookies,
/// proxy and hop-by-hop headers, and query parameters that look like keys.
class HeaderFilter
{
public:
    /// Besides well-known names, anything whose value contains the caller's key is removed.
    explicit HeaderFilter(std::string callerKey);

    std::vector<HttpHeader> filterHeaders(const std::vector<HttpHeader> &headers) const;
    /// Path and query without the parameters that carry keys.
    std::string filterTarget(std::string_view target) const;

    /// Headers of a server's answer without the hop-by-hop ones.
    static std::vector<HttpHeader> filterReplyHeaders(const std::vector<HttpHeader> &headers);

    /// Whether the caller's key stands in the text, plain or percent-encoded.
    bool containsKey(std::string_view text) const;

private:
    bool isSecret(std::string_view name, std::string_view value) const;

    std::string callerKey_;
};

} // namespace Backends
