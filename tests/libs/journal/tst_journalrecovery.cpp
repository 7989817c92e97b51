#include "machines.h"
#include "records.h"

#include <journal/journalhandover.h>
#include <journal/journalrecovery.h>
#include <journal/witnessbuffer.h>

#include <criterion/criterion.h>

using namespace Journal;
using namespace JournalTest;
using std::chrono::milliseconds;

namespace {

const Base::IncarnationId owner("x.1");
const Base::IncarnationId successor("y.1");
const Base::IncarnationId witness("a.1");
const Base::IncarnationId otherWitness("b.1");
const Base::PartitionId partition(3);
const Base::Instant now{};

void write(JournalWriter &writer, FakeStore &store, std::vector<Record> records)
{
    cr_assert(writer.append(Ticket(1), std::move(records), now));
    runWithStore<WriterAction>(writer, store, now);
}

std::vector<Record> openProgram()
{
    return {adopted(partition),
            created("p", partition),
            intent("p", 1, partition),
            result("p", 1, 10, partition),
            intent("p", 2, partition)};
}

RecoverySettings settings()
{
    RecoverySettings result;
    result.owner = owner;
    result.self = successor;
    result.partitions = {partition, Base::PartitionId(4)};
    result.writeId = Base::WriteId("y.1.r");
    return result;
}

WitnessSeal sealSentTo(const std::vector<RecoveryAction> &actions, const Base::IncarnationId &to)
{
    for (const RecoveryAction &action : actions) {
        const auto *send = std::get_if<SendMessage>(&action);
        if (send && send->to == to) {
            return std::get<WitnessSeal>(send->message);
        }
    }
    cr_assert_fail("no message to the witness");
    return {};
}

/// A recovery that waits for the lease.
JournalRecovery recoveryAtLease(FakeStore &store)
{
    JournalRecovery recovery(settings());
    recovery.start(now);
    const auto actions = runWithStore<RecoveryAction>(recovery, store, now);
    cr_assert(firstOf<LeaseNeeded>(actions));
    return recovery;
}

} // namespace

Test(journalrecovery, readsSealsAndReportsUncertainCalls)
{
    FakeStore store;
    JournalWriter writer(owner);
    write(writer, store, openProgram());
    JournalRecovery recovery = recoveryAtLease(store);
    recovery.leaseRead({}, now);
    const auto actions = recovery.takeActions();
    const auto *done = firstOf<RecoveryDone>(actions);
    cr_assert(done && !done->isDegraded);
    const ReplayedPartition &found = done->partitions.at(partition);
    cr_assert(found.adopted.has_value());
    cr_assert_eq(found.programs.at(Base::ProgramId("p")).tail.size(), 1U);
    cr_assert_eq(done->uncertain.size(), 1U);
    cr_assert_eq(done->uncertain[0].number.value(), 2U);
    cr_assert(!done->uncertain[0].isFromWitness);
    cr_assert(!done->partitions.at(Base::PartitionId(4)).adopted, "never adopted by the owner");

    cr_assert(writer.append(Ticket(2), {result("p", 2, 10, partition)}, now));
    const auto late = runWithStore<WriterAction>(writer, store, now);
    cr_assert(firstOf<Fenced>(late)->by == successor);
    cr_assert(!firstOf<RecordsCommitted>(late));
}

Test(journalrecovery, isBlockedUntilAWitnessIsSealed)
{
    FakeStore store;
    JournalWriter writer(owner);
    write(writer, store, openProgram());
    JournalRecovery recovery = recoveryAtLease(store);
    recovery.leaseRead({witness, otherWitness}, now);
    recovery.takeActions();
    recovery.incarnationGone(owner, now);
    recovery.incarnationGone(otherWitness, now);
    recovery.tick(*recovery.nextWakeUp());
    const auto waiting = recovery.takeActions();
    cr_assert(firstOf<RecoveryBlocked>(waiting));
    cr_assert(!recovery.isDone());

    WitnessBuffer buffer(witness, Base::Bytes(1 << 20));
    WitnessAppend held{owner, witness, EntrySequence(1), {}};
    held.entries.push_back(
        {owner, EntrySequence(2), {result("p", 2, 10, partition), intent("p", 3, partition)}, {}});
    buffer.append(held);
    recovery.handle(*buffer.seal(sealSentTo(waiting, witness)), now);
    const auto actions = recovery.takeActions();
    const auto *done = firstOf<RecoveryDone>(actions);
    cr_assert(done && !done->isDegraded);
    cr_assert_eq(done->partitions.at(partition).programs.at(Base::ProgramId("p")).tail.size(), 2U);
    cr_assert(done->uncertain.at(0).isFromWitness);
    cr_assert(buffer.append(held).verdict == WitnessVerdict::Sealed);
}

Test(journalrecovery, isDegradedOnlyWhenOwnerAndAllWitnessesAreGone)
{
    FakeStore store;
    JournalRecovery recovery = recoveryAtLease(store);
    recovery.incarnationGone(witness, now);
    recovery.leaseRead({witness, otherWitness}, now);
    recovery.incarnationGone(otherWitness, now);
    cr_assert(!recovery.isDone());
    recovery.incarnationGone(owner, now);
    const auto actions = recovery.takeActions();
    cr_assert(firstOf<RecoveryDone>(actions)->isDegraded);
}

Test(journalrecovery, largeWitnessBufferIsReadCompletely)
{
    FakeStore store;
    JournalWriter writer(owner);
    write(writer, store, {adopted(partition), created("p", partition)});
    WitnessBuffer buffer(witness, Base::Bytes(8 << 20));
    for (std::uint32_t i = 1; i <= 12; ++i) {
        WitnessAppend held{owner, witness, EntrySequence(1), {}};
        held.entries.push_back(
            {owner, EntrySequence(i + 1), {result("p", i, 300'000, partition)}, {}});
        buffer.append(held);
    }
    JournalRecovery recovery = recoveryAtLease(store);
    recovery.leaseRead({witness}, now);
    auto actions = recovery.takeActions();
    std::size_t messages = 0;
    while (!recovery.isDone()) {
        recovery.handle(*buffer.seal(sealSentTo(actions, witness)), now);
        actions = recovery.takeActions();
        ++messages;
    }
    cr_assert_gt(messages, 2U);
    const auto *done = firstOf<RecoveryDone>(actions);
    cr_assert_eq(done->partitions.at(partition).programs.at(Base::ProgramId("p")).tail.size(), 12U);
}

// The owner compacts between the successor's read of the checkpoint and its reads of segments, so
// the successor seals the number of a deleted segment, which does not fence the owner.
Test(journalrecovery, restartsIfTheOwnerCompactedMeanwhile)
{
    FakeStore store;
    JournalWriter writer(owner);
    Compactor compactor(owner);
    JournalRecovery recovery(settings());
    recovery.start(now);
    auto first = recovery.takeActions();
    const auto &read = std::get<SendStoreRequest>(first.at(0)).request;
    recovery.handle({read.id, store.apply(read.operation)}, now);

    cr_assert(writer.append(Ticket(1), openProgram(), now));
    for (WriterAction &action : runWithStore<WriterAction>(writer, store, now)) {
        if (auto *stored = std::get_if<SegmentStored>(&action)) {
            compactor.segmentStored(std::move(*stored), now);
        }
    }
    compactor.requestCompaction(now);
    runWithStore<CompactorAction>(compactor, store, now);
    cr_assert(!store.find(segmentKey(owner, Base::SegmentNumber(1))));

    const auto actions = runWithStore<RecoveryAction>(recovery, store, now);
    cr_assert(firstOf<LeaseNeeded>(actions));
    recovery.leaseRead({}, now);
    const auto finished = recovery.takeActions();
    const auto *done = firstOf<RecoveryDone>(finished);
    cr_assert(done->partitions.at(partition).adopted.has_value());
    cr_assert_eq(done->sealedAt.value(), 2U);
    write(writer, store, {result("p", 2, 10, partition)});
    cr_assert(writer.isFenced());
}

Test(journalhandover, readsReleasedPartitionsWithoutSealing)
{
    FakeStore store;
    JournalWriter writer(owner);
    write(writer, store, openProgram());
    HandoverSettings handover;
    handover.owner = owner;
    handover.self = successor;
    handover.partitions = {partition};
    JournalHandover machine(handover);
    machine.start(now);
    cr_assert(runWithStore<HandoverAction>(machine, store, now).empty(), "not released yet");

    write(writer, store, {{partition, PartitionReleased{Base::Epoch(2), successor}}});
    machine.tick(*machine.nextWakeUp());
    const auto actions = runWithStore<HandoverAction>(machine, store, now);
    const auto *done = firstOf<HandoverDone>(actions);
    cr_assert(done && done->partitions.at(partition).programs.size() == 1);
    write(writer, store, {intent("q", 1)});
    cr_assert(!writer.isFenced());
}

Test(journalhandover, failsIfThePartitionIsNotReleasedInTime)
{
    FakeStore store;
    HandoverSettings handover;
    handover.owner = owner;
    handover.self = successor;
    handover.partitions = {partition};
    JournalHandover machine(handover);
    machine.start(now);
    runWithStore<HandoverAction>(machine, store, now);
    machine.tick(now + handover.releaseTimeout);
    const auto actions
        = runWithStore<HandoverAction>(machine, store, now + handover.releaseTimeout);
    cr_assert(firstOf<HandoverFailed>(actions)->error.code == Base::ErrorCode::Timeout);
}

Test(witnessbuffer, acceptsEntriesInSequenceAndWithinItsCapacity)
{
    WitnessBuffer buffer(witness, Base::Bytes(1500));
    const auto entry = [](std::uint64_t sequence) {
        return Entry{owner, EntrySequence(sequence), {result("p", 1, 300)}, {}};
    };
    cr_assert(buffer.append({owner, witness, EntrySequence(4), {entry(6)}}).verdict
              == WitnessVerdict::Gap);
    const auto taken = buffer.append({owner, witness, EntrySequence(4), {entry(5), entry(6)}});
    cr_assert(taken.verdict == WitnessVerdict::Accepted);
    cr_assert_eq(taken.heldThrough.value(), 6U);
    const auto full = buffer.append({owner, witness, EntrySequence(4), {entry(7)}});
    cr_assert(full.verdict == WitnessVerdict::Full);
    cr_assert_eq(full.heldThrough.value(), 6U);
    cr_assert(buffer.append({owner, witness, EntrySequence(6), {entry(7)}}).verdict
              == WitnessVerdict::Accepted);
    cr_assert(buffer.append({owner, otherWitness, EntrySequence(6), {entry(8)}}).verdict
              == WitnessVerdict::WrongWitness);
    buffer.removeOwner(owner);
    cr_assert_eq(buffer.heldBytes().value(), 0);
}
