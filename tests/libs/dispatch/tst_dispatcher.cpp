#include "helpers.h"

#include <criterion/criterion.h>

using namespace Dispatch;

namespace {

struct Fixture
{
    explicit Fixture(std::vector<ServerConfig> servers, DispatchSettings settings = {})
        : dispatcher(Base::IncarnationId("d.1"), settings, 1)
        , list(std::move(servers))
    {
        dispatcher.serversChanged(list, at(0));
    }

    std::vector<SendToServer> enqueue(const DispatchRequest &request, std::int64_t now)
    {
        dispatcher.enqueue(request, at(now));
        return take<SendToServer>(dispatcher);
    }

    std::vector<SendToServer> finish(std::uint64_t id, std::int64_t now)
    {
        dispatcher.finished(DispatchId(id), usage(1000, 100), at(now));
        return take<SendToServer>(dispatcher);
    }

    Dispatcher dispatcher;
    std::vector<ServerConfig> list;
};

Failure serverFault(Base::Ran ran = Base::Ran::MayHaveRun)
{
    Failure failure;
    failure.error.code = Base::ErrorCode::BackendFailed;
    failure.error.ran = ran;
    return failure;
}

} // namespace

Test(dispatcher, teamWithLeastServiceIsServedFirst)
{
    Fixture one({serverConfig("s", 1)});
    for (std::uint64_t id = 1; id <= 5; id++) {
        one.enqueue(callOf(id, "flood" + std::to_string(id), "flood"), 0);
    }
    one.enqueue(callOf(10, "small", "small"), 1);
    const std::vector<SendToServer> next = one.finish(1, 1000);
    cr_assert_eq(next.size(), 1U);
    cr_assert_eq(next[0].id.value(), 10U);
}

Test(dispatcher, weightsDivideTheService)
{
    Fixture one({serverConfig("s", 1)});
    std::map<std::uint64_t, int> sent;
    for (std::uint64_t id = 1; id <= 300; id++) {
        DispatchRequest heavy = callOf(id, "h" + std::to_string(id), "heavy");
        heavy.weight = 3;
        heavy.deadline = at(10000000);
        one.enqueue(heavy, 0);
        DispatchRequest light = callOf(1000 + id, "l" + std::to_string(id), "light");
        light.deadline = at(10000000);
        one.enqueue(light, 0);
    }
    std::uint64_t running = 1;
    int heavyCalls = 0;
    for (int i = 0; i < 200; i++) {
        running = one.finish(running, i).at(0).id.value();
        heavyCalls += running < 1000 ? 1 : 0;
    }
    cr_assert_geq(heavyCalls, 148);
    cr_assert_leq(heavyCalls, 152);
}

Test(dispatcher, shortProgramsAreServedFirstButNoneStarves)
{
    Fixture one({serverConfig("s", 1)});
    one.enqueue(callOf(1, "running"), 0);
    DispatchRequest old = callOf(2, "long");
    old.attained = Base::Tokens(5000);
    one.enqueue(old, 0);
    one.enqueue(callOf(3, "short"), 100);
    cr_assert_eq(one.finish(1, 200).at(0).id.value(), 3U);
    one.enqueue(callOf(4, "late"), 11000);
    cr_assert_eq(one.finish(3, 11100).at(0).id.value(), 2U);
}

Test(dispatcher, waitsForTheServerWithTheCacheWhileThatIsCheaper)
{
    DispatchSettings settings;
    settings.initialServiceTime = std::chrono::milliseconds(500);
    Fixture one({serverConfig("a", 1), serverConfig("b", 1)}, settings);
    const Base::ServerId holder = one.enqueue(callOf(1, "p"), 0).at(0).server;
    one.finish(1, 500);
    DispatchRequest big = callOf(2, "p");
    big.prefixTokens = Base::Tokens(1100);
    big.promptTokens = Base::Tokens(1200);
    const SendToServer second = one.enqueue(big, 600).at(0);
    cr_assert(second.server == holder);
    cr_assert(second.reason == ChoiceReason::CacheAffinity);
    // The holder is busy for about 0.5 s and a prefix of 1,100 tokens takes 0.14 s: not worth it.
    DispatchRequest third = big;
    third.id = DispatchId(3);
    const SendToServer elsewhere = one.enqueue(third, 610).at(0);
    cr_assert(elsewhere.server != holder);
    cr_assert(elsewhere.reason == ChoiceReason::AffinityTooBusy);
}

Test(dispatcher, waitsForTheCacheWhenRecomputingCostsMore)
{
    DispatchSettings settings;
    settings.initialServiceTime = std::chrono::milliseconds(500);
    Fixture one({serverConfig("a", 1), serverConfig("b", 1)}, settings);
    const Base::ServerId holder = one.enqueue(callOf(1, "p"), 0).at(0).server;
    one.dispatcher.cacheEvent(
        holder, Base::ProgramId("p"), Base::Tokens(40000), CacheEventKind::Filled);
    DispatchRequest big = callOf(2, "p");
    big.prefixTokens = Base::Tokens(40000);
    big.promptTokens = Base::Tokens(40100);
    cr_assert(one.enqueue(big, 100).empty(), "5 s of recomputing against 0.5 s of waiting");
    cr_assert(one.finish(1, 500).at(0).server == holder);
}

Test(dispatcher, onlyIdempotentCallsAreRetriedAndOnAnotherServer)
{
    Fixture one({serverConfig("a", 2), serverConfig("b", 2)});
    const Base::ServerId first = one.enqueue(callOf(1, "p"), 0).at(0).server;
    one.dispatcher.failed(DispatchId(1), serverFault(), at(10));
    const std::vector<SendToServer> again = take<SendToServer>(one.dispatcher);
    cr_assert_eq(again.size(), 1U);
    cr_assert(again[0].server != first);
    cr_assert_eq(again[0].attempt, 2U);

    DispatchRequest order = callOf(2, "q");
    order.isIdempotent = false;
    one.enqueue(order, 20);
    one.dispatcher.failed(DispatchId(2), serverFault(), at(30));
    const std::vector<DispatchAction> actions = one.dispatcher.takeActions();
    cr_assert_eq(actions.size(), 1U);
    cr_assert(std::get<Refuse>(actions[0]).error.ran == Base::Ran::MayHaveRun);
}

Test(dispatcher, retriesStopWhenTheBudgetIsExhausted)
{
    DispatchSettings settings;
    settings.retryReserve = 2;
    settings.failuresToEject = 1000;
    Fixture one({serverConfig("a", 50), serverConfig("b", 50)}, settings);
    std::size_t retries = 0;
    for (std::uint64_t id = 1; id <= 20; id++) {
        one.enqueue(callOf(id, "p" + std::to_string(id)), 0);
        one.dispatcher.failed(DispatchId(id), serverFault(), at(1));
        retries += take<SendToServer>(one.dispatcher).size();
    }
    cr_assert_eq(retries, 2U);
}

Test(dispatcher, ejectsAfterFailuresAndRestoresAfterAProbe)
{
    DispatchSettings settings;
    settings.retryReserve = 0;
    Fixture one({serverConfig("a", 4), serverConfig("b", 4)}, settings);
    std::map<Base::ServerId, int> failures;
    for (std::uint64_t id = 1; id <= 40; id++) {
        const std::vector<SendToServer> sent = one.enqueue(callOf(id, "p" + std::to_string(id)), 0);
        const bool isBad = sent.at(0).server == Base::ServerId("a");
        failures[sent[0].server]++;
        if (isBad) {
            one.dispatcher.failed(DispatchId(id), serverFault(), at(1));
        } else {
            one.finish(id, 1);
        }
        one.dispatcher.takeActions();
    }
    cr_assert_eq(failures[Base::ServerId("a")], 5);
    one.dispatcher.tick(at(2001));
    cr_assert_eq(take<Probe>(one.dispatcher).size(), 1U);
    one.dispatcher.probed(Base::ServerId("a"), true, at(2010));
    for (const ServerStatus &status : one.dispatcher.servers()) {
        cr_assert(status.health == ServerHealth::Healthy);
    }
}

Test(dispatcher, aLeavingServerGetsNoNewCalls)
{
    Fixture one({serverConfig("a", 1), serverConfig("b", 1)});
    one.enqueue(callOf(1, "p1"), 0);
    one.enqueue(callOf(2, "p2"), 0);
    one.enqueue(callOf(3, "p3"), 0);
    one.list[0].isLeaving = true;
    one.dispatcher.serversChanged(one.list, at(10));
    std::vector<SendToServer> sent = one.finish(1, 20);
    for (const SendToServer &more : one.finish(2, 30)) {
        sent.push_back(more);
    }
    cr_assert_eq(sent.size(), 1U);
    cr_assert(sent[0].server == Base::ServerId("b"));
}

Test(dispatcher, callsOfARemovedServerMayStillEnd)
{
    Fixture one({serverConfig("a", 1)});
    one.enqueue(callOf(1, "p"), 0);
    one.enqueue(callOf(2, "q"), 0);
    one.dispatcher.serversChanged({serverConfig("b", 1)}, at(10));
    cr_assert(take<SendToServer>(one.dispatcher).at(0).server == Base::ServerId("b"));
    one.dispatcher.failed(DispatchId(1), serverFault(), at(20));
    one.finish(2, 30);
    cr_assert_eq(one.dispatcher.callCount(), 1U, "the retry of call 1 runs at b");
}

Test(dispatcher, plainServicesDoNotQueueBehindModels)
{
    Fixture one({serverConfig("m", 1), serverConfig("stock1", 1, "stock", ServiceKind::Plain)});
    for (std::uint64_t id = 1; id <= 100; id++) {
        one.enqueue(callOf(id, "p" + std::to_string(id)), 0);
    }
    DispatchRequest lookup = callOf(200, "l");
    lookup.service = Base::ServiceId("stock");
    lookup.kind = ServiceKind::Plain;
    cr_assert_eq(one.enqueue(lookup, 1).size(), 1U);
}

Test(dispatcher, queuesAreBoundedAndDeadlinesKept)
{
    DispatchSettings settings;
    settings.maximumWaitingPerService = 2;
    Fixture one({serverConfig("a", 1)}, settings);
    for (std::uint64_t id = 1; id <= 4; id++) {
        DispatchRequest request = callOf(id, "p" + std::to_string(id));
        request.deadline = at(500);
        one.dispatcher.enqueue(request, at(0));
    }
    const std::vector<Refuse> full = take<Refuse>(one.dispatcher);
    cr_assert_eq(full.size(), 1U);
    cr_assert_eq(full[0].id.value(), 4U);
    one.dispatcher.tick(*one.dispatcher.nextWakeUp());
    const std::vector<Refuse> late = take<Refuse>(one.dispatcher);
    cr_assert_eq(late.size(), 2U);
    cr_assert(late[0].error.code == Base::ErrorCode::Timeout);
    cr_assert(late[0].error.ran == Base::Ran::NotRun);
}

Test(dispatcher, engineMemoryIsReleasedUntilConfirmed)
{
    Fixture one({serverConfig("a", 1)});
    one.enqueue(callOf(1, "p"), 0);
    one.finish(1, 100);
    one.dispatcher.programEnded(Base::ProgramId("p"), at(200));
    cr_assert_eq(take<ReleaseMemory>(one.dispatcher).size(), 1U);
    one.dispatcher.tick(at(1200));
    cr_assert_eq(take<ReleaseMemory>(one.dispatcher).size(), 1U);
    one.dispatcher.memoryReleased(Base::ServerId("a"), Base::ProgramId("p"));
    cr_assert_eq(one.dispatcher.memory().pendingReleases(), 0U);
    one.dispatcher.memoryReported(Base::ServerId("a"), {Base::ProgramId("stray")}, {}, at(1300));
    cr_assert(take<ReleaseMemory>(one.dispatcher).at(0).program == Base::ProgramId("stray"));
}

Test(dispatcher, aCancelledCallIsClosedAtItsServer)
{
    Fixture one({serverConfig("a", 1)});
    one.enqueue(callOf(1, "p"), 0);
    one.enqueue(callOf(2, "q"), 0);
    one.dispatcher.cancel(DispatchId(2), at(1));
    one.dispatcher.cancel(DispatchId(1), at(1));
    cr_assert_eq(take<CancelAtServer>(one.dispatcher).size(), 1U);
    one.dispatcher.failed(DispatchId(1), serverFault(), at(2));
    cr_assert(one.dispatcher.takeActions().empty());
    cr_assert_eq(one.dispatcher.callCount(), 0U);
}

Test(backendserver, loadIncludesCallsSentSinceTheLastReport)
{
    const DispatchSettings settings;
    BackendServer server(serverConfig("a", 10), settings);
    server.dispatched(at(100));
    server.loadReported(5, 2, at(150));
    server.dispatched(at(200));
    cr_assert_eq(server.load(), 8U);
    server.ended(at(100));
    cr_assert_eq(server.load(), 7U);
    server.loadReported(6, 0, at(250));
    cr_assert_eq(server.load(), 6U);
    server.loadReported(50, 0, at(120));
    cr_assert_eq(server.load(), 6U, "an older report that arrives late is ignored");
}

Test(dispatcher, callsAssignedToALeavingServerAreReassigned)
{
    DispatchSettings settings;
    settings.initialServiceTime = std::chrono::milliseconds(500);
    Fixture one({serverConfig("a", 1), serverConfig("b", 1)}, settings);
    const Base::ServerId holder = one.enqueue(callOf(1, "p"), 0).at(0).server;
    one.dispatcher.cacheEvent(
        holder, Base::ProgramId("p"), Base::Tokens(40000), CacheEventKind::Filled);
    DispatchRequest big = callOf(2, "p");
    big.prefixTokens = Base::Tokens(40000);
    big.promptTokens = Base::Tokens(40100);
    cr_assert(one.enqueue(big, 100).empty());
    for (ServerConfig &config : one.list) {
        config.isLeaving = config.server == holder;
    }
    one.dispatcher.serversChanged(one.list, at(200));
    cr_assert(take<SendToServer>(one.dispatcher).at(0).server != holder);
}

Test(dispatcher, idleTimeEarnsNoCredit)
{
    Fixture one({serverConfig("s", 1)});
    std::uint64_t running = 1;
    for (std::uint64_t id = 1; id <= 100; id++) {
        DispatchRequest request = callOf(id, "a" + std::to_string(id), "steady");
        request.deadline = at(10000000);
        one.enqueue(request, 0);
    }
    for (int i = 0; i < 50; i++) {
        running = one.finish(running, i).at(0).id.value();
    }
    for (std::uint64_t id = 1001; id <= 1030; id++) {
        DispatchRequest request = callOf(id, "b" + std::to_string(id), "late");
        request.deadline = at(10000000);
        one.enqueue(request, 100);
    }
    int late = 0;
    for (int i = 0; i < 20; i++) {
        running = one.finish(running, 200 + i).at(0).id.value();
        late += running > 1000 ? 1 : 0;
    }
    cr_assert_geq(late, 9);
    cr_assert_leq(late, 11);
}
