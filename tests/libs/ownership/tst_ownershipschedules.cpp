#include "simulatedfleet.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace std::chrono_literals;
using OwnershipTest::RunState;
using OwnershipTest::SimulatedFleet;

namespace {

constexpr std::uint16_t partitionCount = 64;
constexpr std::uint64_t firstSeed = 1;
constexpr std::uint64_t lastSeed = 150;

std::vector<std::size_t> daemonsIn(SimulatedFleet &fleet, RunState state)
{
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < fleet.daemons().size(); ++i) {
        if (fleet.daemons()[i].state == state && !fleet.daemons()[i].isShutdownComplete) {
            found.push_back(i);
        }
    }
    return found;
}

void startFleet(SimulatedFleet &fleet, std::size_t size)
{
    for (std::size_t vm = 0; vm < size; ++vm) {
        fleet.startDaemon(vm);
    }
}

void expectNoViolation(const SimulatedFleet &fleet, std::uint64_t seed)
{
    const auto &violations = fleet.violations();
    cr_expect(violations.empty(),
              "seed %lu: %s",
              seed,
              violations.empty() ? "" : violations.front().c_str());
}

void expectSettled(const SimulatedFleet &fleet, std::uint64_t seed)
{
    const std::string problem = fleet.settledProblem();
    cr_expect(problem.empty(), "seed %lu: %s", seed, problem.c_str());
}

/// Injects one random fault or repair.
void injectFault(SimulatedFleet &fleet, Base::Random &random, std::size_t &nextVm)
{
    const std::vector<std::size_t> running = daemonsIn(fleet, RunState::Running);
    const std::vector<std::size_t> paused = daemonsIn(fleet, RunState::Paused);
    if (running.empty()) {
        fleet.startDaemon(nextVm++);
        return;
    }
    const bool canLoseDaemon = running.size() > 3;
    const std::size_t chosen = running[random.below(running.size())];
    switch (random.below(8)) {
    case 0:
        if (canLoseDaemon) {
            fleet.kill(chosen);
        }
        break;
    case 1:
        if (canLoseDaemon) {
            fleet.pause(chosen);
        }
        break;
    case 2:
        if (canLoseDaemon) {
            fleet.beginShutdown(chosen);
        }
        break;
    case 3:
        if (!paused.empty()) {
            fleet.resume(paused.front());
        }
        break;
    case 4:
        fleet.setStoreUp(false);
        break;
    case 5:
    case 6:
        fleet.setStoreUp(true);
        break;
    default:
        if (running.size() < 10) {
            fleet.startDaemon(nextVm++);
        }
    }
}

void runRandomSchedule(std::uint64_t seed)
{
    SimulatedFleet fleet(seed, partitionCount);
    Base::Random random(seed * 1000003);
    std::size_t nextVm = 3 + random.below(6);
    startFleet(fleet, nextVm);
    fleet.faults().lostAnswer = 0.05;
    fleet.faults().lostMessage = 0.02;
    fleet.faults().longestRecovery = 2s;
    for (int step = 0; step < 25; ++step) {
        fleet.run(Base::Duration(static_cast<std::int64_t>(random.below(6'000'000))));
        injectFault(fleet, random, nextVm);
    }
    fleet.setStoreUp(true);
    for (const std::size_t daemon : daemonsIn(fleet, RunState::Paused)) {
        fleet.resume(daemon);
    }
    fleet.faults().lostAnswer = 0;
    fleet.faults().lostMessage = 0;
    fleet.run(120s);
    expectNoViolation(fleet, seed);
    expectSettled(fleet, seed);
}

} // namespace

Test(ownershipschedules, randomFaultsKeepEveryPartitionOwned)
{
    for (std::uint64_t seed = firstSeed; seed <= lastSeed; ++seed) {
        runRandomSchedule(seed);
    }
}
