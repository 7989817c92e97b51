#pragma once

#include "assignmentclient.h"
#include "leaseholder.h"
#include "leaselisting.h"
#include "leasewatch.h"
#include "localpartitions.h"
#include "ownershipactions.h"
#include "peertable.h"
#include "requestsender.h"

#include <base/instant.h>
#include <base/random.h>
#include <fleet/membershipevents.h>

#include <optional>
#include <set>
#include <vector>

namespace Ownership {

struct OwnershipSettings
{
    /// Number of partitions in the first assignment of a fleet.
    std::uint16_t partitionCount = 256;
    /// Bounds of the renewal interval of this daemon's lease, which scales with the fleet's size.
    Base::Duration minRenewalInterval = std::chrono::seconds(1);
    Base::Duration maxRenewalInterval = std::chrono::seconds(5);
    /// Delay before an unanswered request to the store is retried.
    Base::Duration storeRetryDelay = std::chrono::milliseconds(500);
    /// Time for which edits of the assignment are batched before they are written.
    Base::Duration editBatchDelay = std::chrono::milliseconds(20);
    /// A daemon of rank r waits r times this delay before it takes over or writes the first
    /// assignment.
    Base::Duration delayPerRank = std::chrono::seconds(1);
    /// Time after the start before this daemon writes an absent assignment or treats an owner that
    /// is unknown to membership as lost.
    Base::Duration startupGrace = std::chrono::seconds(3);
    /// Time for which a witness may be unresponsive before it is replaced.
    Base::Duration witnessGrace = std::chrono::seconds(5);
    /// Time without membership changes before partitions are rebalanced.
    Base::Duration rebalanceDelay = std::chrono::seconds(3);
    /// Maximum number of concurrent handovers of one daemon during rebalancing.
    std::size_t handoverLimit = 8;
    /// Intervals of listings of all leases: by the daemon of rank 0, and by a daemon without
    /// responsive peers.
    Base::Duration leaseListingInterval = std::chrono::seconds(60);
    Base::Duration soloLeaseListingInterval = std::chrono::seconds(5);
};

/// Manages the ownership of partitions: renews this daemon's lease, observes the leases of others,
/// takes over partitions whose owner's lease expired, and hands partitions over.
class OwnershipManager
{
public:
    /// The seed randomizes delays, so that daemons do not act simultaneously.
    OwnershipManager(Fleet::Daemon self, OwnershipSettings settings, std::uint64_t seed);
    OwnershipManager(const OwnershipManager &) = delete;
    OwnershipManager &operator=(const OwnershipManager &) = delete;

    /// Registers this daemon's lease; once it is registered, tick() reads the assignment and
    /// leases.
    void start(Base::Instant now);

    /// Every SendStoreRequest action must get exactly one reply; StoreUnavailable after a failure.
    void handle(const Platform::StoreReply &reply, Base::Instant now);
    void handle(const Fleet::MembershipEvent &event, Base::Instant now);
    void handle(const Fleet::VersionsReported &reported, Base::Instant now);
    void handle(const OwnershipMessage &message, Base::Instant now);

    /// Sets the configuration version that is written with this daemon's lease.
    void setConfigVersion(Base::ConfigVersion version);

    /// Suspends changes of witnesses. While the witnesses hold records that the store's journal
    /// lacks, the lease must name exactly these witnesses until the records are drained.
    void setWitnessChangesHeld(bool isHeld) { areWitnessChangesHeld_ = isHeld; }

    /// Response to WitnessesProposed: the proposed witnesses hold every committed record that the
    /// store lacks, so the lease may name them.
    void witnessesReady(Base::Instant now);

    /// The predecessors' journals were recovered and the recovered records are committed.
    void partitionServing(Base::PartitionId partition, Base::Instant now);
    /// The predecessors' journals are no longer needed; removes them from the assignment.
    void dropPredecessors(Base::PartitionId partition, Base::Instant now);

    /// Hands over every partition; emits HandoverRequested for each one that is serving.
    void beginShutdown(Base::Instant now);
    /// Response to HandoverRequested: the release record is committed in this segment of this
    /// daemon's journal, and the partition no longer serves. PartitionLost follows once the
    /// assignment names the new owner.
    void partitionDrained(Base::PartitionId partition,
                          Base::SegmentNumber releasedAt,
                          Base::Instant now);

    /// Reads the assignment soon, because a peer reported that it does not own a partition that the
    /// known assignment gives it.
    void refreshAssignment(Base::Instant now);

    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<OwnershipAction> takeActions();

    /// Empty until an assignment was read.
    std::optional<Owner> ownerOf(Base::PartitionId partition) const;
    /// Address of the daemon for its peers, from membership or from its lease.
    std::optional<Fleet::PeerAddress> peerAddress(const Base::IncarnationId &incarnation) const;
    PartitionState stateOf(Base::PartitionId partition) const;
    /// Number of partitions in the assignment; 0 until one was read.
    std::uint16_t partitionCount() const;
    Platform::ObjectVersion assignmentVersion() const;
    /// Version of this daemon's lease, which heartbeats carry.
    Platform::ObjectVersion leaseVersion() const;
    /// Confirmed and proposed witnesses; all must hold a record while the store is unavailable.
    std::vector<Base::IncarnationId> witnessesInUse() const;
    bool isLeaseLost() const;

private:
    void applyAssignment(Base::Instant now);
    void notifyPeers();
    void updateStoreHealth(const Platform::StoreOutcome &outcome, Base::Instant now);

    void checkBootstrap(Base::Instant now);
    void checkOwners(Base::Instant now);
    void checkOwner(const Base::IncarnationId &owner, std::size_t rank, Base::Instant now);
    void checkWitnesses(Base::Instant now);
    void checkRebalance(Base::Instant now);
    void checkShutdown(Base::Instant now);
    void writeHandovers(Base::Instant now);
    void handOverAll();
    Base::Instant takeoverAllowedFrom(const Base::IncarnationId &owner) const;
    bool areOwnersResponsive() const;
    bool isBusy() const;
    template<typename Part>
    void collectFrom(Part &part);

    Fleet::Daemon self_;
    OwnershipSettings settings_;
    Base::Random random_;
    RequestSender sender_;
    PeerTable peers_;
    LeaseHolder lease_;
    LeaseWatch watch_;
    AssignmentClient assignment_;
    LocalPartitions partitions_;
    LeaseListing leaseListing_;

    std::optional<Base::Instant> startedAt_;
    /// Start of the period in which the store is available; empty while it is not.
    std::optional<Base::Instant> storeHealthySince_;
    Platform::ObjectVersion appliedVersion_;
    std::set<Base::IncarnationId> owners_;
    /// Owners, and former owners whose journals may still be needed.
    std::set<Base::IncarnationId> referenced_;
    Base::Instant membershipChangedAt_;
    /// Last time that the owners were checked.
    Base::Instant lastOwnerCheck_;
    Base::Instant rebalanceAt_;
    Base::Instant witnessCheckAt_;
    bool areWitnessChangesHeld_ = false;
    bool wasListedForBootstrap_ = false;
    std::optional<Base::Instant> shutdownStartedAt_;
    bool isShutdownComplete_ = false;
    Base::Instant lastTick_;
    std::vector<OwnershipAction> actions_;
};

} // namespace Ownership
