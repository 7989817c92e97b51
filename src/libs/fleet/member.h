#pragma once

#include "messages.h"

#include <base/instant.h>

#include <map>
#include <optional>

namespace Fleet {

/// Membership state of one other daemon.
struct Member
{
    Daemon daemon;
    HeartbeatSequence sequence;
    KnownVersions versions;
    std::optional<Base::Instant> lastContact;
    /// When the oldest unacknowledged heartbeat was sent.
    std::optional<Base::Instant> ackPendingSince;
    std::optional<Base::Instant> goneSince;
    int missedHeartbeats = 0;
    /// Remaining transmissions of this member's latest change.
    int transmissionsLeft = 0;
    /// Whether a message arrived from it, or a peer reported that it is alive or leaving.
    bool hasJoined = false;
    bool wasContacted = false;
    bool isLeaving = false;
    bool wasVmListed = false;
};

using Members = std::map<Base::IncarnationId, Member>;

/// Whether the daemon is still sent heartbeats.
inline bool isReachable(const Member &member)
{
    return member.daemon.state != DaemonState::Gone;
}

} // namespace Fleet
