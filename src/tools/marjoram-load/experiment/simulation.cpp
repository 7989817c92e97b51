#include "simulation.h"

#include <base/visitor.h>

#include <algorithm>

namespace Experiment {

namespace {

/// After the last arrival, programs get this many times the measured time to finish.
constexpr double drainFactor = 4;

/// A refused caller comes back after this time, so many times for one call.
constexpr Base::Duration callerRetryDelay = std::chrono::seconds(1);
constexpr int callerRetries = 5;

constexpr Base::Duration dispatchDeadline = std::chrono::hours(24);

} // namespace

Simulation::Simulation(const Scenario &scenario, const Policy &policy, std::uint64_t seed)
    : scenario_(&scenario)
    , policy_(&policy)
    , seed_(seed)
    , random_(Base::hash64("run", seed))
    , oneWay_(fromSeconds(scenario.oneWayMilliseconds / 1000))
    , trace_(drawTrace(scenario, seed))
    , lenders_(Dispatch::SlotLenderSettings{})
    , admission_(
          loop_,
          scenario,
          policy.admission,
          [this](Base::RequestId request) {
              const std::uint64_t call = request.value();
              const std::size_t program = programOfCall_.at(call);
              loop_.after(oneWay_, [this, program, call] { enqueue(program, call); });
          },
          [this](Base::RequestId request) { refused(programOfCall_.at(request.value())); })
    , served_(scenario.teams.size(), 0)
{
    result_.policy = policy.name;
    result_.seed = seed;
    createServers();
    createDispatchers();
    programs_.resize(trace_.size());
    for (std::size_t i = 0; i < trace_.size(); i++) {
        programs_[i].trace = &trace_[i];
        programs_[i].dispatcher = Base::hash64(trace_[i].program.text()) % shells_.size();
        loop_.at(instantAt(trace_[i].arrival), [this, i] { issue(i); });
    }
}

void Simulation::createServers()
{
    for (const ServerGroup &group : scenario_->servers) {
        for (std::size_t i = 0; i < group.count; i++) {
            const Base::ServerId id(group.name + std::to_string(i));
            engines_[id] = std::make_unique<EngineModel>(id, group);
            configs_.push_back(
                {id, Base::ZoneId(), group.service, group.kind, group.slots, false, {}});
            lenders_.acquired(id, group.slots, Base::Epoch(1), loop_.now());
        }
    }
    armLenders();
}

void Simulation::createDispatchers()
{
    const std::size_t count = policy_->isDistributed ? scenario_->daemons : 1;
    for (std::size_t i = 0; i < count; i++) {
        Shell shell;
        shell.dispatcher = std::make_unique<Dispatch::Dispatcher>(
            Base::IncarnationId(std::to_string(i) + ".1"), policy_->dispatch, seed_ * 1000 + i);
        shell.dispatcher->serversChanged(configs_, loop_.now());
        shells_.push_back(std::move(shell));
    }
}

RunResult Simulation::run()
{
    loop_.at(instantAt(scenario_->reportIntervalSeconds), [this] { report(); });
    loop_.at(instantAt(scenario_->seconds), [this] { measureServed(); });
    loop_.run(instantAt(scenario_->seconds * drainFactor));
    return result();
}

void Simulation::issue(std::size_t index)
{
    Program &program = programs_[index];
    const std::uint64_t call = ++lastCall_;
    programOfCall_[call] = index;
    program.issuedAt = loop_.now();
    admission_.arrive(
        program.trace->team, random_.below(scenario_->daemons), Base::RequestId(call));
}

void Simulation::enqueue(std::size_t index, std::uint64_t call)
{
    const Program &program = programs_[index];
    const Turn &turn = program.trace->turns[program.next];
    const TeamLoad &team = scenario_->teams[program.trace->team];
    Dispatch::DispatchRequest request;
    request.id = Dispatch::DispatchId(call);
    request.program = program.trace->program;
    request.number = Base::CallNumber(static_cast<std::uint32_t>(program.next + 1));
    request.team = team.team;
    request.weight = team.weight;
    request.service
        = turn.kind == Dispatch::ServiceKind::Model ? scenario_->model : scenario_->tool;
    request.kind = turn.kind;
    request.prefixTokens = Base::Tokens(program.history);
    request.promptTokens = Base::Tokens(program.history + turn.newTokens);
    // The length of an answer is not known ahead; the team's mean is.
    request.expectedOutput = Base::Tokens(team.outputTokens);
    request.attained = Base::Tokens(program.attained);
    request.deadline = loop_.now() + dispatchDeadline;
    shells_[program.dispatcher].dispatcher->enqueue(request, loop_.now());
    drain(program.dispatcher);
}

Job Simulation::jobOf(std::size_t index, std::uint64_t call) const
{
    const Program &program = programs_[index];
    const Turn &turn = program.trace->turns[program.next];
    return Job{Dispatch::DispatchId(call),
               program.dispatcher,
               program.trace->program,
               program.history,
               program.history + turn.newTokens,
               turn.outputTokens,
               turn.seconds};
}

void Simulation::drain(std::size_t index)
{
    for (const Dispatch::DispatchAction &action : shells_[index].dispatcher->takeActions()) {
        perform(index, action);
    }
    arm(index);
}

void Simulation::perform(std::size_t shell, const Dispatch::DispatchAction &action)
{
    std::visit(Base::Visitor{
                   [&](const Dispatch::SendToServer &order) {
                       const std::uint64_t call = order.id.value();
                       const Job job = jobOf(programOfCall_.at(call), call);
                       loop_.after(oneWay_, [this, order, job] { submit(order.server, job); });
                   },
                   [&](const Dispatch::Refuse &refused) {
                       abandon(programOfCall_.at(refused.id.value()));
                   },
                   [&](const Dispatch::ReleaseMemory &order) {
                       loop_.after(oneWay_, [this, order] {
                           engines_.at(order.server)->release(order.program);
                       });
                       loop_.after(oneWay_ * 2, [this, shell, order] {
                           shells_[shell].dispatcher->memoryReleased(order.server, order.program);
                       });
                   },
                   [&](const Dispatch::SendSlotRequest &ask) {
                       slotMessages_++;
                       loop_.after(oneWay_, [this, ask] {
                           lenders_.requested(ask.request, loop_.now());
                           drainLenders();
                       });
                   },
                   [&](const Dispatch::SendSlotReturn &back) {
                       slotMessages_++;
                       const Base::IncarnationId from(std::to_string(shell) + ".1");
                       loop_.after(oneWay_, [this, from, back] {
                           lenders_.returned(from, back.slot, loop_.now());
                           drainLenders();
                       });
                   },
                   [](const auto &) {}},
               action);
}

void Simulation::arm(std::size_t index)
{
    Shell &shell = shells_[index];
    const std::optional<Base::Instant> next = shell.dispatcher->nextWakeUp();
    if (!next || (shell.timer && *shell.timer <= *next)) {
        return;
    }
    const Base::Instant due = std::max(*next, loop_.now() + Base::Duration(1));
    shell.timer = due;
    loop_.at(due, [this, index, due] {
        if (shells_[index].timer == due) {
            shells_[index].timer.reset();
            shells_[index].dispatcher->tick(loop_.now());
            drain(index);
        }
    });
}

void Simulation::drainLenders()
{
    for (const Dispatch::SendSlotGrant &action : lenders_.takeActions()) {
        slotMessages_++;
        const std::size_t shell = std::stoul(action.borrower.text());
        loop_.after(oneWay_, [this, shell, grant = action.grant] {
            shells_[shell].dispatcher->slotGranted(grant, loop_.now());
            drain(shell);
        });
    }
    armLenders();
}

void Simulation::armLenders()
{
    const std::optional<Base::Instant> next = lenders_.nextWakeUp();
    if (!next || (lenderTimer_ && *lenderTimer_ <= *next)) {
        return;
    }
    const Base::Instant due = std::max(*next, loop_.now() + Base::Duration(1));
    lenderTimer_ = due;
    loop_.at(due, [this, due] {
        if (lenderTimer_ == due) {
            lenderTimer_.reset();
            lenders_.tick(loop_.now());
            drainLenders();
        }
    });
}

void Simulation::submit(const Base::ServerId &server, const Job &job)
{
    EngineModel &engine = *engines_.at(server);
    if (const std::optional<RunningJob> started = engine.submit(job, loop_.now())) {
        runJob(engine, *started);
    }
}

void Simulation::runJob(EngineModel &engine, const RunningJob &job)
{
    const std::size_t shell = job.job.dispatcher;
    loop_.at(job.firstToken + oneWay_, [this, shell, id = job.job.id] {
        shells_[shell].dispatcher->started(id, loop_.now());
    });
    loop_.at(job.end, [this, &engine, job] { jobEnded(engine, job); });
}

void Simulation::jobEnded(EngineModel &engine, const RunningJob &job)
{
    const std::optional<RunningJob> next = engine.ended(job, loop_.now());
    publishEvictions(engine);
    if (next) {
        runJob(engine, *next);
    }
    const std::size_t index = programOfCall_.at(job.job.id.value());
    if (engine.group().kind == Dispatch::ServiceKind::Model && isMeasured(programs_[index])) {
        result_.prefixTokens += static_cast<double>(job.job.prefixTokens);
        const std::int64_t recomputed = job.job.prefixTokens - job.cachedTokens;
        result_.recomputedTokens += static_cast<double>(recomputed);
    }
    loop_.after(oneWay_, [this, index, job] {
        const Dispatch::Usage usage{Base::Tokens(job.job.promptTokens),
                                    Base::Tokens(job.cachedTokens),
                                    Base::Tokens(job.job.outputTokens)};
        const std::size_t shell = job.job.dispatcher;
        shells_[shell].dispatcher->finished(job.job.id, usage, loop_.now());
        callEnded(index);
        drain(shell);
    });
}

void Simulation::callEnded(std::size_t index)
{
    Program &program = programs_[index];
    const Turn &turn = program.trace->turns[program.next++];
    program.refusals = 0;
    const std::int64_t fresh = turn.newTokens + turn.outputTokens;
    program.history += fresh;
    program.attained += fresh;
    if (Base::toSeconds(loop_.now().time_since_epoch()) >= scenario_->warmUpSeconds) {
        served_[program.trace->team] += static_cast<double>(fresh);
    }
    if (turn.kind == Dispatch::ServiceKind::Plain && isMeasured(program)) {
        result_.toolSeconds.push_back(Base::toSeconds(loop_.now() - program.issuedAt));
    }
    if (program.next < program.trace->turns.size()) {
        loop_.after(fromSeconds(turn.pauseAfter), [this, index] { issue(index); });
        return;
    }
    finished_++;
    shells_[program.dispatcher].dispatcher->programEnded(program.trace->program, loop_.now());
    if (isMeasured(program)) {
        const double now = Base::toSeconds(loop_.now().time_since_epoch());
        result_.programSeconds.push_back(now - program.trace->arrival);
    }
}

// A flooding team's callers give up at once, or their programs would pile up without end.
void Simulation::refused(std::size_t index)
{
    Program &program = programs_[index];
    program.refusals++;
    if (program.refusals > callerRetries || scenario_->teams[program.trace->team].flood > 1) {
        abandon(index);
        return;
    }
    loop_.after(callerRetryDelay, [this, index] { issue(index); });
}

void Simulation::abandon(std::size_t index)
{
    Program &program = programs_[index];
    finished_++;
    result_.abandonedPrograms += isMeasured(program) ? 1 : 0;
    shells_[program.dispatcher].dispatcher->programEnded(program.trace->program, loop_.now());
    // The call that led here may be inside the dispatcher, which is drained afterwards.
    loop_.after(Base::Duration(0), [this, shell = program.dispatcher] { drain(shell); });
}

void Simulation::publishEvictions(EngineModel &engine)
{
    for (const Base::ProgramId &program : engine.takeEvicted()) {
        if (random_.chance(scenario_->cacheEventLoss)) {
            continue;
        }
        loop_.after(fromSeconds(scenario_->cacheEventLagSeconds), [this, &engine, program] {
            for (Shell &shell : shells_) {
                shell.dispatcher->cacheEvent(
                    engine.id(), program, Base::Tokens(), Dispatch::CacheEventKind::Evicted);
            }
        });
    }
}

void Simulation::report()
{
    for (const Dispatch::ServerConfig &config : configs_) {
        const EngineModel &engine = *engines_.at(config.server);
        const Base::Instant at = loop_.now();
        loop_.after(
            fromSeconds(scenario_->reportLagSeconds),
            [this, at, id = engine.id(), running = engine.running(), queued = engine.queued()] {
                for (Shell &shell : shells_) {
                    shell.dispatcher->loadReported(id, running, queued, at);
                }
            });
    }
    if (finished_ < programs_.size()) {
        loop_.after(fromSeconds(scenario_->reportIntervalSeconds), [this] { report(); });
    }
}

bool Simulation::isMeasured(const Program &program) const
{
    return program.trace->arrival >= scenario_->warmUpSeconds
           && scenario_->teams[program.trace->team].flood <= 1;
}

} // namespace Experiment
