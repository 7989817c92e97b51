#pragma once

#include "connectionlimit.h"

#include <base/types.h>

#include <optional>

namespace Proxy {

/// How a daemon divides its descriptors, and the memory for buffers of the system, among its
/// listeners. Without stated limits, connections are not limited.
struct ConnectionShares
{
    static constexpr int defaultBacklog = 1024;

    /// Connections of callers or, in a daemon that keeps turns, of other daemons.
    std::size_t callers = ConnectionLimit::unlimited;
    std::size_t documents = ConnectionLimit::unlimited;
    std::size_t status = ConnectionLimit::unlimited;
    /// Connections of other daemons to servers.
    std::size_t relaySessions = 512;
    /// Connections that wait to be accepted by one listener.
    int backlog = defaultBacklog;
    /// Receive buffer of a connection; unset means that the system chooses.
    std::optional<int> receiveBytes;

    /// \a buffers is the memory for buffers of the system.
    static ConnectionShares forFront(const std::optional<std::size_t> &descriptors,
                                     const std::optional<Base::Bytes> &buffers);
    static ConnectionShares forStore(const std::optional<std::size_t> &descriptors,
                                     const std::optional<Base::Bytes> &buffers);
};

} // namespace Proxy
