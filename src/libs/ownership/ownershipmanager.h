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
    /// Size of the assignment that a new fleet starts with.
    std::uint16_t partitionCount = 256;
    /// Bounds of the pause between two renewals of the own lease; it grows with the fleet.
    Base::Duration shortestRenewal = std::chrono::seconds(1);
    Base::Duration longestRenewal = std::chrono::seconds(5);
    /// Pause after a request that the store did not answer.
    Base::Duration storeRetry = std::chrono::milliseconds(500);
    /// Edits of the assignment are collected for this long before they are written.
    Base::Duration editBatch = std::chrono::milliseconds(20);
    /// A contender of rank r waits r times as long before it takes over.
    Base::Duration rankStep = std::chrono::seconds(1);
    /// After the own start: before an absent assignment is written or an owner that was never heard
    /// of counts as lost.
    Base::Duration startupGrace = std::chrono::seconds(3);
    /// A witness may be silent for this long before another one takes its place.
    Base::Duration witnessGrace = std::chrono::seconds(5);
    /// Membership is quiet for this long before partitions move to a daemon that joined.
    Base::Duration rebalanceDelay = std::chrono::seconds(3);
    /// Partitions that one daemon hands over at the same time when it rebalances.
    std::size_t handoverLimit = 8;
    /// Pause between two listings of all leases: by the first contender, and by a daemon
    /// without peers.
    Base::Duration leaseListing = std::chrono::seconds(60);
    Base::Duration lonelyListing = std::chrono::seconds(5);
};

/// Decides who owns which partition: keeps the own lease, watches those of others, takes over
/// partitions whose owner's lease lapsed, and hands partitions over.
class OwnershipManager
{
public:
    /// The seed spreads the pauses of different daemons.
    OwnershipManager(Fleet::Daemon self, OwnershipSettings settings, std::uint64_t seed);
    OwnershipManager(const OwnershipManager &) = delete;
    OwnershipManager &operator=(const OwnershipManager &) = delete;

    /// Registers the own lease and reads what is there.
    void start(Base::Instant now);

    /// Every SendStoreRequest action gets exactly one reply, StoreUnavailable if need be.
    void handle(const Platform::StoreReply &reply, Base::Instant now);
    void handle(const Fleet::MembershipEvent &event, Base::Instant now);
    void handle(const Fleet::VersionsSeen &seen, Base::Instant now);
    void handle(const OwnershipMessage &message, Base::Instant now);

    /// Configuration version that the own lease shows.
    void setConfigVersion(Base::ConfigVersion version);

    /// While the witnesses hold records that the store's journal lacks, the lease must go on naming
    /// just these witnesses: hold changes until the records are drained.
    void setWitnessChangesHeld(bool isHeld) { areWitnessChangesHeld_ = isHeld; }

    /// Answer to WitnessesProposed: the proposed witnesses hold every committed record that the
    /// store lacks, so the lease may name them.
    void witnessesReady(Base::Instant now);

    /// The partition's predecessors were recovered and the findings are committed.
    void partitionServing(Base::PartitionId partition, Base::Instant now);
    /// Nothing of the predecessors' journals is needed any more.
    void partitionAbsorbed(Base::PartitionId partition, Base::Instant now);

    /// Hands every partition over; HandoverWanted follows for each one that is serving.
    void beginShutdown(Base::Instant now);
    /// Answer to HandoverWanted: the release record is committed in this segment of the own
    /// journal, and the partition's work has stopped. PartitionLost follows when the new owner is
    /// in the assignment.
    void partitionDrained(Base::PartitionId partition,
                          Base::SegmentNumber releasedAt,
                          Base::Instant now);

    /// A peer said that it does not own what the assignment says; read the assignment soon.
    void refreshAssignment(Base::Instant now);

    void tick(Base::Instant now);
    std::optional<Base::Instant> nextWakeUp() const;
    std::vector<OwnershipAction> takeActions();

    /// Empty until an assignment was read.
    std::optional<Owner> ownerOf(Base::PartitionId partition) const;
    /// Where the daemon listens for peers; known from membership or from its lease.
    std::optional<Fleet::PeerAddress> peerAddress(const Base::IncarnationId &incarnation) const;
    PartitionState stateOf(Base::PartitionId partition) const;
    /// Number of partitions in the assignment; 0 until one was read.
    std::uint16_t partitionCount() const;
    Platform::ObjectVersion assignmentVersion() const;
    /// Version of the own lease, for the heartbeats.
    Platform::ObjectVersion leaseVersion() const;
    /// Witnesses that must hold a record while the store is away: confirmed and proposed ones.
    std::vector<Base::IncarnationId> witnessesInUse() const;
    bool isLeaseLost() const;

private:
    void adoptAssignment(Base::Instant now);
    void notifyPeers();
    void noteOutcome(const Platform::StoreOutcome &outcome, Base::Instant now);

    void checkBootstrap(Base::Instant now);
    void checkOwners(Base::Instant now);
    void checkOwner(const Base::IncarnationId &owner, std::size_t rank, Base::Instant now);
    void checkWitnesses(Base::Instant now);
    void checkRebalance(Base::Instant now);
    void checkShutdown(Base::Instant now);
    void writeHandovers(Base::Instant now);
    void evacuate();
    Base::Instant contendFrom(const Base::IncarnationId &owner) const;
    bool areOwnersAnswering() const;
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
    LeaseListing listing_;

    std::optional<Base::Instant> startedAt_;
    /// Since when the store answers; empty while it does not.
    std::optional<Base::Instant> storeHealthySince_;
    Platform::ObjectVersion adoptedVersion_;
    std::set<Base::IncarnationId> owners_;
    /// Owners, and former owners whose journals are not absorbed.
    std::set<Base::IncarnationId> referenced_;
    Base::Instant membershipChangedAt_;
    /// Last time that the owners were checked.
    Base::Instant lastCalmAt_;
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
