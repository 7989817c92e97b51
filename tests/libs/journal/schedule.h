#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace JournalTest {

enum class Fault {
    MessageLoss,
    MessageDelay,
    StoreRequestLoss,
    StoreAnswerLoss,
    StoreDelay,
    Outage,
    OwnerCrash,
    OwnerPause,
    WitnessCrash,
    WitnessPause,
    SuccessorCrash,
    SuccessorPause
};

inline constexpr int faultCount = 12;

std::string toString(Fault fault);

/// Result of one schedule; the counts show that the schedules reach the states to be tested.
struct ScheduleOutcome
{
    /// Empty if every property held.
    std::string violation;
    std::vector<std::string> trace;
    int recoveries = 0;
    int degraded = 0;
    int dispatched = 0;
    int outageCommits = 0;
};

/// Runs an owner, a successor, a second successor and three witnesses under the faults.
ScheduleOutcome runSchedule(std::uint64_t seed, const std::set<Fault> &faults, bool isTracing);

/// The one or two faults of a seed.
std::set<Fault> faultsOf(std::uint64_t seed);

/// Describes a failure by its seed, violation and trace, with the smallest set of faults that
/// reproduces it.
std::string explainFailure(std::uint64_t seed);

} // namespace JournalTest
