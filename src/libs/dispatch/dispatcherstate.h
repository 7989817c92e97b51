#pragma once

#include "dispatcher.h"

namespace Dispatch {

/// State of a call from enqueue to its end.
struct Dispatcher::Call
{
    DispatchRequest request;
    Service *service = nullptr;
    QueueKey key;
    Base::Instant enqueuedAt;
    std::uint32_t attempt = 1;
    bool isWaiting = false;
    bool isCancelled = false;

    /// While waiting: the server that the call is assigned to, or the servers that a slot was
    /// requested from.
    Server *assignedServer = nullptr;
    std::vector<Server *> slotServers;
    std::optional<Base::Instant> reconsiderAt;

    /// While running.
    Server *server = nullptr;
    std::optional<HeldSlot> slot;
    Base::Instant sentAt;
    Base::Tokens cached;
    double charged = 0;
    bool hasStarted = false;

    /// The last failure of a call that is retried.
    const Server *failedAt = nullptr;
    std::optional<Base::Error> failure;
};

/// A backend server with the calls that wait for it.
struct Dispatcher::Server
{
    BackendServer state;
    Service *service = nullptr;
    /// Calls that are assigned to this server.
    FairQueue assigned;
    /// Unassigned calls for which a slot was requested from this server.
    FairQueue slotDemand;
    /// Index in the service's list of servers with a free slot.
    std::optional<std::size_t> freeIndex;
    bool isGone = false;
};

/// One model or plain service.
struct Dispatcher::Service
{
    Base::ServiceId id;
    std::vector<Server *> servers;
    std::vector<Server *> freeServers;
    TeamCounters counters;
    /// Calls that may run on any server of the service.
    FairQueue unassigned;
    /// Calls that are assigned to one server.
    FairQueue assigned;
    RetryBudget retries;
    std::size_t roundRobinIndex = 0;

    std::size_t waiting() const { return unassigned.size() + assigned.size(); }
};

} // namespace Dispatch
