#include "libs/journal/machines.h"
#include "libs/journal/network.h"
#include "libs/journal/records.h"

#include <journal/historyreader.h>
#include <journal/journalrecovery.h>
#include <journal/witnessbuffer.h>

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>

/// Figures of the journal alone: takeover against the number of programs, store writes and commit
/// wait against the append rate, memory. Store latency is virtual: 0.5 to 4.5 ms each way.
namespace {

using namespace Journal;
using namespace JournalTest;
using std::chrono::milliseconds;

constexpr std::int64_t historyTokens = 140'000;
constexpr std::int64_t bytesPerToken = 4;
constexpr std::uint32_t turnsPerProgram = 70;
constexpr std::size_t turnBytes = historyTokens * bytesPerToken / turnsPerProgram;
constexpr std::uint16_t partitions = 32;
const Base::IncarnationId owner("x.1");

using Clock = std::chrono::steady_clock;

double millisecondsSince(Clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

double allocatedMegabytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd) / 1e6;
}

Base::PartitionId partitionOf(int program)
{
    return Base::PartitionId(static_cast<std::uint16_t>(program % partitions));
}

std::string nameOf(int program)
{
    return "program-" + std::to_string(program);
}

/// Writes the histories of the programs, compacting as a daemon does.
void fillStore(FakeStore &store, int programs)
{
    WriterSettings writerSettings;
    writerSettings.writeBurst = 1e9;
    CompactorSettings compactorSettings;
    compactorSettings.writeBurst = 1e9;
    JournalWriter writer(owner, writerSettings);
    Compactor compactor(owner, compactorSettings);
    const Base::Instant now{};
    const auto write = [&](std::vector<Record> records) {
        if (!writer.append(Ticket(1), std::move(records), now)) {
            std::puts("append refused");
        }
        for (WriterAction &action : runWithStore<WriterAction>(writer, store, now)) {
            if (auto *stored = std::get_if<SegmentStored>(&action)) {
                compactor.segmentStored(std::move(*stored), now);
                runWithStore<CompactorAction>(compactor, store, now);
            }
        }
    };
    for (std::uint16_t partition = 0; partition < partitions; ++partition) {
        write({adopted(Base::PartitionId(partition))});
    }
    for (int program = 0; program < programs; ++program) {
        write({created(nameOf(program), partitionOf(program))});
    }
    for (std::uint32_t turn = 1; turn <= turnsPerProgram; ++turn) {
        for (int program = 0; program < programs; ++program) {
            write({intent(nameOf(program), turn, partitionOf(program)),
                   result(nameOf(program), turn, turnBytes, partitionOf(program))});
        }
    }
}

template<typename Action, typename Machine>
class Driver
{
public:
    Driver(Network &network, Process &process, Machine &machine)
        : network_(network)
        , process_(process)
        , machine_(machine)
    {}

    void drain()
    {
        for (Action &action : machine_.takeActions()) {
            if (const auto *send = std::get_if<SendStoreRequest>(&action)) {
                network_.call(process_, send->request, [this](const Platform::StoreReply &reply) {
                    machine_.handle(reply, network_.now());
                    drain();
                });
            } else if (onOther) {
                onOther(action);
            } else {
                others.push_back(std::move(action));
            }
        }
        const auto wakeUp = machine_.nextWakeUp();
        if (wakeUp && (!armed_ || *wakeUp < *armed_)) {
            armed_ = std::max(*wakeUp, network_.now() + Base::Duration(1));
            network_.at(*armed_, process_, [this] {
                armed_.reset();
                machine_.tick(network_.now());
                drain();
            });
        }
    }

    /// Takes what is not for the store; kept in `others` if not set.
    std::function<void(const Action &)> onOther;
    std::vector<Action> others;

private:
    Network &network_;
    Process &process_;
    Machine &machine_;
    std::optional<Base::Instant> armed_;
};

RecoverySettings recoverySettings()
{
    RecoverySettings settings;
    settings.owner = owner;
    settings.self = Base::IncarnationId("y.1");
    settings.writeId = Base::WriteId("y.1.r");
    for (std::uint16_t partition = 0; partition < partitions; ++partition) {
        settings.partitions.insert(Base::PartitionId(partition));
    }
    return settings;
}

void runUntil(Network &network, const std::function<bool()> &isDone)
{
    const Base::Instant limit = network.now() + std::chrono::minutes(2);
    while (!isDone() && network.now() < limit) {
        network.run(network.now() + milliseconds(1));
    }
}

double toMilliseconds(Base::Duration duration)
{
    return Base::toSeconds(duration) * 1e3;
}

void benchTakeover(int programs)
{
    Network network(1, false);
    FakeStore &store = network.store();
    fillStore(store, programs);
    const std::uint64_t readsBefore = store.reads();
    const std::uint64_t writesBefore = store.writes();
    const double memoryBefore = allocatedMegabytes();
    const Clock::time_point start = Clock::now();
    const Base::Instant virtualStart = network.now();
    Process successor{"y.1"};
    JournalRecovery recovery(recoverySettings());
    Driver<RecoveryAction, JournalRecovery> driver(network, successor, recovery);
    recovery.start(network.now());
    driver.drain();
    runUntil(network, [&] { return firstOf<LeaseNeeded>(driver.others) != nullptr; });
    recovery.leaseRead({}, network.now());
    driver.drain();
    const auto *done = firstOf<RecoveryDone>(driver.others);
    const double recoveryMs = millisecondsSince(start);
    const double memory = allocatedMegabytes() - memoryBefore;
    const std::uint64_t reads = store.reads() - readsBefore;
    const double readVirtual = toMilliseconds(network.now() - virtualStart);

    JournalWriter writer(Base::IncarnationId("y.1"));
    Driver<WriterAction, JournalWriter> writerDriver(network, successor, writer);
    std::vector<Record> records;
    for (const auto &[id, partition] : done->partitions) {
        const PartitionAdopted adoption{Base::Epoch(2), owner, false};
        for (Record &record : adoptionRecords(id, partition, adoption)) {
            records.push_back(std::move(record));
        }
    }
    if (!writer.append(Ticket(1), std::move(records), network.now())) {
        std::puts("findings refused");
    }
    writerDriver.drain();
    runUntil(network, [&] { return firstOf<RecordsCommitted>(writerDriver.others) != nullptr; });
    std::printf("%8d %7llu %11.1f %11.1f %10.1f %9llu %13.1f %11.1f\n",
                programs,
                static_cast<unsigned long long>(reads),
                readVirtual,
                recoveryMs,
                memory,
                static_cast<unsigned long long>(store.writes() - writesBefore - 1),
                toMilliseconds(network.now() - virtualStart),
                millisecondsSince(start));
}

void benchHistory(int programs)
{
    Network network(1, false);
    fillStore(network.store(), programs);
    Process successor{"y.1"};
    JournalRecovery recovery(recoverySettings());
    recovery.start(network.now());
    runWithStore<RecoveryAction>(recovery, network.store(), network.now());
    recovery.leaseRead({}, network.now());
    const auto actions = recovery.takeActions();
    const auto *done = firstOf<RecoveryDone>(actions);
    const Clock::time_point start = Clock::now();
    const std::uint64_t readsBefore = network.store().reads();
    std::size_t bytes = 0;
    for (const auto &[id, partition] : done->partitions) {
        std::vector<HistoryRequest> wanted;
        for (const auto &[program, snapshot] : partition.programs) {
            wanted.push_back({program, snapshot.state.chunks});
        }
        HistoryReader reader(std::move(wanted));
        reader.start(network.now());
        for (const auto &action :
             runWithStore<HistoryAction>(reader, network.store(), network.now())) {
            for (const CallResult &turn : std::get<HistoryRead>(action).turns) {
                bytes += turn.output.size();
            }
        }
    }
    const auto reads = static_cast<double>(network.store().reads() - readsBefore);
    std::printf("histories of %d programs, by partition: %.1f ms of processor time, %.1f reads and "
                "%.0f KB each\n",
                programs,
                millisecondsSince(start),
                reads / programs,
                static_cast<double>(bytes) / programs / 1e3);
}

void benchAppends(int perSecond)
{
    constexpr int seconds = 20;
    Network network(1, false);
    Process daemon{"x.1"};
    JournalWriter writer(owner);
    Driver<WriterAction, JournalWriter> driver(network, daemon, writer);
    std::vector<double> waits;
    std::vector<Base::Instant> appended;
    driver.onOther = [&](const WriterAction &action) {
        if (const auto *done = std::get_if<RecordsCommitted>(&action)) {
            const Base::Instant at = appended[done->ticket.value() - 1];
            waits.push_back(toMilliseconds(network.now() - at));
        }
    };
    const Clock::time_point start = Clock::now();
    Base::Random random(7);
    Base::Instant next{};
    while (next < Base::Instant(std::chrono::seconds(seconds))) {
        next += Base::Duration(1 + random.below(2'000'000 / perSecond));
        network.run(next);
        appended.push_back(next);
        if (!writer.append(Ticket(appended.size()), {result("p", 1, 400)}, next)) {
            std::puts("append refused");
        }
        driver.drain();
    }
    std::sort(waits.begin(), waits.end());
    const auto quantile = [&](double share) {
        return waits[static_cast<std::size_t>(share * static_cast<double>(waits.size() - 1))];
    };
    std::printf("%8d %9.1f %11.1f %11.1f %14.2f\n",
                perSecond,
                static_cast<double>(network.store().writes()) / seconds,
                quantile(0.5),
                quantile(0.95),
                millisecondsSince(start) * 1e3 / static_cast<double>(appended.size()));
}

/// Store load of one daemon with 250 programs, compaction included.
void benchStoreLoad(int callsPerSecond)
{
    constexpr int programs = 250;
    constexpr int seconds = 240;
    constexpr std::size_t callBytes = 3000;
    Network network(1, false);
    Process daemon{"x.1"};
    JournalWriter writer(owner);
    Compactor compactor(owner);
    Driver<CompactorAction, Compactor> compaction(network, daemon, compactor);
    Driver<WriterAction, JournalWriter> driver(network, daemon, writer);
    std::uint64_t segments = 0;
    driver.onOther = [&](const WriterAction &action) {
        if (const auto *stored = std::get_if<SegmentStored>(&action)) {
            ++segments;
            compactor.segmentStored(*stored, network.now());
            compaction.drain();
        }
    };
    std::uint64_t ticket = 0;
    const auto append = [&](std::vector<Record> records) {
        if (!writer.append(Ticket(++ticket), std::move(records), network.now())) {
            std::puts("append refused");
        }
        driver.drain();
    };
    for (int program = 0; program < programs; ++program) {
        append({created(nameOf(program), partitionOf(program))});
    }
    Base::Random random(7);
    for (int call = 0; call < callsPerSecond * seconds; ++call) {
        network.run(network.now() + Base::Duration(random.below(2'000'000 / callsPerSecond)));
        const int program = call % programs;
        const auto number = static_cast<std::uint32_t>(call / programs + 1);
        append({intent(nameOf(program), number, partitionOf(program))});
        append({result(nameOf(program), number, callBytes, partitionOf(program))});
    }
    const double elapsed = Base::toSeconds(network.now().time_since_epoch());
    const auto writes = static_cast<double>(network.store().writes());
    std::printf("%8d %10.1f %14.1f %11.1f\n",
                callsPerSecond,
                static_cast<double>(segments) / elapsed,
                (writes - static_cast<double>(segments)) / elapsed,
                static_cast<double>(network.store().deletions()) / elapsed);
}

/// Commits at two witnesses while the store is away, and the drain afterwards.
void benchOutage(int perSecond)
{
    constexpr std::chrono::seconds outage(120);
    Network network(1, false);
    Process daemon{"x.1"};
    std::map<Base::IncarnationId, WitnessBuffer> buffers;
    WitnessSet witnesses;
    for (const char *id : {"a.1", "b.1"}) {
        witnesses.insert(Base::IncarnationId(id));
        buffers.emplace(id, WitnessBuffer(Base::IncarnationId(id), Base::Bytes(64 << 20)));
    }
    JournalWriter writer(owner);
    Driver<WriterAction, JournalWriter> driver(network, daemon, writer);
    std::vector<Base::Instant> appended;
    std::vector<double> waits;
    driver.onOther = [&](const WriterAction &action) {
        if (const auto *send = std::get_if<SendMessage>(&action)) {
            const auto sent = std::get<WitnessAppend>(send->message);
            network.message(daemon, [&, sent] {
                const WitnessAppendReply reply = buffers.at(sent.witness).append(sent);
                network.message(daemon, [&, reply] {
                    writer.handle(reply, network.now());
                    driver.drain();
                });
            });
        } else if (const auto *done = std::get_if<RecordsCommitted>(&action)) {
            waits.push_back(toMilliseconds(network.now() - appended[done->ticket.value() - 1]));
        }
    };
    writer.setWitnesses(witnesses, network.now());
    writer.witnessesConfirmed(witnesses, network.now());
    driver.drain();
    network.run(Base::Instant(std::chrono::seconds(1)));
    const Base::Instant end = network.now() + outage;
    network.faults().outageFrom = network.now();
    network.faults().outageUntil = end;
    const Clock::time_point start = Clock::now();
    for (Base::Instant next = network.now(); next < end;) {
        next += Base::Duration(1'000'000 / perSecond);
        network.run(next);
        appended.push_back(next);
        if (!writer.append(Ticket(appended.size()), {result("p", 1, 400)}, next)) {
            std::puts("append refused");
        }
        driver.drain();
    }
    const double queued = static_cast<double>(writer.queuedBytes().value()) / 1e6;
    const double held = static_cast<double>(buffers.begin()->second.heldBytes().value()) / 1e6;
    const std::uint64_t writesBefore = network.store().writes();
    runUntil(network, [&] { return writer.queuedBytes().value() == 0; });
    std::sort(waits.begin(), waits.end());
    std::printf("%8d %11.1f %9.1f %10.1f %10.1f %9.1f %9llu %14.1f\n",
                perSecond,
                waits[waits.size() / 2],
                waits[waits.size() * 95 / 100],
                queued,
                held,
                Base::toSeconds(network.now() - end),
                static_cast<unsigned long long>(network.store().writes() - writesBefore),
                millisecondsSince(start) * 1e3 / static_cast<double>(appended.size()));
}

void benchQueueMemory()
{
    const double before = allocatedMegabytes();
    JournalWriter writer(owner);
    std::uint64_t appends = 0;
    while (writer.append(Ticket(appends + 1), {result("p", 1, 2000)}, Base::Instant())) {
        ++appends;
        if (appends % 100 == 0) {
            writer.takeActions();
        }
    }
    std::printf("queue full after %llu appends of 2 KB: %.1f MB counted, %.1f MB allocated\n",
                static_cast<unsigned long long>(appends),
                static_cast<double>(writer.queuedBytes().value()) / 1e6,
                allocatedMegabytes() - before);
}

} // namespace

int main()
{
    std::printf("takeover, programs of %lld tokens in %u turns, %zu KB each\n",
                static_cast<long long>(historyTokens),
                turnsPerProgram,
                turnBytes * turnsPerProgram / 1000);
    std::puts("programs   reads  replayed ms  processor ms  memory MB  findings  committed ms  "
              "processor ms");
    for (const int programs : {50, 100, 250, 500}) {
        benchTakeover(programs);
    }
    benchHistory(250);
    std::puts("appends/s  writes/s  median ms    p95 ms  processor us/append");
    for (const int perSecond : {1, 5, 20, 100, 1000, 5000}) {
        benchAppends(perSecond);
    }
    std::puts("calls/s   segments/s  compaction wr/s  deletions/s   (250 programs, 3 KB a call)");
    for (const int callsPerSecond : {5, 20, 80, 300}) {
        benchStoreLoad(callsPerSecond);
    }
    std::puts("outage of 120 s with two witnesses");
    std::puts(
        "appends/s  median ms    p95 ms  queued MB  held MB   drain s   writes  processor us");
    for (const int perSecond : {10, 100, 300}) {
        benchOutage(perSecond);
    }
    benchQueueMemory();
    return 0;
}
