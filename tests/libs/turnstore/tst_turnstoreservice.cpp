#include "storefixture.h"

#include <libs/turnhistory/turns.h>
#include <turnhistory/turncodec.h>

#include <criterion/criterion.h>

using namespace TurnStore;
using TurnHistory::LookupResult;
using TurnHistory::Turn;

namespace {

constexpr int turns = 20;

void keepTurns(StoreFixture &fixture)
{
    for (int i = 0; i < turns; ++i) {
        cr_assert(fixture.keep(makeTurn("t" + std::to_string(i), "", std::to_string(i))));
    }
}

Proxy::CallResult post(StoreFixture &fixture,
                       std::size_t holder,
                       const char *path,
                       const std::string &body)
{
    const auto endpoint = fixture.addresses()[holder].endpoint;
    Proxy::HttpCaller caller(fixture.context, endpoint, "test");
    std::optional<Proxy::CallResult> result;
    const Proxy::CallLimits limits{
        .timeout = std::chrono::seconds(5),
        .responseBytes = maxTurnsMessage,
    };
    caller.call(
        "POST", path, body, limits, [&](Proxy::CallResult answer) { result = std::move(answer); });
    runUntil(
        fixture.context, [&] { return result.has_value(); }, "the call ends");
    return *result;
}

bool has(StoreFixture &fixture, std::size_t holder, const std::string &id)
{
    const auto result = post(
        fixture, holder, chainPath, TurnHistory::encodeChainRequest(TurnHistory::TurnId(id)));
    return TurnHistory::decodeChainResponse(result.body).outcome
           == TurnHistory::ChainOutcome::Found;
}

} // namespace

Test(turnstoreservice, copiesTurnsToAnEmptiedDisk)
{
    StoreFixture fixture(2, 2);
    keepTurns(fixture);
    fixture.stop(0);
    fixture.emptyDisk(0);
    fixture.start(0, false);
    runUntil(
        fixture.context, [&] { return fixture.disk(0).isSynchronized(); }, "synchronized");
    for (int i = 0; i < turns; ++i) {
        cr_assert(has(fixture, 0, "t" + std::to_string(i)));
    }
}

Test(turnstoreservice, handsItsTurnsOverBeforeItLeaves)
{
    StoreFixture fixture(3, 2);
    keepTurns(fixture);
    bool isHandedOver = false;
    fixture.service(0).leave([&] { isHandedOver = true; });
    cr_assert_eq(
        post(fixture, 0, keepPath, TurnHistory::encodeKeepRequest({makeTurn("late")})).status, 503);
    runUntil(
        fixture.context, [&] { return isHandedOver; }, "handed over");
    for (int i = 0; i < turns; ++i) {
        const std::string id = "t" + std::to_string(i);
        cr_assert(has(fixture, 1, id) && has(fixture, 2, id));
    }
}

Test(turnstoreservice, neverChangesATurn)
{
    StoreFixture fixture(1, 1);
    cr_assert(fixture.keep(makeTurn("a")));
    Turn other = makeTurn("a");
    other.content = "other";
    cr_assert(fixture.keep(other));
    fixture.restartKeeper();
    std::string chain;
    cr_assert_eq(fixture.find("a", &chain), LookupResult::Found);
    cr_assert_eq(chain, makeTurn("a").content);
}

Test(turnstoreservice, rejectsWhatItCannotDecode)
{
    StoreFixture fixture(1, 1);
    for (const char *path : {keepPath, chainPath, offerPath}) {
        cr_assert_eq(post(fixture, 0, path, "garbage").status, 400);
    }
    cr_assert_eq(post(fixture, 0, "/elsewhere", "garbage").status, 404);
    const std::string valid = TurnHistory::encodeKeepRequest({makeTurn("a")});
    for (std::size_t size = 0; size < valid.size(); ++size) {
        cr_assert(!TurnHistory::decodeKeepRequest(valid.substr(0, size)));
    }
    cr_assert(!TurnHistory::decodeKeepRequest(valid + "x"));
}

Test(turnstoreservice, reportsWhatItHolds)
{
    StoreFixture fixture(1, 1);
    cr_assert(fixture.keep(makeTurn("a")));
    const std::string metrics = post(fixture, 0, "/metrics", "").body;
    cr_assert(metrics.find("marjoram_turns 1") != std::string::npos, "%s", metrics.c_str());
    cr_assert(metrics.find("marjoram_turn_synchronized 1") != std::string::npos);
}

/// Guards against a daemon that runs out of memory as all others send it turns together.
Test(turnstoreservice, requestsStayWithinTheMemory)
{
    Base::MemoryBudget memory(Base::Bytes(1'000'000));
    StoreFixture fixture(1, 1);
    fixture.service(0).setMemory(memory);
    const auto request = [](const std::string &id, std::size_t size) {
        return TurnHistory::encodeKeepRequest({makeTurn(id, "", std::string(size, 'x'))});
    };
    cr_assert_eq(post(fixture, 0, keepPath, request("large", 600'000)).status, 503);
    cr_assert_eq(memory.peak(), Base::Bytes(0));
    cr_assert(!has(fixture, 0, "large"));
    cr_assert_eq(post(fixture, 0, keepPath, request("small", 100'000)).status, 200);
    cr_assert_geq(memory.peak(), Base::Bytes(100'000));
    cr_assert_eq(memory.used(), Base::Bytes(0));
    cr_assert(has(fixture, 0, "small"));
}
