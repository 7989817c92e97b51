#pragma once

#include <base/error.h>
#include <base/types.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Ownership {

/// Who holds a partition, and its fencing number.
struct Owner
{
    Base::IncarnationId incarnation;
    Base::Epoch epoch;

    bool operator==(const Owner &) const = default;
};

/// A former owner whose journal the present owner has not yet absorbed.
struct Predecessor
{
    Base::IncarnationId incarnation;
    /// Epoch that it held.
    Base::Epoch epoch;
    /// Segment with the release record of a planned handover: the partition has no records behind
    /// it. Empty after a takeover; then the journal and a witness must be sealed.
    std::optional<Base::SegmentNumber> releasedAt;

    bool operator==(const Predecessor &) const = default;
};

struct PartitionEntry
{
    Base::IncarnationId owner;
    /// Grows with every change of owner.
    Base::Epoch epoch;
    /// Oldest first.
    std::vector<Predecessor> predecessors;

    bool operator==(const PartitionEntry &) const = default;
};

/// The one object that says who owns which partition; the index is the partition's number.
struct Assignment
{
    std::vector<PartitionEntry> entries;

    bool operator==(const Assignment &) const = default;
};

/// Compact JSON: a table of incarnations, and entries that refer to it by index.
std::string encode(const Assignment &assignment);
Base::Result<Assignment> decodeAssignment(std::string_view body);

} // namespace Ownership
