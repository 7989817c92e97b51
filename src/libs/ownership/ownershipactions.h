#pragma once

#include "assignment.h"
#include "messages.h"

#include <fleet/topology.h>
#include <platform/store.h>

#include <optional>
#include <variant>
#include <vector>

namespace Ownership {

struct SendStoreRequest
{
    Platform::StoreRequest request;
};

struct SendToPeer
{
    Base::IncarnationId to;
    OwnershipMessage message;
};

/// A daemon was discovered through its lease; add it to the membership view.
struct DaemonDiscovered
{
    Fleet::Daemon daemon;
};

/// This daemon's lease is in the store.
struct LeaseRegistered
{};

/// This daemon's lease was fenced by a successor or deleted: this incarnation permanently owns
/// nothing; the daemon rejoins with a new incarnation.
struct LeaseLost
{
    std::optional<Base::IncarnationId> fencedBy;
};

/// This daemon's lease is to name new witnesses. Respond with witnessesReady(). Until
/// WitnessesConfirmed, a record must be held by all previous and all proposed witnesses.
struct WitnessesProposed
{
    std::vector<Base::IncarnationId> previous;
    std::vector<Base::IncarnationId> proposed;
};

struct WitnessesConfirmed
{
    std::vector<Base::IncarnationId> witnesses;
};

/// A journal that a new owner must read before it serves.
struct PredecessorJournal
{
    Predecessor predecessor;
    /// Witnesses at the time when the lease was fenced. Empty if none were named, or after a
    /// planned handover, which needs none.
    std::vector<Base::IncarnationId> witnesses;
    /// The lease is absent, so it is unknown whether there were witnesses.
    bool isLeaseMissing = false;

    bool operator==(const PredecessorJournal &) const = default;
};

/// This daemon owns the partition and must recover the predecessors' journals, oldest first.
/// Without predecessors there are no records of former owners to recover.
struct PartitionAcquired
{
    Base::PartitionId partition;
    Base::Epoch epoch;
    std::vector<PredecessorJournal> predecessors;
};

/// Another daemon owns the partition, or this daemon's lease was lost; stop serving immediately.
struct PartitionLost
{
    Base::PartitionId partition;
};

/// Drain the partition, then call partitionDrained() with the segment of its release record.
struct HandoverRequested
{
    Base::PartitionId partition;
    Base::IncarnationId to;
};

/// Emitted after beginShutdown() once every partition has a new owner.
struct ShutdownComplete
{};

using OwnershipAction = std::variant<SendStoreRequest,
                                     SendToPeer,
                                     DaemonDiscovered,
                                     LeaseRegistered,
                                     LeaseLost,
                                     WitnessesProposed,
                                     WitnessesConfirmed,
                                     PartitionAcquired,
                                     PartitionLost,
                                     HandoverRequested,
                                     ShutdownComplete>;

} // namespace Ownership
