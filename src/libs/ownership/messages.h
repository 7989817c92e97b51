#pragma once

#include <platform/store.h>

#include <variant>

namespace Ownership {

/// Tells a daemon that an assignment in which it gained partitions was written.
struct AssignmentChanged
{
    Platform::ObjectVersion version;

    bool operator==(const AssignmentChanged &) const = default;
};

using OwnershipMessage = std::variant<AssignmentChanged>;

} // namespace Ownership
