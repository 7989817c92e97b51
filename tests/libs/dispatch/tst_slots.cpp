#include "helpers.h"

#include <dispatch/slotlendertable.h>

#include <criterion/criterion.h>

using namespace Dispatch;

namespace {

const Base::ServerId server("s");
const Base::IncarnationId daemonA("a.1");
const Base::IncarnationId daemonB("b.1");

TeamDemand demand(const std::string &team, std::uint32_t waiting, double key = 0)
{
    return {Base::TeamId(team), 1, waiting, key, Base::Tokens(100)};
}

SlotRequest request(const Base::IncarnationId &from,
                    std::uint64_t number,
                    std::vector<TeamDemand> demands,
                    std::vector<HeldSlot> held = {})
{
    return {server, from, SlotRequestNumber(number), std::move(demands), std::move(held)};
}

SlotLender lender(std::uint32_t slots)
{
    SlotLender one(server, slots, SlotLenderSettings{});
    one.acquired(Base::Epoch(1), at(0));
    return one;
}

} // namespace

Test(slotlender, neverLendsMoreThanItsSlotsAndSharesBetweenTeams)
{
    SlotLender one = lender(4);
    one.requested(request(daemonA, 1, {demand("flood", 50)}), at(1000));
    cr_assert_eq(one.takeActions().size(), 4U);
    one.requested(request(daemonB, 1, {demand("small", 1)}), at(1100));
    cr_assert(one.takeActions().empty());
    one.returned(daemonA,
                 {server, Base::Epoch(1), SlotId(1), Base::TeamId("flood"), Base::Tokens(100)},
                 at(1200));
    const std::vector<SendSlotGrant> next = one.takeActions();
    cr_assert_eq(next.size(), 1U);
    cr_assert(next[0].borrower == daemonB);
    cr_assert_eq(one.lent(), 4U);
}

Test(slotlender, freesTheSlotsOfALostDaemon)
{
    SlotLender one = lender(1);
    one.requested(request(daemonA, 1, {demand("x", 1)}), at(1000));
    one.requested(request(daemonB, 1, {demand("y", 1)}), at(1000));
    cr_assert_eq(one.takeActions().size(), 1U);
    one.borrowerGone(daemonA, at(1500));
    cr_assert(one.takeActions().at(0).borrower == daemonB);
}

Test(slotlender, lostGrantsAndReturnsAreReconciled)
{
    SlotLender one = lender(1);
    one.requested(request(daemonA, 1, {demand("x", 1)}), at(1000));
    one.takeActions();
    one.requested(request(daemonA, 2, {demand("x", 1)}), at(1500));
    cr_assert(one.takeActions().empty(), "the grant may still be in flight");
    one.requested(request(daemonA, 3, {demand("x", 1)}), at(2500));
    cr_assert_eq(one.takeActions().size(), 1U);
}

Test(slotlender, aNewOwnerAdoptsHeldSlots)
{
    SlotLender one(server, 2, SlotLenderSettings{});
    one.acquired(Base::Epoch(2), at(0));
    const HeldSlot held{Base::Epoch(1), SlotId(7), Base::TeamId("x")};
    one.requested(request(daemonA, 5, {}, {held}), at(100));
    one.requested(request(daemonB, 3, {demand("y", 5)}), at(200));
    cr_assert(one.takeActions().empty());
    one.tick(*one.nextWakeUp());
    cr_assert_eq(one.takeActions().size(), 1U);
    cr_assert_eq(one.lent(), 2U);
}

Test(dispatcher, borrowedSlotsCarryTheEpochAndReturn)
{
    DispatchSettings settings;
    settings.isBorrowingSlots = true;
    Dispatcher dispatcher(daemonA, settings, 1);
    dispatcher.serversChanged({serverConfig("s", 4)}, at(0));
    dispatcher.enqueue(callOf(1, "p"), at(0));
    const std::vector<SendSlotRequest> requests = take<SendSlotRequest>(dispatcher);
    cr_assert_eq(requests.size(), 1U);
    cr_assert_eq(requests[0].request.demands.at(0).waiting, 1U);
    const SlotGrant grant{server, Base::Epoch(9), SlotId(1), Base::TeamId("club"), 0};
    dispatcher.slotGranted(grant, at(3));
    dispatcher.slotGranted(grant, at(4));
    cr_assert_eq(take<SendToServer>(dispatcher).at(0).epoch.value(), 9U);
    dispatcher.finished(DispatchId(1), usage(1000, 10), at(500));
    cr_assert_eq(take<SendSlotReturn>(dispatcher).size(), 1U);
    dispatcher.slotGranted({server, Base::Epoch(9), SlotId(2), Base::TeamId("club"), 0}, at(600));
    const std::vector<SendSlotReturn> unused = take<SendSlotReturn>(dispatcher);
    cr_assert_eq(unused.size(), 1U, "an unused slot is returned at once");
    cr_assert(unused[0].slot.team.isEmpty());
}
