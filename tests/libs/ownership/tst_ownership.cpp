#include "simulatedfleet.h"

#include <ownership/assignmentplan.h>

#include <criterion/criterion.h>

#include <algorithm>

using namespace std::chrono_literals;
using Ownership::Assignment;
using Ownership::PartitionEntry;
using OwnershipTest::SimulatedFleet;

namespace {

constexpr std::uint16_t partitionCount = 256;
constexpr std::uint64_t seed = 7;
constexpr Base::Duration settling = 30s;

/// Starts a fleet, waits until it has settled and resets the store's counters.
std::unique_ptr<SimulatedFleet> settledFleet(std::size_t size)
{
    auto fleet = std::make_unique<SimulatedFleet>(seed, partitionCount);
    for (std::size_t vm = 0; vm < size; ++vm) {
        fleet->startDaemon(vm);
    }
    fleet->run(settling);
    cr_assert_eq(fleet->settledProblem(), "");
    fleet->store().clearCounts();
    return fleet;
}

std::size_t ownedBy(const SimulatedFleet &fleet, const Base::IncarnationId &owner)
{
    return static_cast<std::size_t>(
        std::ranges::count(fleet.assignment().entries, owner, &PartitionEntry::owner));
}

Base::Epoch highestEpoch(const Assignment &assignment)
{
    return std::ranges::max_element(assignment.entries, {}, &PartitionEntry::epoch)->epoch;
}

OwnershipTest::StoreCounts countsOf(SimulatedFleet &fleet, Platform::ObjectKind kind)
{
    const auto &counts = fleet.store().counts();
    const auto found = counts.find(kind);
    return found == counts.end() ? OwnershipTest::StoreCounts() : found->second;
}

} // namespace

Test(ownership, simultaneousStartWritesOneAssignment)
{
    SimulatedFleet fleet(seed, partitionCount);
    for (std::size_t vm = 0; vm < 9; ++vm) {
        fleet.startDaemon(vm);
    }
    fleet.run(settling);
    cr_assert_eq(fleet.settledProblem(), "");
    cr_assert_eq(fleet.assignmentWrites(), 1U);
    cr_assert_eq(highestEpoch(fleet.assignment()), Base::Epoch(1));
}

Test(ownership, oneDaemonTakesOverThePartitionsOfALostOwner)
{
    const auto fleet = settledFleet(9);
    const Base::Instant death = fleet->now();
    fleet->kill(4);
    fleet->run(5s);
    cr_assert_eq(ownedBy(*fleet, fleet->daemons()[4].identity.incarnation), 0U);
    cr_assert_lt((fleet->lastAcquisition() - death).count(), Base::Duration(5s).count());
    fleet->run(settling);
    cr_assert_eq(fleet->settledProblem(), "");
    cr_assert(fleet->violations().empty());
    // One fence, one takeover, and one write per new owner to remove the recovered predecessors,
    // some of them retried.
    cr_assert_leq(countsOf(*fleet, Platform::ObjectKind::DaemonLease).conflicts, 1U);
    cr_assert_leq(countsOf(*fleet, Platform::ObjectKind::Assignment).writes, 1U + 8U + 4U);
}

Test(ownership, storeOutageDoesNotChangeOwners)
{
    const auto fleet = settledFleet(9);
    const Assignment before = fleet->assignment();
    fleet->setStoreUp(false);
    fleet->run(300s);
    fleet->setStoreUp(true);
    fleet->run(settling);
    cr_assert(fleet->assignment() == before);
    cr_assert_eq(fleet->leasesLost(), 0U);
}

Test(ownership, takeoverWaitsForTheStore)
{
    const auto fleet = settledFleet(9);
    const Base::IncarnationId lost = fleet->daemons()[0].identity.incarnation;
    fleet->setStoreUp(false);
    fleet->run(10s);
    fleet->kill(0);
    fleet->run(60s);
    cr_assert_gt(ownedBy(*fleet, lost), 0U);
    fleet->setStoreUp(true);
    fleet->run(10s);
    cr_assert_eq(ownedBy(*fleet, lost), 0U);
    cr_assert_eq(fleet->leasesLost(), 0U);
}

Test(ownership, storeOutageDoesNotCountTowardsLeaseExpiry)
{
    const auto fleet = settledFleet(9);
    fleet->setStoreUp(false);
    fleet->run(60s);
    fleet->pause(2);
    fleet->run(5s);
    fleet->setStoreUp(true);
    fleet->run(1s);
    fleet->resume(2);
    fleet->run(settling);
    cr_assert_eq(fleet->leasesLost(), 0U);
}

Test(ownership, pausedOwnerIsFencedAndRejoins)
{
    const auto fleet = settledFleet(9);
    fleet->pause(2);
    fleet->run(20s);
    cr_assert_eq(ownedBy(*fleet, fleet->daemons()[2].identity.incarnation), 0U);
    fleet->resume(2);
    fleet->run(60s);
    cr_assert_eq(fleet->leasesLost(), 1U);
    cr_assert_eq(fleet->daemons().size(), 10U);
    cr_assert_gt(ownedBy(*fleet, fleet->daemons()[9].identity.incarnation), 20U);
    cr_assert_eq(fleet->settledProblem(), "");
}

Test(ownership, shortPauseDoesNotChangeOwners)
{
    const auto fleet = settledFleet(9);
    const Assignment before = fleet->assignment();
    fleet->pause(2);
    fleet->run(1s);
    fleet->resume(2);
    fleet->run(settling);
    cr_assert(fleet->assignment() == before);
}

Test(ownership, secondTakeoverKeepsUnrecoveredPredecessors)
{
    const auto fleet = settledFleet(9);
    fleet->faults().shortestRecovery = fleet->faults().longestRecovery = 3600s;
    const Base::IncarnationId first = fleet->daemons()[0].identity.incarnation;
    fleet->kill(0);
    fleet->run(10s);
    std::size_t second = 0;
    std::size_t partition = 0;
    const Assignment between = fleet->assignment();
    while (between.entries[partition].predecessors.empty()) {
        ++partition;
    }
    while (fleet->daemons()[second].identity.incarnation != between.entries[partition].owner) {
        ++second;
    }
    fleet->kill(second);
    fleet->run(10s);
    const PartitionEntry entry = fleet->assignment().entries[partition];
    cr_assert_eq(entry.predecessors.size(), 2U);
    cr_assert_eq(entry.predecessors[0].incarnation, first);
    cr_assert_eq(entry.predecessors[1].incarnation, fleet->daemons()[second].identity.incarnation);
    cr_assert_eq(entry.epoch, Base::Epoch(3));
}

Test(ownership, plannedShutdownReleasesEveryPartition)
{
    const auto fleet = settledFleet(9);
    const Base::IncarnationId leaving = fleet->daemons()[3].identity.incarnation;
    fleet->faults().shortestRecovery = 2s;
    fleet->faults().longestRecovery = 3s;
    const std::size_t owned = ownedBy(*fleet, leaving);
    fleet->beginShutdown(3);
    fleet->run(3500ms);
    cr_assert(fleet->daemons()[3].isShutdownComplete);
    std::size_t released = 0;
    for (const PartitionEntry &entry : fleet->assignment().entries) {
        cr_assert_neq(entry.owner, leaving);
        const bool isReleased = !entry.predecessors.empty()
                                && entry.predecessors.back().incarnation == leaving
                                && entry.predecessors.back().releasedAt;
        released += isReleased ? 1 : 0;
    }
    cr_assert_eq(released, owned);
    fleet->run(settling);
    cr_assert_eq(fleet->settledProblem(), "");
}

Test(ownership, joiningDaemonGetsItsShareByHandover)
{
    const auto fleet = settledFleet(6);
    fleet->startDaemon(6);
    fleet->run(60s);
    cr_assert_eq(fleet->settledProblem(), "");
    cr_assert_geq(ownedBy(*fleet, fleet->daemons()[6].identity.incarnation), 36U);
    cr_assert_eq(fleet->leasesLost(), 0U);
    cr_assert(fleet->violations().empty());
}

Test(ownership, witnessesAreInTwoOtherZones)
{
    const auto fleet = settledFleet(9);
    for (const OwnershipTest::SimulatedDaemon &daemon : fleet->daemons()) {
        const std::vector<Base::IncarnationId> witnesses = daemon.manager->witnessesInUse();
        cr_assert_eq(witnesses.size(), 2U);
        const Base::ZoneId first = daemon.view->find(witnesses[0])->zone;
        const Base::ZoneId second = daemon.view->find(witnesses[1])->zone;
        cr_assert_neq(first, daemon.identity.zone);
        cr_assert_neq(second, daemon.identity.zone);
        cr_assert_neq(first, second);
    }
}

Test(ownership, lostWitnessIsReplaced)
{
    const auto fleet = settledFleet(9);
    const Base::IncarnationId lost = fleet->daemons()[0].manager->witnessesInUse()[0];
    for (std::size_t i = 1; i < fleet->daemons().size(); ++i) {
        if (fleet->daemons()[i].identity.incarnation == lost) {
            fleet->kill(i);
        }
    }
    fleet->run(settling);
    const std::vector<Base::IncarnationId> now = fleet->daemons()[0].manager->witnessesInUse();
    cr_assert_eq(now.size(), 2U);
    cr_assert(std::ranges::find(now, lost) == now.end());
}

Test(ownership, unreferencedLeasesAreDeleted)
{
    const auto fleet = settledFleet(3);
    const Platform::ObjectKey key = Ownership::leaseKey(fleet->daemons()[1].identity.incarnation);
    fleet->kill(1);
    fleet->run(30s);
    cr_assert_not_null(fleet->store().find(key));
    fleet->run(180s);
    cr_assert_null(fleet->store().find(key));
}
