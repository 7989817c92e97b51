#pragma once

#include <base/instant.h>
#include <base/types.h>

#include <string>

/// Completed turns of programs that are kept for their successors: where copies are, when a turn is
/// known not to exist, and the format on disk. No sockets, files or clocks.
namespace TurnHistory {

/// The id of the caller's attempt that ran the turn.
using TurnId = Base::StrongText<struct TurnIdTag>;

/// Identifies the contents of a disk; a disk that was emptied has another one.
using DiskId = Base::StrongText<struct DiskIdTag>;

/// Milliseconds since the Unix epoch.
using UnixTime = Base::StrongNumber<struct UnixTimeTag, std::int64_t>;

/// A completed turn. Never changes.
struct Turn
{
    TurnId id;
    /// The turn that this one continues; empty at the start of a chain.
    TurnId previous;
    Base::TeamId team;
    /// Selects the holders of the turn; the same for most turns of a chain.
    std::string placementKey;
    Base::Duration retention{};
    UnixTime endedAt;
    /// The input of the turn, then the data of each event followed by a line feed.
    std::string content;

    bool operator==(const Turn &) const = default;
};

} // namespace TurnHistory
