#pragma once

#include <base/instant.h>

#include <cstddef>

namespace Proxy {

/// What a daemon that has been told to stop does at one moment.
struct StopStep
{
    /// Takes new connections. A balancer needs some seconds to notice that the daemon leaves.
    bool isAccepting = true;
    /// Closes connections on which no request has begun.
    bool isClosingIdle = false;
    bool isOver = false;
};

/// The course of a graceful stop. New connections end with the notice, as clients that still come
/// then would keep the daemon from ending until its requests are cut.
struct StopPlan
{
    /// A balancer takes a daemon out after two misses of a question asked each second.
    Base::Duration leaveNotice = std::chrono::milliseconds(2600);
    /// Longest wait for requests under way.
    Base::Duration drainTimeout = std::chrono::milliseconds(7400);

    StopStep stepAt(Base::Duration elapsed, std::size_t requests, std::size_t connections) const
    {
        StopStep step;
        const bool hasLeft = elapsed >= leaveNotice;
        step.isAccepting = !hasLeft;
        step.isClosingIdle = hasLeft;
        step.isOver = (hasLeft && requests == 0 && connections == 0) || elapsed >= drainTimeout;
        return step;
    }
};

} // namespace Proxy
