#pragma once

#include "httphead.h"

#include <base/instant.h>

#include <optional>
#include <string>

namespace Proxy {

/// Why a request is not run.
struct Refusal
{
    int status = 0;
    /// A word for logs.
    const char *outcome = "";
    std::string detail;
    std::optional<Base::Duration> retryAfter = std::nullopt;
};

/// A response that the daemon makes itself.
struct OwnResponse
{
    ResponseHead head;
    std::string body;
};

/// Returns the head of a response that the daemon makes itself; its body is plain text.
ResponseHead ownResponseHead(int status, std::optional<Base::Duration> retryAfter = std::nullopt);

} // namespace Proxy
