#include <proxy/shutdownschedule.h>

#include <criterion/criterion.h>

#include <vector>

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

/// Guards against a grace period for which the fixed times leave none for the requests.
Test(shutdownschedule, followsFromTheGracePeriod)
{
    for (const int grace : {100, 500, 1000, 2000, 7500, 8000, 30'000}) {
        const auto schedule = ShutdownSchedule::forGrace(std::chrono::milliseconds(grace));
        const Base::Duration end = schedule.drainTimeout - schedule.flushTime;
        cr_assert_gt(schedule.balancerDelay.count(), 0, "grace %d", grace);
        cr_assert_lt(schedule.balancerDelay.count(), end.count() / 2, "grace %d", grace);
        cr_assert_gt(end.count(), grace * 1000 * 8 / 10, "grace %d", grace);
        cr_assert_gt(schedule.flushTime.count(), 0, "grace %d", grace);
        cr_assert_lt(schedule.drainTimeout.count(), grace * 1000, "grace %d", grace);
    }
    const auto usual = ShutdownSchedule::forGrace(std::chrono::seconds(8));
    cr_assert_eq(usual.balancerDelay, ShutdownSchedule{}.balancerDelay);
    cr_assert_eq(usual.drainTimeout, ShutdownSchedule{}.drainTimeout);
    cr_assert_eq(usual.flushTime, ShutdownSchedule{}.flushTime);
}

Test(shutdownschedule, namesTheNextChange)
{
    using std::chrono::milliseconds;
    const ShutdownSchedule schedule;
    cr_assert_eq(schedule.untilNextChange(milliseconds(0)), milliseconds(2600));
    cr_assert_eq(schedule.untilNextChange(milliseconds(2600)), milliseconds(4600));
    cr_assert_eq(schedule.untilNextChange(milliseconds(7150)), milliseconds(50));
    cr_assert_eq(schedule.untilNextChange(milliseconds(7250)), milliseconds(150));
    cr_assert_eq(schedule.untilNextChange(milliseconds(7400)), milliseconds(0));
}

/// Guards against late requests that are sent to a server and cut off at the end of the process,
/// and against refusals of requests that can end in time or would come back to the same daemon
/// (LOST).
Test(shutdownschedule, decidesWhichRequestsAreSent)
{
    struct Row
    {
        int grace;
        int elapsed;
        int timeLeft;
        bool isRepeatable;
        bool isAdmitted;
    };
    constexpr bool repeatable = true;
    constexpr bool once = false;
    const std::vector<Row> rows{
        // The load balancer still sends requests.
        {8000, 0, 3000, once, true},
        {8000, 2500, 3000, once, true},
        {8000, 2500, 30'000, once, true},
        {8000, 2500, 60'000, once, false},
        {8000, 0, 60'000, once, false},
        {8000, 2500, 600'000, repeatable, true},
        // It does not any more.
        {8000, 2600, 3000, once, true},
        {8000, 2600, 4600, once, true},
        {8000, 2600, 4601, once, false},
        {8000, 2600, 4601, repeatable, false},
        {8000, 4200, 3000, once, true},
        {8000, 4201, 3000, once, false},
        {8000, 4201, 3000, repeatable, false},
        {8000, 7100, 100, once, true},
        // Requests are being ended.
        {8000, 7200, 1, once, false},
        {8000, 7399, 1, repeatable, false},
        // Other grace periods.
        {2000, 700, 1100, once, true},
        {2000, 700, 3000, once, true},
        {2000, 700, 30'000, once, false},
        {2000, 700, 30'000, repeatable, true},
        {2000, 720, 3000, repeatable, false},
        {2000, 720, 1080, once, true},
        {30'000, 2500, 60'000, once, true},
        {30'000, 2600, 26'600, once, true},
        {30'000, 2600, 30'000, repeatable, false},
        {500, 100, 300, once, true},
        {500, 200, 300, once, false},
    };
    for (const Row &row : rows) {
        using std::chrono::milliseconds;
        const auto schedule = ShutdownSchedule::forGrace(milliseconds(row.grace));
        const bool isAdmitted = schedule.isAdmitted({milliseconds(row.timeLeft), row.isRepeatable},
                                                    milliseconds(row.elapsed));
        cr_assert_eq(isAdmitted,
                     row.isAdmitted,
                     "grace %d, elapsed %d, time left %d, repeatable %d",
                     row.grace,
                     row.elapsed,
                     row.timeLeft,
                     row.isRepeatable);
    }
}

/// Guards against a drain time that ends with requests in progress and no response to them.
Test(shutdownschedule, endsRequestsBeforeTheProcessEnds)
{
    cr_assert(!stateAfter(7100, 1, 1).isEndingRequests);
    cr_assert(stateAfter(7200, 1, 1).isEndingRequests);
    cr_assert(!stateAfter(7200, 1, 1).isFinished);
}
