#pragma once

#include "record.h"

#include <platform/store.h>

namespace Journal {

/// Ends an incarnation's journal: nothing of it that comes later counts.
struct SealMark
{
    /// The successor that sealed.
    Base::IncarnationId by;

    bool operator==(const SealMark &) const = default;
};

/// One commit of one incarnation. Its sequence numbers are contiguous from 1.
struct Entry
{
    Base::IncarnationId incarnation;
    Base::SegmentNumber sequence;
    std::vector<Record> records;
    std::optional<SealMark> seal;

    bool operator==(const Entry &) const = default;
};

/// One object of the journal. A combiner's segment carries entries of several incarnations,
/// each sealed on its own; a daemon's own segment carries one, with the segment's number.
struct Segment
{
    Base::IncarnationId writer;
    Base::SegmentNumber number;
    Base::WriteId writeId;
    std::vector<Entry> entries;

    bool operator==(const Segment &) const = default;
};

/// A partition as the writer of a journal holds it.
struct PartitionState
{
    Base::PartitionId partition;
    PartitionAdopted adopted;
    std::optional<PartitionReleased> released;
    std::vector<ProgramState> programs;

    bool operator==(const PartitionState &) const = default;
};

/// Everything that the segments before `firstLive` said.
struct Checkpoint
{
    Base::IncarnationId incarnation;
    /// First segment that is not contained in this checkpoint.
    Base::SegmentNumber firstLive{1};
    std::vector<PartitionState> partitions;
    /// Objects with further partitions, if all of them do not fit into one.
    std::vector<std::string> parts;

    bool operator==(const Checkpoint &) const = default;
};

/// Largest encoded object that the store takes, with room for its own envelope.
inline constexpr std::int64_t maxObjectBytes = 1'000'000;

/// Key of a segment: "<incarnation>.<number>".
Platform::ObjectKey segmentKey(const Base::IncarnationId &incarnation, Base::SegmentNumber number);

/// Key of an incarnation's checkpoint.
Platform::ObjectKey checkpointKey(const Base::IncarnationId &incarnation);

/// Key of a chunk of a program's history or of a further part of a checkpoint.
Platform::ObjectKey snapshotKey(const std::string &name);

} // namespace Journal
