// Control traffic and store operations of membership and ownership against the size of the fleet,
// on the virtual clock. Usage: ownershipbench [SIZE ...]

#include "libs/ownership/simulatedfleet.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

using namespace std::chrono_literals;
using OwnershipTest::SimulatedFleet;

namespace {

constexpr std::uint64_t seed = 5;
constexpr std::size_t smallFleetLimit = 48;
constexpr std::uint16_t smallPartitionCount = 256;
constexpr std::uint16_t largePartitionCount = 4096;
constexpr Base::Duration settling = 90s;
constexpr Base::Duration observation = 60s;
constexpr Base::Duration recovery = 60s;

struct Totals
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t bytes = 0;
};

Totals totals(SimulatedFleet &fleet)
{
    Totals sum;
    for (const auto &[kind, counts] : fleet.store().counts()) {
        sum.reads += counts.reads;
        sum.writes += counts.writes;
        sum.conflicts += counts.conflicts;
        sum.bytes += counts.bytes;
    }
    return sum;
}

void clearCounts(SimulatedFleet &fleet)
{
    fleet.store().clearCounts();
    for (OwnershipTest::SimulatedDaemon &daemon : fleet.daemons()) {
        daemon.bytesSent = 0;
        daemon.bytesReceived = 0;
    }
}

double perSecond(std::uint64_t count, Base::Duration duration)
{
    return static_cast<double>(count) / Base::toSeconds(duration);
}

std::uint64_t largestPeerBytes(SimulatedFleet &fleet)
{
    std::uint64_t most = 0;
    for (const OwnershipTest::SimulatedDaemon &daemon : fleet.daemons()) {
        most = std::max(most, daemon.bytesSent + daemon.bytesReceived);
    }
    return most;
}

void printSteady(SimulatedFleet &fleet, std::size_t size)
{
    clearCounts(fleet);
    fleet.run(observation);
    const Totals steady = totals(fleet);
    std::printf(
        "%4zu daemons, %4u partitions: peers %5.0f B/s a daemon at most; store %6.1f reads/s, "
        "%5.1f writes/s, %5.0f B/s a daemon\n",
        size,
        static_cast<unsigned>(fleet.assignment().entries.size()),
        perSecond(largestPeerBytes(fleet), observation),
        perSecond(steady.reads, observation),
        perSecond(steady.writes, observation),
        perSecond(steady.bytes, observation) / static_cast<double>(size));
}

void printLoss(SimulatedFleet &fleet, const char *what, const std::vector<std::size_t> &lost)
{
    const Totals before = totals(fleet);
    const std::size_t writesBefore = fleet.assignmentWrites();
    const Base::Instant death = fleet.now();
    for (const std::size_t daemon : lost) {
        fleet.kill(daemon);
    }
    std::uint64_t mostReads = 0;
    std::uint64_t mostWrites = 0;
    Totals last = before;
    for (Base::Duration passed = 0s; passed < recovery; passed += 1s) {
        fleet.run(1s);
        const Totals sum = totals(fleet);
        mostReads = std::max(mostReads, sum.reads - last.reads);
        mostWrites = std::max(mostWrites, sum.writes - last.writes);
        last = sum;
    }
    std::printf("     %s: last partition acquired after %.2f s, %zu writes of the assignment, %lu "
                "conflicts, at most %lu reads and %lu writes in a second; %s\n",
                what,
                Base::toSeconds(fleet.lastAcquisition() - death),
                fleet.assignmentWrites() - writesBefore,
                last.conflicts - before.conflicts,
                mostReads,
                mostWrites,
                fleet.settledProblem().empty() ? "settled" : fleet.settledProblem().c_str());
}

void run(std::size_t size)
{
    SimulatedFleet fleet(seed, size <= smallFleetLimit ? smallPartitionCount : largePartitionCount);
    for (std::size_t vm = 0; vm < size; ++vm) {
        fleet.startDaemon(vm);
    }
    fleet.run(settling);
    printSteady(fleet, size);
    printLoss(fleet, "one daemon lost", {1});
    std::vector<std::size_t> zone;
    for (std::size_t i = 0; i < size; i += 3) {
        zone.push_back(i);
    }
    printLoss(fleet, "one zone lost", zone);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<std::size_t> sizes{3, 6, 9, 12, 24, 48, 120, 340};
    if (argc > 1) {
        sizes.clear();
    }
    for (int i = 1; i < argc; ++i) {
        sizes.push_back(std::strtoul(argv[i], nullptr, 10));
    }
    for (const std::size_t size : sizes) {
        run(size);
    }
    return 0;
}
