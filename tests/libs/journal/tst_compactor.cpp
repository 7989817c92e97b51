#include "machines.h"
#include "naivejournal.h"
#include "records.h"

#include <journal/historyreader.h>
#include <journal/journalrecovery.h>
#include <journal/journalremoval.h>

#include <criterion/criterion.h>

using namespace Journal;
using namespace JournalTest;

namespace {

const Base::IncarnationId owner("x.1");
const Base::PartitionId partition(3);
const Base::Instant now{};

/// Journal records of programs with histories.
std::vector<Record> programs(int count, std::uint32_t turns, std::size_t turnBytes)
{
    std::vector<Record> records{adopted(partition)};
    for (int i = 0; i < count; ++i) {
        const std::string name = "p" + std::to_string(i);
        records.push_back(created(name, partition));
        for (std::uint32_t turn = 1; turn <= turns; ++turn) {
            records.push_back(intent(name, turn, partition));
            records.push_back(result(name, turn, turnBytes, partition));
        }
    }
    return records;
}

WriterSettings unlimitedWriter()
{
    WriterSettings settings;
    settings.writeBurst = 1e6;
    return settings;
}

/// A journal writer and its compactor with a common store.
struct Daemon
{
    explicit Daemon(CompactorSettings settings = {})
        : compactor(owner, settings)
    {}

    void write(std::vector<Record> records)
    {
        cr_assert(writer.append(Ticket(1), std::move(records), now));
        for (WriterAction &action : runWithStore<WriterAction>(writer, store, now)) {
            if (auto *stored = std::get_if<SegmentStored>(&action)) {
                compactor.segmentStored(std::move(*stored), now);
            }
        }
    }

    void compact()
    {
        compactor.requestCompaction(now);
        runWithStore<CompactorAction>(compactor, store, now);
        cr_assert(compactor.isIdle());
    }

    RecoveryDone recover()
    {
        RecoverySettings settings;
        settings.owner = owner;
        settings.self = Base::IncarnationId("y.1");
        settings.partitions = {partition};
        settings.writeId = Base::WriteId("y.1.r");
        JournalRecovery recovery(settings);
        recovery.start(now);
        runWithStore<RecoveryAction>(recovery, store, now);
        recovery.leaseRead({}, now);
        const auto actions = recovery.takeActions();
        return *firstOf<RecoveryDone>(actions);
    }

    FakeStore store;
    JournalWriter writer{owner, unlimitedWriter()};
    Compactor compactor;
};

CompactorSettings unlimited()
{
    CompactorSettings settings;
    settings.writeBurst = 1e6;
    return settings;
}

} // namespace

Test(compactor, recoveryAfterCompactionFindsTheSameState)
{
    const std::vector<Record> before = programs(5, 4, 3000);
    const std::vector<Record> after{result("p2", 5, 50, partition), intent("p3", 5, partition)};
    Daemon daemon(unlimited());
    daemon.write(before);
    daemon.compact();
    cr_assert_eq(daemon.store.count(Platform::ObjectKind::JournalSegment), 0U);
    cr_assert_eq(daemon.store.count(Platform::ObjectKind::ProgramSnapshot), 1U);
    daemon.write(after);
    std::vector<Record> log = before;
    log.insert(log.end(), after.begin(), after.end());
    const NaiveState found = toNaive(daemon.recover().partitions, daemon.store);
    const std::string difference = compareWithLog(found, log, log.size(), daemon.store);
    cr_assert(difference.empty(), "%s", difference.c_str());
}

Test(compactor, objectsStayBelowTheLimit)
{
    CompactorSettings settings = unlimited();
    settings.maxObjectBytes = Base::Bytes(20'000);
    Daemon daemon(settings);
    const std::vector<Record> log = programs(200, 6, 8000);
    daemon.write(log);
    daemon.compact();
    const auto *checkpoint = daemon.store.find(checkpointKey(owner));
    cr_assert_lt(checkpoint->body.size(), 20'000U);
    cr_assert_gt(daemon.store.count(Platform::ObjectKind::Checkpoint), 2U, "parts");
    cr_assert_gt(daemon.store.count(Platform::ObjectKind::ProgramSnapshot), 400U);
    const NaiveState found = toNaive(daemon.recover().partitions, daemon.store);
    cr_assert(compareWithLog(found, log, log.size(), daemon.store).empty());

    daemon.compactor.removePartition(partition);
    daemon.write({created("q", Base::PartitionId(4))});
    daemon.compact();
    cr_assert_eq(daemon.store.count(Platform::ObjectKind::Checkpoint), 1U, "old parts deleted");
}

Test(compactor, historyOfForgottenProgramsIsDeleted)
{
    Daemon daemon(unlimited());
    daemon.write(programs(3, 2, 100));
    daemon.compact();
    daemon.write({{partition, ProgramForgotten{Base::ProgramId("p1")}},
                  {partition, ProgramForgotten{Base::ProgramId("p0")}}});
    daemon.compact();
    cr_assert_eq(daemon.store.count(Platform::ObjectKind::ProgramSnapshot), 1U, "p2 still uses it");
    daemon.write({{partition, ProgramForgotten{Base::ProgramId("p2")}}});
    daemon.compact();
    cr_assert_eq(daemon.store.count(Platform::ObjectKind::ProgramSnapshot), 0U);
    cr_assert(daemon.recover().partitions.at(partition).programs.empty());
}

Test(compactor, startsByItselfAndKeepsItsRateLimit)
{
    CompactorSettings settings;
    settings.compactAfterSegments = 20;
    settings.maxObjectBytes = Base::Bytes(400);
    Daemon daemon(settings);
    for (std::uint32_t i = 1; i <= 4; ++i) {
        daemon.write(programs(30, 1, 50));
    }
    cr_assert(daemon.compactor.isIdle());
    daemon.compactor.requestCompaction(now);
    runWithStore<CompactorAction>(daemon.compactor, daemon.store, now);
    cr_assert(!daemon.compactor.isIdle());
    cr_assert_eq(daemon.store.count(Platform::ObjectKind::ProgramSnapshot), settings.writeBurst);
    cr_assert_gt(*daemon.compactor.nextWakeUp(), now);
}

Test(journalremoval, deletesAllObjectsExceptHistories)
{
    Daemon daemon(unlimited());
    daemon.write(programs(3, 2, 100));
    daemon.compact();
    daemon.write(programs(3, 2, 100));
    daemon.recover();
    RemovalSettings settings;
    settings.owner = owner;
    settings.deletionBurst = 100;
    JournalRemoval removal(settings);
    removal.start(now);
    const auto actions = runWithStore<RemovalAction>(removal, daemon.store, now);
    cr_assert(firstOf<RemovalDone>(actions));
    cr_assert_eq(daemon.store.count(Platform::ObjectKind::JournalSegment), 0U, "the seal too");
    cr_assert_eq(daemon.store.count(Platform::ObjectKind::Checkpoint), 0U);
    cr_assert_eq(daemon.store.count(Platform::ObjectKind::ProgramSnapshot), 1U);
}

Test(historyreader, putsChunksInOrder)
{
    CompactorSettings settings = unlimited();
    settings.maxObjectBytes = Base::Bytes(5000);
    Daemon daemon(settings);
    daemon.write(programs(2, 9, 2000));
    daemon.compact();
    const RecoveryDone done = daemon.recover();
    const ProgramState &state = done.partitions.at(partition).programs.begin()->second.state;
    cr_assert_gt(state.chunks.size(), 2U);
    HistoryReader reader(state.created.program, state.chunks);
    reader.start(now);
    const auto actions = runWithStore<HistoryAction>(reader, daemon.store, now);
    const auto *read = firstOf<HistoryRead>(actions);
    cr_assert_eq(read->turns.size(), 9U);
    for (std::size_t i = 0; i < read->turns.size(); ++i) {
        cr_assert_eq(read->turns[i].number.value(), i + 1);
    }
}

Test(historyreader, absentChunkIsAnError)
{
    FakeStore store;
    HistoryReader reader(Base::ProgramId("p"), {{"p.1.x", {}, {}, {}}});
    reader.start(now);
    const auto actions = runWithStore<HistoryAction>(reader, store, now);
    cr_assert(firstOf<HistoryFailed>(actions)->error.step == Base::Step::Recover);
}
