#include "replicationfleet.h"
#include "turns.h"

#include <criterion/criterion.h>

using namespace TurnHistory;

namespace {

bool none(const Base::VmId &)
{
    return false;
}

constexpr int ticksToReplace = 4;
constexpr int keys = 40;

std::vector<Turn> writeTurns(ReplicationFleet &fleet)
{
    std::vector<Turn> turns;
    for (int i = 0; i < keys; ++i) {
        turns.push_back(makeTurn("t" + std::to_string(i), {}, "p" + std::to_string(i)));
        cr_assert(fleet.write(turns.back(), &none));
    }
    return turns;
}

void assertAllFound(const ReplicationFleet &fleet, const std::vector<Turn> &turns)
{
    for (const Turn &turn : turns) {
        cr_assert_eq(fleet.search(turn.id, turn.placementKey, &none), SearchState::Found);
    }
}

void tick(ReplicationFleet &fleet, int times)
{
    for (int i = 0; i < times; ++i) {
        fleet.tick();
    }
}

} // namespace

Test(replicationplan, fillsAnEmptiedDisk)
{
    ReplicationFleet fleet(4, 4, 2);
    const std::vector<Turn> turns = writeTurns(fleet);
    const Base::VmId vm = fleet.registered().front();
    fleet.tick();
    fleet.stop(vm);
    fleet.emptyDisk(vm);
    fleet.start(vm);
    cr_assert(!fleet.isSynchronized(vm));
    tick(fleet, 2);
    cr_assert(fleet.isSynchronized(vm));
    for (const Turn &turn : turns) {
        cr_assert_geq(fleet.copiesOf(turn.id), 2);
    }
}

Test(replicationplan, synchronizesWhileTurnsAreWritten)
{
    ReplicationFleet fleet(4, 4, 2);
    writeTurns(fleet);
    const Base::VmId vm = fleet.registered().front();
    fleet.stop(vm);
    fleet.emptyDisk(vm);
    fleet.start(vm);
    constexpr int ticks = 4;
    constexpr int turnsPerTick = 60; // so that every holder has new turns for every other
    for (int i = 0; i < ticks; ++i) {
        for (int j = 0; j < turnsPerTick; ++j) {
            const std::string name = std::to_string(i) + "-" + std::to_string(j);
            cr_assert(fleet.write(makeTurn(name, {}, name), &none));
        }
        fleet.tick();
    }
    cr_assert(fleet.isSynchronized(vm));
}

Test(replicationplan, emptiedDisksOneAfterAnotherLoseNothing)
{
    ReplicationFleet fleet(4, 4, 2);
    const std::vector<Turn> turns = writeTurns(fleet);
    for (const Base::VmId &vm : fleet.registered()) {
        fleet.stop(vm);
        fleet.emptyDisk(vm);
        fleet.tick();
        fleet.start(vm);
        tick(fleet, 2);
    }
    assertAllFound(fleet, turns);
}

Test(replicationplan, replacesAHolderThatIsNotReached)
{
    ReplicationFleet fleet(4, 4, 2);
    const std::vector<Turn> turns = writeTurns(fleet);
    fleet.stop(fleet.registered().front());
    tick(fleet, ticksToReplace);
    for (const Base::VmId &vm : fleet.up()) {
        const auto isSkipped = [&](const Base::VmId &each) { return each == vm; };
        for (const Turn &turn : turns) {
            cr_assert_eq(fleet.search(turn.id, turn.placementKey, isSkipped), SearchState::Found);
        }
    }
}

Test(replicationplan, handsOverBeforeARetirementCompletes)
{
    ReplicationFleet fleet(5, 4, 3);
    const std::vector<Turn> turns = writeTurns(fleet);
    const Base::VmId vm = fleet.registered().front();
    fleet.retire(vm);
    tick(fleet, 3);
    cr_assert_eq(fleet.registered().size(), 4, "the holder has left");
    for (const Turn &turn : turns) {
        cr_assert_geq(fleet.copiesOf(turn.id), 3);
    }
}

Test(replicationplan, doesNotCompleteARetirementWithoutEnoughOthers)
{
    ReplicationFleet fleet(3, 3, 2);
    writeTurns(fleet);
    const std::vector<Base::VmId> vms = fleet.registered();
    fleet.stop(vms[1]);
    tick(fleet, ticksToReplace);
    fleet.retire(vms[0]);
    tick(fleet, ticksToReplace);
    cr_assert_eq(fleet.registered().size(), 3);
    fleet.start(vms[1]);
    tick(fleet, ticksToReplace);
    cr_assert_eq(fleet.registered().size(), 2);
}

Test(replicationplan, isNotSynchronizedBeforeEnoughPeersHaveOffered)
{
    ReplicationFleet fleet(4, 4, 2);
    writeTurns(fleet);
    const std::vector<Base::VmId> vms = fleet.registered();
    fleet.stop(vms[0]);
    fleet.stop(vms[1]);
    fleet.emptyDisk(vms[0]);
    fleet.start(vms[0]);
    tick(fleet, ticksToReplace);
    cr_assert(!fleet.isSynchronized(vms[0]), "the stopped holder may have turns of its own");
    fleet.start(vms[1]);
    tick(fleet, 2);
    cr_assert(fleet.isSynchronized(vms[0]));
}

/// An offer that was planned for the earlier contents of a disk confirms nothing about the new.
Test(replicationplan, ignoresConfirmationsForAnEarlierDisk)
{
    TurnIndex index;
    index.add(makeTurn("a"), {1, 0, 1});
    const Holder self{Base::VmId("one"), Base::ZoneId("z1")};
    const Holder peer{Base::VmId("two"), Base::ZoneId("z2")};
    ReplicationPlan plan(self, DiskId("d1"), true, {}, index);
    plan.setPeers({peer}, {});
    plan.offerAnswered(peer.vm, {DiskId("d2"), false, {}}, {});
    const PlannedOffer offer = plan.nextOffer(peer.vm, {});
    cr_assert_eq(offer.request.turns.size(), 1);
    plan.offerAnswered(peer.vm, {DiskId("d3"), false, {}}, {});
    plan.offerConfirmed(offer);
    cr_assert(plan.isBehind(peer.vm));
    cr_assert(!plan.nextOffer(peer.vm, {}).request.isComplete);
}
