#pragma once

#include <platform/store.h>

#include <variant>

namespace Ownership {

/// Notifies a daemon of a new version of the assignment.
struct AssignmentChanged
{
    Platform::ObjectVersion version;

    bool operator==(const AssignmentChanged &) const = default;
};

using OwnershipMessage = std::variant<AssignmentChanged>;

} // namespace Ownership
