#include "corefleet.h"

#include <criterion/criterion.h>

using namespace std::chrono_literals;

namespace {

constexpr size_t partitionCount = 64;

bool isServed(const CoreFleet &fleet)
{
    return fleet.servedPartitions() == partitionCount;
}

void waitUntilServed(CoreFleet &fleet)
{
    cr_assert(fleet.runUntil([&] { return isServed(fleet); }, 60s));
    fleet.run(2s);
}

size_t executionsOf(const CoreFleet &fleet, const std::string &callName)
{
    return static_cast<size_t>(std::count_if(
        fleet.executions().begin(), fleet.executions().end(), [&](const Execution &e) {
            return e.callName == callName;
        }));
}

bool isAnswered(const CoreFleet &fleet, size_t caller)
{
    return fleet.caller(caller).last.has_value();
}

} // namespace

Test(daemoncore, programRunsThroughAnotherDaemon)
{
    CoreFleet fleet(3, 1);
    waitUntilServed(fleet);
    const Base::ProgramId program = fleet.createProgram(0);
    cr_assert(!program.isEmpty());
    const size_t model = fleet.submit(1, program, 1, "planner", "menu", true);
    cr_assert(fleet.runUntil([&] { return isAnswered(fleet, model); }, 10s));
    cr_assert(fleet.caller(model).done());
    cr_assert_eq(fleet.caller(model).pieces.size(), 5U);
    const size_t tool = fleet.submit(2, program, 2, "orders", "forty meals");
    cr_assert(fleet.runUntil([&] { return isAnswered(fleet, tool); }, 10s));
    cr_assert_str_eq(fleet.caller(tool).done()->turn.output.c_str(), "done forty meals");
    cr_assert_eq(executionsOf(fleet, program.text() + "/2"), 1U);
}

Test(daemoncore, repeatGetsTheRecordedAnswerAndOtherBodyConflicts)
{
    CoreFleet fleet(3, 2);
    waitUntilServed(fleet);
    const Base::ProgramId program = fleet.createProgram(0);
    for (const size_t daemon : {0, 1, 2}) {
        const size_t tool = fleet.submit(daemon, program, 1, "orders", "soup");
        cr_assert(fleet.runUntil([&] { return isAnswered(fleet, tool); }, 10s));
        cr_assert(fleet.caller(tool).done());
    }
    cr_assert_eq(executionsOf(fleet, program.text() + "/1"), 1U);
    const size_t other = fleet.submit(1, program, 1, "orders", "stew");
    cr_assert(fleet.runUntil([&] { return isAnswered(fleet, other); }, 10s));
    cr_assert(fleet.caller(other).error()->code == Base::ErrorCode::NumberConflict);
}

Test(daemoncore, ownerKilledMidCallNeverRepeatsATool)
{
    CoreFleet fleet(3, 3);
    waitUntilServed(fleet);
    const Base::ProgramId program = fleet.createProgram(0);
    fleet.toolTime = 200ms;
    const size_t tool = fleet.submit(1, program, 1, "orders", "jacks and quills");
    cr_assert(fleet.runUntil([&] { return executionsOf(fleet, program.text() + "/1") == 1; }, 10s));
    fleet.kill(0);
    cr_assert(fleet.runUntil([&] { return isAnswered(fleet, tool); }, 30s));
    cr_assert(fleet.caller(tool).error());
    cr_assert(fleet.caller(tool).error()->ran == Base::Ran::MayHaveRun);
    const size_t next = fleet.submit(2, program, 2, "planner", "go on");
    cr_assert(fleet.runUntil([&] { return isAnswered(fleet, next); }, 30s));
    cr_assert(fleet.caller(next).done() && !fleet.caller(next).error());
    cr_assert_eq(executionsOf(fleet, program.text() + "/1"), 1U);
}

Test(daemoncore, modelCallSurvivesItsOwner)
{
    CoreFleet fleet(3, 4);
    waitUntilServed(fleet);
    const Base::ProgramId program = fleet.createProgram(0);
    const size_t first = fleet.submit(1, program, 1, "orders", "one");
    cr_assert(fleet.runUntil([&] { return isAnswered(fleet, first); }, 10s));
    const size_t model = fleet.submit(1, program, 2, "planner", "plan", true);
    cr_assert(fleet.runUntil([&] { return fleet.caller(model).pieces.size() == 2; }, 10s));
    fleet.kill(0);
    const Base::Instant killedAt = fleet.now();
    cr_assert(fleet.runUntil([&] { return isAnswered(fleet, model); }, 30s));
    cr_assert(fleet.caller(model).done());
    std::string text;
    for (const std::string &piece : fleet.caller(model).pieces) {
        text += piece;
    }
    cr_assert_str_eq(text.c_str(), fleet.caller(model).done()->turn.output.c_str());
    cr_log_info("recovered after %ld ms", long((fleet.now() - killedAt).count() / 1000));
    const size_t repeat = fleet.submit(2, program, 1, "orders", "one");
    cr_assert(fleet.runUntil([&] { return isAnswered(fleet, repeat); }, 10s));
    cr_assert_str_eq(fleet.caller(repeat).done()->turn.output.c_str(), "done one");
    cr_assert_eq(executionsOf(fleet, program.text() + "/1"), 1U);
}

Test(daemoncore, storeOutageDoesNotStopCalls)
{
    CoreFleet fleet(3, 5);
    waitUntilServed(fleet);
    const Base::ProgramId program = fleet.createProgram(0);
    fleet.store().setOutage(true);
    for (std::uint32_t number = 1; number <= 20; ++number) {
        const size_t tool = fleet.submit(number % 3, program, number, "orders", "meal");
        cr_assert(fleet.runUntil([&] { return isAnswered(fleet, tool); }, 10s), "call %u", number);
        cr_assert(!fleet.caller(tool).error(),
                  "call %u: %s",
                  number,
                  fleet.caller(tool).error()->message.c_str());
        fleet.run(1s);
    }
    fleet.store().setOutage(false);
    fleet.run(5s);
    fleet.kill(0);
    const size_t repeat = fleet.submit(1, program, 20, "orders", "meal");
    cr_assert(fleet.runUntil([&] { return isAnswered(fleet, repeat); }, 30s));
    cr_assert(!fleet.caller(repeat).error());
    cr_assert_eq(executionsOf(fleet, program.text() + "/20"), 1U);
}

/// Guards against a fleet that serves nothing after a kill of all daemons, as each waits for
/// witnesses that ended with the earlier processes, its own among them.
Test(daemoncore, aFleetRecoversAfterAKillOfAllDaemons)
{
    constexpr std::uint64_t seeds = 10;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CoreFleet fleet(3, seed);
        waitUntilServed(fleet);
        const Base::ProgramId program = fleet.createProgram(0);
        const size_t first = fleet.submit(1, program, 1, "orders", "one");
        cr_assert(fleet.runUntil([&] { return isAnswered(fleet, first); }, 10s));
        for (size_t daemon = 0; daemon < fleet.size(); ++daemon) {
            fleet.kill(daemon);
        }
        for (size_t daemon = 0; daemon < fleet.size(); ++daemon) {
            fleet.run(seed
                      * 800ms); // the first may fence the leases before the last one lists them
            fleet.restart((daemon + seed) % fleet.size());
        }
        waitUntilServed(fleet);
        const size_t repeat = fleet.submit(2, program, 1, "orders", "one");
        cr_assert(fleet.runUntil([&] { return isAnswered(fleet, repeat); }, 10s));
        cr_assert_str_eq(fleet.caller(repeat).done()->turn.output.c_str(), "done one");
        cr_assert_eq(executionsOf(fleet, program.text() + "/1"), 1U);
    }
}

Test(daemoncore, shutdownHandsOverWithoutAGap)
{
    CoreFleet fleet(3, 6);
    waitUntilServed(fleet);
    const Base::ProgramId program = fleet.createProgram(0);
    const size_t first = fleet.submit(1, program, 1, "orders", "one");
    fleet.beginShutdown(0);
    cr_assert(fleet.runUntil([&] { return isAnswered(fleet, first); }, 10s));
    cr_assert(!fleet.caller(first).error());
    cr_assert(fleet.runUntil([&] { return fleet.core(0).servedPartitions() == 0; }, 20s));
    const size_t second = fleet.submit(2, program, 2, "orders", "two");
    cr_assert(fleet.runUntil([&] { return isAnswered(fleet, second); }, 10s));
    cr_assert(!fleet.caller(second).error());
    cr_assert_eq(fleet.executions().size(), 2U);
}

Test(daemoncore, noRequestOrRunStaysOpenWhenTheWholeFleetStops)
{
    CoreFleet fleet(3, 7);
    waitUntilServed(fleet);
    const Base::ProgramId program = fleet.createProgram(0);
    const size_t first = fleet.submit(1, program, 1, "planner", "one", true);
    cr_assert(fleet.runUntil([&] { return fleet.caller(first).pieces.size() == 2; }, 10s));
    fleet.kill(0);
    cr_assert(fleet.runUntil([&] { return isAnswered(fleet, first); }, 30s));
    fleet.beginShutdown(1);
    fleet.beginShutdown(2);
    fleet.run(5s);
    for (const size_t daemon : {1, 2}) {
        cr_assert_eq(fleet.core(daemon).openRequests(), 0U);
        cr_assert_eq(fleet.core(daemon).openRuns(), 0U);
    }
}

Test(daemoncore, callerLeavingBeforeTheDispatchLeavesNoOpenRun)
{
    CoreFleet fleet(3, 8);
    waitUntilServed(fleet);
    const Base::ProgramId program = fleet.createProgram(0);
    const size_t first = fleet.submit(0, program, 1, "planner", "one");
    fleet.callerLeaves(first);
    fleet.run(10s);
    for (size_t daemon = 0; daemon < fleet.size(); ++daemon) {
        cr_assert_eq(fleet.core(daemon).openRuns(), 0U);
    }
}
