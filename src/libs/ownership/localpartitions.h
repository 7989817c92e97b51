#pragma once

#include "assignment.h"
#include "leasewatch.h"
#include "ownershipactions.h"

#include <map>
#include <optional>
#include <vector>

namespace Ownership {

/// What this daemon may do with a partition.
enum class PartitionState {
    /// Another daemon's, or nobody's.
    NotOwned,
    /// Owned; the leases of former owners are being read.
    Acquiring,
    /// Owned; former owners' journals are to be recovered.
    Acquired,
    Serving
};

/// One partition that this daemon owns.
struct LocalPartition
{
    Base::Epoch epoch;
    PartitionState state = PartitionState::Acquiring;
    bool isAbsorbed = false;
    std::optional<Base::IncarnationId> handoverTo;
    /// Set when the partition was drained for its handover.
    std::optional<Base::SegmentNumber> releasedAt;
};

/// The partitions of this daemon, from the assignment to service.
class LocalPartitions
{
public:
    LocalPartitions(Base::IncarnationId self, LeaseWatch &leases);

    /// Compares with a new version of the assignment.
    void adopt(const Assignment &assignment);
    /// Announces partitions whose predecessors' leases are known by now.
    void finishAcquiring(const Assignment &assignment);
    void loseAll();

    void setServing(Base::PartitionId partition);
    /// False if the partition is not owned.
    bool setAbsorbed(Base::PartitionId partition);
    void startHandover(Base::PartitionId partition, const Base::IncarnationId &to);
    void setDrained(Base::PartitionId partition, Base::SegmentNumber releasedAt);

    const std::map<Base::PartitionId, LocalPartition> &all() const { return partitions_; }
    const LocalPartition *find(Base::PartitionId partition) const;
    std::size_t handoversInFlight() const;
    bool isAcquiring() const;
    std::vector<OwnershipAction> takeActions();

private:
    LocalPartition *owned(Base::PartitionId partition);
    bool announce(Base::PartitionId partition, const PartitionEntry &entry);

    Base::IncarnationId self_;
    LeaseWatch *leases_;
    std::map<Base::PartitionId, LocalPartition> partitions_;
    std::vector<OwnershipAction> actions_;
};

} // namespace Ownership
