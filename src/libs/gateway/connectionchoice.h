#pragma once

#include <base/instant.h>

#include <cstddef>
#include <optional>
#include <span>

namespace Gateway {

/// What decides whether a connection may be closed for a new one.
struct ConnectionState
{
    /// A request is being handled.
    bool isBusy = false;
    /// The caller has not read all of its response.
    bool hasUnsentBytes = false;
    /// Since when the connection has waited for a request to be complete.
    Base::Instant waitingSince;
};

/// Returns the index of the connection that is closed for a new one at the limit: one that has
/// waited longest for a complete request, before those whose responses are still sent. Nothing if
/// all handle requests.
std::optional<std::size_t> connectionToClose(std::span<const ConnectionState> connections);

} // namespace Gateway
