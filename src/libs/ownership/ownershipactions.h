#pragma once

#include "assignment.h"
#include "messages.h"

#include <fleet/world.h>
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

/// A daemon was found through its lease; to be made known to the membership view.
struct DaemonDiscovered
{
    Fleet::Daemon daemon;
};

/// The own lease is in the store.
struct LeaseRegistered
{};

/// The own lease was fenced by a successor or is gone: this incarnation owns nothing any more and
/// never will; the daemon rejoins with a new one.
struct LeaseLost
{
    std::optional<Base::IncarnationId> fencedBy;
};

/// The own lease is to name new witnesses. Answer with witnessesReady(). Until
/// WitnessesConfirmed the previous and the proposed ones must all hold a record.
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
    /// Witnesses as they stood when the lease was fenced. Empty if none were named, or after a
    /// planned handover, which needs none.
    std::vector<Base::IncarnationId> witnesses;
    /// The lease could not be found, so it isn't known whether there were witnesses.
    bool isLeaseMissing = false;

    bool operator==(const PredecessorJournal &) const = default;
};

/// This daemon owns the partition and must recover the predecessors' journals, oldest first.
/// Without predecessors the partition never had an owner whose records matter.
struct PartitionAcquired
{
    Base::PartitionId partition;
    Base::Epoch epoch;
    std::vector<PredecessorJournal> predecessors;
};

/// Another daemon owns the partition, or the own lease was lost; stop at once.
struct PartitionLost
{
    Base::PartitionId partition;
};

/// Drain the partition, then call partitionDrained() with the segment of its release record.
struct HandoverWanted
{
    Base::PartitionId partition;
    Base::IncarnationId to;
};

/// After beginShutdown(): every partition has a new owner.
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
                                     HandoverWanted,
                                     ShutdownComplete>;

} // namespace Ownership
