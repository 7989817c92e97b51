#pragma once

#include <base/error.h>
#include <base/types.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Ownership {

/// Owner of a partition and the epoch that serves as its fencing token.
struct Owner
{
    Base::IncarnationId incarnation;
    Base::Epoch epoch;

    bool operator==(const Owner &) const = default;
};

/// A former owner whose journal the current owner may still have to recover.
struct Predecessor
{
    Base::IncarnationId incarnation;
    /// Epoch of its ownership.
    Base::Epoch epoch;
    /// Segment with the release record of a planned handover; the partition has no records after
    /// it. Empty after a takeover, which requires sealing the journal and a witness.
    std::optional<Base::SegmentNumber> releasedAt;

    bool operator==(const Predecessor &) const = default;
};

struct PartitionEntry
{
    Base::IncarnationId owner;
    /// Increases with every change of owner.
    Base::Epoch epoch;
    /// Oldest first.
    std::vector<Predecessor> predecessors;

    bool operator==(const PartitionEntry &) const = default;
};

/// Owners of all partitions, kept in one object of the store; the index is the partition number.
struct Assignment
{
    std::vector<PartitionEntry> entries;

    bool operator==(const Assignment &) const = default;
};

/// Returns compact JSON: a table of incarnations, and entries that refer to it by index.
std::string encode(const Assignment &assignment);
Base::Result<Assignment> decodeAssignment(std::string_view body);

} // namespace Ownership
