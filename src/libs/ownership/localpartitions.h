#pragma once

#include "assignment.h"
#include "leasewatch.h"
#include "ownershipactions.h"

#include <map>
#include <optional>
#include <vector>

namespace Ownership {

/// State of a partition on this daemon.
enum class PartitionState {
    /// Owned by another daemon, or by none.
    NotOwned,
    /// Owned; the leases of former owners are being read.
    Acquiring,
    /// Owned; the journals of former owners are being recovered.
    Acquired,
    Serving
};

/// One partition that this daemon owns.
struct LocalPartition
{
    Base::Epoch epoch;
    PartitionState state = PartitionState::Acquiring;
    bool arePredecessorsObsolete = false;
    std::optional<Base::IncarnationId> handoverTo;
    /// Set once the partition was drained for its handover.
    std::optional<Base::SegmentNumber> releasedAt;
};

/// Tracks the partitions of this daemon from their assignment until they serve.
class LocalPartitions
{
public:
    LocalPartitions(Base::IncarnationId self, LeaseWatch &leases);

    /// Applies a new version of the assignment.
    void update(const Assignment &assignment);
    /// Emits PartitionAcquired for partitions whose predecessors' leases have become known.
    void finishAcquiring(const Assignment &assignment);
    void removeAll();

    void setServing(Base::PartitionId partition);
    /// Returns false if the partition is not owned.
    bool setPredecessorsObsolete(Base::PartitionId partition);
    void startHandover(Base::PartitionId partition, const Base::IncarnationId &to);
    void setDrained(Base::PartitionId partition, Base::SegmentNumber releasedAt);

    const std::map<Base::PartitionId, LocalPartition> &all() const { return partitions_; }
    const LocalPartition *find(Base::PartitionId partition) const;
    std::size_t handoversInFlight() const;
    bool isAcquiring() const;
    std::vector<OwnershipAction> takeActions();

private:
    LocalPartition *owned(Base::PartitionId partition);
    /// Emits PartitionAcquired and returns true if the leases of all predecessors are known.
    bool reportIfLeasesKnown(Base::PartitionId partition, const PartitionEntry &entry);

    Base::IncarnationId self_;
    LeaseWatch *leases_;
    std::map<Base::PartitionId, LocalPartition> partitions_;
    std::vector<OwnershipAction> actions_;
};

} // namespace Ownership
