#pragma once

#include "assignment.h"
#include "loadtable.h"

#include <variant>
#include <vector>

namespace Ownership {

/// Writes the first assignment of a fleet.
struct Bootstrap
{
    std::uint16_t partitionCount = 0;

    bool operator==(const Bootstrap &) const = default;
};

/// Distributes the partitions of a fenced owner over the other daemons.
struct TakeOver
{
    Base::IncarnationId owner;

    bool operator==(const TakeOver &) const = default;
};

/// Moves one drained partition to another daemon.
struct HandOver
{
    Base::PartitionId partition;
    Owner from;
    /// Preferred new owner; another one is chosen if it is no longer a candidate.
    Base::IncarnationId to;
    Base::SegmentNumber releasedAt;
    /// Whether the journals of the former owners are no longer needed.
    bool arePredecessorsObsolete = false;

    bool operator==(const HandOver &) const = default;
};

/// Removes the former owners of a partition, whose journals are no longer needed.
struct DropPredecessors
{
    Base::PartitionId partition;
    Owner owner;

    bool operator==(const DropPredecessors &) const = default;
};

/// A change that is applied to the latest version of the assignment. Edits are idempotent: an edit
/// that was already made or no longer applies changes nothing.
using AssignmentEdit = std::variant<Bootstrap, TakeOver, HandOver, DropPredecessors>;

/// Applies the edit; returns false if nothing changed.
bool apply(Assignment &assignment,
           const AssignmentEdit &edit,
           const std::vector<Candidate> &candidates);

struct Move
{
    Base::PartitionId partition;
    Base::IncarnationId from;
    Base::IncarnationId to;

    bool operator==(const Move &) const = default;
};

/// Returns the fewest moves after which the loads of any two candidates differ by at most one
/// partition. Every daemon with the same view computes the same moves and carries out its own.
std::vector<Move> planRebalance(const Assignment &assignment,
                                const std::vector<Candidate> &candidates);

} // namespace Ownership
