#include "daemonprocess.h"

#include <base/visitor.h>

namespace JournalTest {

using namespace Journal;

namespace {

constexpr std::int64_t smallSegmentBytes = 12'000;
constexpr std::uint64_t maxInputBytes = 2000;
constexpr std::uint64_t maxPauseMicroseconds = 400'000;
constexpr std::uint64_t maxWorkMicroseconds = 100'000;

WriterSettings writerSettings()
{
    WriterSettings settings;
    settings.writesPerSecond = 40;
    settings.maxSegmentBytes = Base::Bytes(smallSegmentBytes);
    return settings;
}

CompactorSettings compactorSettings()
{
    CompactorSettings settings;
    settings.compactAfterSegments = 12;
    settings.writesPerSecond = 200;
    settings.maxObjectBytes = Base::Bytes(smallSegmentBytes / 2);
    return settings;
}

std::string join(const WitnessSet &witnesses)
{
    std::string text;
    for (const Base::IncarnationId &witness : witnesses) {
        text += witness.text() + ",";
    }
    return text;
}

} // namespace

std::set<Base::PartitionId> schedulePartitions()
{
    return {Base::PartitionId(0), Base::PartitionId(1)};
}

WitnessProcess::WitnessProcess(const std::string &id)
    : Process{id}
    , buffer(Base::IncarnationId(id), Base::Bytes(1 << 20))
{}

void Simulation::setGone(const Base::IncarnationId &incarnation)
{
    gone.insert(incarnation);
    for (const auto &daemon : daemons) {
        network.at(network.now(), *daemon, [&daemon, incarnation] {
            daemon->incarnationGone(incarnation);
        });
    }
}

DaemonProcess::DaemonProcess(Simulation &simulation,
                             const std::string &id,
                             std::vector<Base::IncarnationId> predecessors)
    : Process{id}
    , simulation_(simulation)
    , id_(id)
    , predecessors_(std::move(predecessors))
    , writer_(id_, writerSettings())
    , compactor_(id_, compactorSettings())
    , leaseCalls_(std::chrono::milliseconds(500), std::chrono::milliseconds(200))
{}

void DaemonProcess::start()
{
    useWitnesses({Base::IncarnationId("a.1"), Base::IncarnationId("b.1")});
    recoverNext();
}

void DaemonProcess::useWitnesses(const WitnessSet &witnesses)
{
    isLeaseInFlight_ = true;
    writer_.setWitnesses(witnesses, simulation_.network.now());
    drainWriter();
}

void DaemonProcess::writeLease(const WitnessSet &witnesses)
{
    ++leaseWrites_;
    Platform::PutObject put{leaseKey(id_),
                            leaseVersion_,
                            join(witnesses),
                            Base::WriteId(name + ".lease." + std::to_string(leaseWrites_))};
    const StoreCallId call = leaseCalls_.put(std::move(put), simulation_.network.now());
    leaseCallbacks_[call] = [this, witnesses](const StoreResult &result) {
        leaseVersion_ = std::get<Platform::WriteConfirmed>(result).version;
        witnesses_ = witnesses;
        isLeaseInFlight_ = false;
        simulation_.network.trace(name, "lease names " + join(witnesses));
        writer_.witnessesConfirmed(witnesses, simulation_.network.now());
        drainWriter();
        for (const Base::IncarnationId &gone : simulation_.gone) {
            replaceWitness(gone);
        }
    };
    drainLease();
}

void DaemonProcess::replaceWitness(const Base::IncarnationId &gone)
{
    if (isLeaseInFlight_ || !witnesses_.contains(gone)) {
        return;
    }
    WitnessSet next = witnesses_;
    next.erase(gone);
    for (const WitnessProcess &witness : simulation_.witnesses) {
        const Base::IncarnationId id(witness.name);
        if (next.size() < 2 && !simulation_.gone.contains(id)) {
            next.insert(id);
        }
    }
    if (next.size() == 2) {
        useWitnesses(next);
    }
}

void DaemonProcess::drainLease()
{
    for (Platform::StoreRequest &request : leaseCalls_.takeRequests()) {
        simulation_.network.call(*this, request, [this](const Platform::StoreReply &reply) {
            const auto finished = leaseCalls_.handle(reply, simulation_.network.now());
            if (finished) {
                const auto then = leaseCallbacks_.extract(finished->call);
                then.mapped()(finished->result);
            }
            drainLease();
        });
    }
    armTimer(Timer::Lease, leaseCalls_.nextWakeUp(), [this] {
        leaseCalls_.tick(simulation_.network.now());
        drainLease();
    });
}

void DaemonProcess::armTimer(Timer timer,
                             std::optional<Base::Instant> at,
                             std::function<void()> tick)
{
    if (!at) {
        return;
    }
    const Base::Instant earliest = simulation_.network.now() + std::chrono::milliseconds(1);
    const Base::Instant due = std::max(*at, earliest);
    const auto armed = armed_.find(timer);
    if (armed != armed_.end() && armed->second <= due) {
        return;
    }
    armed_[timer] = due;
    simulation_.network.at(due, *this, [this, timer, due, tick = std::move(tick)] {
        const auto latest = armed_.find(timer);
        if (latest != armed_.end() && latest->second == due) {
            armed_.erase(latest);
            tick();
        }
    });
}

void DaemonProcess::createProgram(int index)
{
    ProgramCreated created;
    created.program = Base::ProgramId(name + "-" + std::to_string(index));
    created.budget = Base::Tokens(1000);
    const Base::PartitionId partition(static_cast<std::uint16_t>(index % 2));
    programs_.push_back({created.program, partition, Base::CallNumber()});
    const std::size_t programIndex = programs_.size() - 1;
    append({{partition, created}}, [this, programIndex] { nextCall(programIndex); });
}

void DaemonProcess::nextCall(std::size_t program)
{
    if (!takesCalls_ || isFenced()) {
        return;
    }
    const Base::Duration pause(simulation_.network.random().below(maxPauseMicroseconds));
    simulation_.network.at(simulation_.network.now() + pause, *this, [this, program] {
        if (!takesCalls_ || isFenced()) {
            return;
        }
        const RunningProgram &running = programs_[program];
        CallIntent intent;
        intent.program = running.id;
        intent.number = running.ended.next();
        intent.input = std::string(simulation_.network.random().below(maxInputBytes), 'i');
        intent.reserved = Base::Tokens(10);
        append({{running.partition, intent}},
               [this, program, intent] { dispatch(program, intent); });
    });
}

void DaemonProcess::dispatch(std::size_t program, const CallIntent &intent)
{
    ++simulation_.executionCounts[{intent.program, intent.number}];
    simulation_.network.trace(name,
                              "dispatches " + intent.program.text() + " call "
                                  + std::to_string(intent.number.value()));
    const Base::Duration work(simulation_.network.random().below(maxWorkMicroseconds));
    simulation_.network.at(simulation_.network.now() + work, *this, [this, program, intent] {
        if (!isFenced()) {
            finishCall(program, intent, false);
        }
    });
}

void DaemonProcess::finishCall(std::size_t program, const CallIntent &intent, bool mayHaveRun)
{
    CallResult result;
    result.program = intent.program;
    result.number = intent.number;
    result.input = intent.input;
    result.output = name + " answers " + std::to_string(intent.number.value());
    result.charged = Base::Tokens(3);
    if (mayHaveRun) {
        result.error.emplace();
        result.error->ran = Base::Ran::MayHaveRun;
    }
    programs_[program].ended = intent.number;
    append({{programs_[program].partition, result}}, [this, program] { nextCall(program); });
}

void DaemonProcess::append(std::vector<Record> records, std::function<void()> then)
{
    lastTicket_ = lastTicket_.next();
    log_.insert(log_.end(), records.begin(), records.end());
    pending_[lastTicket_] = {log_.size(), std::move(then)};
    const auto result = writer_.append(lastTicket_, std::move(records), simulation_.network.now());
    if (!result && !writer_.isFenced()) {
        violation_ = "append refused: " + result.error().message;
    }
    drainWriter();
}

void DaemonProcess::committed(Ticket ticket)
{
    const auto pending = pending_.begin();
    if (pending->first != ticket) {
        violation_ = "committed out of order";
        return;
    }
    committed_ = pending->second.logEnd;
    const bool isOutage = writer_.path(simulation_.network.now()) != CommitPath::Store;
    outageCommits_ += isOutage ? 1 : 0;
    const std::function<void()> then = std::move(pending->second.then);
    pending_.erase(pending);
    then();
}

void DaemonProcess::drainWriter()
{
    for (WriterAction &action : writer_.takeActions()) {
        std::visit(Base::Visitor{
                       [&](SendStoreRequest &send) {
                           simulation_.network.call(
                               *this, send.request, [this](const Platform::StoreReply &reply) {
                                   writer_.handle(reply, simulation_.network.now());
                                   drainWriter();
                               });
                       },
                       [&](SendMessage &message) { send(message); },
                       [&](RecordsCommitted &done) { committed(done.ticket); },
                       [&](SegmentStored &stored) {
                           compactor_.segmentStored(std::move(stored), simulation_.network.now());
                           drainCompactor();
                       },
                       [&](Fenced &fenced) {
                           simulation_.network.trace(name, "fenced by " + fenced.by.text());
                       },
                       [&](WitnessesReady &ready) { writeLease(ready.witnesses); },
                       [&](OutageStarted &) { simulation_.network.trace(name, "outage started"); },
                       [&](OutageEnded &) { simulation_.network.trace(name, "outage ended"); }},
                   action);
    }
    armTimer(Timer::Writer, writer_.nextWakeUp(), [this] {
        writer_.tick(simulation_.network.now());
        drainWriter();
    });
}

void DaemonProcess::drainCompactor()
{
    for (CompactorAction &action : compactor_.takeActions()) {
        if (const auto *send = std::get_if<SendStoreRequest>(&action)) {
            simulation_.network.call(
                *this, send->request, [this](const Platform::StoreReply &reply) {
                    compactor_.handle(reply, simulation_.network.now());
                    drainCompactor();
                });
        }
    }
    armTimer(Timer::Compactor, compactor_.nextWakeUp(), [this] {
        compactor_.tick(simulation_.network.now());
        drainCompactor();
    });
}

void DaemonProcess::send(const SendMessage &message)
{
    for (WitnessProcess &witness : simulation_.witnesses) {
        if (witness.name != message.to.text()) {
            continue;
        }
        simulation_.network.message(witness, [this, &witness, sent = message.message] {
            if (const auto *append = std::get_if<WitnessAppend>(&sent)) {
                const WitnessAppendReply reply = witness.buffer.append(*append);
                simulation_.network.message(*this, [this, reply] { receive(reply); });
            } else if (const auto *seal = std::get_if<WitnessSeal>(&sent)) {
                const auto reply = witness.buffer.seal(*seal);
                simulation_.network.message(*this, [this, reply] { receive(*reply); });
            }
        });
    }
}

void DaemonProcess::receive(const WitnessAppendReply &reply)
{
    writer_.handle(reply, simulation_.network.now());
    drainWriter();
}

void DaemonProcess::receive(const WitnessSealReply &reply)
{
    if (recovery_) {
        recovery_->handle(reply, simulation_.network.now());
        drainRecovery();
    }
}

void DaemonProcess::incarnationGone(const Base::IncarnationId &incarnation)
{
    replaceWitness(incarnation);
    if (recovery_) {
        recovery_->incarnationGone(incarnation, simulation_.network.now());
        drainRecovery();
    }
}

} // namespace JournalTest
