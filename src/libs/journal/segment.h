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

/// Position of a commit in its incarnation's journal; contiguous from 1.
using EntrySequence = Base::StrongNumber<struct EntrySequenceTag, std::uint64_t>;

/// One commit of one incarnation.
struct Entry
{
    Base::IncarnationId incarnation;
    EntrySequence sequence;
    std::vector<Record> records;
    std::optional<SealMark> seal;

    bool operator==(const Entry &) const = default;
};

/// One object of the journal. A daemon's own segment carries one of its entries, or several after
/// an outage; a combiner's carries entries of several incarnations, each sealed on its own.
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
    /// Empty while the findings of a takeover are still being written.
    std::optional<PartitionAdopted> adopted;
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
    /// Last entry that is contained in this checkpoint.
    EntrySequence throughSequence;
    std::vector<PartitionState> partitions;
    /// Objects with further partitions, if all of them do not fit into one.
    std::vector<std::string> parts;

    bool operator==(const Checkpoint &) const = default;
};

/// Largest encoded object; the store takes a megabyte, and its own envelope needs room.
inline constexpr std::int64_t maxObjectBytes = 950'000;

/// Key of a segment: "<incarnation>.<number>".
Platform::ObjectKey segmentKey(const Base::IncarnationId &incarnation, Base::SegmentNumber number);

/// Key of an incarnation's checkpoint.
Platform::ObjectKey checkpointKey(const Base::IncarnationId &incarnation);

/// Key of a further part of a checkpoint.
Platform::ObjectKey checkpointPartKey(const std::string &name);

/// Key of an object with histories.
Platform::ObjectKey snapshotKey(const std::string &name);

} // namespace Journal
