#pragma once

#include "configuration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Contracts {

using RouteId = Base::StrongText<struct RouteIdTag>;

/// What a route's requests allow.
enum class RouteKind {
    Idempotent,
    NonIdempotent,
    /// Answered by server-sent events; may be run again only where it can be resumed.
    Stream
};

struct WeightedService
{
    Base::ServiceId service;
    std::uint32_t weight = 1;

    bool operator==(const WeightedService &) const = default;
};

/// Requests that are passed on to the servers of a service as they are.
struct Route
{
    RouteId id;
    /// Host name in lower case, without a port.
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::Idempotent;
    std::vector<WeightedService> services;
    /// Longest time that a caller is kept waiting; also the end of a stream.
    Base::Duration timeout = std::chrono::seconds(30);
    /// Latency at which an answer is on time.
    Base::Duration objective = std::chrono::seconds(1);
    /// Servers on which one caller's attempt may run.
    std::uint32_t attempts = 1;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Runs without a key.
    bool isPublic = false;
    /// A broken stream may go on at another server from its last event.
    bool isResumable = false;
    /// Requests are turns of programs; how long a program may pause between them.
    std::optional<Base::Duration> programRetention;

    bool operator==(const Route &) const = default;
};

/// A service as routes see it.
struct RoutedService
{
    Base::ServiceId id;
    /// Tokens in one event of a stream; 0 for services that are not model engines.
    Base::Tokens tokensPerEvent{0};
    /// Connections that a server takes from all daemons together; 0 means unknown.
    std::uint32_t maxConnections = 0;

    bool operator==(const RoutedService &) const = default;
};

/// A team whose keys are opaque texts that another system issues.
struct RoutedTeam
{
    Team team;
    /// Goes before the route's priority.
    std::optional<std::uint32_t> priority;

    bool operator==(const RoutedTeam &) const = default;
};

/// What a caller may send, and how long it may take.
struct CallerLimits
{
    std::size_t headBytes = 16 * 1024;
    std::size_t bodyBytes = 4 * 1024 * 1024;
    Base::Duration headTimeout = std::chrono::seconds(3);
    Base::Duration idleTimeout = std::chrono::seconds(15);

    bool operator==(const CallerLimits &) const = default;
};

/// One version of everything that pass-through requests depend on.
struct RoutingDocument
{
    Base::ConfigVersion version;
    std::vector<Route> routes;
    std::vector<RoutedService> services;
    /// Empty if no route asks for a key.
    std::vector<RoutedTeam> teams;
    CallerLimits limits;

    bool operator==(const RoutingDocument &) const = default;
};

} // namespace Contracts
