#include "schedule.h"

#include <base/visitor.h>

#include <algorithm>

using namespace Programs;
using namespace std::chrono_literals;

namespace ProgramsTest {

namespace {

constexpr Base::Duration faultDuration = 40s;
constexpr Base::Duration faultFreeDuration = 200s;
constexpr Base::Duration tickInterval = 250ms;
constexpr Base::Duration takeoverDelay = 1500ms;
constexpr Base::Duration moveTimeout = 2s;
constexpr Base::Duration clientTimeout = 15s;
constexpr std::uint32_t callsPerProgram = 6;
constexpr std::int64_t outputTokens = 12;

const Base::TeamId team("team");
const Base::PartitionId partition(0);

ProgramLimits limits()
{
    return ProgramLimitsBuilder()
        .partitionCount(1)
        .callTimeout(8s)
        .cancelTimeout(2s)
        .commitTimeout(6s)
        .idleTimeout(60s)
        .build();
}

std::string nameOf(const Base::ProgramId &program, Base::CallNumber number)
{
    return program.text() + "#" + std::to_string(number.value());
}

std::vector<Exchange> exchangesOf(const History &history)
{
    std::vector<Exchange> exchanges;
    for (const std::shared_ptr<const Turn> &turn : history) {
        if (!turn->error()) {
            exchanges.push_back({std::string(turn->input()), std::string(turn->output())});
        }
    }
    return exchanges;
}

DispatchFailed failure(Base::Ran ran)
{
    DispatchFailed failed;
    failed.error.code = Base::ErrorCode::BackendFailed;
    failed.error.step = Base::Step::Backend;
    failed.error.ran = ran;
    return failed;
}

} // namespace

Schedule::Schedule(const ScheduleOptions &options)
    : options_(options)
    , random_(options.seed)
{
    startDaemon();
    for (int i = 0; i < options.programs; ++i) {
        Client client;
        client.program = Base::ProgramId("p" + std::to_string(i));
        client.key = Base::KeyId("key" + std::to_string(i % 2));
        clients_.push_back(client);
        act(clients_.size() - 1);
    }
}

std::string Schedule::run()
{
    const Base::Instant faultsEnd = now_ + faultDuration;
    const Base::Instant end = faultsEnd + faultFreeDuration;
    scheduleEvent(tickInterval, [this]() { tickAll(); });
    while (now_ < end && failure_.empty()) {
        const auto next = events_.begin();
        now_ = next->first;
        injectsFaults_ = now_ < faultsEnd;
        const Event event = next->second;
        events_.erase(next);
        event();
    }
    if (failure_.empty()) {
        checkEnd();
    }
    return failure_;
}

// Time and delivery

void Schedule::scheduleEvent(Base::Duration delay, Event event)
{
    events_.emplace(now_ + delay, std::move(event));
}

Base::Duration Schedule::delay(int milliseconds)
{
    return std::chrono::milliseconds(1 + random_.below(static_cast<std::uint64_t>(milliseconds)));
}

bool Schedule::shouldInject(Fault fault, double probability)
{
    const bool isDrawn = random_.chance(probability);
    return isDrawn && injectsFaults_ && (options_.faults & fault) != 0;
}

void Schedule::deliver(size_t index, Base::Duration delay, Event event)
{
    scheduleEvent(delay, [this, index, event = std::move(event)]() {
        Daemon &daemon = daemons_[index];
        if (daemon.state == DaemonState::Paused) {
            daemon.heldEvents.push_back(event);
        } else if (daemon.state == DaemonState::Running) {
            event();
            drain(index);
        }
    });
}

void Schedule::addTraceLine(const std::string &line)
{
    trace_.push_back(std::to_string(now_.time_since_epoch() / 1ms - 1'000'000) + " ms: " + line);
}

void Schedule::fail(const std::string &message)
{
    if (failure_.empty()) {
        failure_ = message;
        addTraceLine("FAILED: " + message);
    }
}

// Daemons and journal

void Schedule::startDaemon()
{
    daemons_.emplace_back().table = std::make_unique<ProgramTable>(limits());
    recoverAt(daemons_.size() - 1);
}

void Schedule::recoverAt(size_t index)
{
    owner_ = index;
    Daemon &daemon = daemons_[index];
    daemon.isSealed = false;
    daemon.table->partitionAcquired(partition, Base::Epoch(owner_ + 1), now_);
    if (random_.chance(0.5)) {
        for (const ProgramSnapshot &snapshot : snapshots_) {
            daemon.table->restore(snapshot, now_);
        }
    }
    daemon.table->recover(partition, journal_, uncertain_, now_);
    addTraceLine("daemon " + std::to_string(owner_) + " takes over");
    for (const Base::KeyId &key : withdrawn_) {
        notifyKeyWithdrawn(owner_, key);
    }
    drain(owner_);
}

void Schedule::takeOver(size_t old)
{
    seal(old);
    startDaemon();
}

void Schedule::seal(size_t old)
{
    Daemon &daemon = daemons_[old];
    // Writes in flight may have been executed before the seal; their responses are lost.
    while (!daemon.appends.empty() && random_.chance(0.5)) {
        appendToJournal(old, daemon.appends.front());
        daemon.appends.pop_front();
    }
    if (!daemon.appends.empty() && shouldInject(UncertainRecords, 0.5)) {
        const std::vector<Journal::Record> &records = daemon.appends.front().records;
        uncertain_.insert(uncertain_.end(), records.begin(), records.end());
        addTraceLine("an append is uncertain");
    }
    daemon.appends.clear();
    daemon.isSealed = true;
}

void Schedule::move()
{
    addTraceLine("the partition leaves daemon " + std::to_string(owner_));
    daemons_[owner_].table->partitionLeaving(partition, now_);
    finishMove(owner_, now_ + moveTimeout);
}

/// Moves the partition when it is not busy or the deadline has passed. The same daemon may acquire
/// it again.
void Schedule::finishMove(size_t index, Base::Instant deadline)
{
    Daemon &daemon = daemons_[index];
    if (daemon.state != DaemonState::Running || daemon.isSealed || owner_ != index) {
        return;
    }
    if (daemon.table->isBusy(partition) && now_ < deadline) {
        scheduleEvent(delay(100), [this, index, deadline]() { finishMove(index, deadline); });
        return;
    }
    daemon.table->partitionLost(partition, now_);
    seal(index);
    drain(index);
    if (random_.chance(0.5)) {
        startDaemon();
        return;
    }
    daemon.table->partitionAcquired(partition, Base::Epoch(1), now_);
    recoverAt(index);
}

void Schedule::crash()
{
    addTraceLine("daemon " + std::to_string(owner_) + " crashes");
    daemons_[owner_].state = DaemonState::Dead;
    scheduleEvent(takeoverDelay, [this, old = owner_]() { takeOver(old); });
}

void Schedule::pause()
{
    addTraceLine("daemon " + std::to_string(owner_) + " is paused");
    daemons_[owner_].state = DaemonState::Paused;
    scheduleEvent(takeoverDelay, [this, old = owner_]() { takeOver(old); });
    scheduleEvent(takeoverDelay + delay(4'000), [this, old = owner_]() { resume(old); });
}

void Schedule::resume(size_t index)
{
    addTraceLine("daemon " + std::to_string(index) + " resumes");
    Daemon &daemon = daemons_[index];
    daemon.state = DaemonState::Running;
    for (const Event &event : std::exchange(daemon.heldEvents, {})) {
        event();
        drain(index);
    }
    deliver(index, delay(2'000), [this, index]() { daemons_[index].table->fenced(now_); });
}

void Schedule::withdrawKey()
{
    const Base::KeyId key("key" + std::to_string(random_.below(2)));
    withdrawn_.insert(key);
    addTraceLine("withdrawn: " + key.text());
    for (size_t i = 0; i < daemons_.size(); ++i) {
        deliver(i, delay(1'000), [this, i, key]() { notifyKeyWithdrawn(i, key); });
    }
}

void Schedule::notifyKeyWithdrawn(size_t index, const Base::KeyId &key)
{
    daemons_[index].withdrawn.insert(key);
    daemons_[index].table->keyWithdrawn(key, now_);
}

void Schedule::commitNext(size_t index)
{
    Daemon &daemon = daemons_[index];
    if (daemon.state == DaemonState::Dead || daemon.isSealed || daemon.appends.empty()) {
        return;
    }
    const AppendRecords append = daemon.appends.front();
    daemon.appends.pop_front();
    if (!shouldInject(RefusedAppends, 0.1)) {
        appendToJournal(index, append);
        return;
    }
    addTraceLine("append " + std::to_string(append.ticket.value()) + " refused");
    Base::Error error;
    error.code = Base::ErrorCode::Unavailable;
    error.step = Base::Step::Journal;
    deliver(index, delay(50), [this, index, ticket = append.ticket, error]() {
        daemons_[index].table->appendRefused(ticket, error, now_);
    });
}

void Schedule::appendToJournal(size_t index, const AppendRecords &append)
{
    Daemon &daemon = daemons_[index];
    journal_.insert(journal_.end(), append.records.begin(), append.records.end());
    daemon.lastAck = std::max(daemon.lastAck, now_ + delay(100));
    deliver(index, daemon.lastAck - now_, [this, index, ticket = append.ticket]() {
        addTraceLine("append " + std::to_string(ticket.value()) + " committed");
        daemons_[index].table->committed(ticket, now_);
    });
}

void Schedule::drain(size_t index)
{
    for (const ProgramAction &action : daemons_[index].table->takeActions()) {
        handle(index, action);
    }
}

void Schedule::tickAll()
{
    for (size_t i = 0; i < daemons_.size(); ++i) {
        Daemon &daemon = daemons_[i];
        if (daemon.state != DaemonState::Running) {
            continue;
        }
        daemon.table->tick(now_);
        drain(i);
        if (daemon.table->nextWakeUp() && *daemon.table->nextWakeUp() <= now_) {
            fail("a timer is still due after the tick");
        }
    }
    const bool hasOwner = daemons_[owner_].state == DaemonState::Running;
    if (hasOwner && shouldInject(Crashes, 0.02)) {
        crash();
    } else if (hasOwner && shouldInject(Pauses, 0.02)) {
        pause();
    } else if (hasOwner && shouldInject(Moves, 0.02)) {
        move();
    } else if (shouldInject(WithdrawnKeys, 0.004)) {
        withdrawKey();
    }
    if (hasOwner && random_.chance(0.1)) {
        snapshots_.clear();
        for (const Base::ProgramId &program : daemons_[owner_].table->programs(partition)) {
            snapshots_.push_back(*daemons_[owner_].table->snapshot(program));
        }
    }
    scheduleEvent(tickInterval, [this]() { tickAll(); });
}

// Actions

void Schedule::handle(size_t index, const ProgramAction &action)
{
    std::visit(
        Base::Visitor{
            [&](const AppendRecords &append) {
                if (!daemons_[index].isSealed) {
                    daemons_[index].appends.push_back(append);
                    scheduleEvent(delay(100), [this, index]() { commitNext(index); });
                }
            },
            [&](const StartDispatch &order) { startRun(index, order); },
            [&](const CancelDispatch &cancel) { cancelRun(index, cancel.dispatch); },
            [&](const ReplyCreated &reply) {
                handleReply(reply.request, [&]() {
                    Client &client = clients_[requests_[reply.request].client];
                    client.program = reply.program;
                    client.isCreated = true;
                });
            },
            [&](const ReplyOutput &reply) { requests_[reply.request].streamed += reply.text; },
            [&](const ReplyDone &reply) {
                handleReply(reply.request, [&]() { callDone(requests_[reply.request], reply); });
            },
            [&](const ReplyError &reply) {
                handleReply(reply.request,
                            [&]() { callFailed(requests_[reply.request], reply.error); });
            },
            [&](const ReplyEnded &reply) {
                handleReply(reply.request,
                            [&]() { clients_[requests_[reply.request].client].isFinished = true; });
            },
            [&](const ReleaseEngineMemory &release) { released_.insert(release.program); },
            [](const auto &) {}},
        action);
}

void Schedule::handleReply(Base::RequestId id, const Event &answer)
{
    Request &request = requests_[id];
    if (request.isAnswered) {
        fail("request " + std::to_string(id.value()) + " was answered twice");
    }
    request.isAnswered = true;
    Client &client = clients_[request.client];
    if (client.open == id) {
        client.open.reset();
    }
    answer();
}

void Schedule::startRun(size_t index, const StartDispatch &order)
{
    addTraceLine("daemon " + std::to_string(index) + " dispatches "
                 + nameOf(order.program, order.number));
    checkDispatch(daemons_[index], order);
    const size_t run = runs_.size();
    runs_.push_back({index, order});
    if (shouldInject(FailedRuns, 0.1)) {
        finishRun(run, failure(Base::Ran::NotRun), delay(100));
        return;
    }
    // The request is in flight and is executed even if the daemon crashes in the meantime.
    scheduleEvent(delay(300), [this, run]() { execute(run); });
}

void Schedule::checkDispatch(const Daemon &daemon, const StartDispatch &order)
{
    if (daemon.withdrawn.contains(order.key)) {
        fail("a dispatch for a withdrawn key");
    }
    if (daemon.isSealed) {
        return;
    }
    const JournalView view = viewOf(journal_, order.program);
    const std::uint32_t ended = view.callCount();
    const bool isRepeat = order.number.value() == ended && view.errors.contains(order.number);
    if (order.number.value() != ended + 1 && !isRepeat) {
        fail(nameOf(order.program, order.number) + " is out of order");
    }
    if (order.kind != Contracts::ServiceKind::Model) {
        return;
    }
    const Base::Tokens maxTokens
        = promptTokens(exchangesOf(*order.history), order.input) + order.outputLimit;
    if (view.charged + view.liveChildren + maxTokens > view.budget) {
        fail(nameOf(order.program, order.number) + " may exceed the budget");
    }
}

void Schedule::execute(size_t index)
{
    const StartDispatch &order = runs_[index].order;
    if (runs_[index].hasEnded) {
        return;
    }
    const CallKey call(order.program, order.number);
    if (!order.isIdempotent) {
        Ledger &ledger = ledger_[call];
        addTraceLine("executed " + nameOf(order.program, order.number));
        if (++ledger.executions > 1) {
            fail(nameOf(order.program, order.number) + " ran twice");
        }
        if (ledger.attempts < 1) {
            fail(nameOf(order.program, order.number) + " ran after it was reported as not run");
        }
    }
    if (shouldInject(LostAnswers, 0.1)) {
        return;
    }
    if (shouldInject(FailedRuns, 0.1)) {
        finishRun(index, failure(Base::Ran::MayHaveRun), delay(300));
        return;
    }
    DispatchCompleted completed;
    completed.output = answer(exchangesOf(*order.history), order.input);
    if (order.kind == Contracts::ServiceKind::Model) {
        completed.promptTokens = promptTokens(exchangesOf(*order.history), order.input);
        completed.outputTokens = std::min(order.outputLimit, Base::Tokens(outputTokens));
        const std::string piece = completed.output.substr(0, random_.below(12));
        deliver(runs_[index].daemon, delay(100), [this, index, piece]() {
            const Run &run = runs_[index];
            daemons_[run.daemon].table->outputReceived(
                run.order.dispatch, piece, Base::Tokens(1), now_);
        });
    }
    finishRun(index, completed, 100ms + delay(600));
}

void Schedule::finishRun(size_t index, const DispatchOutcome &outcome, Base::Duration delayed)
{
    const Event event = [this, index, outcome]() {
        Run &run = runs_[index];
        run.hasEnded = true;
        daemons_[run.daemon].table->dispatchFinished(run.order.dispatch, outcome, now_);
    };
    deliver(runs_[index].daemon, delayed, event);
    if (shouldInject(RepeatedAnswers, 0.1)) {
        deliver(runs_[index].daemon, delayed + delay(2'000), event);
    }
}

void Schedule::cancelRun(size_t daemon, DispatchId dispatch)
{
    for (size_t i = 0; i < runs_.size(); ++i) {
        const bool isMatch = runs_[i].daemon == daemon && runs_[i].order.dispatch == dispatch;
        if (isMatch && !runs_[i].hasEnded) {
            addTraceLine("cancelled " + nameOf(runs_[i].order.program, runs_[i].order.number));
            finishRun(i, failure(Base::Ran::MayHaveRun), delay(200));
        }
    }
}

void Schedule::callDone(Request &request, const ReplyDone &reply)
{
    const auto &[program, number] = request.call;
    const std::string output(reply.turn->output());
    addTraceLine("done " + nameOf(program, number));
    if (request.streamed != output) {
        fail(nameOf(program, number) + " was not streamed whole");
    }
    const auto known = reported_.emplace(request.call, output).first;
    if (known->second != output || reply.turn->number() != number) {
        fail(nameOf(program, number) + " got two different answers");
    }
    Client &client = clients_[request.client];
    if (client.program == program && client.number == number) {
        client.number = number.next();
        client.failures = 0;
    }
}

void Schedule::callFailed(Request &request, const Base::Error &error)
{
    Client &client = clients_[request.client];
    const auto &[program, number] = request.call;
    const bool isFinal = error.code == Base::ErrorCode::ProgramEnded
                         || error.code == Base::ErrorCode::UnknownProgram
                         || error.code == Base::ErrorCode::Unauthorized;
    client.isFinished = client.isFinished || (isFinal && !request.isExtra);
    if (!request.isCall) {
        client.isFinished = client.isFinished || error.code == Base::ErrorCode::OverBudget;
        return;
    }
    addTraceLine("refused " + nameOf(program, number) + ": " + std::string(toString(error.code))
                 + " " + std::string(toString(error.ran)) + " " + error.message);
    if (error.ran == Base::Ran::NotRun) {
        Ledger &ledger = ledger_[request.call];
        --ledger.attempts;
        // The error of a daemon that does not serve the partition applies to this request only.
        const bool appliesToCall = error.step != Base::Step::Route
                                   && error.step != Base::Step::Recover
                                   && !daemons_[request.daemon].isSealed;
        const int mayHaveRun = appliesToCall ? 0 : std::max(ledger.attempts, 0);
        if (ledger.executions > mayHaveRun) {
            fail(nameOf(program, number) + " ran, but was reported as not run");
        }
        return;
    }
    const bool isOwn = client.number == number && !request.isExtra;
    // The outcome of a non-idempotent call is known after the second error; others are retried
    // more often.
    const int maxFailures = scriptedCall(program, number).isIdempotent ? 4 : 1;
    if (isOwn && ++client.failures > maxFailures) {
        client.number = number.next();
        client.failures = 0;
    }
}

// Clients

void Schedule::act(size_t index)
{
    scheduleEvent(delay(500), [this, index]() {
        Client &client = clients_[index];
        actOn(client, index);
        if (!client.isFinished) {
            act(index);
        }
    });
}

void Schedule::actOn(Client &client, size_t index)
{
    if (client.open) {
        const bool isCallerGone = shouldInject(CallersGone, 0.05);
        if (isCallerGone || now_ - client.openSince > clientTimeout) {
            disconnect(client);
        }
        return;
    }
    if (client.isFinished || daemons_[owner_].state == DaemonState::Dead) {
        return;
    }
    if (!client.isCreated) {
        sendCreate(index);
        return;
    }
    if (client.number.value() > callsPerProgram) {
        sendEnd(index);
        return;
    }
    sendCall(index, client.number, false);
    if (random_.chance(0.1)) {
        sendCall(index, client.number, true);
    }
    if (random_.chance(0.1) && client.number.value() < callsPerProgram) {
        sendCall(index, client.number.next(), true);
    }
    const bool isRoot = !client.parent && clients_.size() < 12;
    if (isRoot && random_.chance(0.1)) {
        Client child;
        child.parent = client.program;
        child.key = client.key;
        clients_.push_back(child);
        act(clients_.size() - 1);
    }
}

void Schedule::disconnect(Client &client)
{
    const Base::RequestId request = *client.open;
    client.open.reset();
    const size_t daemon = requests_[request].daemon;
    addTraceLine("caller of request " + std::to_string(request.value()) + " is gone");
    deliver(daemon, 1ms, [this, daemon, request]() {
        daemons_[daemon].table->callerGone(request, now_);
    });
}

Base::RequestId Schedule::newRequest(size_t index, bool isExtra)
{
    const Base::RequestId id(++lastRequest_);
    Request &request = requests_[id];
    request.client = index;
    request.daemon = owner_;
    request.isExtra = isExtra;
    if (!isExtra) {
        clients_[index].open = id;
        clients_[index].openSince = now_;
    }
    return id;
}

void Schedule::sendCreate(size_t index)
{
    const Client &client = clients_[index];
    CreateProgram create;
    create.request = newRequest(index, false);
    create.program = client.program;
    create.parent = client.parent;
    create.team = team;
    create.key = client.key;
    create.budget = Base::Tokens(client.parent ? 700 : 3'000);
    deliver(owner_, delay(50), [this, daemon = owner_, create]() {
        daemons_[daemon].table->create(create, now_);
    });
}

void Schedule::sendCall(size_t index, Base::CallNumber number, bool isExtra)
{
    const Client &client = clients_[index];
    const ScriptedCall scripted = scriptedCall(client.program, number);
    SubmitCall call;
    call.request = newRequest(index, isExtra);
    call.program = client.program;
    call.team = team;
    call.key = client.key;
    call.number = number;
    call.bodyHash = Base::BodyHash(Base::hash64(scripted.input));
    call.service = Base::ServiceId("service");
    call.kind = scripted.kind;
    call.isIdempotent = scripted.isIdempotent;
    call.input = scripted.input;
    call.isStream = true;
    Request &request = requests_[call.request];
    request.call = {client.program, number};
    request.isCall = true;
    if (!call.isIdempotent) {
        ++ledger_[request.call].attempts;
    }
    addTraceLine("submit " + nameOf(client.program, number) + " as request "
                 + std::to_string(call.request.value()));
    deliver(owner_, delay(50), [this, daemon = owner_, call]() {
        daemons_[daemon].table->submit(call, now_);
    });
}

void Schedule::sendEnd(size_t index)
{
    const Base::RequestId request = newRequest(index, false);
    deliver(
        owner_, delay(50), [this, daemon = owner_, request, program = clients_[index].program]() {
            daemons_[daemon].table->end({request, program, team}, now_);
        });
}

// The end of a schedule

void Schedule::checkEnd()
{
    if (daemons_[owner_].table->size() != 0) {
        fail("unused programs remain");
    }
    std::set<Base::ProgramId> programs;
    for (const Journal::Record &record : journal_) {
        if (const auto *created = std::get_if<Journal::ProgramCreated>(&record.body)) {
            programs.insert(created->program);
        }
    }
    for (const Base::ProgramId &program : programs) {
        checkProgram(program);
    }
    for (const auto &[call, output] : reported_) {
        const JournalView view = viewOf(journal_, call.first);
        const auto kept = view.outputs.find(call.second);
        if (kept == view.outputs.end() || kept->second != output) {
            fail(nameOf(call.first, call.second) + " was reported as done, but is lost");
        }
    }
}

void Schedule::checkProgram(const Base::ProgramId &program)
{
    const JournalView view = viewOf(journal_, program);
    if (view.outputs != runReference(program, view.callCount(), view.errors)) {
        fail("the history of " + program.text() + " differs from the reference model");
    }
    if (view.charged > view.budget) {
        fail(program.text() + " exceeded its budget");
    }
    if (!view.isEnded || view.liveChildren.value() != 0) {
        fail(program.text() + " did not end with its children");
    }
    if (!released_.contains(program)) {
        fail("engine memory of " + program.text() + " was not released");
    }
}

} // namespace ProgramsTest
