#pragma once

#include "dispatcher.h"

namespace Dispatch {

/// A call from enqueue to its end.
struct Dispatcher::Call
{
    DispatchRequest request;
    Service *service = nullptr;
    QueueKey key;
    Base::Instant enqueuedAt;
    std::uint32_t attempt = 1;
    bool isWaiting = false;
    bool isCancelled = false;

    /// While it waits: the server that it is bound to, or the servers asked for a slot.
    Server *boundTo = nullptr;
    std::vector<Server *> asked;
    std::optional<Base::Instant> reconsiderAt;

    /// While it runs.
    Server *server = nullptr;
    std::optional<HeldSlot> slot;
    Base::Instant sentAt;
    Base::Tokens cached;
    double charged = 0;
    bool hasStarted = false;

    /// The last failure, if it is a retry.
    const Server *failedAt = nullptr;
    std::optional<Base::Error> failure;
};

/// A backend server with the calls that wait for it.
struct Dispatcher::Server
{
    BackendServer state;
    Service *service = nullptr;
    /// Calls that wait for this server only.
    FairQueue bound;
    /// Calls of the service's queue that asked this server for a slot.
    FairQueue asked;
    /// Place in the service's list of servers with a free slot.
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
    /// Calls that any server may take.
    FairQueue any;
    /// Calls that are bound to one server.
    FairQueue bound;
    RetryBudget retries;
    std::size_t turn = 0;

    std::size_t waiting() const { return any.size() + bound.size(); }
};

} // namespace Dispatch
