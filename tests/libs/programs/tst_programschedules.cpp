#include "schedule.h"

#include <criterion/criterion.h>

#include <cstdio>

using namespace ProgramsTest;

namespace {

constexpr std::uint64_t scheduleCount = 4'000;
constexpr std::uint64_t shrinkSeeds = 300;

struct FailedSchedule
{
    ScheduleOptions options;
    std::string message;
    std::vector<std::string> trace;
};

std::optional<FailedSchedule> failureOf(const ScheduleOptions &options)
{
    Schedule schedule(options);
    const std::string message = schedule.run();
    if (message.empty()) {
        return std::nullopt;
    }
    return FailedSchedule{options, message, schedule.trace()};
}

/// Searches for a shorter failing run with fewer programs and kinds of faults.
FailedSchedule shrink(FailedSchedule failed)
{
    const auto keepIfShorter = [&failed](const ScheduleOptions &options) {
        const std::optional<FailedSchedule> other = failureOf(options);
        if (other && other->trace.size() < failed.trace.size()) {
            failed = *other;
        }
    };
    for (unsigned bit = 1; bit <= AllFaults; bit *= 2) {
        for (const int programs : {1, 2}) {
            ScheduleOptions fewer = failed.options;
            fewer.faults &= ~bit;
            fewer.programs = std::min(fewer.programs, programs);
            keepIfShorter(fewer);
        }
    }
    for (std::uint64_t seed = 1; seed <= shrinkSeeds; ++seed) {
        ScheduleOptions other = failed.options;
        other.seed = seed;
        keepIfShorter(other);
    }
    return failed;
}

void report(const FailedSchedule &failed)
{
    std::fprintf(stderr,
                 "seed %lu, %d programs, faults %u: %s\n",
                 static_cast<unsigned long>(failed.options.seed),
                 failed.options.programs,
                 failed.options.faults,
                 failed.message.c_str());
    for (const std::string &line : failed.trace) {
        std::fprintf(stderr, "  %s\n", line.c_str());
    }
}

} // namespace

Test(programschedules, agreeWithTheReferenceModel)
{
    for (std::uint64_t seed = 1; seed <= scheduleCount; ++seed) {
        const std::optional<FailedSchedule> failed = failureOf({seed});
        if (failed) {
            report(*failed);
            std::fprintf(stderr, "shortest run found:\n");
            report(shrink(*failed));
        }
        cr_assert(!failed, "seed %lu failed", static_cast<unsigned long>(seed));
    }
}
