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

/// Gives every partition of a fenced owner to the others.
struct TakeOver
{
    Base::IncarnationId owner;

    bool operator==(const TakeOver &) const = default;
};

/// Gives one drained partition to another daemon.
struct HandOver
{
    Base::PartitionId partition;
    Owner from;
    /// Preferred new owner; if it may not get partitions any more, another one is chosen.
    Base::IncarnationId to;
    Base::SegmentNumber releasedAt;
    /// The former owners' journals are no longer needed.
    bool isAbsorbed = false;

    bool operator==(const HandOver &) const = default;
};

/// Forgets the former owners of a partition.
struct Absorb
{
    Base::PartitionId partition;
    Owner owner;

    bool operator==(const Absorb &) const = default;
};

/// A change that is computed anew against each version of the assignment. It changes nothing if it
/// was made already or no longer applies, so an edit may be repeated.
using AssignmentEdit = std::variant<Bootstrap, TakeOver, HandOver, Absorb>;

/// Applies the edit; false if nothing changed.
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

/// Fewest moves after which no candidate has two partitions more than another. Every daemon with
/// the same view computes the same moves, and each carries out its own.
std::vector<Move> planRebalance(const Assignment &assignment,
                                const std::vector<Candidate> &candidates);

} // namespace Ownership
