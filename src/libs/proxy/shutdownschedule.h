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

/// A request that no server has yet.
struct UnsentRequest
{
    /// Until the timeout of its route or the deadline of its caller, whichever is first.
    Base::Duration timeLeft{};
    /// It may run more than once.
    bool isRepeatable = false;
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

    /// The schedule of a process that is killed after \a grace.
    static ShutdownSchedule forGrace(Base::Duration grace);

    ShutdownState stateAt(Base::Duration elapsed,
                          std::size_t requests,
                          std::size_t connections) const;
    /// Time until stateAt() changes by itself.
    Base::Duration untilNextChange(Base::Duration elapsed) const;
    /// Whether the request may be sent to a server. Requests that are refused can be served by
    /// another daemon at once.
    bool isAdmitted(const UnsentRequest &request, Base::Duration elapsed) const;

private:
    Base::Duration requestsEnd() const { return drainTimeout - flushTime; }
};

} // namespace Proxy
