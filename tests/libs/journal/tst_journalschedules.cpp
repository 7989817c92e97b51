#include "schedule.h"

#include <criterion/criterion.h>

using namespace JournalTest;

namespace {

constexpr std::uint64_t schedulesPerTest = 1250;

/// Runs the seeds and checks that they reached the states to be tested.
void runSeeds(std::uint64_t first)
{
    ScheduleOutcome total;
    for (std::uint64_t seed = first; seed < first + schedulesPerTest; ++seed) {
        const ScheduleOutcome outcome = runSchedule(seed, faultsOf(seed), false);
        cr_assert(outcome.violation.empty(), "%s", explainFailure(seed).c_str());
        total.recoveries += outcome.recoveries;
        total.dispatched += outcome.dispatched;
        total.outageCommits += outcome.outageCommits;
    }
    cr_log_info("%d recoveries, %d calls, %d commits at witnesses",
                total.recoveries,
                total.dispatched,
                total.outageCommits);
    cr_assert_gt(total.recoveries, 1500);
    cr_assert_gt(total.dispatched, 50'000);
    cr_assert_gt(total.outageCommits, 10'000);
}

} // namespace

// Properties of every schedule: committed records are in every successor's replay, nothing commits
// after a seal, no call is dispatched twice, histories keep their order, and the schedule
// terminates. The seed alone reproduces a schedule; a failure prints it with the smallest set of
// faults.
Test(journalschedules, firstHalfOfTheSeeds)
{
    runSeeds(1);
}

Test(journalschedules, secondHalfOfTheSeeds)
{
    runSeeds(1 + schedulesPerTest);
}
