#include "waiting.h"

#include <backends/engineclient.h>
#include <base/visitor.h>

#include <fakes/enginefake.h>

#include <criterion/criterion.h>

using namespace Backends;

namespace {

class Bench
{
public:
    explicit Bench(Fakes::EngineSettings settings = {})
        : engine(settings)
    {
        engine.start();
    }

    ModelCall call(const std::string &prompt, bool stream = true) const
    {
        ModelCall call;
        call.engine = {Base::ServerId("engine-1"), engine.url()};
        call.program = Base::ProgramId("p1");
        call.model = Base::ModelId("m");
        call.messages = {{"user", prompt}};
        call.maxOutputTokens = Base::Tokens(1000);
        call.stream = stream;
        return call;
    }

    HttpRequestId start(const ModelCall &modelCall)
    {
        return client.call(modelCall, [this](const ModelEvent &event) {
            if (const auto *piece = std::get_if<TokenPiece>(&event)) {
                text += piece->text;
                ++pieces;
            } else {
                ends.add(event);
            }
            return flow.load();
        });
    }

    ModelDone done()
    {
        const auto events = ends.first(1);
        cr_assert_eq(events.size(), 1U);
        cr_assert(std::holds_alternative<ModelDone>(events[0]));
        return std::get<ModelDone>(events[0]);
    }

    ModelFailed failure()
    {
        const auto events = ends.first(1);
        cr_assert_eq(events.size(), 1U);
        cr_assert(std::holds_alternative<ModelFailed>(events[0]));
        return std::get<ModelFailed>(events[0]);
    }

    Fakes::EngineFake engine;
    std::string text;
    std::atomic<int> pieces{0};
    std::atomic<FlowControl> flow{FlowControl::Continue};
    Arrivals<ModelEvent> ends;
    HttpClient http;
    EngineClient client{http};
};

} // namespace

Test(engineclient, streamsTheWholeResponse)
{
    Bench bench;
    bench.start(bench.call("please say: the soup is ready"));
    const ModelDone done = bench.done();
    cr_assert_eq(bench.text, "the soup is ready");
    cr_assert_eq(done.outputTokens.value(), 4);
    cr_assert_eq(done.promptTokens.value(), 6);
    cr_assert_eq(done.finishReason, "stop");
}

Test(engineclient, deliversUnstreamedResponse)
{
    Bench bench;
    bench.start(bench.call("say: the soup is ready", false));
    cr_assert_eq(bench.done().outputTokens.value(), 4);
    cr_assert_eq(bench.text, "the soup is ready");
}

Test(engineclient, truncatedStreamFailsAsMayHaveRun)
{
    Bench bench;
    bench.engine.inject(Fakes::EngineFault::HalfStream);
    bench.start(bench.call("words=6"));
    const ModelFailed failed = bench.failure();
    cr_assert_eq(failed.pieces.value(), 3);
    cr_assert_eq(failed.error.ran, Base::Ran::MayHaveRun);
    cr_assert_eq(failed.error.peer, "engine-1");
}

Test(engineclient, malformedAndErrorResponsesFail)
{
    for (const bool stream : {true, false}) {
        for (const auto fault : {Fakes::EngineFault::Nonsense, Fakes::EngineFault::Fail}) {
            Bench bench;
            bench.engine.inject(fault);
            bench.start(bench.call("words=6", stream));
            const Base::Error error = bench.failure().error;
            cr_assert_eq(error.code, Base::ErrorCode::BackendFailed);
            cr_assert_eq(error.ran, Base::Ran::MayHaveRun);
        }
    }
}

Test(engineclient, silentStreamEndsByIdleTimeout)
{
    Bench bench;
    bench.engine.inject(Fakes::EngineFault::Hang);
    ModelCall call = bench.call("words=6");
    call.timeouts.idle = Timeout(200);
    bench.start(call);
    const Base::Error error = bench.failure().error;
    cr_assert_eq(error.code, Base::ErrorCode::Timeout);
    cr_assert_eq(error.ran, Base::Ran::MayHaveRun);
}

Test(engineclient, refusedConnectionDidNotRun)
{
    Bench bench;
    const ModelCall call = bench.call("words=6");
    bench.engine.stop();
    bench.start(call);
    const Base::Error error = bench.failure().error;
    cr_assert_eq(error.ran, Base::Ran::NotRun);
    cr_assert_eq(error.code, Base::ErrorCode::Unavailable);
}

Test(engineclient, cancelStopsTheEngine)
{
    Bench bench(Fakes::EngineSettings{.msPerToken = 10});
    const HttpRequestId id = bench.start(bench.call("words=900"));
    cr_assert(eventually([&] { return bench.pieces > 2; }));
    bench.client.cancel(id);
    cr_assert_eq(bench.failure().error.code, Base::ErrorCode::Cancelled);
    cr_assert(eventually([&] { return bench.engine.counters().cancelled == 1; }));
    cr_assert_eq(bench.engine.counters().running, 0);
}

Test(engineclient, pausedStreamDeliversNothingUntilResumed)
{
    Bench bench(Fakes::EngineSettings{.msPerToken = 2});
    bench.flow = FlowControl::Pause;
    const HttpRequestId id = bench.start(bench.call("words=200"));
    cr_assert(eventually([&] { return bench.engine.counters().completed == 1; }));
    const int whilePaused = bench.pieces;
    cr_assert_lt(whilePaused, 100);
    bench.flow = FlowControl::Continue;
    bench.client.resume(id);
    cr_assert_eq(bench.done().outputTokens.value(), 200);
    cr_assert_eq(bench.pieces.load(), 200);
}

Test(engineclient, ordersAreConfirmedOrFenced)
{
    Bench bench;
    bench.start(bench.call("words=3"));
    bench.done();
    cr_assert_eq(bench.engine.cachedPrograms().size(), 1U);
    const EngineAddress address{Base::ServerId("engine-1"), bench.engine.url()};
    const Base::ProgramId program("p1");
    Arrivals<OrderOutcome> outcomes;
    const auto add = [&](OrderOutcome outcome) { outcomes.add(outcome); };
    bench.client.release({address, program, Base::Epoch(7)}, add);
    cr_assert_eq(outcomes.first(1).at(0), OrderOutcome::Confirmed);
    cr_assert(bench.engine.cachedPrograms().empty());
    bench.client.release({address, program, Base::Epoch(6)}, add);
    cr_assert_eq(outcomes.first(2).at(1), OrderOutcome::Fenced);
    bench.engine.stop();
    bench.client.release({address, program, Base::Epoch(8)}, add);
    cr_assert_eq(outcomes.first(3).at(2), OrderOutcome::Unanswered);
}

Test(engineclient, loadReportIncludesItsAge)
{
    Bench bench(Fakes::EngineSettings{.loadLagMs = 100});
    const EngineAddress address{Base::ServerId("engine-1"), bench.engine.url()};
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    Arrivals<Base::Result<LoadReport>> reports;
    bench.client.loadReport(
        address, [&](Base::Result<LoadReport> report) { reports.add(std::move(report)); });
    const auto arrived = reports.first(1);
    cr_assert(arrived.at(0).has_value());
    cr_assert_geq(arrived.at(0).value().age.count(), 100'000);
}
