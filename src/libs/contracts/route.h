#pragma once

#include "configuration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Contracts {

using RouteId = Base::StrongText<struct RouteIdTag>;

/// Retry semantics of a route's requests.
enum class RouteKind {
    Idempotent,
    NonIdempotent,
    /// The response consists of server-sent events; retried only if the stream is resumable.
    Stream
};

struct WeightedService
{
    Base::ServiceId service;
    std::uint32_t weight = 1;

    bool operator==(const WeightedService &) const = default;
};

/// A route of requests that are forwarded unchanged to the servers of a service.
struct Route
{
    RouteId id;
    /// Host name in lower case, without a port.
    std::string host;
    /// Starts and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::Idempotent;
    std::vector<WeightedService> services;
    /// Timeout of a request, and the maximum duration of a stream.
    Base::Duration timeout = std::chrono::seconds(30);
    /// Latency objective of a response.
    Base::Duration objective = std::chrono::seconds(1);
    /// Maximum number of servers on which one request may be tried.
    std::uint32_t attempts = 1;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Whether requests need no key.
    bool isPublic = false;
    /// Whether an interrupted stream may resume on another server after its last event.
    bool isResumable = false;
    /// Set if requests are turns of programs: maximum idle time of a program between turns.
    std::optional<Base::Duration> programRetention;
    /// Whether a turn carries only its new input, and the server has to receive the inputs and
    /// outputs of the turns that it continues as well.
    bool isHistoryKept = false;

    bool operator==(const Route &) const = default;
};

/// Properties of a service that routes depend on.
struct RoutedService
{
    Base::ServiceId id;
    /// Tokens in one event of a stream; 0 for services that are not model engines.
    Base::Tokens tokensPerEvent{0};
    /// Connections that a server accepts from all daemons together; 0 means unknown.
    std::uint32_t maxConnections = 0;
    /// Requests per second that a server takes while it is cold; 0 means any number.
    Base::RequestRate coldRate{0};
    /// Time for which a server is cold after its start.
    Base::Duration coldPeriod = std::chrono::seconds(3);

    bool operator==(const RoutedService &) const = default;
};

/// A team whose keys are opaque strings issued by another system.
struct RoutedTeam
{
    Team team;
    /// Overrides the route's priority.
    std::optional<std::uint32_t> priority;

    bool operator==(const RoutedTeam &) const = default;
};

/// Limits of the size and duration of a caller's request.
struct CallerLimits
{
    std::size_t headBytes = 16 * 1024;
    std::size_t bodyBytes = 4 * 1024 * 1024;
    Base::Duration headTimeout = std::chrono::seconds(3);
    Base::Duration idleTimeout = std::chrono::seconds(15);

    bool operator==(const CallerLimits &) const = default;
};

/// One version of the configuration of pass-through requests.
struct RoutingDocument
{
    Base::ConfigVersion version;
    std::vector<Route> routes;
    std::vector<RoutedService> services;
    /// Empty if no route requires a key.
    std::vector<RoutedTeam> teams;
    CallerLimits limits;

    bool operator==(const RoutingDocument &) const = default;
};

} // namespace Contracts
