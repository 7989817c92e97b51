#pragma once

#include "segment.h"

#include <map>

namespace Journal {

/// State of a partition after a replay.
struct ReplayedPartition
{
    /// Empty if the journal's writer never adopted the partition. Its recovered state, if any, is
    /// then invalid, and the earlier owner's journal is authoritative.
    std::optional<PartitionAdopted> adopted;
    /// Set if the writer released the partition to a successor.
    std::optional<PartitionReleased> released;
    std::map<Base::ProgramId, ProgramSnapshot> programs;

    bool operator==(const ReplayedPartition &) const = default;
};

/// Applies records in journal order to the state of programs. Used by recovery and compaction.
class Replay
{
public:
    /// Loads the partitions of a checkpoint or of one of its parts.
    void load(const std::vector<PartitionState> &partitions);
    void apply(Record record);

    std::map<Base::PartitionId, ReplayedPartition> &partitions() { return partitions_; }
    ReplayedPartition *find(Base::PartitionId partition);
    void erase(Base::PartitionId partition) { partitions_.erase(partition); }
    /// Returns the history objects that became unused since the last call.
    std::vector<std::string> takeObsoleteChunks();

private:
    void removeProgram(ReplayedPartition &partition, const Base::ProgramId &program);

    std::map<Base::PartitionId, ReplayedPartition> partitions_;
    std::vector<std::string> obsoleteChunks_;
};

/// Records that a successor commits to its own journal before it serves a partition:
/// AdoptionBegun, the recovered states and turns, and finally PartitionAdopted.
std::vector<Record> adoptionRecords(Base::PartitionId partition,
                                    const ReplayedPartition &found,
                                    const PartitionAdopted &adopted);

} // namespace Journal
