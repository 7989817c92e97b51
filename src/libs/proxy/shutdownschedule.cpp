#include "shutdownschedule.h"

#include <algorithm>

namespace Proxy {

namespace {

/// Time for the process to exit by itself.
constexpr Base::Duration maxKillMargin = std::chrono::milliseconds(600);

/// A request whose limit is a larger multiple of the remaining time is likely to be cut off.
constexpr int maxLimitFactor = 8;

} // namespace

/// The margins are shorter in proportion if the grace period is short.
ShutdownSchedule ShutdownSchedule::forGrace(Base::Duration grace)
{
    ShutdownSchedule schedule;
    schedule.drainTimeout = grace - std::min(maxKillMargin, grace * 3 / 40);
    schedule.flushTime = std::min(schedule.flushTime, grace / 40);
    schedule.balancerDelay = std::min(schedule.balancerDelay, schedule.requestsEnd() * 2 / 5);
    return schedule;
}

ShutdownState ShutdownSchedule::stateAt(Base::Duration elapsed,
                                        std::size_t requests,
                                        std::size_t connections) const
{
    ShutdownState state;
    const bool isRemoved = elapsed >= balancerDelay;
    state.isAccepting = !isRemoved;
    state.isClosingIdle = isRemoved;
    state.isEndingRequests = elapsed >= requestsEnd();
    state.isFinished = (isRemoved && requests == 0 && connections == 0) || elapsed >= drainTimeout;
    return state;
}

Base::Duration ShutdownSchedule::untilNextChange(Base::Duration elapsed) const
{
    for (const Base::Duration change : {balancerDelay, requestsEnd(), drainTimeout}) {
        if (elapsed < change) {
            return change - elapsed;
        }
    }
    return Base::Duration::zero();
}

/// Until the load balancer has removed the daemon, callers that are refused may come back to it, so
/// only requests are refused that must not be cut off and are likely to be.
bool ShutdownSchedule::isAdmitted(const UnsentRequest &request, Base::Duration elapsed) const
{
    const Base::Duration remaining = requestsEnd() - elapsed;
    if (request.timeLeft <= remaining) {
        return true;
    }
    if (elapsed >= balancerDelay) {
        return false;
    }
    return request.isRepeatable || request.timeLeft <= remaining * maxLimitFactor;
}

} // namespace Proxy
