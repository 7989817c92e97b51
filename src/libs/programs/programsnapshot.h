#pragma once

#include "turn.h"

#include <journal/record.h>

#include <memory>
#include <optional>
#include <vector>

namespace Programs {

/// The complete committed state of one program, for compaction.
struct ProgramSnapshot
{
    Journal::ProgramCreated created;
    std::shared_ptr<const History> history;
    Base::Tokens charged;
    /// A non-idempotent call that was dispatched and has no result yet.
    std::optional<Journal::CallIntent> openIntent;
    /// Children that have not ended.
    std::vector<Journal::ChildReserved> children;
    /// Number of children created so far; determines the number of the next one.
    std::uint32_t childCount = 0;
};

} // namespace Programs
