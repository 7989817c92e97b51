#include "localpartitions.h"

#include <algorithm>
#include <utility>

namespace Ownership {

LocalPartitions::LocalPartitions(Base::IncarnationId self, LeaseWatch &leases)
    : self_(std::move(self))
    , leases_(&leases)
{}

void LocalPartitions::update(const Assignment &assignment)
{
    std::erase_if(partitions_, [&](const auto &item) {
        const PartitionEntry &entry = assignment.entries[item.first.value()];
        const bool isKept = entry.owner == self_ && entry.epoch == item.second.epoch;
        if (!isKept) {
            actions_.emplace_back(PartitionLost{item.first});
        }
        return !isKept;
    });
    for (std::size_t i = 0; i < assignment.entries.size(); ++i) {
        const PartitionEntry &entry = assignment.entries[i];
        if (entry.owner == self_) {
            const Base::PartitionId partition(static_cast<std::uint16_t>(i));
            partitions_.emplace(partition, LocalPartition{entry.epoch});
        }
    }
    finishAcquiring(assignment);
}

void LocalPartitions::finishAcquiring(const Assignment &assignment)
{
    for (auto &[partition, local] : partitions_) {
        if (local.state == PartitionState::Acquiring
            && reportIfLeasesKnown(partition, assignment.entries[partition.value()])) {
            local.state = PartitionState::Acquired;
        }
    }
}

bool LocalPartitions::reportIfLeasesKnown(Base::PartitionId partition, const PartitionEntry &entry)
{
    bool isComplete = true;
    PartitionAcquired acquired{partition, entry.epoch, {}};
    for (const Predecessor &predecessor : entry.predecessors) {
        PredecessorJournal journal{predecessor, {}, false};
        if (!predecessor.releasedAt) {
            if (!leases_->isFenced(predecessor.incarnation)) {
                leases_->readFencedLease(predecessor.incarnation);
                isComplete = false;
                continue;
            }
            const DaemonLease *lease = leases_->lease(predecessor.incarnation);
            journal.isLeaseMissing = lease == nullptr;
            if (lease != nullptr) {
                journal.witnesses = lease->witnesses;
            }
        }
        acquired.predecessors.push_back(std::move(journal));
    }
    if (isComplete) {
        actions_.emplace_back(std::move(acquired));
    }
    return isComplete;
}

void LocalPartitions::removeAll()
{
    for (const auto &[partition, local] : partitions_) {
        actions_.emplace_back(PartitionLost{partition});
    }
    partitions_.clear();
}

LocalPartition *LocalPartitions::owned(Base::PartitionId partition)
{
    const auto found = partitions_.find(partition);
    return found == partitions_.end() ? nullptr : &found->second;
}

void LocalPartitions::setServing(Base::PartitionId partition)
{
    LocalPartition *local = owned(partition);
    if (local != nullptr && local->state == PartitionState::Acquired) {
        local->state = PartitionState::Serving;
    }
}

bool LocalPartitions::setPredecessorsObsolete(Base::PartitionId partition)
{
    LocalPartition *local = owned(partition);
    if (local == nullptr) {
        return false;
    }
    local->arePredecessorsObsolete = true;
    return true;
}

void LocalPartitions::startHandover(Base::PartitionId partition, const Base::IncarnationId &to)
{
    LocalPartition *local = owned(partition);
    if (local != nullptr && !local->handoverTo) {
        local->handoverTo = to;
        actions_.emplace_back(HandoverRequested{partition, to});
    }
}

void LocalPartitions::setDrained(Base::PartitionId partition, Base::SegmentNumber releasedAt)
{
    LocalPartition *local = owned(partition);
    if (local != nullptr) {
        local->releasedAt = releasedAt;
    }
}

const LocalPartition *LocalPartitions::find(Base::PartitionId partition) const
{
    const auto found = partitions_.find(partition);
    return found == partitions_.end() ? nullptr : &found->second;
}

std::size_t LocalPartitions::handoversInFlight() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        partitions_, [](const auto &item) { return item.second.handoverTo.has_value(); }));
}

bool LocalPartitions::isAcquiring() const
{
    return std::ranges::any_of(partitions_, [](const auto &item) {
        return item.second.state == PartitionState::Acquiring;
    });
}

std::vector<OwnershipAction> LocalPartitions::takeActions()
{
    return std::exchange(actions_, {});
}

} // namespace Ownership
