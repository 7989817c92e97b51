#pragma once

#include "record.h"

#include <platform/store.h>

namespace Journal {

/// End of an incarnation's journal; its later entries are ignored.
struct SealMark
{
    /// The successor that sealed the journal.
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

/// One object of the journal. A segment written by a daemon contains one of its entries, or several
/// after an outage; a segment written by a combiner contains entries of several incarnations, each
/// of which is sealed separately.
struct Segment
{
    Base::IncarnationId writer;
    Base::SegmentNumber number;
    Base::WriteId writeId;
    std::vector<Entry> entries;

    bool operator==(const Segment &) const = default;
};

/// State of a partition in its owner's checkpoint.
struct PartitionState
{
    Base::PartitionId partition;
    /// Empty while the recovered state of a takeover is still being written.
    std::optional<PartitionAdopted> adopted;
    std::optional<PartitionReleased> released;
    std::vector<ProgramState> programs;

    bool operator==(const PartitionState &) const = default;
};

/// State after all segments before `firstLive`.
struct Checkpoint
{
    Base::IncarnationId incarnation;
    /// First segment that is not contained in this checkpoint.
    Base::SegmentNumber firstLive{1};
    /// Last entry that is contained in this checkpoint.
    EntrySequence throughSequence;
    std::vector<PartitionState> partitions;
    /// Names of objects with further partitions, if not all of them fit into this one.
    std::vector<std::string> parts;

    bool operator==(const Checkpoint &) const = default;
};

/// Limit of an encoded object. The store accepts 1 MB, which includes its own envelope.
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
