#include <proxy/stopplan.h>

#include <criterion/criterion.h>

using namespace Proxy;

namespace {

StopStep step(int milliseconds, std::size_t requests, std::size_t connections)
{
    return StopPlan{}.stepAt(std::chrono::milliseconds(milliseconds), requests, connections);
}

} // namespace

Test(stopplan, takesConnectionsUntilTheBalancerHasNoticed)
{
    cr_assert(step(2000, 0, 0).isAccepting);
    cr_assert(!step(2000, 0, 0).isOver);
    cr_assert(!step(2000, 0, 5).isClosingIdle);
}

/// scale-1 --seed 977854953745 of wattlebird-prod: clients that came 6.9 s after SIGTERM kept the
/// daemon alive until it cut their streams at 8 s.
Test(stopplan, takesNoConnectionsOnceItHasLeft)
{
    cr_assert(!step(2600, 3, 3).isAccepting);
    cr_assert(!step(6900, 3, 3).isAccepting);
    cr_assert(!step(6900, 3, 3).isOver);
}

Test(stopplan, endsWhenNothingIsInFlight)
{
    cr_assert(!step(3000, 1, 1).isOver);
    cr_assert(!step(3000, 0, 1).isOver);
    cr_assert(step(3000, 0, 0).isOver);
    cr_assert(step(7400, 1, 1).isOver);
}
