#pragma once

#include <cstdint>
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
    /// Number of the connection, unique while the stand-in runs.
    std::uint64_t connection = 0;
};

} // namespace Fakes
