#include "records.h"

#include <journal/codec.h>

#include <criterion/criterion.h>

using namespace Journal;
using namespace JournalTest;

namespace {

Base::Error someError()
{
    Base::Error error;
    error.code = Base::ErrorCode::Timeout;
    error.step = Base::Step::Backend;
    error.peer = "caterer.1";
    error.ran = Base::Ran::MayHaveRun;
    error.message = "no answer";
    error.retryAfter = std::chrono::seconds(3);
    return error;
}

CallResult fullResult()
{
    CallResult result = std::get<CallResult>(JournalTest::result("p1", 7).body);
    result.error = someError();
    result.bodyHash = Base::BodyHash(~0ULL);
    result.service = Base::ServiceId("orders");
    result.server = Base::ServerId("caterer.1");
    result.input = std::string("a\0b", 3);
    result.promptTokens = Base::Tokens(11);
    result.outputTokens = Base::Tokens(12);
    result.at = Base::Instant(std::chrono::hours(1));
    return result;
}

ProgramState fullState()
{
    ProgramState state;
    state.created = std::get<ProgramCreated>(created("p1").body);
    state.created.maxCalls = 9;
    state.created.deadline = Base::Instant(std::chrono::seconds(5));
    state.created.parent = Base::ProgramId("p0");
    state.created.key = Base::KeyId("k");
    state.lastEnded = Base::CallNumber(6);
    state.spent = Base::Tokens(77);
    state.openCall = std::get<CallIntent>(intent("p1", 7).body);
    state.openCall->isIdempotent = true;
    state.openCall->reserved = Base::Tokens(5);
    state.openChildren = {{Base::ProgramId("p1"), Base::ProgramId("p1.1"), Base::Tokens(40)}};
    state.ended = ProgramEnded{Base::ProgramId("p1"), EndReason::KeyWithdrawn, Base::Instant()};
    state.chunks = {{"p1.1.x", Base::CallNumber(1), Base::CallNumber(6), Base::Bytes(500)}};
    return state;
}

/// One record of each kind, with every optional field set.
std::vector<Record> allRecords()
{
    const Base::PartitionId partition(4095);
    const Base::ProgramId program("p1");
    const Base::IncarnationId other("vm2.5");
    return {{partition, fullState().created},
            {partition, *fullState().openCall},
            {partition, fullResult()},
            {partition, *fullState().ended},
            {partition, fullState().openChildren.front()},
            {partition, ChildSettled{program, Base::ProgramId("p1.1"), Base::Tokens(3)}},
            {partition, ProgramForgotten{program}},
            {partition, ProgramRecovered{fullState()}},
            {partition, TurnRecovered{fullResult()}},
            {partition, PartitionAdopted{Base::Epoch(3), other, true}},
            {partition, PartitionReleased{Base::Epoch(4), other}},
            {partition, AdoptionBegun{Base::Epoch(5)}}};
}

} // namespace

Test(codec, segmentOfSeveralIncarnationsRoundTrips)
{
    const Base::IncarnationId first("vm1.3");
    const Base::IncarnationId second("vm2.1");
    Segment segment{first, Base::SegmentNumber(12), Base::WriteId("w"), {}};
    segment.entries.push_back({first, EntrySequence(40), allRecords(), std::nullopt});
    segment.entries.push_back({second, EntrySequence(8), {}, SealMark{first}});
    cr_assert_eq(std::variant_size_v<ProgramRecord>, allRecords().size());
    cr_assert(decodeSegment(encode(segment)).value() == segment);
}

Test(codec, checkpointAndHistoryRoundTrip)
{
    Checkpoint checkpoint{Base::IncarnationId("vm1.3"), Base::SegmentNumber(9), EntrySequence(20)};
    checkpoint.parts = {"vm1.3.part.9.0"};
    checkpoint.partitions.push_back({Base::PartitionId(2),
                                     PartitionAdopted{Base::Epoch(2), std::nullopt, false},
                                     PartitionReleased{Base::Epoch(3), Base::IncarnationId("y")},
                                     {fullState()}});
    cr_assert(decodeCheckpoint(encode(checkpoint)).value() == checkpoint);
    const HistoryChunk chunk{Base::PartitionId(2), {fullResult()}};
    cr_assert(decodeHistoryChunk(encode(chunk)).value() == chunk);
}

Test(codec, malformedBytesAreAnError)
{
    Segment segment{Base::IncarnationId("x"), Base::SegmentNumber(1), Base::WriteId("w"), {}};
    segment.entries.push_back({segment.writer, EntrySequence(1), allRecords(), std::nullopt});
    const std::string bytes = encode(segment);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        cr_assert(!decodeSegment(std::string_view(bytes).substr(0, length)), "%zu", length);
    }
}

Test(codec, sizeBoundIsAnUpperBound)
{
    for (const Record &record : allRecords()) {
        Segment segment;
        segment.entries.push_back({{}, EntrySequence(1), {record}, std::nullopt});
        const auto size = static_cast<std::int64_t>(encode(segment).size());
        cr_assert_leq(size, sizeBound(record).value(), "kind %zu", record.body.index());
    }
}
