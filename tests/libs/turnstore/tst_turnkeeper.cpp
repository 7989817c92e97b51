#include "storefixture.h"

#include <libs/heapuse.h>
#include <libs/proxy/scriptedserver.h>
#include <libs/turnhistory/turns.h>

#include <criterion/criterion.h>

using namespace TurnStore;
using TurnHistory::LookupResult;
using TurnHistory::Turn;

namespace {

std::uint64_t failedWrites(StoreFixture &fixture)
{
    return fixture.metrics.counter("marjoram_turn_write_failures_total", "").value();
}

} // namespace

Test(turnkeeper, findsAChainFromMemoryAndFromHolders)
{
    StoreFixture fixture(3, 2);
    cr_assert(fixture.keep(makeTurn("a")));
    cr_assert(fixture.keep(makeTurn("b", "a")));
    cr_assert(fixture.keep(makeTurn("c", "b")));
    for (int i = 0; i < 2; ++i) {
        std::string chain;
        cr_assert_eq(fixture.find("c", &chain), LookupResult::Found);
        cr_assert_eq(chain, "input of aoutput\ninput of boutput\ninput of coutput\n");
        fixture.restartKeeper();
    }
}

Test(turnkeeper, findsTurnsWhoseProgramIsNotKnown)
{
    StoreFixture fixture(5, 2);
    cr_assert(fixture.keep(makeTurn("a", "", "another program")));
    fixture.restartKeeper();
    cr_assert_eq(fixture.find("a"), LookupResult::Found);
}

Test(turnkeeper, collectsAChainFromSeveralHolders)
{
    StoreFixture fixture(5, 1);
    std::string previous;
    std::string expected;
    for (int i = 0; i < 8; ++i) {
        const std::string id = "t" + std::to_string(i);
        cr_assert(fixture.keep(makeTurn(id, previous, "key" + std::to_string(i))));
        expected += makeTurn(id).content;
        previous = id;
    }
    fixture.restartKeeper();
    std::string chain;
    cr_assert_eq(fixture.find(previous, &chain), LookupResult::Found);
    cr_assert_eq(chain, expected);
}

Test(turnkeeper, keepsTurnsWhileAHolderIsDown)
{
    StoreFixture fixture(3, 2);
    fixture.stop(0);
    for (int i = 0; i < 5; ++i) {
        cr_assert(fixture.keep(makeTurn("t" + std::to_string(i), "", std::to_string(i))));
    }
    fixture.stop(1);
    cr_assert(!fixture.keep(makeTurn("x")), "one copy is not enough");
}

Test(turnkeeper, callsATurnAbsentOnlyIfItIsCertain)
{
    StoreFixture fixture(4, 2);
    cr_assert(fixture.keep(makeTurn("a")));
    cr_assert_eq(fixture.find("x"), LookupResult::Absent);
    fixture.isRegistryAvailable = false;
    cr_assert_eq(fixture.find("x"),
                 LookupResult::Unavailable,
                 "another holder may have registered meanwhile");
    fixture.isRegistryAvailable = true;
    fixture.stop(0);
    cr_assert_eq(fixture.find("x"), LookupResult::Absent, "one disk may be lost");
    fixture.stop(1);
    cr_assert_eq(fixture.find("x"), LookupResult::Unavailable);
}

Test(turnkeeper, doesNotCallATurnAbsentBecauseOfAnEmptiedDisk)
{
    StoreFixture fixture(2, 2);
    cr_assert(fixture.keep(makeTurn("a")));
    fixture.stop(0);
    fixture.stop(1);
    fixture.emptyDisk(0);
    fixture.start(0, false);
    fixture.restartKeeper();
    cr_assert_eq(fixture.find("a"), LookupResult::Unavailable);
    fixture.start(1, false);
    cr_assert_eq(fixture.find("a"), LookupResult::Found);
}

Test(turnkeeper, isNotAvailableWithoutEnoughHolders)
{
    StoreFixture fixture(2, 2);
    cr_assert(fixture.keeper->isAvailable());
    fixture.keeper->setHolders({});
    cr_assert(!fixture.keeper->isAvailable());
    cr_assert(!fixture.keep(makeTurn("a")));
    cr_assert_eq(fixture.find("a"), LookupResult::Unavailable);
}

/// A turn that no disk has room for is refused before it runs, not after.
Test(turnkeeper, isNotAvailableWhileTheDisksAreFull)
{
    StoreFixture fixture(3, 2);
    cr_assert(fixture.keep(makeTurn("a")));
    fixture.capacityBytes = 500;
    for (std::size_t i = 0; i < 3; ++i) {
        fixture.stop(i);
        fixture.start(i, false);
    }
    fixture.restartKeeper();
    Turn large = makeTurn("b");
    large.content = std::string(1000, 'x');
    cr_assert(!fixture.keep(large));
    cr_assert(!fixture.keeper->isAvailable());
    fixture.restartKeeper();
    cr_assert_eq(fixture.find("a"), LookupResult::Found, "kept turns stay");
}

/// Every turn that ended while the daemons with disks restarted together was cut off.
Test(turnkeeper, keepsATurnThatEndsWhileAllHoldersRestart)
{
    StoreFixture fixture(3, 2);
    for (std::size_t i = 0; i < 3; ++i) {
        fixture.stop(i);
    }
    std::optional<bool> result;
    fixture.keeper->keep(
        makeTurn("a"), std::chrono::seconds(15), [&](bool isKept) { result = isKept; });
    // The keeper has heard of each holder that it is down before one is back.
    runUntil(
        fixture.context,
        [&] { return failedWrites(fixture) >= 3 || result; },
        "each holder has refused a call");
    cr_assert(!result, "given up while there is time");
    for (std::size_t i = 0; i < 3; ++i) {
        fixture.start(i, false);
    }
    runUntil(
        fixture.context, [&] { return result.has_value(); }, "the turn is kept or not");
    cr_assert(*result);
    fixture.restartKeeper();
    cr_assert_eq(fixture.find("a"), LookupResult::Found);
}

/// Writes that are repeated while a disk is slow must not fill it.
Test(turnkeeper, repeatedWritesOfATurnTakeItsRoomOnce)
{
    StoreFixture fixture(1, 1);
    cr_assert(fixture.keep(makeTurn("a")));
    const std::uint64_t bytesOfOne = fixture.disk(0).usedBytes();
    int kept = 0;
    for (int i = 0; i < 5; ++i) {
        fixture.keeper->keep(makeTurn("b"), {}, [&](bool isKept) { kept += isKept ? 1 : 0; });
    }
    runUntil(
        fixture.context, [&] { return kept == 5; }, "all are confirmed");
    cr_assert_eq(fixture.disk(0).usedBytes(), 2 * bytesOfOne);
}

Test(turnkeeper, asksNobodyForATurnWhoseRequestEnded)
{
    StoreFixture fixture(2, 2);
    fixture.stop(0);
    fixture.stop(1);
    bool hasCalledBack = false;
    const auto cancel = fixture.keeper->keep(
        makeTurn("a"), std::chrono::seconds(15), [&](bool) { hasCalledBack = true; });
    runUntil(
        fixture.context,
        [&] { return failedWrites(fixture) >= 2; },
        "the holders have refused a call");
    cancel();
    const std::string metrics = fixture.metrics.prometheusText();
    cr_assert(metrics.find("marjoram_turns_pending 0") != std::string::npos);
    fixture.start(0, false);
    fixture.start(1, false);
    fixture.timeLeft = std::chrono::seconds(15);
    cr_assert(fixture.keep(makeTurn("b")));
    cr_assert(!hasCalledBack);
    cr_assert_eq(fixture.find("a"), LookupResult::Absent);
}

/// Guards against a daemon that runs out of memory as it reads a turn from, or writes one to, an
/// address at which something else sends without end.
Test(turnkeeper, responsesWithoutEndAreNotKept)
{
    // Two holders are read from at once; a buffer that grows exists beside the one before it.
    const auto limit = static_cast<std::size_t>(3 * maxTurnsMessage.value()) + 1'000'000;
    StoreFixture fixture(2, 2);
    ScriptedServer server(fixture.context);
    server.setDefaultScript(
        {.responses = {"HTTP/1.1 200 OK\r\n\r\n"}, .endlessTail = std::string(64 * 1024, 'x')});
    std::vector<HolderAddress> addresses = fixture.addresses();
    for (HolderAddress &address : addresses) {
        address.endpoint = server.endpoint();
    }
    fixture.keeper->setHolders(addresses);
    const std::size_t before = heapBytes();
    std::size_t highest = before;
    int ended = 0;
    fixture.keeper->keep(makeTurn("a"), {}, [&](bool isKept) {
        cr_assert(!isKept);
        ++ended;
    });
    const auto isEnded = [&] {
        highest = std::max(highest, heapBytes());
        return ended > 0;
    };
    runUntil(fixture.context, isEnded, "the turn is kept or not");
    cr_assert_lt(highest - before, 4 * 1000 * 1000, "write: %zu bytes", highest - before);
    ended = 0;
    highest = before;
    fixture.keeper->find(TurnHistory::TurnId("a"), "program", [&](auto found, const auto &) {
        cr_assert_eq(found, LookupResult::Unavailable);
        ++ended;
    });
    runUntil(fixture.context, isEnded, "the chain is found or not");
    cr_assert_lt(highest - before, limit, "read: %zu bytes", highest - before);
}
