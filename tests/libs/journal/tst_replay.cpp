#include "records.h"

#include <journal/replay.h>

#include <criterion/criterion.h>

using namespace Journal;
using namespace JournalTest;

namespace {

const Base::PartitionId partition(7);
const Base::ProgramId program("p");
const Base::ProgramId child("p.1");

ReplayedPartition replayOf(const std::vector<Record> &records)
{
    Replay replay;
    for (const Record &record : records) {
        replay.apply(record);
    }
    return replay.partitions().at(partition);
}

std::vector<Record> busyProgram()
{
    return {adopted(partition),
            created("p", partition),
            intent("p", 1, partition),
            result("p", 1, 10, partition),
            {partition, ChildReserved{program, child, Base::Tokens(50)}},
            intent("p", 2, partition)};
}

} // namespace

Test(replay, appliesCallsChildrenAndEnd)
{
    std::vector<Record> records = busyProgram();
    const ProgramSnapshot busy = replayOf(records).programs.at(program);
    cr_assert_eq(busy.state.openChildren.size(), 1U);
    cr_assert_eq(busy.state.openCall->number.value(), 2U);
    cr_assert_eq(busy.state.spent.value(), 2);

    records.push_back({partition, ChildSettled{program, child, Base::Tokens(30)}});
    records.push_back(result("p", 2, 10, partition));
    records.push_back({partition, ProgramEnded{program, EndReason::Expired, Base::Instant()}});
    const ProgramSnapshot ended = replayOf(records).programs.at(program);
    cr_assert(ended.state.openChildren.empty());
    cr_assert(!ended.state.openCall);
    cr_assert_eq(ended.state.spent.value(), 34);
    cr_assert_eq(ended.state.lastEnded.value(), 2U);
    cr_assert(ended.state.ended->reason == EndReason::Expired);
    cr_assert_eq(ended.tail.size(), 2U);
}

Test(replay, adoptionRecordsReproduceTheState)
{
    const ReplayedPartition found = replayOf(busyProgram());
    const PartitionAdopted adoption{Base::Epoch(4), Base::IncarnationId("x.1"), false};
    const ReplayedPartition again = replayOf(adoptionRecords(partition, found, adoption));
    cr_assert(again.programs == found.programs);
    cr_assert(again.adopted == adoption);
}

Test(replay, incompleteAdoptionIsIgnored)
{
    const ReplayedPartition found = replayOf(busyProgram());
    const PartitionAdopted adoption{Base::Epoch(4), Base::IncarnationId("x.1"), false};
    std::vector<Record> records = busyProgram();
    records.push_back({partition, PartitionReleased{Base::Epoch(2), Base::IncarnationId("y.1")}});
    cr_assert(replayOf(records).released.has_value());
    std::vector<Record> second = adoptionRecords(partition, found, adoption);
    second.pop_back();
    records.insert(records.end(), second.begin(), second.end());
    const ReplayedPartition cut = replayOf(records);
    cr_assert(!cut.adopted, "the earlier owner's journal is authoritative");
    cr_assert(!cut.released);
}
