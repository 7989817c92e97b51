#pragma once

#include <base/instant.h>

#include <cstddef>

namespace Proxy {

/// Actions of a daemon at a given time of its graceful shutdown.
struct ShutdownState
{
    /// New connections are accepted.
    bool isAccepting = true;
    /// Connections without a request are closed.
    bool isClosingIdle = false;
    /// Requests in progress are ended, as the process is about to be killed.
    bool isEndingRequests = false;
    bool isFinished = false;
};

/// Schedule of a graceful shutdown. No connections are accepted after balancerDelay, as requests of
/// late clients would keep the daemon running until drainTimeout cuts them off.
struct ShutdownSchedule
{
    /// A load balancer removes a daemon after two failed health checks, made once per second.
    Base::Duration balancerDelay = std::chrono::milliseconds(2600);
    /// Maximum time for requests in flight, counted from the start of the shutdown.
    Base::Duration drainTimeout = std::chrono::milliseconds(7400);
    /// Time in which the responses of ended requests reach their callers.
    Base::Duration flushTime = std::chrono::milliseconds(200);

    ShutdownState stateAt(Base::Duration elapsed,
                          std::size_t requests,
                          std::size_t connections) const
    {
        ShutdownState state;
        const bool isRemoved = elapsed >= balancerDelay;
        state.isAccepting = !isRemoved;
        state.isClosingIdle = isRemoved;
        state.isEndingRequests = elapsed >= drainTimeout - flushTime;
        state.isFinished
            = (isRemoved && requests == 0 && connections == 0) || elapsed >= drainTimeout;
        return state;
    }
};

} // namespace Proxy
