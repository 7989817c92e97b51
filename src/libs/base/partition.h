#pragma once

#include "types.h"

namespace Base {

/// Partition of a program. Sub-agents ("<root>.<child>") share the partition of their root, so
/// that one owner manages the budgets of a parent and its children.
PartitionId partitionOf(const ProgramId &program, std::uint16_t partitionCount);

/// Partition that holds a team's rate bucket and budget.
PartitionId partitionOf(const TeamId &team, std::uint16_t partitionCount);

/// Partition that owns the dispatch queue of a backend server.
PartitionId partitionOf(const ServerId &server, std::uint16_t partitionCount);

} // namespace Base
