#pragma once

#include <string>

namespace Fakes {

/// A request as a stand-in received it.
struct ReceivedRequest
{
    std::string method;
    /// Path and query.
    std::string target;
    /// "Name: value" lines.
    std::string headers;
    std::string body;
};

} // namespace Fakes
