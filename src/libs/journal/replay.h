#pragma once

#include "segment.h"

#include <map>

namespace Journal {

/// A partition as a replay finds it.
struct ReplayedPartition
{
    /// Empty if the journal's writer never adopted the partition: its findings, if any, do not
    /// count and the earlier owner's journal decides.
    std::optional<PartitionAdopted> adopted;
    /// Set if the writer handed the partition over.
    std::optional<PartitionReleased> released;
    std::map<Base::ProgramId, ProgramSnapshot> programs;

    bool operator==(const ReplayedPartition &) const = default;
};

/// Folds records, in journal order, into the state of programs. Used by recovery and by compaction.
class Replay
{
public:
    /// Starts from a checkpoint's partitions.
    void load(const std::vector<PartitionState> &partitions);
    void apply(Record record);

    std::map<Base::PartitionId, ReplayedPartition> &partitions() { return partitions_; }
    ReplayedPartition *find(Base::PartitionId partition);
    void erase(Base::PartitionId partition) { partitions_.erase(partition); }
    /// History objects that no program needs any more since the last call.
    std::vector<std::string> takeObsoleteChunks();

private:
    void forget(ReplayedPartition &partition, const Base::ProgramId &program);

    std::map<Base::PartitionId, ReplayedPartition> partitions_;
    std::vector<std::string> obsoleteChunks_;
};

/// Records that a successor commits to its own journal before it answers from a partition:
/// AdoptionBegun, states, turns and, last, the PartitionAdopted.
std::vector<Record> findings(Base::PartitionId partition,
                             const ReplayedPartition &found,
                             const PartitionAdopted &adopted);

} // namespace Journal
