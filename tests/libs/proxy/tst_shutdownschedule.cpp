#include <proxy/shutdownschedule.h>

#include <criterion/criterion.h>

using namespace Proxy;

namespace {

ShutdownState stateAfter(int milliseconds, std::size_t requests, std::size_t connections)
{
    return ShutdownSchedule{}.stateAt(
        std::chrono::milliseconds(milliseconds), requests, connections);
}

} // namespace

Test(shutdownschedule, acceptsConnectionsDuringTheBalancerDelay)
{
    cr_assert(stateAfter(2000, 0, 0).isAccepting);
    cr_assert(!stateAfter(2000, 0, 0).isFinished);
    cr_assert(!stateAfter(2000, 0, 5).isClosingIdle);
}

/// Clients that connect late must not delay the shutdown until drainTimeout cuts off their streams.
/// Seen in scenario scale-1 of wattlebird-prod (seed 977854953745): clients that connected 6.9 s
/// after SIGTERM kept the daemon running until it aborted their streams at 8 s.
Test(shutdownschedule, acceptsNoConnectionsAfterTheBalancerDelay)
{
    cr_assert(!stateAfter(2600, 3, 3).isAccepting);
    cr_assert(!stateAfter(6900, 3, 3).isAccepting);
    cr_assert(!stateAfter(6900, 3, 3).isFinished);
}

Test(shutdownschedule, endsWhenNothingIsInFlight)
{
    cr_assert(!stateAfter(3000, 1, 1).isFinished);
    cr_assert(!stateAfter(3000, 0, 1).isFinished);
    cr_assert(stateAfter(3000, 0, 0).isFinished);
    cr_assert(stateAfter(7400, 1, 1).isFinished);
}

/// Guards against a drain time that ends with requests in progress and no response to them.
Test(shutdownschedule, endsRequestsBeforeTheProcessEnds)
{
    cr_assert(!stateAfter(7100, 1, 1).isEndingRequests);
    cr_assert(stateAfter(7200, 1, 1).isEndingRequests);
    cr_assert(!stateAfter(7200, 1, 1).isFinished);
}
