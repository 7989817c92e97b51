#include "schedule.h"

#include <criterion/criterion.h>

#include <cstdlib>

using namespace JournalTest;

namespace {

constexpr std::uint64_t schedules = 2500;

} // namespace

// Under every schedule: what was committed is in every successor's replay, nothing commits after a
// seal, no call is dispatched twice, histories keep their order, and all of it ends.
Test(journalschedules, randomSchedulesOfTwoFaults)
{
    const char *only = std::getenv("JOURNAL_SEED");
    const std::uint64_t first = only ? std::strtoull(only, nullptr, 10) : 1;
    const std::uint64_t last = only ? first : schedules;
    ScheduleOutcome total;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        const ScheduleOutcome outcome = runSchedule(seed, faultsOf(seed), false);
        cr_assert(outcome.violation.empty(), "%s", explainFailure(seed).c_str());
        total.recoveries += outcome.recoveries;
        total.degraded += outcome.degraded;
        total.dispatched += outcome.dispatched;
        total.outageCommits += outcome.outageCommits;
    }
    if (!only) {
        cr_assert_gt(total.recoveries, 2000);
        cr_assert_gt(total.degraded, 0);
        cr_assert_gt(total.dispatched, 20000);
        cr_assert_gt(total.outageCommits, 1000);
    }
    cr_log_info("%d recoveries, %d degraded, %d calls, %d commits at witnesses",
                total.recoveries,
                total.degraded,
                total.dispatched,
                total.outageCommits);
}
